//! The stages of a planned stop fit into the time that the platform leaves.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_routing::{ExpectedTime, StopSchedule};
use std::time::Duration;

/// Fraction of the grace before which no request may be cut.
const UNCUT_GRACE_FRACTION: f64 = 5.0 / 6.0;

/// What a process needs at its end: a poll of its stage, the last lines of its log, and its exit on
/// a busy machine.
const END_MARGIN: Duration = Duration::from_millis(400);

/// The graces of the known deployments.
const GRACES_S: [u64; 2] = [6, 10];

fn schedules() -> impl Iterator<Item = (Duration, StopSchedule)> {
    GRACES_S.into_iter().map(|seconds| {
        let grace = Duration::from_secs(seconds);
        (grace, StopSchedule::new(grace))
    })
}

#[test]
fn the_stages_of_a_stop_outlast_the_grace() {
    for (grace, schedule) in schedules() {
        let (closes, ends) = (schedule.closes_after(), schedule.ends_after());
        assert!(closes < ends, "{grace:?}: {ends:?}");
        assert!(ends >= grace.mul_f64(UNCUT_GRACE_FRACTION), "{ends:?}");
        assert!(ends + END_MARGIN <= grace, "{grace:?}: {ends:?}");
    }
}

/// Returns what is known about a request that has no limit and finds an idle slot.
fn expected(longest_work: Option<Duration>) -> ExpectedTime {
    ExpectedTime {
        limit: Duration::MAX,
        longest_work,
        may_wait: false,
    }
}

#[test]
fn a_request_is_admitted_that_outlasts_the_process() {
    for (grace, schedule) in schedules() {
        for arrival_ms in 0..grace.as_millis() as u64 {
            let arrival = Duration::from_millis(arrival_ms);
            let left = schedule.ends_after().saturating_sub(arrival);
            for limit in [left, Duration::MAX] {
                for longest_work in [None, Some(left)] {
                    let at_idle_slot = ExpectedTime {
                        limit,
                        ..expected(longest_work)
                    };
                    let admits = schedule.admits(arrival, &at_idle_slot);
                    assert!(!admits, "{arrival:?}");
                }
            }
        }
    }
}

/// Requests of the first seconds were sent to full upstreams, where they waited for longer than the
/// process had left.
#[test]
fn an_early_request_waits_until_the_process_ends() {
    for (grace, schedule) in schedules() {
        for arrival_ms in 0..grace.as_millis() as u64 {
            let arrival = Duration::from_millis(arrival_ms);
            let left = schedule.ends_after().saturating_sub(arrival);
            for limit in [left, Duration::MAX] {
                for longest_work in [None, Some(left.mul_f64(0.5))] {
                    let waiting = ExpectedTime {
                        limit,
                        longest_work,
                        may_wait: true,
                    };
                    assert!(!schedule.admits(arrival, &waiting), "{arrival:?}");
                }
            }
        }
    }
}

#[test]
fn a_short_request_is_refused_though_it_fits() {
    for (_, schedule) in schedules() {
        let limit = Duration::from_millis(500);
        for may_wait in [false, true] {
            let short = ExpectedTime {
                limit,
                longest_work: None,
                may_wait,
            };
            assert!(schedule.admits(Duration::ZERO, &short));
            assert!(schedule.admits(schedule.closes_after(), &short));
            assert!(!schedule.admits(schedule.ends_after() - limit, &short));
        }
    }
}

#[test]
fn a_late_request_is_refused_though_its_kind_is_quick() {
    for (_, schedule) in schedules() {
        let work = Duration::from_millis(500);
        let quick = expected(Some(work));
        assert!(schedule.admits(schedule.ends_after() - work * 2, &quick));
        // Some take longer than any before.
        assert!(!schedule.admits(schedule.ends_after() - work, &quick));
    }
}
