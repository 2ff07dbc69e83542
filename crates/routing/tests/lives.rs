//! An upstream that starts again under its name: nothing of its earlier life holds.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_routing::{
    Change, ChangeKey, Choice, Ending, FleetState, LoadReport, Placement, PlacementSettings,
    UpstreamOutcome, UpstreamRecord, UpstreamStart,
};
use brasswinch_types::BoxId;
use common::{config, placement_in, revised, service, settings_in, upstream, wanted};
use std::collections::BTreeSet;

fn life(started: u64) -> UpstreamRecord {
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
        test.write(1, life(1_000), 10);
        test
    }

    /// The upstream's entry reaches the box; says whether it started again.
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
fn what_was_known_of_the_earlier_life_is_forgotten() {
    let mut test = Test::new(placement_in("west"));
    let first = test.choose(20).unwrap();
    let report = LoadReport {
        running: 4,
        waiting: 30,
        slots: 4,
    };
    test.placement.reported(&first, report, 30);
    test.placement.ended(&first, UpstreamOutcome::Answered, 30);
    assert!(test.choose(31).is_none(), "it is full");
    assert!(test.write(2, life(5_000), 40));
    let second = test.choose(41).unwrap();
    let home = second.basis.home.as_ref().unwrap();
    assert_eq!((home.fullness, home.has_served), (0.0, false));
    // The end of the earlier life's requests says nothing of this one.
    test.placement.reported(&first, report, 42);
    test.placement
        .ended(&first, UpstreamOutcome::Unreachable, 42);
    let third = test.choose(43).unwrap();
    assert!(!third.basis.home.unwrap().has_served);
}

#[test]
fn an_entry_of_the_same_life_changes_nothing_known() {
    let mut test = Test::new(placement_in("west"));
    let choice = test.choose(20).unwrap();
    test.placement.ended(&choice, UpstreamOutcome::Answered, 30);
    assert!(!test.write(2, life(1_000), 40));
    let again = test.choose(41).unwrap();
    assert!(again.basis.home.unwrap().has_served);
}

#[test]
fn a_late_word_of_the_earlier_life_does_not_undo_the_later_one() {
    let mut test = Test::new(placement_in("west"));
    test.write(2, life(5_000), 40);
    let mut leaving = life(1_000);
    leaving.state = brasswinch_routing::UpstreamState::Draining;
    assert!(!test.write(3, leaving, 50));
    assert!(test.choose(51).is_some(), "the later life takes requests");
    let gone = Change::Gone(ChangeKey::Upstream("u-1".into()));
    test.fleet.apply(revised(4, gone), 60);
    test.placement.update(&test.fleet, &config(1), 60);
    assert!(test.choose(61).is_none());
}

#[test]
fn a_keeper_takes_nothing_for_the_later_life_that_others_tell_of_the_earlier_one() {
    let me = BoxId::new("box-1");
    let mut placement = Placement::new(PlacementSettings {
        me: me.clone(),
        ..settings_in("west")
    });
    placement.set_keepers(vec![me]);
    let mut test = Test::new(placement);
    let (service, anywhere) = (service(), BTreeSet::new());
    let wanted = wanted(&service, b"7", &anywhere, &[]);
    let (_, question) = test.placement.question(&wanted, 1, 500, 20).unwrap();
    let advice = test.placement.advise(&question, 20).unwrap();
    test.write(2, life(5_000), 40);
    test.placement.ended_elsewhere(
        &Ending {
            id: 1,
            service: service.clone(),
            object: question.object,
            upstream: Some(advice.upstream.clone()),
            started: advice.started,
            outcome: UpstreamOutcome::Answered,
            report: None,
        },
        50,
    );
    let (_, question) = test.placement.question(&wanted, 2, 500, 60).unwrap();
    let later = test.placement.advise(&question, 60).unwrap();
    assert!(!later.has_served);
    // Advice about the earlier life isn't followed.
    let chosen = test
        .placement
        .choose_advised(&wanted, Some(&advice), 0.5, 61);
    assert!(!chosen.unwrap().basis.home.unwrap().has_served);
}

/// The word of an upstream that leaves went with its entry, which came back as it was before.
#[test]
fn an_upstream_that_said_it_leaves_is_used_again_when_its_entry_comes_back() {
    let mut test = Test::new(placement_in("west"));
    let choice = test.choose(20).unwrap();
    assert!(test.placement.leaves(&choice));
    assert!(!test.placement.leaves(&choice), "that is no news");
    assert!(test.choose(30).is_none());
    let gone = Change::Gone(ChangeKey::Upstream(choice.upstream.clone()));
    test.fleet.apply(revised(2, gone), 40);
    test.placement.update(&test.fleet, &config(1), 40);
    test.write(3, life(1_000), 50);
    assert!(test.choose(60).is_none());
    test.write(4, life(5_000), 70);
    assert!(test.choose(80).is_some(), "its next life did not say so");
}

/// Each answer with something that can't be read was a log line of its own.
#[test]
fn what_can_t_be_read_of_an_upstream_is_news_with_each_answer() {
    let mut test = Test::new(placement_in("west"));
    let first = test.choose(20).unwrap();
    assert!(test.placement.says_unreadable(&first));
    assert!(!test.placement.says_unreadable(&first));
    test.write(2, life(5_000), 40);
    let next = test.choose(50).unwrap();
    assert!(test.placement.says_unreadable(&next));
}

/// An upstream that said for a year that it is cold was taken for cold for a year.
#[test]
fn an_upstream_is_taken_for_cold_for_longer_than_its_service_s_are() {
    const YEAR_MS: u64 = 31_536_000_000;
    let mut test = Test::new(placement_in("west"));
    let life = test.choose(20).unwrap().life();
    assert!(test.placement.turned_cold(&life, YEAR_MS, 100));
    assert!(
        !test.placement.turned_cold(&life, YEAR_MS, 110),
        "that is no news"
    );
    assert!(test.placement.is_cold(&life, 3_000));
    assert!(
        !test.placement.is_cold(&life, 3_000 + 1_000),
        "a cold period and the way of the news"
    );
}

/// What an upstream had said of being cold held against its later entry, and for its next life.
#[test]
fn an_upstream_s_word_that_it_is_cold_outlives_what_its_entry_tells() {
    let mut test = Test::new(placement_in("west"));
    let cold = test.choose(20).unwrap().life();
    test.placement.turned_cold(&cold, 3_000, 100);
    test.placement.update(&test.fleet, &config(1), 150);
    assert!(
        test.placement.is_cold(&cold, 200),
        "its entry is older than its word"
    );
    let mut entry = life(1_000);
    entry.slots += 1;
    test.write(2, entry, 300);
    assert!(!test.placement.is_cold(&cold, 400));
    test.placement.turned_cold(&cold, 3_000, 500);
    test.write(3, life(5_000), 600);
    assert!(!test.placement.is_cold(&life(5_000).life(), 700));
}
