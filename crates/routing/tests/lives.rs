//! An upstream that restarts under the same name: no state of its earlier incarnation applies.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_routing::{
    Change, ChangeKey, Choice, CompletionReport, FleetState, LoadReport, Placement,
    PlacementSettings, UpstreamOutcome, UpstreamRecord, UpstreamStart,
};
use brasswinch_types::BoxId;
use common::{config, placement_in, revised, service, settings_in, upstream, wanted};
use std::collections::BTreeSet;

fn record(started: u64) -> UpstreamRecord {
    let mut record = upstream("u-1", "west-a", 80);
    record.started = Some(UpstreamStart(started));
    record
}

struct Test {
    fleet: FleetState,
    placement: Placement,
}

impl Test {
    fn new(placement: Placement) -> Self {
        let fleet = FleetState::default();
        let mut test = Self { fleet, placement };
        test.write(1, record(1_000), 10);
        test
    }

    /// Applies the upstream's entry; returns whether the upstream restarted.
    fn write(&mut self, revision: u64, record: UpstreamRecord, now: u64) -> bool {
        let change = revised(revision, Change::Upstream(record));
        self.fleet.apply(change, now);
        let updated = self.placement.update(&self.fleet, &config(1), now);
        updated.restarted.len() == 1
    }

    fn choose(&mut self, now: u64) -> Option<Choice> {
        let (service, anywhere) = (service(), BTreeSet::new());
        let wanted = wanted(&service, b"7", &anywhere, &[]);
        self.placement.choose(&wanted, 0.5, now).ok()
    }
}

#[test]
fn the_state_of_the_earlier_incarnation_is_dropped() {
    let mut test = Test::new(placement_in("west"));
    let first = test.choose(20).unwrap();
    let report = LoadReport {
        running: 4,
        waiting: 30,
        slots: 4,
        duration_percent: None,
    };
    test.placement.reported(&first, report, 30);
    test.placement.ended(&first, UpstreamOutcome::Answered, 30);
    assert!(test.choose(31).is_none(), "it is full");
    assert!(test.write(2, record(5_000), 40));
    let second = test.choose(41).unwrap();
    let home = second.basis.home.as_ref().unwrap();
    assert_eq!((home.fullness, home.has_served), (0.0, false));
    // The end of a request of the earlier incarnation doesn't affect this one.
    test.placement.reported(&first, report, 42);
    test.placement
        .ended(&first, UpstreamOutcome::Unreachable, 42);
    let third = test.choose(43).unwrap();
    assert!(!third.basis.home.unwrap().has_served);
}

#[test]
fn an_entry_of_the_same_incarnation_keeps_the_state() {
    let mut test = Test::new(placement_in("west"));
    let choice = test.choose(20).unwrap();
    test.placement.ended(&choice, UpstreamOutcome::Answered, 30);
    assert!(!test.write(2, record(1_000), 40));
    let again = test.choose(41).unwrap();
    assert!(again.basis.home.unwrap().has_served);
}

#[test]
fn a_late_entry_of_the_earlier_incarnation_does_not_replace_the_later_one() {
    let mut test = Test::new(placement_in("west"));
    test.write(2, record(5_000), 40);
    let mut leaving = record(1_000);
    leaving.state = brasswinch_routing::UpstreamState::Draining;
    assert!(!test.write(3, leaving, 50));
    assert!(
        test.choose(51).is_some(),
        "the later incarnation accepts requests"
    );
    let gone = Change::Gone(ChangeKey::Upstream("u-1".into()));
    test.fleet.apply(revised(4, gone), 60);
    test.placement.update(&test.fleet, &config(1), 60);
    assert!(test.choose(61).is_none());
}

#[test]
fn completions_of_the_earlier_incarnation_do_not_count_for_the_later_one() {
    let me = BoxId::new("box-1");
    let mut placement = Placement::new(PlacementSettings {
        me: me.clone(),
        ..settings_in("west")
    });
    placement.set_coordinators(vec![me]);
    let mut test = Test::new(placement);
    let (service, anywhere) = (service(), BTreeSet::new());
    let wanted = wanted(&service, b"7", &anywhere, &[]);
    let (_, query) = test.placement.advice_query(&wanted, 1, 500, 20).unwrap();
    let advice = test.placement.advise(&query, 20).unwrap();
    test.write(2, record(5_000), 40);
    test.placement.record_completion(
        &CompletionReport {
            id: 1,
            service: service.clone(),
            object: query.object,
            upstream: Some(advice.upstream.clone()),
            started: advice.started,
            outcome: UpstreamOutcome::Answered,
            report: None,
        },
        50,
    );
    let (_, query) = test.placement.advice_query(&wanted, 2, 500, 60).unwrap();
    let later = test.placement.advise(&query, 60).unwrap();
    assert!(!later.has_served);
    // Advice about the earlier incarnation isn't followed.
    let chosen = test
        .placement
        .choose_advised(&wanted, Some(&advice), 0.5, 61);
    assert!(!chosen.unwrap().basis.home.unwrap().has_served);
}

/// Guards against losing the leaving signal of an upstream with its entry, which came back
/// unchanged.
#[test]
fn a_leaving_upstream_is_used_again_when_its_entry_comes_back() {
    let mut test = Test::new(placement_in("west"));
    let choice = test.choose(20).unwrap();
    assert!(test.placement.record_leaving(&choice));
    assert!(
        !test.placement.record_leaving(&choice),
        "it was known before"
    );
    assert!(test.choose(30).is_none());
    let gone = Change::Gone(ChangeKey::Upstream(choice.upstream.clone()));
    test.fleet.apply(revised(2, gone), 40);
    test.placement.update(&test.fleet, &config(1), 40);
    test.write(3, record(1_000), 50);
    assert!(test.choose(60).is_none());
    test.write(4, record(5_000), 70);
    assert!(
        test.choose(80).is_some(),
        "its next incarnation is not leaving"
    );
}

/// Guards against a signal that can't be parsed counting as new, and being logged, with each
/// answer.
#[test]
fn an_unreadable_signal_is_new_with_each_answer() {
    let mut test = Test::new(placement_in("west"));
    let first = test.choose(20).unwrap();
    assert!(test.placement.record_unreadable_signal(&first));
    assert!(!test.placement.record_unreadable_signal(&first));
    test.write(2, record(5_000), 40);
    let next = test.choose(50).unwrap();
    assert!(test.placement.record_unreadable_signal(&next));
}

/// Guards against a reported cold period, here a year, that isn't capped at that of the service.
#[test]
fn a_reported_cold_period_outlasts_that_of_the_service() {
    const YEAR_MS: u64 = 31_536_000_000;
    let mut test = Test::new(placement_in("west"));
    let incarnation = test.choose(20).unwrap().incarnation();
    assert!(test.placement.record_cold(&incarnation, YEAR_MS, 100));
    assert!(
        !test.placement.record_cold(&incarnation, YEAR_MS, 110),
        "it was known before"
    );
    assert!(test.placement.is_cold(&incarnation, 3_000));
    assert!(
        !test.placement.is_cold(&incarnation, 3_000 + 1_000),
        "the cold period and its margin are over"
    );
}

/// Guards against a reported cold period that overrides a later entry or applies to the next
/// incarnation.
#[test]
fn a_reported_cold_period_overrides_a_later_entry_or_incarnation() {
    let mut test = Test::new(placement_in("west"));
    let cold = test.choose(20).unwrap().incarnation();
    test.placement.record_cold(&cold, 3_000, 100);
    test.placement.update(&test.fleet, &config(1), 150);
    assert!(
        test.placement.is_cold(&cold, 200),
        "the entry is older than the signal"
    );
    let mut entry = record(1_000);
    entry.slots += 1;
    test.write(2, entry, 300);
    assert!(!test.placement.is_cold(&cold, 400));
    test.placement.record_cold(&cold, 3_000, 500);
    test.write(3, record(5_000), 600);
    assert!(!test.placement.is_cold(&record(5_000).incarnation(), 700));
}
