//! A box used an upstream 3.4 s after it had left, and went on doing so.
//!
//! A box that had just started asked the store and another box at once. The store's listing
//! came first, without the upstream; then the other box's older account, with it. The new
//! box had never heard that the upstream had left, and took it in. Two others asked the new
//! box and did the same. Of 74 boxes only those three named the upstream in their decisions
//! 2 s after it had left (BW510 `home`), and the first of them had started 0.2 s after.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_routing::{
    CatchUp, ChangeKey, Claim, FleetState, Revised, Revision, Scope, Snapshot,
};
use common::recorded_store::{RecordedStore, names};
use proptest::prelude::*;

/// Boxes that learn from the store and from each other.
const BOXES: usize = 3;

const SCOPE: Scope = Scope::Upstreams;

#[test]
fn an_older_account_that_comes_late_brings_nothing_back() {
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

/// An answer under way.
#[derive(Clone, Debug)]
enum Answer {
    Listing(Snapshot, u64),
    Changes(Vec<Revised>, Revision, u64),
    News(CatchUp),
    Known(Claim),
}

/// What happens.
#[derive(Clone, Copy, Debug)]
enum Step {
    Add(u8),
    Remove(u8),
    Restart(usize),
    List(usize),
    Watch(usize),
    Ask(usize, usize),
    Tell(usize, usize),
    /// One of the answers under way to a box arrives.
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
        (0..BOXES, 0..BOXES).prop_map(|(from, to)| Step::Tell(from, to)),
        arrive(),
        arrive(),
        arrive(),
    ]
}

/// Boxes, the store, and the answers under way to each box.
#[derive(Default)]
struct World {
    time: u64,
    store: RecordedStore,
    boxes: [FleetState; BOXES],
    under_way: [Vec<Answer>; BOXES],
}

impl World {
    fn take(&mut self, step: Step) {
        self.time += 1;
        match step {
            Step::Add(id) => self.store.add(self.time, &format!("t{id}")),
            Step::Remove(id) => self.store.remove(self.time, &format!("t{id}")),
            Step::Restart(number) => {
                self.boxes[number] = FleetState::default();
                self.under_way[number].clear();
            }
            Step::List(number) => {
                let answer = Answer::Listing(self.store.listing(), self.time);
                self.under_way[number].push(answer);
            }
            Step::Watch(number) => self.watch(number),
            Step::Ask(asker, asked) => {
                let after = self.boxes[asker].newest(SCOPE);
                let news = self.boxes[asked].missing(SCOPE, after, None);
                self.under_way[asker].extend(news.map(Answer::News));
            }
            Step::Tell(from, to) => {
                let claim = claim_of(&self.boxes[from]);
                self.under_way[to].extend(claim.map(Answer::Known));
            }
            Step::Arrive(to, which) => self.arrive(to, which),
        }
    }

    fn watch(&mut self, number: usize) {
        let Some(after) = self.boxes[number].asked_to(SCOPE) else {
            return;
        };
        let changes = self.store.later_than(after);
        let answer = Answer::Changes(changes, self.store.at(), self.time);
        self.under_way[number].push(answer);
    }

    fn arrive(&mut self, to: usize, which: prop::sample::Index) {
        if self.under_way[to].is_empty() {
            return;
        }
        let place = which.index(self.under_way[to].len());
        let answer = self.under_way[to].remove(place);
        let fleet = &mut self.boxes[to];
        let now = self.time;
        match answer {
            Answer::Listing(snapshot, as_of) => {
                let at = snapshot.at;
                fleet.apply_snapshot(snapshot, now);
                claim(fleet, at, as_of);
            }
            Answer::Changes(changes, at, as_of) => {
                fleet.apply_changes(SCOPE, changes, now);
                claim(fleet, at, as_of);
            }
            Answer::News(news) => {
                fleet.catch_up(news, now).unwrap();
            }
            Answer::Known(claim) => fleet.claim(SCOPE, claim),
        }
    }
}

/// What a box claims after an answer of the store.
fn claim(fleet: &mut FleetState, at: Revision, as_of: u64) {
    if let Some(revision) = fleet.newest(SCOPE) {
        let claim = Claim {
            revision,
            at,
            as_of,
        };
        fleet.claim(SCOPE, claim);
    }
}

/// What a box tells others.
fn claim_of(fleet: &FleetState) -> Option<Claim> {
    Some(Claim {
        revision: fleet.newest(SCOPE)?,
        at: fleet.asked_to(SCOPE)?,
        as_of: fleet.whole_as_of(SCOPE)?,
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    /// Whatever came from whom, in whatever order: a box holds what the store held at the
    /// revision that the box says it knows, and no view is older than its box believes.
    #[test]
    fn late_answers_leave_a_box_with_what_the_store_held_as_of_when_it_says(
        steps in proptest::collection::vec(step(), 1..80)
    ) {
        let mut world = World::default();
        for step in steps {
            world.take(step);
            for fleet in &world.boxes {
                let Some(newest) = fleet.newest(SCOPE) else {
                    continue;
                };
                prop_assert_eq!(names(fleet), world.store.names(newest));
                if let Some(as_of) = fleet.whole_as_of(SCOPE) {
                    prop_assert!(newest >= world.store.at_time(as_of));
                }
            }
        }
    }
}
