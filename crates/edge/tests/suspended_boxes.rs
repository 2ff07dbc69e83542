//! A box that was suspended must count the time of the suspension.
//!
//! The monotonic clock stops while a machine is suspended. A box that used it treated a view that
//! was 30 s old as recent, sent requests after their clients had stopped waiting, and sent requests
//! that must not run twice on connections that had been idle for too long.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_edge::{Clock, Dialect, EdgeSettings, start};
use brasswinch_lab::memory_store::{MemoryStore, StoreFault};
use brasswinch_lab::routed_upstream::{Behaviour, Upstream};
use brasswinch_routing::Change;
use common::{HOST, call, config, eventually, record, request, settings};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Duration of the simulated suspension.
const SUSPENSION: Duration = Duration::from_secs(30);

/// A box whose clock the test advances.
struct Suspendable {
    clock: Clock,
    store: MemoryStore,
    upstream: Upstream,
    edge: brasswinch_edge::EdgeHandle,
    clients: SocketAddr,
}

async fn start_suspendable() -> Suspendable {
    let dialect = Dialect::default();
    let store = MemoryStore::default().handle();
    store.write(Change::Config(Arc::new(config(1))));
    let upstream = Upstream::start("upstream-0", &dialect).await.unwrap();
    store.write(Change::Upstream(record(&upstream)));
    let clock = Clock::default();
    let settings = EdgeSettings {
        clock: clock.clone(),
        ..settings("box", Vec::new())
    };
    let edge = start(settings, dialect, store.clone()).await.unwrap();
    let context = Arc::clone(edge.context());
    eventually("the box is ready", || context.is_ready()).await;
    Suspendable {
        clock,
        store,
        upstream,
        clients: edge.addresses().clients,
        edge,
    }
}

#[tokio::test]
async fn the_age_of_a_view_includes_the_suspension() {
    let suspendable = start_suspendable().await;
    suspendable.store.set_fault(StoreFault::TurnedAway);
    suspendable.clock.skip(SUSPENSION);
    let views = suspendable.edge.context().status().views;
    assert!(!views.is_empty());
    for view in views {
        assert!(view.age_ms.unwrap() >= 30_000, "{view:?}");
    }
}

#[tokio::test]
async fn a_request_whose_deadline_passed_during_suspension_reaches_no_upstream() {
    let suspendable = start_suspendable().await;
    let mut stream = TcpStream::connect(suspendable.clients).await.unwrap();
    let dialect = Dialect::default();
    let (id, deadline) = (&dialect.request_id, &dialect.deadline_ms);
    let head = format!(
        "POST /once/1 HTTP/1.1\r\nhost: {HOST}\r\n{id}: one\r\n{deadline}: 5000\r\n\
         content-length: 4\r\n\r\nbo"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let head_received = || {
        suspendable
            .edge
            .context()
            .metrics_text()
            .contains("requests_in_flight 1")
    };
    eventually("the box has the head", head_received).await;
    suspendable.clock.skip(SUSPENSION);
    stream.write_all(b"dy").await.unwrap();
    let mut answer = vec![0; 12];
    stream.read_exact(&mut answer).await.unwrap();
    assert_eq!(String::from_utf8_lossy(&answer), "HTTP/1.1 503");
    assert!(suspendable.upstream.seen().is_empty());
}

#[tokio::test]
async fn a_connection_idle_during_suspension_carries_no_request_that_must_not_run_twice() {
    let suspendable = start_suspendable().await;
    for _ in 0..3 {
        let answer = call(suspendable.clients, request("POST", "/once/1", "body")).await;
        assert_eq!(answer.unwrap().status, 200);
    }
    assert_eq!(
        suspendable.upstream.connections(),
        1,
        "the connection is reused"
    );
    suspendable.clock.skip(SUSPENSION);
    let answer = call(suspendable.clients, request("POST", "/once/1", "body")).await;
    assert_eq!(answer.unwrap().status, 200);
    assert_eq!(suspendable.upstream.connections(), 2);
}

#[tokio::test]
async fn a_blocked_request_is_released_when_its_time_passes_during_suspension() {
    let suspendable = start_suspendable().await;
    let status = suspendable.edge.context().status();
    assert!(status.quarantine.is_empty());
    let path = "/safe/crashing";
    for number in 1..4 {
        let id = format!("upstream-{number}");
        let next = Upstream::start(&id, &Dialect::default()).await.unwrap();
        next.on_path(path, Behaviour::Close);
        suspendable.store.write(Change::Upstream(record(&next)));
    }
    suspendable.upstream.on_path(path, Behaviour::Close);
    let is_blocked = || {
        let status = suspendable.edge.context().status();
        status
            .quarantine
            .iter()
            .any(|request| request.quarantined_for_ms.is_some())
    };
    let mut tries = 0;
    while !is_blocked() {
        call(suspendable.clients, request("GET", path, ""))
            .await
            .unwrap();
        tries += 1;
        assert!(tries < 400, "the request is never blocked");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    suspendable.clock.skip(SUSPENSION * 100);
    assert!(!is_blocked());
}
