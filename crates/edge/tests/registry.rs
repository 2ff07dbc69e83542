//! The store's list of boxes, with real boxes in one process.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_edge::{BoxRegistry, Context, Dialect, EdgeHandle, start};
use brasswinch_lab::memory_store::MemoryStore;
use brasswinch_routing::Change;
use brasswinch_types::{Region, Zone};
use common::{config, eventually, settings};
use std::net::SocketAddr;
use std::sync::Arc;

async fn start_serving(id: &str, seeds: Vec<SocketAddr>, store: &MemoryStore) -> EdgeHandle {
    let edge = start(settings(id, seeds), Dialect::default(), store.handle())
        .await
        .unwrap();
    let context = Arc::clone(edge.context());
    eventually("the box is ready", || context.is_ready()).await;
    edge
}

fn known_boxes(context: &Context) -> usize {
    let answer = context.directory_answer(&Zone::new("west-a"), &Region::new("west"));
    answer.addresses.len()
}

async fn listed_boxes(store: &MemoryStore) -> usize {
    store.registered().await.unwrap().len()
}

async fn wait_until_listed(store: &MemoryStore, count: usize) {
    let mut attempts = 0;
    while listed_boxes(store).await != count {
        attempts += 1;
        assert!(
            attempts < 1_000,
            "{} boxes are listed",
            listed_boxes(store).await
        );
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
}

fn store() -> MemoryStore {
    let store = MemoryStore::default();
    store.write(Change::Config(Arc::new(config(1))));
    store
}

#[tokio::test]
async fn boxes_whose_seeds_are_dead_meet_by_the_store_s_list() {
    let store = store();
    let dead: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let first = start_serving("box-1", vec![dead], &store).await;
    wait_until_listed(&store, 1).await;
    let second = start_serving("box-2", vec![dead], &store).await;
    let (one, two) = (Arc::clone(first.context()), Arc::clone(second.context()));
    let know_each_other = || known_boxes(&one) == 2 && known_boxes(&two) == 2;
    eventually("the boxes know each other", know_each_other).await;
}

#[tokio::test]
async fn a_box_that_leaves_is_no_longer_listed() {
    let store = store();
    let edge = start_serving("box-1", Vec::new(), &store).await;
    wait_until_listed(&store, 1).await;
    let stopping = tokio::spawn(edge.stop());
    wait_until_listed(&store, 0).await;
    stopping.abort();
}
