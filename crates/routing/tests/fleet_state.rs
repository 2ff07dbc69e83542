//! Tests that changes can be merged in any order and from any source.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_routing::{
    CatchUp, Change, ChangeKey, FleetState, Revised, Revision, Scope, Snapshot, UpstreamState,
};
use brasswinch_types::{UpstreamId, Zone};
use common::{config, revised, upstream};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A model of the store, to compare the boxes with.
#[derive(Default)]
struct Store {
    revision: u64,
    upstreams: BTreeMap<String, (u64, UpstreamState)>,
    history: Vec<Revised>,
}

impl Store {
    fn step(&mut self, id: u8, action: u8) {
        self.revision += 1;
        let name = format!("t{id}");
        let change = match action {
            0 => {
                self.upstreams.remove(&name);
                Change::Gone(ChangeKey::Upstream(UpstreamId::new(&name)))
            }
            action => {
                let mut record = upstream(&name, "west-a", 1_000 + u16::from(id));
                if action == 1 {
                    record.state = UpstreamState::Draining;
                }
                let entry = (self.revision, record.state);
                self.upstreams.insert(name, entry);
                Change::Upstream(record)
            }
        };
        self.history.push(revised(self.revision, change));
    }

    fn listing(&self) -> Snapshot {
        let entries = self.upstreams.iter().map(|(name, (revision, state))| {
            let mut record = upstream(name, "west-a", 1_000);
            record.state = *state;
            revised(*revision, Change::Upstream(record))
        });
        Snapshot {
            scope: Scope::Upstreams,
            at: Revision(self.revision),
            entries: entries.collect(),
        }
    }
}

fn known(fleet: &FleetState) -> BTreeMap<String, UpstreamState> {
    fleet
        .upstreams()
        .map(|(record, _)| (record.id.to_string(), record.state))
        .collect()
}

proptest! {
    /// One box lists and watches the store, another catches up with it now and then. Both end
    /// up with the store's entries, even if changes arrive late or more than once.
    #[test]
    fn a_watcher_and_one_that_hears_from_it_agree_with_the_store(
        steps in proptest::collection::vec((0_u8..6, 0_u8..4, 0_u8..8), 1..120),
    ) {
        let mut store = Store::default();
        let mut watcher = FleetState::default();
        let mut listener = FleetState::default();
        watcher.apply_snapshot(store.listing(), 1);
        for (now, (id, action, sync)) in steps.into_iter().enumerate() {
            let now = now as u64 + 1;
            store.step(id, action);
            let last = store.history.last().cloned().unwrap();
            match sync {
                0 => { watcher.apply_snapshot(store.listing(), now); }
                1 => {
                    // A watch that delivers old changes again.
                    let again = store.history.iter().rev().take(5).rev().cloned().collect();
                    watcher.apply_changes(Scope::Upstreams, again, now);
                }
                _ => { watcher.apply_changes(Scope::Upstreams, vec![last], now); }
            }
            if sync >= 6 {
                let after = listener.newest(Scope::Upstreams);
                let received = watcher.missing(Scope::Upstreams, after, None).unwrap();
                listener.catch_up(received, now).unwrap();
            }
        }
        let after = listener.newest(Scope::Upstreams);
        let received = watcher.missing(Scope::Upstreams, after, None).unwrap();
        listener.catch_up(received, 1_000).unwrap();
        let in_store: BTreeMap<String, UpstreamState> =
            store.upstreams.iter().map(|(name, (_, state))| (name.clone(), *state)).collect();
        prop_assert_eq!(known(&watcher), in_store.clone());
        prop_assert_eq!(known(&listener), in_store);
    }
}

#[test]
fn a_configuration_never_goes_back() {
    let mut fleet = FleetState::default();
    let put = |revision, version| revised(revision, Change::Config(Arc::new(config(version))));
    assert!(fleet.apply(put(5, 12), 1));
    assert!(
        !fleet.apply(put(9, 7), 2),
        "an older version, written later"
    );
    assert_eq!(fleet.config().unwrap().version.0, 12);
    let gone = revised(10, Change::Gone(ChangeKey::Config));
    assert!(!fleet.apply(gone, 3), "removed");
    assert_eq!(fleet.config().unwrap().version.0, 12);
    assert!(fleet.apply(put(11, 100), 4));
    assert_eq!(
        fleet.config().unwrap().version.0,
        100,
        "compared as numbers"
    );
}

#[test]
fn a_late_entry_of_a_removed_upstream_is_ignored() {
    let mut fleet = FleetState::default();
    let entry = |revision| revised(revision, Change::Upstream(upstream("t", "west-a", 1)));
    fleet.apply(entry(1), 1);
    fleet.apply(
        revised(3, Change::Gone(ChangeKey::Upstream(UpstreamId::new("t")))),
        2,
    );
    assert!(!fleet.apply(entry(2), 3));
    assert_eq!(fleet.upstreams().count(), 0);
    assert!(fleet.apply(entry(4), 4), "written again");
}

#[test]
fn an_evacuation_ends_with_its_entry_and_its_end_reaches_a_peer() {
    let zone = Zone::new("west-a");
    let mut fleet = FleetState::default();
    let listing = |at, entries| Snapshot {
        scope: Scope::Operator,
        at: Revision(at),
        entries,
    };
    let open = revised(4, Change::Evacuated(zone.clone()));
    fleet.apply_snapshot(listing(4, vec![open]), 1);
    assert!(fleet.is_evacuated(&zone));
    let mut peer = FleetState::default();
    peer.catch_up(fleet.missing(Scope::Operator, None, None).unwrap(), 1)
        .unwrap();
    assert!(peer.is_evacuated(&zone));
    fleet.apply_snapshot(listing(9, Vec::new()), 50);
    assert!(!fleet.is_evacuated(&zone));
    assert_eq!(fleet.evacuation_ended_at(&zone), Some(50));
    let received = fleet.missing(Scope::Operator, peer.newest(Scope::Operator), None);
    peer.catch_up(received.unwrap(), 60).unwrap();
    assert!(!peer.is_evacuated(&zone));
    assert_eq!(peer.evacuation_ended_at(&zone), Some(60));
}

#[test]
fn a_peer_that_asks_for_more_than_is_kept_gets_everything() {
    let mut fleet = FleetState::default();
    let at = Revision(100);
    let scope = Scope::Upstreams;
    let entries = Vec::new();
    fleet.apply_snapshot(Snapshot { scope, at, entries }, 1);
    let older = fleet.missing(scope, Some(Revision(99)), None).unwrap();
    assert!(matches!(older, CatchUp::Snapshot(_)), "{older:?}");
    let same = fleet.missing(scope, Some(at), None).unwrap();
    assert!(matches!(same, CatchUp::Changes { .. }), "{same:?}");
    // The tombstone of "a" has expired; a peer that lacks it gets all entries.
    let gone = |revision, id| {
        let key = ChangeKey::Upstream(UpstreamId::new(id));
        vec![revised(revision, Change::Gone(key))]
    };
    fleet.apply_changes(scope, gone(110, "a"), 10);
    fleet.apply_changes(scope, gone(120, "b"), 1_000_000);
    let older = fleet.missing(scope, Some(Revision(105)), None).unwrap();
    assert!(matches!(older, CatchUp::Snapshot(_)), "{older:?}");
    let newer = fleet.missing(scope, Some(Revision(110)), None).unwrap();
    assert!(matches!(newer, CatchUp::Changes { .. }), "{newer:?}");
}
