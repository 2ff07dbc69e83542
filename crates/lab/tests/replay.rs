//! Loads at their worst, replayed on the decisions of whole fleets.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_lab::replay::{Knowledge, LoadPattern, Outcome, SpeedChanges, patterns, play};

const SEED: u64 = 3;

/// Boxes of the fleets whose placement is looked at.
const BOXES: usize = 45;

fn pattern(name: &str, boxes: usize) -> LoadPattern {
    let mut all = patterns(boxes).into_iter();
    all.find(|pattern| pattern.name == name).unwrap()
}

/// The same load with boxes that go by what they see themselves, and with those that ask
/// the box that counts.
fn both(name: &str) -> (Outcome, Outcome) {
    let pattern = pattern(name, BOXES);
    let own = play(&pattern, Knowledge::Own, SEED);
    let keeper = play(&pattern, Knowledge::Keeper, SEED);
    println!("{name} own    {own}\n{name} keeper {keeper}");
    (own, keeper)
}

#[test]
fn the_same_seed_gives_the_same_replay() {
    let pattern = pattern("burst", 9);
    let one = play(&pattern, Knowledge::Keeper, SEED).to_string();
    let other = play(&pattern, Knowledge::Keeper, SEED).to_string();
    assert_eq!(one, other);
}

/// The load that it answers: a box of 300 meets an upstream about once a minute, so what it
/// knows by itself of the upstream's load is nothing.
#[test]
fn how_well_a_load_is_known_does_not_depend_on_how_many_boxes_ask() {
    let error = |boxes, knowledge| {
        let pattern = LoadPattern {
            length_s: 3.0,
            ..pattern("full", boxes)
        };
        play(&pattern, knowledge, SEED).mean_load_error()
    };
    let (few, many) = (error(30, Knowledge::Keeper), error(300, Knowledge::Keeper));
    assert!(many <= few * 1.1, "{few} with 30 boxes, {many} with 300");
    let alone = error(300, Knowledge::Own);
    assert!(
        alone > many * 1.5,
        "{alone} by themselves, {many} by asking"
    );
}

#[test]
fn when_all_slots_are_wanted_less_is_late_at_upstreams_that_know_the_object() {
    let (own, keeper) = both("full");
    assert!(keeper.total().worth() > own.total().worth() + 0.005);
    assert!(keeper.worst() > own.worst() + 0.01);
    assert!(f64::from(keeper.late_at_known) < 0.5 * f64::from(own.late_at_known));
    assert!(keeper.busiest_to_mean() < own.busiest_to_mean());
}

/// Callers everywhere ask 1.7 times as often for 3 s.
#[test]
fn a_burst_waits_less() {
    let (own, keeper) = both("burst");
    assert!(keeper.total().worth() > own.total().worth());
    assert!(f64::from(keeper.late_at_known) < 0.5 * f64::from(own.late_at_known));
    assert!(keeper.refused <= own.refused + own.total().requests / 500);
}

/// Four fifths of one region's callers turn to the boxes of a region with a tenth of the
/// upstreams.
#[test]
fn callers_that_move_next_to_few_upstreams_are_served_as_well() {
    let (own, keeper) = both("callers-move");
    assert!(keeper.total().worth() > own.total().worth());
    assert!(keeper.worst() > own.worst());
}

/// A third of the upstreams of a region with half of them start again.
#[test]
fn a_zone_that_starts_again_costs_less() {
    let (own, keeper) = both("cold-zone");
    assert!(keeper.total().worth() > own.total().worth());
    assert!(keeper.copies <= own.copies);
}

#[test]
fn lost_answers_make_nothing_worse_than_not_asking() {
    let pattern = pattern("full", BOXES);
    let own = play(&pattern, Knowledge::Own, SEED);
    for lost in [10, 50, 100] {
        let lossy = play(&pattern, Knowledge::LossyKeeper(lost), SEED);
        println!("{lost} of 100 lost: {lossy}");
        assert!(
            lossy.total().worth() >= own.total().worth() - 0.01,
            "{lost} of 100 lost: {lossy}, by themselves {own}"
        );
    }
}

/// Each box starts again once, within 8 s, and with it goes what it kept of objects that
/// were sent elsewhere than home.
#[test]
fn boxes_that_start_again_lose_no_more_than_the_asking_gains() {
    let (own, keeper) = both("restarts");
    assert!(keeper.total().worth() > own.total().worth() - 0.005);
    assert!(keeper.worst() >= own.worst());
}

/// Guards against decisions that depend on the reported duration of work, which showed no gain
/// (docs/design/steering.md), and against a replay in which slow machines have no effect.
#[test]
fn slow_machines_cost_worth_and_reported_durations_change_no_decision() {
    let reported = LoadPattern {
        length_s: 5.0,
        ..pattern("speed-changes", 12)
    };
    let unreported = LoadPattern {
        speeds: reported.speeds.map(|speeds| SpeedChanges {
            are_reported: false,
            ..speeds
        }),
        ..reported.clone()
    };
    let steady = LoadPattern {
        speeds: None,
        ..reported.clone()
    };
    for knowledge in [Knowledge::Own, Knowledge::Keeper] {
        let with_reports = play(&reported, knowledge, SEED);
        let without = play(&unreported, knowledge, SEED);
        assert_eq!(with_reports.to_string(), without.to_string());
        let steady = play(&steady, knowledge, SEED);
        assert!(with_reports.total().worth() < steady.total().worth());
    }
}
