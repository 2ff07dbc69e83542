//! Configuration, membership, look-ups and graceful shutdown, with real boxes in one process.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_edge::{Dialect, EdgeHandle, start};
use brasswinch_lab::memory_store::{MemoryStore, StoreFault};
use brasswinch_lab::routed_upstream::{Behaviour, Upstream};
use brasswinch_routing::{Change, ChangeKey, RouteKind, UpstreamState};
use brasswinch_types::{Region, UpstreamId, Zone};
use common::know_all::run_member_with_newest;
use common::{KeptConnection, Site, call, config, eventually, record, request, route, settings};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

async fn edge(id: &str, seeds: Vec<SocketAddr>, store: &MemoryStore) -> EdgeHandle {
    start(settings(id, seeds), Dialect::default(), store.clone())
        .await
        .unwrap()
}

/// Starts boxes that discover each other through the first one.
async fn boxes(count: usize, store: &MemoryStore) -> Vec<(EdgeHandle, MemoryStore)> {
    let mut boxes: Vec<(EdgeHandle, MemoryStore)> = Vec::new();
    for number in 0..count {
        let seeds = boxes.first().map(|(first, _)| first.addresses().peers);
        let handle = store.handle();
        let id = format!("box-{number}");
        let edge = edge(&id, seeds.into_iter().collect(), &handle).await;
        boxes.push((edge, handle));
    }
    for (edge, _) in &boxes {
        let context = Arc::clone(edge.context());
        eventually("the box is ready", || context.is_ready()).await;
        let clients = edge.addresses().clients;
        let knows_all = || directory(&context).len() == count;
        eventually(&format!("{clients} knows all boxes"), knows_all).await;
    }
    boxes
}

fn directory(context: &brasswinch_edge::Context) -> Vec<SocketAddr> {
    let answer = context.directory_answer(&Zone::new("west-a"), &Region::new("west"));
    answer.addresses
}

async fn status(to: SocketAddr, path: &str) -> u16 {
    call(to, request("GET", path, "")).await.unwrap().status
}

#[tokio::test]
async fn a_box_without_a_configuration_says_when_to_come_back() {
    let store = MemoryStore::default();
    let edge = edge("box-1", Vec::new(), &store).await;
    let answer = call(edge.addresses().clients, request("GET", "/safe/1", ""))
        .await
        .unwrap();
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
    assert!(!edge.context().is_ready());
}

/// A newer build may have written it. Boxes that hold an older configuration serve on with it.
#[tokio::test]
async fn a_box_that_cannot_read_the_configuration_takes_another_box_s() {
    let store = MemoryStore::default();
    store.write(Change::Config(Arc::new(config(1))));
    let boxes = boxes(1, &store).await;
    store.write(Change::ConfigUnreadable);
    let first = boxes[0].0.addresses().peers;
    let late = edge("box-late", vec![first], &store.handle()).await;
    let late = Arc::clone(late.context());
    eventually("the box is ready", || late.is_ready()).await;
    assert_eq!(late.status().config_version, Some(1));
    assert_eq!(boxes[0].0.context().status().config_version, Some(1));
}

#[tokio::test]
async fn a_configuration_is_in_force_as_soon_as_it_is_written() {
    let site = Site::start(1).await;
    assert_eq!(site.get("/new/1").await.status, 404);
    let mut newer = config(2);
    newer
        .routes
        .push(route("/new/", RouteKind::Repeatable, "desk"));
    newer.routes.retain(|route| route.path_prefix != "/safe/");
    site.store.write(Change::Config(Arc::new(newer)));
    let mut attempts = 0;
    while site.get("/new/1").await.status != 200 {
        attempts += 1;
        assert!(attempts < 1_000);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(site.get("/safe/1").await.status, 404, "the removed route");
    // An older version, written later, changes nothing.
    site.store.write(Change::Config(Arc::new(config(1))));
    site.store.forget_history();
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(site.get("/new/1").await.status, 200);
}

#[tokio::test]
async fn an_upstream_that_says_it_leaves_gets_nothing_more() {
    let site = Site::start(2).await;
    let home = site.get("/safe/1").await.body;
    let leaving = site
        .upstreams
        .iter()
        .find(|upstream| home == upstream.id.as_bytes())
        .unwrap();
    let mut entry = record(leaving);
    entry.state = UpstreamState::Draining;
    site.store.write(Change::Upstream(entry));
    let mut attempts = 0;
    while site.get("/safe/1").await.body == home {
        attempts += 1;
        assert!(attempts < 1_000);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let seen = leaving.seen().len();
    for _ in 0..20 {
        assert_eq!(site.get("/safe/1").await.status, 200);
    }
    assert_eq!(leaving.seen().len(), seen);
}

#[tokio::test]
async fn a_box_that_the_store_turns_away_hears_from_others() {
    let store = MemoryStore::default();
    let upstream = Upstream::start("upstream-0", &Dialect::default())
        .await
        .unwrap();
    store.write(Change::Config(Arc::new(config(1))));
    store.write(Change::Upstream(record(&upstream)));
    for fault in [StoreFault::TurnedAway, StoreFault::Silent] {
        let boxes = boxes(3, &store).await;
        boxes[2].1.set_fault(fault);
        // A watch in progress when the fault began still returns one change.
        store.write(Change::Evacuated(Zone::new("north-a")));
        store.write(Change::Gone(ChangeKey::Evacuation(Zone::new("north-a"))));
        tokio::time::sleep(Duration::from_millis(500)).await;
        let version = if fault == StoreFault::Silent { 3 } else { 2 };
        let mut newer = config(version);
        let prefix = format!("/new{version}/");
        newer
            .routes
            .push(route(&prefix, RouteKind::Repeatable, "desk"));
        store.write(Change::Config(Arc::new(newer)));
        let mut attempts = 0;
        let clients = boxes[2].0.addresses().clients;
        while status(clients, &format!("{prefix}1")).await != 200 {
            attempts += 1;
            assert!(attempts < 1_000, "{fault:?}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        for (edge, _) in boxes {
            tokio::spawn(edge.stop());
        }
    }
}

/// A watch sent during an outage may never get a reply. A box that waited for it would notice
/// the store's return, and the changes since, seconds late.
#[tokio::test]
async fn a_box_that_the_store_failed_asks_without_waiting_until_it_answers() {
    let site = Site::start(1).await;
    let store = &site.store;
    eventually("a watch is pending", || !store.waits().is_empty()).await;
    store.set_fault(StoreFault::TurnedAway);
    // Completes the watches in progress.
    store.write(Change::Config(Arc::new(config(2))));
    store.write(Change::Gone(ChangeKey::Upstream(UpstreamId::new("none"))));
    let before = store.waits().len();
    let more = before + 8;
    eventually("the box retries", || store.waits().len() >= more).await;
    let new_waits = store.waits().split_off(before);
    // The first failing calls, one per scope. Among the rest are calls without a wait, which
    // refresh the view.
    let waiting = new_waits.iter().filter(|wait| !wait.is_zero()).count();
    assert!(waiting <= 2, "{new_waits:?}");
    assert!(
        new_waits.iter().rev().take(4).all(Duration::is_zero),
        "{new_waits:?}"
    );
    store.set_fault(StoreFault::None);
    eventually("watches are sent with a wait again", || {
        store.waits().last().is_some_and(|wait| !wait.is_zero())
    })
    .await;
}

#[tokio::test]
async fn a_box_that_starts_while_the_store_is_down_serves_by_what_others_know() {
    let store = MemoryStore::default();
    let upstream = Upstream::start("upstream-0", &Dialect::default())
        .await
        .unwrap();
    store.write(Change::Config(Arc::new(config(1))));
    store.write(Change::Upstream(record(&upstream)));
    let boxes = boxes(2, &store).await;
    let rejecting_store = store.handle();
    rejecting_store.set_fault(StoreFault::TurnedAway);
    let seeds = vec![boxes[0].0.addresses().peers];
    let late = edge("box-late", seeds, &rejecting_store).await;
    let context = Arc::clone(late.context());
    eventually("the late box is ready", || context.is_ready()).await;
    assert_eq!(status(late.addresses().clients, "/safe/1").await, 200);
}

#[tokio::test]
async fn not_every_box_calls_the_store() {
    let store = MemoryStore::default();
    store.write(Change::Config(Arc::new(config(1))));
    let _boxes = boxes(10, &store).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = store.calls();
    for revision in 0..5 {
        store.write(Change::Gone(ChangeKey::Upstream(UpstreamId::new(format!(
            "t{revision}"
        )))));
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    let calls = store.calls() - before;
    // Ten boxes that all watched would make 50 calls.
    assert!(calls <= 35, "{calls}");
}

#[tokio::test]
async fn look_ups_leave_out_boxes_that_leave_or_died() {
    let store = MemoryStore::default();
    store.write(Change::Config(Arc::new(config(1))));
    let mut boxes = boxes(3, &store).await;
    let (leaving, _) = boxes.pop().unwrap();
    let gone = leaving.addresses().clients;
    let stopping = tokio::spawn(leaving.stop());
    for (edge, _) in &boxes {
        let context = Arc::clone(edge.context());
        eventually("look-ups omit the leaving box", || {
            !directory(&context).contains(&gone)
        })
        .await;
    }
    stopping.await.unwrap();
}

#[tokio::test]
async fn a_planned_stop_answers_what_has_arrived() {
    let site = Site::start(1).await;
    site.upstreams[0].always(Behaviour::AnswerAfter(Duration::from_millis(300)));
    let mut site = site;
    let handle = site.handle.take().unwrap();
    let context = Arc::clone(handle.context());
    let clients = site.clients;
    let mut kept = KeptConnection::open(clients).await;
    assert_eq!(
        kept.call(request("GET", "/safe/1", ""))
            .await
            .unwrap()
            .status,
        200
    );
    let in_progress = tokio::spawn(call(clients, request("POST", "/once/1", "x")));
    tokio::time::sleep(Duration::from_millis(100)).await;
    let stopping = tokio::spawn(handle.stop());
    eventually("the box isn't ready", || !context.is_ready()).await;
    // A request on a kept connection, one on a new connection, and one in progress.
    let on_kept = kept.call(request("POST", "/once/1", "y")).await.unwrap();
    assert_eq!(on_kept.status, 200);
    assert_eq!(on_kept.headers["connection"], "close");
    let on_new = call(clients, request("POST", "/once/1", "z"))
        .await
        .unwrap();
    assert_eq!(on_new.status, 200);
    assert_eq!(in_progress.await.unwrap().unwrap().status, 200);
    stopping.await.unwrap();
    assert!(
        TcpStream::connect(clients).await.is_err(),
        "the port is still open"
    );
}

/// Sends a small request on an open connection; returns whether an answer comes.
async fn is_answered(mut stream: TcpStream) -> bool {
    let request = b"GET /safe/1 HTTP/1.1\r\nhost: quotes.example\r\n\r\n";
    if stream.write_all(request).await.is_err() {
        return false;
    }
    let mut answer = [0; 8];
    stream.read_exact(&mut answer).await.is_ok() && &answer == b"HTTP/1.1"
}

/// Connects until the box has closed its port; each connection sends its request after a delay.
async fn call_until_refused(clients: SocketAddr) -> Vec<JoinHandle<bool>> {
    // Delay from connection to request.
    const REQUEST_DELAY: Duration = Duration::from_millis(60);
    const CONNECT_INTERVAL: Duration = Duration::from_millis(3);
    let mut calls = Vec::new();
    while let Ok(stream) = TcpStream::connect(clients).await {
        calls.push(tokio::spawn(async move {
            tokio::time::sleep(REQUEST_DELAY).await;
            is_answered(stream).await
        }));
        tokio::time::sleep(CONNECT_INTERVAL).await;
    }
    calls
}

#[tokio::test(flavor = "multi_thread")]
async fn what_has_reached_a_box_before_it_closes_is_answered() {
    // Several callers, so that one has often just connected when the box closes its port.
    const CALLERS: usize = 4;
    let mut site = Site::start(1).await;
    let stopping = tokio::spawn(site.handle.take().unwrap().stop());
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| tokio::spawn(call_until_refused(site.clients)))
        .collect();
    let mut all = 0;
    let mut unanswered = 0;
    for caller in callers {
        for call in caller.await.unwrap() {
            all += 1;
            unanswered += usize::from(!call.await.unwrap());
        }
    }
    assert_eq!(
        unanswered, 0,
        "connections closed without an answer, of {all}"
    );
    stopping.await.unwrap();
}

/// Starts a member that claims the newest revisions and never answers a request; returns the
/// count of connections to it.
async fn start_unresponsive_member(seed: SocketAddr) -> Arc<AtomicUsize> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let socket = tokio::net::UdpSocket::bind(listener.local_addr().unwrap())
        .await
        .unwrap();
    let connections = Arc::new(AtomicUsize::new(0));
    let counting = Arc::clone(&connections);
    tokio::spawn(async move {
        let mut kept = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            counting.fetch_add(1, Ordering::Relaxed);
            kept.push(stream);
        }
    });
    tokio::spawn(run_member_with_newest(socket, seed));
    connections
}

#[tokio::test]
async fn a_box_that_never_answers_keeps_nobody_from_hearing_from_others() {
    let store = MemoryStore::default();
    let upstream = Upstream::start("upstream-0", &Dialect::default())
        .await
        .unwrap();
    store.write(Change::Config(Arc::new(config(1))));
    store.write(Change::Upstream(record(&upstream)));
    let boxes = boxes(2, &store).await;
    let connections = start_unresponsive_member(boxes[0].0.addresses().peers).await;
    let (rejected_box, access) = &boxes[1];
    access.set_fault(StoreFault::TurnedAway);
    let connection_count = Arc::clone(&connections);
    eventually("the unresponsive member gets a request", || {
        connection_count.load(Ordering::Relaxed) > 0
    })
    .await;
    // A watch in progress when the fault began still returns one change.
    store.write(Change::Evacuated(Zone::new("north-a")));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut newer = config(2);
    newer
        .routes
        .push(route("/new/", RouteKind::Repeatable, "desk"));
    let before = connections.load(Ordering::Relaxed);
    store.write(Change::Config(Arc::new(newer)));
    let clients = rejected_box.addresses().clients;
    while status(clients, "/new/1").await != 200 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let wasted = connections.load(Ordering::Relaxed) - before;
    assert!(wasted <= 3, "{wasted} requests to the unresponsive member");
}
