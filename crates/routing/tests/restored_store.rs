//! A store that was restored from a copy, as one box or two see it.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_routing::{
    Change, ChangeKey, FleetState, Revised, Revision, Scope, Snapshot, StoreEra, UpstreamState,
};
use brasswinch_types::{UpstreamId, Zone};
use common::{config, upstream};
use std::collections::BTreeMap;
use std::sync::Arc;

fn at(era: u16, counter: u64) -> Revision {
    Revision::new(StoreEra(era), counter)
}

fn entry(name: &str, state: UpstreamState, revision: Revision) -> Revised {
    let mut record = upstream(name, "west-a", 1_000);
    record.state = state;
    let change = Change::Upstream(record);
    Revised { revision, change }
}

fn removal(name: &str, revision: Revision) -> Revised {
    let change = Change::Gone(ChangeKey::Upstream(UpstreamId::new(name)));
    Revised { revision, change }
}

fn ready(name: &str, revision: Revision) -> Revised {
    entry(name, UpstreamState::Ready, revision)
}

fn draining(name: &str, revision: Revision) -> Revised {
    entry(name, UpstreamState::Draining, revision)
}

fn listing(at: Revision, entries: Vec<Revised>) -> Snapshot {
    let scope = Scope::Upstreams;
    Snapshot { scope, at, entries }
}

fn known(fleet: &FleetState) -> BTreeMap<String, UpstreamState> {
    let upstreams = fleet.upstreams();
    upstreams
        .map(|(record, _)| (record.id.to_string(), record.state))
        .collect()
}

/// Returns a box that knows three upstreams, the last two written after the copy at revision 10.
fn before_restore() -> FleetState {
    let mut fleet = FleetState::default();
    let first = vec![ready("a", at(0, 5)), ready("b", at(0, 6))];
    fleet.apply_snapshot(listing(at(0, 10), first), 1);
    let later = vec![draining("b", at(0, 40)), ready("c", at(0, 41))];
    fleet.apply_changes(Scope::Upstreams, later, 2);
    fleet
}

/// The copy: what was written up to revision 10.
fn copy() -> Snapshot {
    let entries = vec![ready("a", at(1, 5)), ready("b", at(1, 6))];
    listing(at(1, 10), entries)
}

#[test]
fn an_entry_of_a_new_era_is_older_than_one_of_the_era_before() {
    let mut fleet = before_restore();
    fleet.apply_snapshot(copy(), 3);
    let changes = vec![draining("a", at(1, 11)), ready("c", at(1, 12))];
    assert!(fleet.apply_changes(Scope::Upstreams, changes, 4));
    let draining = UpstreamState::Draining;
    let expected = [
        ("a", draining),
        ("b", draining),
        ("c", UpstreamState::Ready),
    ];
    let expected = expected.map(|(name, state)| (name.to_owned(), state));
    assert_eq!(known(&fleet), BTreeMap::from(expected));
}

#[test]
fn a_copy_brings_back_an_upstream_whose_entry_was_removed() {
    for restored in [ready("b", at(1, 6)), draining("b", at(1, 9))] {
        let mut fleet = before_restore();
        fleet.apply_changes(Scope::Upstreams, vec![removal("b", at(0, 50))], 3);
        let entries = vec![ready("a", at(1, 5)), restored];
        fleet.apply_snapshot(listing(at(1, 10), entries), 4);
        assert!(!known(&fleet).contains_key("b"));
    }
}

/// Guards against an upstream that is lost for good because its entry was missing for a moment.
#[test]
fn an_upstream_that_writes_again_after_a_restore_stays_away() {
    let mut fleet = before_restore();
    fleet.apply_changes(Scope::Upstreams, vec![removal("a", at(0, 50))], 3);
    fleet.apply_snapshot(copy(), 4);
    assert!(!known(&fleet).contains_key("a"));
    fleet.apply_changes(Scope::Upstreams, vec![ready("a", at(1, 11))], 5);
    assert!(known(&fleet).contains_key("a"));
}

/// Guards against an upstream that can't take its announcement back once the store was restored.
#[test]
fn an_upstream_that_stays_after_all_is_left_out() {
    let mut fleet = before_restore();
    fleet.apply_snapshot(copy(), 3);
    assert_eq!(known(&fleet)["b"], UpstreamState::Draining);
    fleet.apply_changes(Scope::Upstreams, vec![ready("b", at(1, 11))], 4);
    assert_eq!(known(&fleet)["b"], UpstreamState::Ready);
}

#[test]
fn answers_of_the_former_era_that_arrive_late_change_something() {
    let mut fleet = before_restore();
    fleet.apply_snapshot(copy(), 3);
    let before = known(&fleet);
    let late = vec![ready("b", at(0, 60)), removal("a", at(0, 61))];
    assert!(!fleet.apply_changes(Scope::Upstreams, late, 4));
    assert!(!fleet.apply_snapshot(listing(at(0, 62), Vec::new()), 5));
    assert_eq!(known(&fleet), before);
    assert_eq!(fleet.era(), StoreEra(1));
}

/// Guards against a box that hears of the store from others only, and stays in the former era.
#[test]
fn a_box_of_the_former_era_learns_nothing_from_one_of_the_new() {
    let (mut follower, mut listener) = (before_restore(), before_restore());
    follower.apply_snapshot(copy(), 3);
    let changes = vec![draining("a", at(1, 11))];
    follower.apply_changes(Scope::Upstreams, changes, 4);
    let scope = Scope::Upstreams;
    let missing = follower.missing(scope, listener.newest(scope), None);
    listener.catch_up(missing.unwrap(), 5).unwrap();
    assert_eq!(known(&listener), known(&follower));
    assert_eq!(listener.newest(scope), Some(at(1, 11)));
    let nothing = follower.missing(scope, listener.newest(scope), None);
    assert!(!listener.catch_up(nothing.unwrap(), 6).unwrap());
}

/// A second restore, before the first one's listing was applied everywhere.
#[test]
fn a_second_restore_is_taken_for_the_first() {
    let mut fleet = before_restore();
    fleet.apply_snapshot(listing(at(2, 8), vec![ready("a", at(2, 5))]), 3);
    assert!(!fleet.apply_snapshot(copy(), 4));
    assert_eq!(known(&fleet).keys().collect::<Vec<_>>(), ["a"]);
}

#[test]
fn a_copy_s_older_configuration_is_put_into_force() {
    let mut fleet = FleetState::default();
    let written = |version, revision| Revised {
        revision,
        change: Change::Config(Arc::new(config(version))),
    };
    let scope = Scope::Operator;
    let whole = |at, entries| Snapshot { scope, at, entries };
    fleet.apply_snapshot(whole(at(0, 30), vec![written(5, at(0, 30))]), 1);
    let evacuated = Revised {
        revision: at(1, 9),
        change: Change::Evacuated(Zone::new("west-a")),
    };
    let copy = vec![written(3, at(1, 8)), evacuated];
    fleet.apply_snapshot(whole(at(1, 10), copy), 2);
    assert_eq!(fleet.config().unwrap().version.0, 5);
    assert!(fleet.is_evacuated(&Zone::new("west-a")));
    fleet.apply_changes(scope, vec![written(6, at(1, 11))], 3);
    assert_eq!(fleet.config().unwrap().version.0, 6);
}
