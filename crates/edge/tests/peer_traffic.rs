//! The metrics of messages between boxes.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_edge::{Dialect, EdgeHandle, start};
use brasswinch_lab::memory_store::MemoryStore;
use brasswinch_routing::Change;
use common::{config, eventually, settings};
use std::net::SocketAddr;
use std::sync::Arc;

async fn start_box(id: &str, seeds: Vec<SocketAddr>, store: &MemoryStore) -> EdgeHandle {
    let edge = start(settings(id, seeds), Dialect::default(), store.handle());
    edge.await.unwrap()
}

/// Returns the value of the metric that `name` begins with, 0 if it is absent.
fn metric(edge: &EdgeHandle, name: &str) -> f64 {
    let text = edge.context().metrics_text();
    let value = text.lines().find_map(|line| line.strip_prefix(name));
    value.map_or(0.0, |value| value.parse().unwrap())
}

/// Returns the value of a metric of messages between boxes.
fn figure(edge: &EdgeHandle, name: &str, kind: &str, direction: &str) -> f64 {
    let labels = format!("kind=\"{kind}\",direction=\"{direction}\"");
    metric(edge, &format!("brasswinch_{name}{{{labels}}} "))
}

#[tokio::test]
async fn messages_between_boxes_are_missing_from_the_metrics() {
    let store = MemoryStore::default();
    store.write(Change::Config(Arc::new(config(1))));
    let first = start_box("box-0", Vec::new(), &store).await;
    let second = start_box("box-1", vec![first.addresses().peers], &store).await;
    // The second box learns the store's contents from the first one.
    for (kind, sender, receiver) in [
        ("sync", &second, &first),
        ("ping", &first, &second),
        ("ack", &second, &first),
        ("updates", &first, &second),
    ] {
        for metric in ["peer_messages_total", "peer_bytes_total"] {
            eventually(&format!("{metric} counts {kind}"), || {
                let received = figure(receiver, metric, kind, "received");
                let sent = figure(sender, metric, kind, "sent");
                received > 0.0 && sent >= received
            })
            .await;
        }
    }
}

/// A box that joins lacks more members than a sync sends as datagrams.
#[tokio::test]
async fn a_box_that_joins_many_is_not_sent_the_members_at_once() {
    const BOXES: usize = 32;
    let store = MemoryStore::default();
    store.write(Change::Config(Arc::new(config(1))));
    let first = start_box("box-0", Vec::new(), &store).await;
    let seeds = vec![first.addresses().peers];
    let mut others = Vec::new();
    for number in 1..BOXES {
        others.push(start_box(&format!("box-{number}"), seeds.clone(), &store).await);
    }
    let alive = |edge: &EdgeHandle| metric(edge, "brasswinch_members_alive ");
    eventually("the seed knows all", || alive(&first) >= (BOXES - 1) as f64).await;
    let joining = start_box("box-joining", seeds, &store).await;
    eventually("the box knows all", || alive(&joining) >= BOXES as f64).await;
    let received = figure(&joining, "peer_messages_total", "members", "received");
    assert!(received >= 1.0, "{received}");
}
