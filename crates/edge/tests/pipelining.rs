//! Clients that send more requests on a connection before the first response.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_edge::{Dialect, Lifecycle};
use brasswinch_lab::routed_upstream::{Behaviour, Upstream};
use common::{HOST, Site, eventually};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Long enough for a request to be seen by the upstream before another one is answered.
const SLOW: Duration = Duration::from_millis(400);

/// Length of a response that a box buffers.
const RESPONSE_BYTES: usize = 120_000;

/// Length of a response that a box streams.
const STREAMED_RESPONSE_BYTES: usize = 1_000_000;

/// How long an upstream waits until its response is read.
const PATIENCE: Duration = Duration::from_secs(10);

/// A request as it stands on the connection.
fn raw(method: &str, path: &str, id: &str, body: &str) -> String {
    let dialect = Dialect::default();
    let (request_id, deadline) = (&dialect.request_id, &dialect.deadline_ms);
    let length = match body.len() {
        0 => String::new(),
        length => format!("content-length: {length}\r\n"),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n{request_id}: {id}\r\n\
         {deadline}: 9000\r\n{length}\r\n{body}"
    )
}

fn get(path: &str, id: &str) -> String {
    raw("GET", path, id, "")
}

/// A response on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Response {
    status: u16,
    /// The id of the request that the upstream answered; empty for a response of the box itself.
    id: String,
    closes: bool,
}

fn header(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    let found = lines.find(|(found, _)| found.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.trim().to_owned())
}

/// A connection on which requests are written as bytes.
struct Connection {
    stream: TcpStream,
    received: Vec<u8>,
}

impl Connection {
    async fn open(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).await.unwrap();
        Self {
            stream,
            received: Vec::new(),
        }
    }

    async fn send(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).await.unwrap();
    }

    /// Returns the next response; `None` at the end of the connection.
    async fn next(&mut self) -> Option<Response> {
        let end = loop {
            let found = self
                .received
                .windows(4)
                .position(|four| four == b"\r\n\r\n");
            match found {
                Some(found) => break found + 4,
                None => self.read().await?,
            }
        };
        let head = String::from_utf8(self.received.drain(..end).collect()).unwrap();
        let length: usize = header(&head, "content-length").unwrap().parse().unwrap();
        while self.received.len() < length {
            self.read().await?;
        }
        self.received.drain(..length);
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        let id = header(&head, Dialect::default().request_id.as_str());
        Some(Response {
            status,
            id: id.unwrap_or_default(),
            closes: header(&head, "connection").as_deref() == Some("close"),
        })
    }

    async fn read(&mut self) -> Option<()> {
        let read = self.stream.read_buf(&mut self.received).await;
        matches!(read, Ok(1..)).then_some(())
    }

    async fn statuses(&mut self) -> Vec<u16> {
        let mut statuses = Vec::new();
        while let Some(response) = self.next().await {
            statuses.push(response.status);
        }
        statuses
    }
}

/// Ids of the requests that have reached the upstream, in that order.
fn seen(upstream: &Upstream) -> Vec<String> {
    upstream.seen().into_iter().map(|seen| seen.id).collect()
}

#[tokio::test]
async fn pipelined_requests_run_side_by_side_and_are_answered_in_their_order() {
    let site = Site::start(1).await;
    let upstream = &site.upstreams[0];
    upstream.on_path("/safe/slow", Behaviour::AnswerAfter(SLOW));
    let mut client = Connection::open(site.clients).await;
    let requests = [
        get("/safe/slow", "a"),
        get("/safe/1", "b"),
        get("/safe/2", "c"),
    ];
    client.send(&requests.concat()).await;
    let first = client.next().await.unwrap();
    let before_first = seen(upstream);
    assert_eq!(first.id, "a");
    assert_eq!(before_first.len(), 3, "{before_first:?}");
    assert_eq!(client.next().await.unwrap().id, "b");
    assert_eq!(client.next().await.unwrap().id, "c");
    assert_eq!(seen(upstream).len(), 3, "each runs once");
    // The connection goes on.
    client.send(&get("/safe/3", "d")).await;
    assert_eq!(client.next().await.unwrap().id, "d");
}

#[tokio::test]
async fn requests_that_arrive_one_by_one_behind_a_slow_one_do_not_wait_for_it() {
    let site = Site::start(1).await;
    let upstream = &site.upstreams[0];
    upstream.on_path("/safe/slow", Behaviour::Hang);
    let mut client = Connection::open(site.clients).await;
    for (path, id) in [("/safe/slow", "a"), ("/safe/1", "b"), ("/safe/2", "c")] {
        client.send(&get(path, id)).await;
        eventually("the upstream sees it", || {
            seen(upstream).contains(&id.to_owned())
        })
        .await;
    }
    // The first request has timed out at its route if the others had to wait for it.
    assert_eq!(upstream.closed_early(), 0);
}

#[tokio::test]
async fn nothing_runs_beside_a_request_that_may_run_only_once() {
    let site = Site::start(1).await;
    let upstream = &site.upstreams[0];
    upstream.on_path("/once/", Behaviour::AnswerAfter(SLOW));
    upstream.on_path("/safe/slow", Behaviour::AnswerAfter(SLOW));
    let mut client = Connection::open(site.clients).await;
    let requests = [
        get("/safe/slow", "a"),
        get("/once/1", "b"),
        get("/safe/1", "c"),
        raw("POST", "/once/2", "d", "body"),
        get("/safe/2", "e"),
    ];
    client.send(&requests.concat()).await;
    let mut expected = Vec::new();
    for id in ["a", "b", "c", "d", "e"] {
        let response = client.next().await.unwrap();
        assert_eq!(response.id, id);
        expected.push(id.to_owned());
        let seen = seen(upstream);
        let order = &seen[..expected.len()];
        assert_eq!(order, expected, "{seen:?}");
    }
    assert_eq!(seen(upstream), expected);
}

#[tokio::test]
async fn responses_before_a_head_that_cannot_be_parsed_are_delivered() {
    let site = Site::start(1).await;
    let mut client = Connection::open(site.clients).await;
    let requests = [
        get("/safe/1", "a"),
        get("/safe/2", "b"),
        "G@T nonsense\r\n\r\n".into(),
    ];
    client.send(&requests.concat()).await;
    client.send(&get("/safe/3", "d")).await;
    assert_eq!(client.statuses().await, [200, 200, 400]);
    assert_eq!(seen(&site.upstreams[0]).len(), 2);
}

#[tokio::test]
async fn a_client_that_leaves_cancels_what_it_pipelined() {
    let site = Site::start(1).await;
    let upstream = &site.upstreams[0];
    upstream.always(Behaviour::Hang);
    let mut client = Connection::open(site.clients).await;
    let requests = [
        get("/safe/1", "a"),
        get("/safe/2", "b"),
        get("/safe/3", "c"),
    ];
    client.send(&requests.concat()).await;
    eventually("all have started", || upstream.seen().len() == 3).await;
    drop(client);
    eventually("all are cancelled", || upstream.closed_early() == 3).await;
}

#[tokio::test]
async fn a_client_that_leaves_while_its_read_ahead_is_full_is_noticed_at_the_next_response() {
    let site = Site::start(1).await;
    let upstream = &site.upstreams[0];
    upstream.on_path("/safe/slow", Behaviour::AnswerAfter(SLOW));
    let mut client = Connection::open(site.clients).await;
    client.send(&get("/safe/slow", "a")).await;
    eventually("it runs", || upstream.seen().len() == 1).await;
    for number in 0..400 {
        client.send(&get("/safe/1", &format!("b{number}"))).await;
    }
    assert_eq!(client.next().await.unwrap().id, "a");
    drop(client);
    eventually("nothing is in flight", || {
        let metrics = site.handle.as_ref().unwrap().context().metrics_text();
        metrics.contains("brasswinch_requests_in_flight 0\n")
    })
    .await;
}

#[tokio::test]
async fn a_stop_answers_what_was_started_and_leaves_the_rest_unread() {
    let site = Site::start(1).await;
    let upstream = &site.upstreams[0];
    upstream.always(Behaviour::AnswerAfter(SLOW * 2));
    let mut client = Connection::open(site.clients).await;
    client
        .send(&[get("/safe/1", "a"), get("/safe/2", "b")].concat())
        .await;
    eventually("both run", || upstream.seen().len() == 2).await;
    let context = std::sync::Arc::clone(site.handle.as_ref().unwrap().context());
    let handle = site.handle.unwrap();
    let stopping = tokio::spawn(handle.stop());
    eventually("the box leaves", || {
        context.status().stage >= Lifecycle::Leaving
    })
    .await;
    client.send(&get("/safe/3", "c")).await;
    let first = client.next().await.unwrap();
    assert_eq!((first.id.as_str(), first.closes), ("a", false));
    let second = client.next().await.unwrap();
    assert_eq!((second.id.as_str(), second.closes), ("b", true));
    assert_eq!(client.next().await, None);
    assert_eq!(seen(upstream).len(), 2);
    stopping.await.unwrap();
}

#[tokio::test]
async fn ten_thousand_pipelined_requests_take_a_bounded_part_of_the_upstream() {
    const REQUESTS: usize = 10_000;
    const READS_PER_SAMPLE: usize = 32;
    let site = Site::start(1).await;
    let client = Connection::open(site.clients).await;
    let (mut reading, mut writing) = client.stream.into_split();
    let sending = tokio::spawn(async move {
        for number in 0..REQUESTS {
            let request = get("/safe/1", &format!("r{number}"));
            writing.write_all(request.as_bytes()).await.unwrap();
        }
        writing
    });
    let mut received = Vec::new();
    let mut answered = 0;
    let mut reads = 0;
    let context = site.handle.as_ref().unwrap().context();
    while answered < REQUESTS {
        assert!(reading.read_buf(&mut received).await.unwrap() > 0);
        let text = String::from_utf8_lossy(&received);
        let whole = text.rfind("\r\n\r\n").unwrap_or(0);
        answered += text[..whole].matches("HTTP/1.1 ").count();
        received.drain(..whole);
        reads += 1;
        if reads % READS_PER_SAMPLE != 0 {
            continue;
        }
        let held = figure(&context.metrics_text(), "held_body_bytes");
        assert!(held <= 8.0 * 32.0 * 1024.0, "{held}");
        let in_flight = figure(&context.metrics_text(), "requests_in_flight");
        assert!(in_flight <= 9.0, "{in_flight}");
    }
    drop(sending.await.unwrap());
    assert_eq!(site.runs(), REQUESTS);
}

fn figure(metrics: &str, name: &str) -> f64 {
    let start = format!("brasswinch_{name} ");
    let line = metrics.lines().find_map(|line| line.strip_prefix(&start));
    line.unwrap().parse().unwrap()
}

/// A request inside a body must never run, however bodies and heads are cut into packets.
#[tokio::test]
async fn a_request_inside_a_body_runs_nowhere() {
    let site = Site::start(1).await;
    let inner = get("/safe/inner", "inner");
    let dialect = Dialect::default();
    let chunked = format!(
        "POST /upload/1 HTTP/1.1\r\nhost: {HOST}\r\n{}: a\r\ntransfer-encoding: chunked\r\n\r\n\
         {:x}\r\n{inner}\r\n0\r\n\r\n",
        dialect.request_id,
        inner.len()
    );
    let framed = raw("POST", "/upload/2", "b", &inner);
    for request in [chunked, framed] {
        let mut client = Connection::open(site.clients).await;
        for piece in request.as_bytes().chunks(7) {
            client.send(std::str::from_utf8(piece).unwrap()).await;
            tokio::task::yield_now().await;
        }
        client.send(&get("/safe/behind", "behind")).await;
        assert_eq!(client.next().await.unwrap().status, 200);
        assert_eq!(client.next().await.unwrap().id, "behind");
    }
    let ids = seen(&site.upstreams[0]);
    assert!(!ids.contains(&"inner".to_owned()), "{ids:?}");
}

/// A mix of requests on one connection, and the lengths of the pieces in which it is sent.
#[derive(Clone, Debug)]
struct Mix {
    kinds: Vec<usize>,
    cuts: Vec<usize>,
}

fn mix() -> impl Strategy<Value = Mix> {
    let kinds = proptest::collection::vec(0..4_usize, 1..12);
    let cuts = proptest::collection::vec(1..200_usize, 1..8);
    (kinds, cuts).prop_map(|(kinds, cuts)| Mix { kinds, cuts })
}

/// Whatever is pipelined and however it is cut, all is answered in order, and each runs once.
#[tokio::test]
async fn any_mix_of_requests_is_answered_in_order() {
    const MIXES: usize = 100;
    let site = Site::start(1).await;
    let mut runner = TestRunner::deterministic();
    for number in 0..MIXES {
        let mix = mix().new_tree(&mut runner).unwrap().current();
        check_mix(&site, number, &mix).await;
    }
    let ids = seen(&site.upstreams[0]);
    let distinct: BTreeSet<&String> = ids.iter().collect();
    assert_eq!(distinct.len(), ids.len(), "{ids:?}");
}

async fn check_mix(site: &Site, number: usize, mix: &Mix) {
    let id = |place: usize| format!("m{number}-{place}");
    let request = |(place, kind): (usize, &usize)| match kind {
        0 => get("/safe/1", &id(place)),
        1 => get("/once/1", &id(place)),
        2 => raw("POST", "/upload/1", &id(place), "some body"),
        _ => get("/nowhere/", &id(place)),
    };
    let bytes: String = mix.kinds.iter().enumerate().map(request).collect();
    let mut client = Connection::open(site.clients).await;
    let mut rest = bytes.as_str();
    for cut in mix.cuts.iter().cycle() {
        let (piece, behind) = rest.split_at((*cut).min(rest.len()));
        client.send(piece).await;
        tokio::task::yield_now().await;
        rest = behind;
        if rest.is_empty() {
            break;
        }
    }
    for (place, kind) in mix.kinds.iter().enumerate() {
        let response = client.next().await.unwrap();
        if *kind == 3 {
            assert_eq!(response.status, 404, "{mix:?}");
            continue;
        }
        assert_eq!(response.status, 200, "{mix:?}");
        assert_eq!(response.id, id(place), "{mix:?}");
    }
}

/// The responses behind one that timed out had arrived in part, and were lost with the connection.
#[tokio::test]
async fn a_request_that_times_out_costs_the_long_responses_behind_it() {
    for (bytes, expected) in [(RESPONSE_BYTES, 200), (STREAMED_RESPONSE_BYTES, 504)] {
        let site = Site::start(1).await;
        let upstream = &site.upstreams[0];
        upstream.on_path("/short/slow", Behaviour::Hang);
        upstream.always(Behaviour::AnswerLong {
            bytes,
            patience: PATIENCE,
        });
        let mut client = Connection::open(site.clients).await;
        let requests = [
            get("/short/slow", "a"),
            get("/short/1", "b"),
            get("/short/2", "c"),
            get("/short/3", "d"),
        ];
        client.send(&requests.concat()).await;
        let mut statuses = Vec::new();
        for _ in &requests {
            let response = client.next().await.expect("the connection stays open");
            statuses.push(response.status);
        }
        assert_eq!(statuses, [504, expected, expected, expected], "{bytes}");
        client.send(&get("/safe/4", "e")).await;
        assert!(client.next().await.is_some(), "{bytes}");
    }
}
