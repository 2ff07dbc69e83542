//! A box that was suspended goes by the time that has passed, not by the time that it ran.
//!
//! While a machine is suspended its steady clock stands still. A box that went by it took a view
//! of 30 s for a young one, sent requests whose clients had gone, and sent requests that must not
//! run twice on connections that had rested for ages.
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

/// How long the machine is suspended.
const SUSPENDED: Duration = Duration::from_secs(30);

/// A box whose clock the test moves.
struct Suspendable {
    clock: Clock,
    store: MemoryStore,
    upstream: Upstream,
    edge: brasswinch_edge::EdgeHandle,
    clients: SocketAddr,
}

async fn suspendable() -> Suspendable {
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
async fn its_view_is_as_old_as_it_is() {
    let held = suspendable().await;
    held.store.set_fault(StoreFault::TurnedAway);
    held.clock.skip(SUSPENDED);
    let views = held.edge.context().status().views;
    assert!(!views.is_empty());
    for view in views {
        assert!(view.age_ms.unwrap() >= 30_000, "{view:?}");
    }
}

#[tokio::test]
async fn a_request_whose_time_passed_meanwhile_reaches_no_upstream() {
    let held = suspendable().await;
    let mut stream = TcpStream::connect(held.clients).await.unwrap();
    let dialect = Dialect::default();
    let (id, deadline) = (&dialect.request_id, &dialect.deadline_ms);
    let head = format!(
        "POST /once/1 HTTP/1.1\r\nhost: {HOST}\r\n{id}: one\r\n{deadline}: 5000\r\n\
         content-length: 4\r\n\r\nbo"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let begun = || {
        held.edge
            .context()
            .figures_text()
            .contains("requests_in_flight 1")
    };
    eventually("the box has the head", begun).await;
    held.clock.skip(SUSPENDED);
    stream.write_all(b"dy").await.unwrap();
    let mut answer = vec![0; 12];
    stream.read_exact(&mut answer).await.unwrap();
    assert_eq!(String::from_utf8_lossy(&answer), "HTTP/1.1 503");
    assert!(held.upstream.seen().is_empty());
}

#[tokio::test]
async fn a_connection_that_rested_meanwhile_carries_nothing_that_must_not_run_twice() {
    let held = suspendable().await;
    for _ in 0..3 {
        let answer = call(held.clients, request("POST", "/once/1", "body")).await;
        assert_eq!(answer.unwrap().status, 200);
    }
    assert_eq!(held.upstream.connections(), 1, "it is kept");
    held.clock.skip(SUSPENDED);
    let answer = call(held.clients, request("POST", "/once/1", "body")).await;
    assert_eq!(answer.unwrap().status, 200);
    assert_eq!(held.upstream.connections(), 2);
}

#[tokio::test]
async fn what_was_shut_out_is_let_out_when_its_time_has_passed() {
    let held = suspendable().await;
    let status = held.edge.context().status();
    assert!(status.quarantine.is_empty());
    let path = "/safe/crashing";
    for number in 1..4 {
        let id = format!("upstream-{number}");
        let next = Upstream::start(&id, &Dialect::default()).await.unwrap();
        next.on_path(path, Behaviour::Close);
        held.store.write(Change::Upstream(record(&next)));
    }
    held.upstream.on_path(path, Behaviour::Close);
    let shut_out = || {
        let status = held.edge.context().status();
        status
            .quarantine
            .iter()
            .any(|held| held.shut_out_for_ms.is_some())
    };
    let mut tries = 0;
    while !shut_out() {
        call(held.clients, request("GET", path, "")).await.unwrap();
        tries += 1;
        assert!(tries < 400, "it is never shut out");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    held.clock.skip(SUSPENDED * 100);
    assert!(!shut_out());
}
