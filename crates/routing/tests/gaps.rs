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

use brasswinch_routing::{Change, ChangeKey, FleetState, Revised, Revision, Scope, Snapshot};
use brasswinch_types::UpstreamId;
use common::{revised, upstream};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Boxes that learn from the store and from each other.
const BOXES: usize = 3;

/// The store: all changes of upstreams, the first of revision 1.
#[derive(Default)]
struct Store {
    history: Vec<Revised>,
}

impl Store {
    fn at(&self) -> Revision {
        Revision(self.history.len() as u64)
    }

    fn write(&mut self, change: Change) {
        let revision = self.at().0 + 1;
        self.history.push(revised(revision, change));
    }

    fn add(&mut self, id: &str) {
        self.write(Change::Upstream(upstream(id, "west-a", 1_000)));
    }

    fn remove(&mut self, id: &str) {
        let id = UpstreamId::new(id);
        self.write(Change::Gone(ChangeKey::Upstream(id)));
    }

    /// The entries as they stood at a revision.
    fn entries(&self, at: Revision) -> BTreeMap<ChangeKey, Revised> {
        let mut entries = BTreeMap::new();
        for revised in self.history.iter().filter(|revised| revised.revision <= at) {
            let key = revised.change.key();
            if matches!(revised.change, Change::Gone(_)) {
                entries.remove(&key);
            } else {
                entries.insert(key, revised.clone());
            }
        }
        entries
    }

    fn names(&self, at: Revision) -> Vec<ChangeKey> {
        self.entries(at).into_keys().collect()
    }

    fn list(&self, fleet: &mut FleetState) {
        let at = self.at();
        let entries = self.entries(at).into_values().collect();
        let scope = Scope::Upstreams;
        fleet.apply_snapshot(Snapshot { scope, at, entries }, 1);
    }

    fn watch(&self, fleet: &mut FleetState) {
        let Some(after) = fleet.newest(Scope::Upstreams) else {
            return self.list(fleet);
        };
        let later = self.history.iter();
        let later = later.filter(|revised| revised.revision > after);
        fleet.apply_changes(Scope::Upstreams, later.cloned().collect(), 1);
    }
}

fn ask(asker: &mut FleetState, asked: &FleetState) {
    let after = asker.newest(Scope::Upstreams);
    if let Some(news) = asked.missing(Scope::Upstreams, after, None) {
        asker.catch_up(news, 1).unwrap();
    }
}

fn names(fleet: &FleetState) -> Vec<ChangeKey> {
    let ids = fleet.upstreams().map(|(record, _)| record.id.clone());
    ids.map(ChangeKey::Upstream).collect()
}

#[test]
fn a_box_that_listed_over_what_it_knew_hides_no_upstream_that_left() {
    let mut store = Store::default();
    store.add("old");
    let (mut first, mut second) = (FleetState::default(), FleetState::default());
    store.list(&mut first);
    ask(&mut second, &first);
    store.add("came-and-left");
    store.watch(&mut first);
    store.remove("came-and-left");
    store.list(&mut second);
    store.add("new");
    store.watch(&mut second);
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
        let mut store = Store::default();
        let mut boxes: Vec<FleetState> = (0..BOXES).map(|_| FleetState::default()).collect();
        for step in steps {
            match step {
                Step::Add(id) => store.add(&format!("t{id}")),
                Step::Remove(id) => store.remove(&format!("t{id}")),
                Step::Restart(number) => boxes[number] = FleetState::default(),
                Step::List(number) => store.list(&mut boxes[number]),
                Step::Watch(number) => store.watch(&mut boxes[number]),
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
