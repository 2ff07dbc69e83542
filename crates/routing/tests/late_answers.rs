//! Guards against late replies that bring back upstreams that have left.
//!
//! A box that had just started queried the store and another box at once. The store's listing
//! arrived first, without the upstream; the other box's older reply, which still listed it, came
//! second. The new box had never learned of the removal and added the upstream. Two other boxes
//! copied it from the new box. The upstream was used 3.4 s after it had left, and later too: 2 s
//! after it left, three of 74 boxes still named it in their decisions (BW510 `home`), and the
//! first of them had started 0.2 s after it left.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_routing::{
    CatchUp, ChangeKey, FleetState, Revised, Revision, Scope, Snapshot, Watermark,
};
use common::recorded_store::{RecordedStore, names};
use proptest::prelude::*;

/// Boxes that receive updates from the store and from each other.
const BOXES: usize = 3;

const SCOPE: Scope = Scope::Upstreams;

#[test]
fn a_late_reply_with_an_older_view_restores_no_removed_upstream() {
    let mut store = RecordedStore::default();
    let (mut old, mut new) = (FleetState::default(), FleetState::default());
    store.add(1, "left");
    old.apply_snapshot(store.listing(), 1);
    let asked = old.missing(SCOPE, None, None).unwrap();
    store.remove(2, "left");
    store.add(3, "stays");
    new.apply_snapshot(store.listing(), 3);
    new.catch_up(asked, 3).unwrap();
    assert_eq!(names(&new), vec![ChangeKey::Upstream("stays".into())]);
}

/// A reply in flight.
#[derive(Clone, Debug)]
enum Reply {
    Listing(Snapshot, u64),
    Changes(Vec<Revised>, Revision, u64),
    Updates(CatchUp),
    Known(Watermark),
}

/// One event of the model.
#[derive(Clone, Copy, Debug)]
enum Step {
    Add(u8),
    Remove(u8),
    Restart(usize),
    List(usize),
    Watch(usize),
    Ask(usize, usize),
    Announce(usize, usize),
    /// One of the replies in flight to a box arrives.
    Arrive(usize, prop::sample::Index),
}

fn step() -> impl Strategy<Value = Step> {
    let arrive =
        || (0..BOXES, any::<prop::sample::Index>()).prop_map(|(to, which)| Step::Arrive(to, which));
    prop_oneof![
        (0..4_u8).prop_map(Step::Add),
        (0..4_u8).prop_map(Step::Remove),
        (0..BOXES).prop_map(Step::Restart),
        (0..BOXES).prop_map(Step::List),
        (0..BOXES).prop_map(Step::Watch),
        (0..BOXES, 0..BOXES).prop_map(|(asker, asked)| Step::Ask(asker, asked)),
        (0..BOXES, 0..BOXES).prop_map(|(from, to)| Step::Announce(from, to)),
        arrive(),
        arrive(),
        arrive(),
    ]
}

/// The boxes, the store, and the replies in flight to each box.
#[derive(Default)]
struct World {
    time: u64,
    store: RecordedStore,
    boxes: [FleetState; BOXES],
    in_flight: [Vec<Reply>; BOXES],
}

impl World {
    fn apply(&mut self, step: Step) {
        self.time += 1;
        match step {
            Step::Add(id) => self.store.add(self.time, &format!("t{id}")),
            Step::Remove(id) => self.store.remove(self.time, &format!("t{id}")),
            Step::Restart(number) => {
                self.boxes[number] = FleetState::default();
                self.in_flight[number].clear();
            }
            Step::List(number) => {
                let reply = Reply::Listing(self.store.listing(), self.time);
                self.in_flight[number].push(reply);
            }
            Step::Watch(number) => self.watch(number),
            Step::Ask(asker, asked) => {
                let after = self.boxes[asker].newest(SCOPE);
                let updates = self.boxes[asked].missing(SCOPE, after, None);
                self.in_flight[asker].extend(updates.map(Reply::Updates));
            }
            Step::Announce(from, to) => {
                let claim = claim_of(&self.boxes[from]);
                self.in_flight[to].extend(claim.map(Reply::Known));
            }
            Step::Arrive(to, which) => self.arrive(to, which),
        }
    }

    fn watch(&mut self, number: usize) {
        let Some(after) = self.boxes[number].resume_after(SCOPE) else {
            return;
        };
        let changes = self.store.later_than(after);
        let reply = Reply::Changes(changes, self.store.at(), self.time);
        self.in_flight[number].push(reply);
    }

    fn arrive(&mut self, to: usize, which: prop::sample::Index) {
        if self.in_flight[to].is_empty() {
            return;
        }
        let index = which.index(self.in_flight[to].len());
        let reply = self.in_flight[to].remove(index);
        let fleet = &mut self.boxes[to];
        let now = self.time;
        match reply {
            Reply::Listing(snapshot, as_of) => {
                let at = snapshot.at;
                fleet.apply_snapshot(snapshot, now);
                claim(fleet, at, as_of);
            }
            Reply::Changes(changes, at, as_of) => {
                fleet.apply_changes(SCOPE, changes, now);
                claim(fleet, at, as_of);
            }
            Reply::Updates(updates) => {
                fleet.catch_up(updates, now).unwrap();
            }
            Reply::Known(claim) => fleet.record_watermark(SCOPE, claim),
        }
    }
}

/// Records a box's claim after a reply of the store.
fn claim(fleet: &mut FleetState, at: Revision, as_of: u64) {
    if let Some(revision) = fleet.newest(SCOPE) {
        let claim = Watermark {
            revision,
            at,
            as_of,
        };
        fleet.record_watermark(SCOPE, claim);
    }
}

/// Returns the claim that a box sends to others.
fn claim_of(fleet: &FleetState) -> Option<Watermark> {
    Some(Watermark {
        revision: fleet.newest(SCOPE)?,
        at: fleet.resume_after(SCOPE)?,
        as_of: fleet.complete_as_of(SCOPE)?,
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    /// For any messages in any order, a box holds exactly what the store held at the revision that
    /// the box claims, and no view is older than its box believes.
    #[test]
    fn late_replies_leave_a_box_with_the_store_state_at_its_claimed_revision(
        steps in proptest::collection::vec(step(), 1..80)
    ) {
        let mut world = World::default();
        for step in steps {
            world.apply(step);
            for fleet in &world.boxes {
                let Some(newest) = fleet.newest(SCOPE) else {
                    continue;
                };
                prop_assert_eq!(names(fleet), world.store.names(newest));
                if let Some(as_of) = fleet.complete_as_of(SCOPE) {
                    prop_assert!(newest >= world.store.at_time(as_of));
                }
            }
        }
    }
}
