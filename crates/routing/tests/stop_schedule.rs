//! The stages of a planned stop fit into the time that the platform leaves.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_routing::StopSchedule;
use std::time::Duration;

/// Fraction of the grace before which no request may be cut.
const UNCUT_GRACE_FRACTION: f64 = 5.0 / 6.0;

/// What a process needs at its end: a poll of its stage, the last lines of its log, and its exit on
/// a busy machine.
const END_MARGIN: Duration = Duration::from_millis(400);

/// The time in which every request is admitted on the known platform.
const ADMIT_ALL: Duration = Duration::from_secs(3);

/// The graces of the known deployments.
const GRACES_S: [u64; 2] = [6, 10];

fn schedules() -> impl Iterator<Item = (Duration, StopSchedule)> {
    GRACES_S.into_iter().map(|seconds| {
        let grace = Duration::from_secs(seconds);
        (grace, StopSchedule::new(grace, ADMIT_ALL))
    })
}

#[test]
fn the_stages_of_a_stop_outlast_the_grace() {
    for (grace, schedule) in schedules() {
        let (closes, ends) = (schedule.closes_after(), schedule.ends_after());
        assert!(ADMIT_ALL <= closes, "{grace:?}: {closes:?}");
        assert!(closes < ends, "{grace:?}: {ends:?}");
        assert!(ends >= grace.mul_f64(UNCUT_GRACE_FRACTION), "{ends:?}");
        assert!(ends + END_MARGIN <= grace, "{grace:?}: {ends:?}");
    }
}

#[test]
fn a_request_is_admitted_that_outlasts_the_process() {
    for (grace, schedule) in schedules() {
        for arrival_ms in 0..grace.as_millis() as u64 {
            let arrival = Duration::from_millis(arrival_ms);
            let left = schedule.ends_after().saturating_sub(arrival);
            let is_early = arrival < ADMIT_ALL;
            assert_eq!(schedule.fits(arrival, left), is_early, "{arrival:?}");
            assert_eq!(schedule.fits(arrival, Duration::MAX), is_early);
        }
    }
}

#[test]
fn a_short_request_is_refused_though_it_fits() {
    for (_, schedule) in schedules() {
        let limit = Duration::from_millis(500);
        assert!(schedule.fits(schedule.closes_after(), limit));
        let late = schedule.ends_after() - limit;
        assert!(!schedule.fits(late, limit));
    }
}

#[test]
fn a_late_request_is_refused_though_its_kind_is_quick() {
    for (_, schedule) in schedules() {
        let work = Duration::from_millis(500);
        let late = schedule.ends_after() - work * 2;
        assert!(schedule.is_expected_to_fit(late, work));
        // Some take longer than any before.
        let too_late = schedule.ends_after() - work;
        assert!(!schedule.is_expected_to_fit(too_late, work));
    }
}
