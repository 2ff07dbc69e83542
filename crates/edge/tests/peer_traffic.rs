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

/// Returns the value of a metric, 0 if it is absent.
fn figure(edge: &EdgeHandle, metric: &str, kind: &str, direction: &str) -> f64 {
    let name = format!("brasswinch_{metric}{{kind=\"{kind}\",direction=\"{direction}\"}} ");
    let text = edge.context().metrics_text();
    let value = text.lines().find_map(|line| line.strip_prefix(&name));
    value.map_or(0.0, |value| value.parse().unwrap())
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
