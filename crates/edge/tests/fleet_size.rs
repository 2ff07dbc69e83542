//! The fleet size that real boxes in one process assume.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_edge::{Dialect, EdgeHandle, EdgeSettings, start};
use brasswinch_lab::memory_store::{MemoryStore, StoreFault};
use brasswinch_routing::Change;
use common::{call, config, eventually, request, settings};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const BOXES: usize = 3;

fn store() -> MemoryStore {
    let store = MemoryStore::default();
    store.write(Change::Config(Arc::new(config(1))));
    store
}

async fn start_serving(id: &str, seeds: Vec<SocketAddr>, access: MemoryStore) -> EdgeHandle {
    start_with(settings(id, seeds), access).await
}

async fn start_with(settings: EdgeSettings, access: MemoryStore) -> EdgeHandle {
    let edge = start(settings, Dialect::default(), access);
    let edge = edge.await.unwrap();
    let context = Arc::clone(edge.context());
    eventually("the box is ready", || context.is_ready()).await;
    edge
}

fn assumed_fleet_size(edge: &EdgeHandle) -> usize {
    edge.context().status().fleet_size
}

/// Starts boxes that know each other, and waits until the store holds their number.
async fn start_recorded_fleet(store: &MemoryStore) -> Vec<EdgeHandle> {
    let mut boxes: Vec<EdgeHandle> = Vec::new();
    for number in 0..BOXES {
        let seeds = boxes.first().map(|first| first.addresses().peers);
        let id = format!("box-{number}");
        boxes.push(start_serving(&id, seeds.into_iter().collect(), store.handle()).await);
    }
    let is_stored = || store.kept_fleet_size() == Some(BOXES as u32);
    eventually("the store holds the size", is_stored).await;
    boxes
}

/// Guards against a box that starts during a network partition and assumes that it is the whole
/// fleet, as no other box reaches it.
#[tokio::test]
async fn a_box_that_starts_in_a_cut_takes_itself_for_the_whole_fleet() {
    let store = store();
    drop(start_recorded_fleet(&store).await);
    let cut_off = start_serving("box-0", Vec::new(), store.handle()).await;
    assert_eq!(assumed_fleet_size(&cut_off), BOXES);
}

/// Guards against a box that starts during a network partition and spends the whole fleet's
/// retry budget, as no other box reaches it.
#[tokio::test]
async fn a_box_that_starts_in_a_cut_spends_the_repeats_of_all() {
    const FLEET: u32 = 100;
    let store = store();
    store.keep_fleet_size(FLEET);
    let settings = settings("box-0", Vec::new());
    let clock = settings.clock.clone();
    let cut_off = start_with(settings.clone(), store.handle()).await;
    // The service has no upstream, but the request still counts.
    let address = cut_off.addresses().clients;
    call(address, request("GET", "/safe/1", "")).await.unwrap();
    // Afterwards the box has saved as much as it may.
    clock.skip(Duration::from_secs_f64(settings.bounds.retry_window_s));
    let own_share = settings.bounds.retry_extra / f64::from(FLEET) + settings.bounds.retry_ratio;
    let status = cut_off.context().status();
    let left: f64 = status.retries_left.iter().map(|budget| budget.left).sum();
    assert_eq!(status.retries_left.len(), 1);
    assert!(left <= own_share, "{left} of {own_share}");
}

/// Guards against a box that can't read the fleet size from the store, ignores the size that
/// its peers report and counts only the boxes it has discovered: here 2 instead of 30.
#[tokio::test]
async fn a_box_that_can_t_ask_the_store_isn_t_told_by_others() {
    let store = store();
    let stored = u32::try_from(BOXES * 10).unwrap();
    store.keep_fleet_size(stored);
    let first = start_serving("box-0", Vec::new(), store.handle()).await;
    let rejecting_store = store.handle();
    rejecting_store.set_fault(StoreFault::TurnedAway);
    let second = start_serving("box-1", vec![first.addresses().peers], rejecting_store).await;
    assert_eq!(assumed_fleet_size(&second), BOXES * 10);
}
