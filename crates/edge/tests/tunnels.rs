//! Requests of a box that reaches no upstream go through another box.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_edge::{Context, Dialect};
use brasswinch_lab::partition::{Partition, PartitionKind};
use brasswinch_lab::routed_upstream::{Behaviour, Upstream};
use brasswinch_routing::{RouteKind, UpstreamIncarnation};
use brasswinch_types::{Region, UpstreamId};
use common::apart::{Apart, box_ip};
use common::{HOST, KeptConnection, call, config, eventually, request, route};
use futures_util::{SinkExt, StreamExt};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio_tungstenite::client_async;
use tokio_tungstenite::tungstenite::Message;

const BOXES: usize = 4;

/// How long upstreams of some tests work.
const LONG_RUN: Duration = Duration::from_millis(1_500);

/// More than a tunnel and the sockets on its way hold.
const LONG_BODY_BYTES: usize = 12_000_000;

/// More than the timeout of a peer that has fallen silent.
const READING_PAUSE: Duration = Duration::from_millis(1_500);

/// How long an upstream waits until its response is read.
const PATIENCE: Duration = Duration::from_secs(10);

/// Starts boxes of which the first is partitioned from all upstreams and uses tunnels.
async fn with_tunnels(count: usize) -> Apart {
    let boxes = Apart::start(count).await;
    boxes.cut(1, PartitionKind::Silent);
    boxes.wait_until_served(0).await;
    boxes
}

/// Returns the value of a metric of a box.
fn metric(boxes: &Apart, index: usize, name: &str) -> u64 {
    metric_of(boxes.context(index), name)
}

fn metric_of(context: &Context, name: &str) -> u64 {
    let text = context.metrics_text();
    let line = text
        .lines()
        .find(|line| line.split(' ').next() == Some(name))
        .unwrap();
    line.split(' ').nth(1).unwrap().parse().unwrap()
}

fn carried(boxes: &Apart, index: usize) -> u64 {
    metric(boxes, index, "brasswinch_tunnels_carried_total")
}

fn runs(upstreams: &[Upstream], path: &str) -> usize {
    let seen = upstreams.iter().flat_map(Upstream::seen);
    seen.filter(|seen| seen.ran && seen.line.contains(path))
        .count()
}

fn always(boxes: &Apart, behaviour: &Behaviour) {
    let upstreams = boxes.upstreams.iter();
    upstreams.for_each(|upstream| upstream.always(behaviour.clone()));
}

/// Guards against a path that stays lost after its links are back, and against tunnels that stay.
#[tokio::test]
async fn a_box_uses_tunnels_after_its_links_are_back() {
    let boxes = with_tunnels(BOXES).await;
    assert_eq!(metric(&boxes, 0, "brasswinch_reaches_upstreams"), 0);
    boxes.heal();
    eventually("the path is restored", || {
        metric(&boxes, 0, "brasswinch_reaches_upstreams") == 1
    })
    .await;
    eventually("no tunnel is open", || {
        (1..BOXES).all(|index| metric(&boxes, index, "brasswinch_tunnels_carried") == 0)
    })
    .await;
    let before: u64 = (1..BOXES).map(|index| carried(&boxes, index)).sum();
    assert_eq!(boxes.served(0, 20).await, 20);
    let after: u64 = (1..BOXES).map(|index| carried(&boxes, index)).sum();
    assert_eq!(before, after);
}

/// Guards against a second run: the box that carries the tunnel loses its link while an upstream
/// runs the request.
#[tokio::test]
async fn a_request_whose_tunnel_is_lost_runs_twice() {
    let boxes = with_tunnels(BOXES).await;
    always(&boxes, &Behaviour::AnswerAfter(LONG_RUN));
    let to = boxes.clients[0];
    let pending = tokio::spawn(call(to, request("POST", "/once/lost", "")));
    eventually("it runs", || runs(&boxes.upstreams, "/once/lost") == 1).await;
    boxes.cut(BOXES, PartitionKind::Reset);
    let answer = pending.await.unwrap().unwrap();
    assert_eq!(answer.status, 502);
    boxes.heal();
    boxes.wait_until_served(0).await;
    assert_eq!(runs(&boxes.upstreams, "/once/lost"), 1);
}

/// Guards against an upstream that goes on working for a client that has left.
#[tokio::test]
async fn an_upstream_behind_a_tunnel_works_for_a_client_that_left() {
    let boxes = with_tunnels(BOXES).await;
    always(&boxes, &Behaviour::Hang);
    let to = boxes.clients[0];
    let pending = tokio::spawn(call(to, request("GET", "/safe/left", "")));
    eventually("it runs", || runs(&boxes.upstreams, "/safe/left") == 1).await;
    pending.abort();
    eventually("its connection is closed", || {
        boxes
            .upstreams
            .iter()
            .any(|upstream| upstream.closed_early() > 0)
    })
    .await;
}

#[tokio::test]
async fn a_large_body_is_cut_short_by_a_tunnel() {
    let boxes = with_tunnels(BOXES).await;
    let body = "u".repeat(3 * 1024 * 1024);
    let answer = call(boxes.clients[0], request("POST", "/upload/large", &body)).await;
    assert_eq!(answer.unwrap().status, 200);
    let mut seen = boxes.upstreams.iter().flat_map(Upstream::seen);
    let received = seen
        .find(|seen| seen.line.contains("/upload/large"))
        .unwrap();
    assert_eq!(received.body.len(), body.len());
    let bytes = 2 * 1024 * 1024;
    let patience = common::MAX_CONDITION_WAIT;
    always(&boxes, &Behaviour::AnswerLong { bytes, patience });
    let answer = boxes.call(0, "GET", "/download/large").await;
    assert_eq!((answer.status, answer.body.len()), (200, bytes));
}

/// Guards against a planned stop that cuts the requests of other boxes.
#[tokio::test]
async fn a_box_that_stops_cuts_the_requests_in_its_tunnels() {
    let mut boxes = with_tunnels(2).await;
    always(&boxes, &Behaviour::AnswerAfter(LONG_RUN));
    let to = boxes.clients[0];
    let pending = tokio::spawn(call(to, request("POST", "/once/stopped", "")));
    eventually("it runs", || runs(&boxes.upstreams, "/once/stopped") == 1).await;
    let carrier = boxes.boxes[1].take().unwrap();
    let stopping = tokio::spawn(carrier.stop());
    assert_eq!(pending.await.unwrap().unwrap().status, 200);
    stopping.await.unwrap();
}

/// Guards against tunnels that are never idle, and so are used until the end of their carrier's
/// process cuts them.
#[tokio::test(flavor = "multi_thread")]
async fn a_busy_tunnel_is_reused_while_its_carrier_stops() {
    const CLIENTS: usize = 8;
    /// Less than the time for which a stopping box accepts connections.
    const MAX_USE: Duration = Duration::from_millis(2_000);
    let mut boxes = with_tunnels(BOXES).await;
    always(&boxes, &Behaviour::AnswerAfter(Duration::from_millis(100)));
    let to = boxes.clients[0];
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| tokio::spawn(keep_calling(to, format!("/safe/busy-{number}"))))
        .collect();
    let open = |index: &usize| metric(&boxes, *index, "brasswinch_tunnels_carried");
    eventually("all clients use tunnels", || {
        (1..BOXES).map(|index| open(&index)).sum::<u64>() >= CLIENTS as u64
    })
    .await;
    let busiest = (1..BOXES).max_by_key(open).unwrap();
    let carrier = boxes.boxes[busiest].take().unwrap();
    let context = Arc::clone(carrier.context());
    let began = Instant::now();
    let stopping = tokio::spawn(carrier.stop());
    while metric_of(&context, "brasswinch_tunnels_carried") > 0 {
        assert!(began.elapsed() < MAX_USE, "its tunnels are still in use");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    clients.iter().for_each(JoinHandle::abort);
    stopping.await.unwrap();
}

/// Sends a request as soon as the one before is answered.
async fn keep_calling(to: SocketAddr, path: String) {
    loop {
        let answer = call(to, request("GET", &path, "")).await;
        assert_eq!(answer.unwrap().status, 200);
    }
}

/// Guards against boxes that send each other's requests in circles when no box reaches an upstream.
#[tokio::test]
async fn boxes_that_are_all_cut_off_forward_to_each_other() {
    let boxes = Apart::start(BOXES).await;
    boxes.cut(BOXES, PartitionKind::Silent);
    let are_lost =
        || (0..BOXES).all(|index| metric(&boxes, index, "brasswinch_reaches_upstreams") == 0);
    let began = Instant::now();
    while !are_lost() {
        assert!(began.elapsed() < common::MAX_CONDITION_WAIT);
        for index in 0..BOXES {
            assert_ne!(boxes.call(index, "GET", "/safe/none").await.status, 200);
        }
    }
    let carried_before: u64 = (0..BOXES).map(|index| carried(&boxes, index)).sum();
    for index in 0..BOXES {
        assert_eq!(boxes.call(index, "POST", "/once/none").await.status, 503);
    }
    let carried_after: u64 = (0..BOXES).map(|index| carried(&boxes, index)).sum();
    assert_eq!(carried_before, carried_after);
    assert_eq!(runs(&boxes.upstreams, "/once/none"), 0);
    boxes.heal();
    for index in 0..BOXES {
        boxes.wait_until_served(index).await;
    }
}

/// Guards against an upstream that is down being taken for a lost path.
#[tokio::test]
async fn a_lost_upstream_makes_a_box_use_tunnels() {
    let boxes = Apart::start(2).await;
    let sources = vec![box_ip(0), box_ip(1)];
    for upstream in &boxes.upstreams[..2] {
        upstream.set_partition(Partition::new(PartitionKind::Silent, sources.clone()));
    }
    boxes.served(0, 30).await;
    assert_eq!(metric(&boxes, 0, "brasswinch_reaches_upstreams"), 1);
    assert_eq!(carried(&boxes, 1), 0);
}

/// Guards against a body that leaves the regions that its route allows.
#[tokio::test]
async fn a_tunnel_leaves_the_allowed_regions() {
    let mut config = config(1);
    let mut kept = route("/kept/", RouteKind::Upload, "desk");
    kept.allowed_regions.insert(Region::new("north"));
    config.routes.push(kept);
    let boxes = Apart::start_with(BOXES, config).await;
    boxes.cut(1, PartitionKind::Silent);
    boxes.wait_until_served(0).await;
    let before = carried(&boxes, 2);
    for number in 0..20 {
        let answer = boxes.call(0, "POST", &format!("/kept/{number}")).await;
        assert_eq!(answer.status, 200);
    }
    // The third box is in the region of the first, the second and fourth are in the other.
    assert_eq!(carried(&boxes, 2), before);
}

/// Returns the reply to a request for a tunnel that is sent from the address `from`.
async fn request_tunnel(from: IpAddr, to: SocketAddr, upstream: &str) -> String {
    #[derive(serde::Serialize)]
    struct Header {
        bytes: usize,
        is_compressed: bool,
    }
    #[derive(serde::Serialize)]
    struct Request {
        tunnel: UpstreamIncarnation,
    }
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind((from, 0).into()).unwrap();
    let stream = socket.connect(to).await.unwrap();
    let (mut socket, _) = client_async(format!("ws://{to}/"), stream).await.unwrap();
    let tunnel = UpstreamIncarnation {
        upstream: UpstreamId::new(upstream),
        started: None,
    };
    let mut body = Vec::new();
    ciborium::into_writer(&Request { tunnel }, &mut body).unwrap();
    let mut header = Vec::new();
    let (bytes, is_compressed) = (body.len(), false);
    ciborium::into_writer(
        &Header {
            bytes,
            is_compressed,
        },
        &mut header,
    )
    .unwrap();
    socket.send(Message::Binary(header.into())).await.unwrap();
    socket.send(Message::Binary(body.into())).await.unwrap();
    socket.next().await.unwrap().unwrap();
    let reply = socket.next().await.unwrap().unwrap().into_data();
    format!(
        "{:?}",
        ciborium::from_reader::<ciborium::Value, _>(&reply[..]).unwrap()
    )
}

/// Guards against a caller that uses boxes to reach upstreams past all checks.
#[tokio::test]
async fn a_caller_opens_a_tunnel() {
    let boxes = Apart::start(2).await;
    let to = boxes.boxes[0].as_ref().unwrap().addresses().peers;
    let upstream = &boxes.upstreams[0];
    let refused = request_tunnel("127.0.0.99".parse().unwrap(), to, &upstream.id).await;
    assert!(refused.contains("Unavailable"), "{refused}");
    assert_eq!(upstream.connections(), 0);
    let opened = request_tunnel(box_ip(1).into(), to, &upstream.id).await;
    assert!(opened.contains("Connected"), "{opened}");
    let unknown = request_tunnel(box_ip(1).into(), to, "upstream-99").await;
    assert!(unknown.contains("NotAccepted"), "{unknown}");
}

/// Guards against a carrier's lost links that speak against the requests in its tunnels.
#[tokio::test]
async fn a_request_whose_carrier_is_cut_off_counts_as_a_crash() {
    let boxes = with_tunnels(2).await;
    always(&boxes, &Behaviour::Hang);
    let to = boxes.clients[0];
    let pending = tokio::spawn(call(to, request("POST", "/once/carried", "")));
    eventually("it runs", || runs(&boxes.upstreams, "/once/carried") == 1).await;
    boxes.cut(2, PartitionKind::Silent);
    assert_eq!(pending.await.unwrap().unwrap().status, 502);
    let lost = |cause| {
        format!("brasswinch_upstream_connections_total{{outcome=\"lost\",cause=\"{cause}\"}}")
    };
    assert_eq!(metric(&boxes, 0, &lost("timed_out")), 1);
    assert_eq!(metric(&boxes, 0, &lost("reset")), 0);
}

/// Sends a request on a kept connection; returns its status.
async fn status_on(kept: &mut KeptConnection) -> u16 {
    let answer = kept.call(request("GET", "/safe/kept", "")).await;
    answer.unwrap().status
}

/// Guards against a client's kept connection that ends with the box's own path.
#[tokio::test]
async fn a_kept_connection_ends_with_the_path() {
    let boxes = Apart::start(BOXES).await;
    let mut kept = KeptConnection::open(boxes.clients[0]).await;
    assert_eq!(status_on(&mut kept).await, 200);
    boxes.cut(1, PartitionKind::Silent);
    boxes.wait_until_served(0).await;
    assert_eq!(status_on(&mut kept).await, 200);
}

/// Guards against a client or an upstream that reads nothing for a while and is taken for dead by
/// one side of the tunnel.
#[tokio::test]
async fn a_slow_reader_is_cut_off_by_a_tunnel() {
    let boxes = with_tunnels(BOXES).await;
    always(
        &boxes,
        &Behaviour::AnswerLong {
            bytes: LONG_BODY_BYTES,
            patience: PATIENCE,
        },
    );
    let mut client = TcpStream::connect(boxes.clients[0]).await.unwrap();
    let id = Dialect::default().request_id;
    let head = format!("GET /download/slow HTTP/1.1\r\nhost: {HOST}\r\n{id}: 1\r\n\r\n");
    client.write_all(head.as_bytes()).await.unwrap();
    tokio::time::sleep(READING_PAUSE).await;
    let mut answer = vec![0; LONG_BODY_BYTES];
    let read = client.read_exact(&mut answer).await;
    read.expect("the response isn't cut off");

    always(&boxes, &Behaviour::ReadAfter(READING_PAUSE));
    let body = "x".repeat(LONG_BODY_BYTES);
    let upload = request("POST", "/upload/slow", &body);
    assert_eq!(call(boxes.clients[0], upload).await.unwrap().status, 200);
}
