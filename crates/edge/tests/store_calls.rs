//! The rate of store calls of a fleet, with real boxes in one process.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_edge::{Dialect, EdgeHandle, start};
use brasswinch_lab::memory_store::{MemoryStore, StoreFault};
use brasswinch_routing::{Change, ChangeKey, RouteKind};
use brasswinch_types::{Region, UpstreamId, Zone};
use common::{call, config, eventually, request, route, settings};
use std::sync::Arc;
use std::time::Duration;

/// Number of boxes.
const BOXES: usize = 16;

/// How long calls are counted.
const COUNT_TIME: Duration = Duration::from_secs(4);

struct Fleet {
    store: MemoryStore,
    boxes: Vec<(EdgeHandle, MemoryStore)>,
}

/// Starts boxes at the same moment, with the first one as their seed.
async fn fleet() -> Fleet {
    let store = MemoryStore::default();
    store.write(Change::Config(Arc::new(config(1))));
    let mut boxes: Vec<(EdgeHandle, MemoryStore)> = Vec::new();
    for number in 0..BOXES {
        let seeds = boxes.first().map(|(first, _)| first.addresses().peers);
        let access = store.handle();
        let settings = settings(&format!("box-{number}"), seeds.into_iter().collect());
        let edge = start(settings, Dialect::default(), access.clone());
        boxes.push((edge.await.unwrap(), access));
    }
    let fleet = Fleet { store, boxes };
    for (edge, _) in &fleet.boxes {
        let context = Arc::clone(edge.context());
        eventually("the box is ready", || context.is_ready()).await;
        let knows_all = || {
            let answer = context.directory_answer(&Zone::new("west-a"), &Region::new("west"));
            answer.addresses.len() == BOXES
        };
        eventually("the box knows all boxes", knows_all).await;
    }
    fleet
}

impl Fleet {
    fn set_fault(&self, fault: StoreFault) {
        for (_, access) in &self.boxes {
            access.set_fault(fault);
        }
    }

    /// Returns the number of store calls while clients keep sending requests to every box.
    async fn calls_under_load(&self) -> u64 {
        const EVERY: Duration = Duration::from_millis(250);
        let before = self.store.calls();
        let began = tokio::time::Instant::now();
        while began.elapsed() < COUNT_TIME {
            for (edge, _) in &self.boxes {
                call(edge.addresses().clients, request("GET", "/none/1", ""))
                    .await
                    .unwrap();
            }
            tokio::time::sleep(EVERY).await;
        }
        self.store.calls() - before
    }
}

#[tokio::test]
async fn boxes_that_start_at_once_learn_from_the_first_what_the_store_holds() {
    let fleet = fleet().await;
    // Each box by itself would make two listings, two watches and a registration.
    let calls = fleet.store.calls();
    assert!(calls <= 2 * BOXES as u64, "{calls} calls of {BOXES} boxes");
}

#[tokio::test]
async fn a_fleet_that_starts_again_asks_as_little() {
    let fleet = fleet().await;
    let before = fleet.store.calls();
    let seeds = vec![fleet.boxes[0].0.addresses().peers];
    for number in 0..8 {
        let settings = settings(&format!("late-{number}"), seeds.clone());
        let edge = start(settings, Dialect::default(), fleet.store.handle());
        let edge = edge.await.unwrap();
        let context = Arc::clone(edge.context());
        eventually("the box is ready", || context.is_ready()).await;
    }
    let calls = fleet.store.calls() - before;
    assert!(calls <= 24, "{calls} calls for 8 more boxes");
}

#[tokio::test]
async fn changes_are_fetched_by_two_boxes_whatever_the_fleet() {
    let fleet = fleet().await;
    tokio::time::sleep(COUNT_TIME).await;
    let before = fleet.store.calls();
    for number in 0..10 {
        let gone = ChangeKey::Upstream(UpstreamId::new(format!("gone-{number}")));
        fleet.store.write(Change::Gone(gone));
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let calls = fleet.store.calls() - before;
    // Two per change, and the calls that confirm that nothing was missed.
    assert!(calls <= 36, "{calls} calls for 10 changes");
}

/// While the store keeps no history, its followers list again and again, and report to the
/// others that their views are complete.
#[tokio::test]
async fn while_the_store_forgets_its_history_the_others_leave_it_to_those_that_follow() {
    const EVERY: Duration = Duration::from_millis(50);
    let fleet = fleet().await;
    tokio::time::sleep(COUNT_TIME).await;
    let waits = |number: &usize| fleet.boxes[*number].1.waits().len();
    let before: Vec<usize> = (0..BOXES).map(|number| waits(&number)).collect();
    let (store, load) = (fleet.store.clone(), fleet.calls_under_load());
    let forget = async {
        loop {
            store.forget_unseen_changes();
            tokio::time::sleep(EVERY).await;
        }
    };
    tokio::select! {
        _ = load => {}
        never = forget => never,
    }
    let callers = (0..BOXES).filter(|number| waits(number) > before[*number]);
    let callers: Vec<usize> = callers.collect();
    assert_eq!(callers.len(), 2, "boxes that called the store: {callers:?}");
}

#[tokio::test]
async fn in_an_outage_few_boxes_try_and_all_learn_that_it_is_over() {
    let fleet = fleet().await;
    tokio::time::sleep(COUNT_TIME).await;
    fleet.set_fault(StoreFault::TurnedAway);
    let calls = fleet.calls_under_load().await;
    // Two boxes with two scopes, about three attempts per second each, and the boxes that step
    // in for them.
    assert!(calls <= 110, "{calls} calls in the outage");
    let mut newer = config(2);
    newer
        .routes
        .push(route("/new/", RouteKind::Repeatable, "desk"));
    fleet.store.write(Change::Config(Arc::new(newer)));
    fleet.set_fault(StoreFault::None);
    for (edge, _) in &fleet.boxes {
        let clients = edge.addresses().clients;
        let mut attempts = 0;
        // There are no upstreams, so the route answers 503.
        while call(clients, request("GET", "/new/1", ""))
            .await
            .unwrap()
            .status
            != 503
        {
            attempts += 1;
            assert!(
                attempts < 1_000,
                "the box never learned that the outage ended"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}
