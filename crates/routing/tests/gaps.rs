//! Tests that a box's view has no gaps up to the revision that it reports.
//!
//! A box once used an upstream 3.2 s after it had left. A new box had received all entries from
//! a peer and then listed the store. An upstream that was added and removed in between was in
//! neither, but the new box claimed to know every change since its first listing. A box that
//! did know the upstream caught up with the new box: its revision moved past the removal, but
//! the removal wasn't among the changes, so it kept the upstream.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_routing::{FleetState, Scope};
use common::recorded_store::{RecordedStore, names};
use proptest::prelude::*;

/// Boxes that get data from the store and from each other.
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

fn catch_up_with(receiver: &mut FleetState, sender: &FleetState) {
    let after = receiver.newest(Scope::Upstreams);
    if let Some(received) = sender.missing(Scope::Upstreams, after, None) {
        receiver.catch_up(received, 1).unwrap();
    }
}

#[test]
fn a_box_that_lists_over_older_entries_hides_no_removal() {
    let mut store = RecordedStore::default();
    store.add(1, "old");
    let (mut first, mut second) = (FleetState::default(), FleetState::default());
    list(&store, &mut first);
    catch_up_with(&mut second, &first);
    store.add(1, "came-and-left");
    watch(&store, &mut first);
    store.remove(1, "came-and-left");
    list(&store, &mut second);
    store.add(1, "new");
    watch(&store, &mut second);
    catch_up_with(&mut first, &second);
    assert_eq!(first.newest(Scope::Upstreams), Some(store.at()));
    assert_eq!(names(&first), store.names(store.at()));
}

/// A step of the simulation.
#[derive(Clone, Copy, Debug)]
enum Step {
    Add(u8),
    Remove(u8),
    Restart(usize),
    List(usize),
    Watch(usize),
    CatchUp(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..4_u8).prop_map(Step::Add),
        (0..4_u8).prop_map(Step::Remove),
        (0..BOXES).prop_map(Step::Restart),
        (0..BOXES).prop_map(Step::List),
        (0..BOXES).prop_map(Step::Watch),
        (0..BOXES, 0..BOXES).prop_map(|(receiver, sender)| Step::CatchUp(receiver, sender)),
        (0..BOXES, 0..BOXES).prop_map(|(receiver, sender)| Step::CatchUp(receiver, sender)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Regardless of its sources, a box holds exactly the entries that the store had at the
    /// revision that the box reports.
    #[test]
    fn the_entries_of_a_box_are_complete_up_to_its_revision(
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
                Step::CatchUp(receiver, sender) if receiver != sender => {
                    let mut fleet = std::mem::take(&mut boxes[receiver]);
                    catch_up_with(&mut fleet, &boxes[sender]);
                    boxes[receiver] = fleet;
                }
                Step::CatchUp(..) => {}
            }
            for fleet in &boxes {
                if let Some(newest) = fleet.newest(Scope::Upstreams) {
                    prop_assert_eq!(names(fleet), store.names(newest));
                }
            }
        }
    }
}
