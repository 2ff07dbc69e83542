//! A workspace that is over its quota with three kinds of requests, at 12, 75 and 300 boxes, while
//! nothing fails and while its coordinator does.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod quota_model;

use quota_model::{
    APPROVALS, CALM_END_MS, DOWNLOADS, END_MS, Fault, KINDS, LIMIT, LOOK_UPS, Model,
};

/// First time at which the bucket is empty, in milliseconds.
const EMPTY_FROM_MS: u64 = 3_500;

/// Time from which the quota is used again after a fault, in milliseconds.
const RECOVERED_AT_MS: u64 = 9_000;

/// Returns how many events of each kind happened per second of a span, in milliseconds.
fn per_s(events: &[(u64, usize)], from: u64, until: u64) -> [f64; 3] {
    let seconds = (until - from) as f64 / 1_000.0;
    let within = events.iter().filter(|(at, _)| (from..until).contains(at));
    let mut counts = [0.0; 3];
    within.for_each(|(_, kind)| counts[*kind] += 1.0 / seconds);
    counts
}

fn assert_shares(boxes: usize) {
    let model = Model::run(boxes, Fault::None, 1);
    model.assert_within_bound();
    let runs = per_s(&model.runs, EMPTY_FROM_MS, CALM_END_MS);
    let requests = per_s(&model.requests, EMPTY_FROM_MS, CALM_END_MS);
    let used = runs.iter().sum::<f64>() / LIMIT.rate_per_s;
    println!("{boxes} boxes: runs {runs:.0?} of {requests:.0?} per s, {used:.3} of the quota");
    assert!(used >= 0.95, "{used} of the quota used");
    let downloads = runs[DOWNLOADS] / requests[DOWNLOADS];
    assert!(downloads >= 0.95, "{downloads} of the downloads");
    // What downloads leave is shared 2 to 1.
    let rest = LIMIT.rate_per_s - requests[DOWNLOADS];
    for (kind, fair) in [(LOOK_UPS, rest * 2.0 / 3.0), (APPROVALS, rest / 3.0)] {
        let route = KINDS[kind].route;
        assert!(
            runs[kind] >= fair / 2.0,
            "{route}: {runs:?}, {fair} is fair"
        );
    }
    assert!(model.waited > 0);
}

/// Guards against a quota that isn't used, a class that is starved, and downloads that are refused
/// for other classes.
#[test]
fn a_class_is_starved_at_12_boxes() {
    assert_shares(12);
}

#[test]
fn a_class_is_starved_at_75_boxes() {
    assert_shares(75);
}

#[test]
fn a_class_is_starved_at_300_boxes() {
    assert_shares(300);
}

/// Guards against requests that wait for a failed coordinator for too long (asserted for each),
/// run twice, or exceed the bound; and against a quota that isn't used afterwards.
fn assert_tolerates(fault: Fault, boxes: &[usize]) {
    for boxes in boxes {
        let model = Model::run(*boxes, fault, 2);
        model.assert_within_bound();
        let runs = per_s(&model.runs, RECOVERED_AT_MS, END_MS);
        let used = runs.iter().sum::<f64>() / LIMIT.rate_per_s;
        println!("{fault:?}, {boxes} boxes: {used:.3} of the quota, {runs:.0?}");
        assert!(
            used >= 0.9,
            "{fault:?}, {boxes} boxes: {used} of the quota used"
        );
    }
}

#[test]
fn requests_wait_for_a_dead_coordinator() {
    assert_tolerates(Fault::Dies, &[12, 75]);
}

#[test]
fn requests_wait_for_a_coordinator_that_is_cut_off() {
    assert_tolerates(Fault::CutOff, &[12, 75]);
}

#[test]
fn requests_wait_for_a_suspended_coordinator() {
    assert_tolerates(Fault::Suspended, &[12, 75]);
}

#[test]
fn requests_wait_for_a_coordinator_of_an_older_build() {
    assert_tolerates(Fault::OlderBuild, &[12, 75]);
}
