//! A box used an upstream 3.2 s after it had left, though the box was told of everything
//! since, step by step.
//!
//! Upstreams went and came back while boxes were replaced. A new box was told all by another,
//! then listed the store itself. In between an upstream had come and left again, so the new
//! box never knew it. Asked by a box that did know it for what had changed since, the new box
//! told its changes and no word of that upstream: it took itself to know every change since
//! its first listing. The asker's revision went on, and the upstream stayed.
//! `BW220` of the asker, whose revision went past the leave's, and no BW225 for the upstream
//! settled it.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_routing::{FleetState, Scope};
use common::recorded_store::{RecordedStore, names};
use proptest::prelude::*;

/// Boxes that learn from the store and from each other.
const BOXES: usize = 3;

fn list(store: &RecordedStore, fleet: &mut FleetState) {
    fleet.apply_snapshot(store.listing(), 1);
}

fn watch(store: &RecordedStore, fleet: &mut FleetState) {
    let Some(after) = fleet.newest(Scope::Upstreams) else {
        return list(store, fleet);
    };
    fleet.apply_changes(Scope::Upstreams, store.later_than(after), 1);
}

fn ask(asker: &mut FleetState, asked: &FleetState) {
    let after = asker.newest(Scope::Upstreams);
    if let Some(news) = asked.missing(Scope::Upstreams, after, None) {
        asker.catch_up(news, 1).unwrap();
    }
}

#[test]
fn a_box_that_listed_over_what_it_knew_hides_no_upstream_that_left() {
    let mut store = RecordedStore::default();
    store.add(1, "old");
    let (mut first, mut second) = (FleetState::default(), FleetState::default());
    list(&store, &mut first);
    ask(&mut second, &first);
    store.add(1, "came-and-left");
    watch(&store, &mut first);
    store.remove(1, "came-and-left");
    list(&store, &mut second);
    store.add(1, "new");
    watch(&store, &mut second);
    ask(&mut first, &second);
    assert_eq!(first.newest(Scope::Upstreams), Some(store.at()));
    assert_eq!(names(&first), store.names(store.at()));
}

/// What a box did.
#[derive(Clone, Copy, Debug)]
enum Step {
    Add(u8),
    Remove(u8),
    Restart(usize),
    List(usize),
    Watch(usize),
    Ask(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..4_u8).prop_map(Step::Add),
        (0..4_u8).prop_map(Step::Remove),
        (0..BOXES).prop_map(Step::Restart),
        (0..BOXES).prop_map(Step::List),
        (0..BOXES).prop_map(Step::Watch),
        (0..BOXES, 0..BOXES).prop_map(|(asker, asked)| Step::Ask(asker, asked)),
        (0..BOXES, 0..BOXES).prop_map(|(asker, asked)| Step::Ask(asker, asked)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Whatever a box learned from whom: what it holds is what the store held at the
    /// revision that the box says it knows.
    #[test]
    fn what_a_box_knows_is_whole_up_to_its_revision(
        steps in proptest::collection::vec(step(), 1..60)
    ) {
        let mut store = RecordedStore::default();
        let mut boxes: Vec<FleetState> = (0..BOXES).map(|_| FleetState::default()).collect();
        for step in steps {
            match step {
                Step::Add(id) => store.add(1, &format!("t{id}")),
                Step::Remove(id) => store.remove(1, &format!("t{id}")),
                Step::Restart(number) => boxes[number] = FleetState::default(),
                Step::List(number) => list(&store, &mut boxes[number]),
                Step::Watch(number) => watch(&store, &mut boxes[number]),
                Step::Ask(asker, asked) if asker != asked => {
                    let mut fleet = std::mem::take(&mut boxes[asker]);
                    ask(&mut fleet, &boxes[asked]);
                    boxes[asker] = fleet;
                }
                Step::Ask(..) => {}
            }
            for fleet in &boxes {
                if let Some(newest) = fleet.newest(Scope::Upstreams) {
                    prop_assert_eq!(names(fleet), store.names(newest));
                }
            }
        }
    }
}
