//! Boxes learn of changes while the store refuses a part of the fleet, its followers first.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_edge::{Dialect, EdgeHandle, start};
use brasswinch_lab::memory_store::{MemoryStore, StoreFault};
use brasswinch_routing::{Change, object_hash, weighted_score};
use brasswinch_types::Zone;
use common::versions::{has_route, with_route};
use common::{config, eventually, settings};
use std::sync::Arc;
use std::time::{Duration, Instant};

const BOXES: usize = 12;

const ZONES: [&str; 2] = ["west-a", "north-a"];

/// Boxes that the store refuses: 0.35, 0.7 and 0.9 of the fleet, rounded up.
const REFUSED: [usize; 3] = [5, 9, 11];

/// Twice the bound on a change, so that a busy machine gives the same verdict.
const MAX_STALENESS: Duration = Duration::from_secs(4);

/// Longer than a change of duty takes.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Boxes in the order in which they are selected as followers of the store.
struct RankedFleet {
    store: MemoryStore,
    boxes: Vec<(EdgeHandle, MemoryStore)>,
    version: u64,
}

impl RankedFleet {
    async fn start() -> Self {
        let store = MemoryStore::default();
        store.write(Change::Config(Arc::new(config(1))));
        let mut boxes: Vec<(EdgeHandle, MemoryStore)> = Vec::new();
        let mut ids: Vec<String> = (0..BOXES).map(|number| format!("box-{number}")).collect();
        ids.sort_by(|a, b| rank(b).total_cmp(&rank(a)));
        for (place, id) in ids.iter().enumerate() {
            let seeds = boxes.first().map(|(first, _)| first.addresses().peers);
            let mut settings = settings(id, seeds.into_iter().collect());
            settings.zone = Zone::new(ZONES[place % ZONES.len()]);
            let access = store.handle();
            let edge = start(settings, Dialect::default(), access.clone()).await;
            boxes.push((edge.unwrap(), access));
        }
        for (edge, _) in &boxes {
            let context = Arc::clone(edge.context());
            eventually("the box is ready and knows all boxes", || {
                context.is_ready() && context.status().boxes_alive == BOXES - 1
            })
            .await;
        }
        tokio::time::sleep(SETTLE_TIME).await;
        Self {
            store,
            boxes,
            version: 1,
        }
    }

    /// Makes the store refuse the boxes in these places, and no others.
    fn refuse(&self, places: std::ops::Range<usize>, fault: StoreFault) {
        for (place, (_, access)) in self.boxes.iter().enumerate() {
            let is_refused = places.contains(&place);
            access.set_fault(if is_refused { fault } else { StoreFault::None });
        }
    }

    /// Writes a version and waits until it is in force at all boxes.
    async fn change(&mut self, what: &str) {
        self.version += 1;
        self.store.write(with_route(self.version));
        let written_at = Instant::now();
        for (edge, _) in &self.boxes {
            has_route(edge, self.version).await;
        }
        let staleness = written_at.elapsed();
        assert!(staleness <= MAX_STALENESS, "{what}: {staleness:?}");
    }
}

/// The rank of a box as a follower of the store, where all links are equally fast.
fn rank(id: &str) -> f64 {
    let follower = object_hash("watch", b"store");
    weighted_score(follower, object_hash("box", id.as_bytes()), 1.0)
}

/// The store refuses the boxes that rank first, and then those that rank last.
async fn changes_arrive_while_the_store_refuses(count: usize, fault: StoreFault) {
    let mut fleet = RankedFleet::start().await;
    fleet.refuse(0..count, fault);
    for _ in 0..3 {
        fleet.change(&format!("{count} refused, {fault:?}")).await;
    }
    fleet.refuse(BOXES - count..BOXES, fault);
    for _ in 0..3 {
        fleet
            .change(&format!("{count} others refused, {fault:?}"))
            .await;
    }
}

/// Guards against boxes that leave the store to followers that it refuses.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_refuses_its_followers_and_their_substitutes_is_asked_by_nobody_else() {
    for count in REFUSED {
        changes_arrive_while_the_store_refuses(count, StoreFault::TurnedAway).await;
    }
}

/// The same where a refused call gets no answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_is_silent_to_its_followers_and_their_substitutes_is_asked_by_nobody_else() {
    for count in REFUSED {
        changes_arrive_while_the_store_refuses(count, StoreFault::Silent).await;
    }
}
