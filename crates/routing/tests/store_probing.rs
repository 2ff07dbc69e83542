//! The bounds on news while the store refuses some boxes, added up from the constants.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_routing::{StoreProbing, ViewLimits};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Longest duration of a store call without faults.
const CALL_MS: u64 = 150;

/// Longest time from the choice of an upstream until the request reaches it.
const DELIVERY_MS: u64 = 390;

/// Two reports and a request to another box.
const SPREAD_MS: u64 = 190;

/// Interval at which a box checks whether its next call is due.
const POLL_MS: u64 = 100;

/// Shortest time after which the platform counts a box as undisturbed.
const CONTACT_MS: u64 = 3_000;

/// Smallest and largest draw of a random number.
const DRAWS: [f64; 2] = [0.0, 1.0];

fn limits(bound_ms: u64) -> ViewLimits {
    ViewLimits::new(bound_ms as f64 / 1_000.0)
}

#[test]
fn a_box_that_the_store_serves_asks_it_in_time_whatever_its_followers_report() {
    /// Largest fleet whose boxes need no other box, and its bound.
    const FLEETS: [(usize, u64); 4] = [(12, 2_000), (48, 2_000), (75, 3_000), (96, 4_000)];
    for (boxes, bound_ms) in FLEETS {
        for random in DRAWS {
            let asks_at = limits(bound_ms).substitute_limit_ms(boxes, random);
            // The second scope waits for the response to the first.
            let knows_both_at = asks_at + CALL_MS + POLL_MS + CALL_MS;
            let reaches_upstream = knows_both_at + DELIVERY_MS;
            assert!(reaches_upstream <= bound_ms, "{boxes}: {reaches_upstream}");
        }
    }
}

#[test]
fn one_of_the_boxes_that_the_store_serves_asks_in_time_for_a_large_fleet() {
    const TRIALS: usize = 10_000;
    /// Trials in which the first of them may ask later.
    const MAX_LATE: usize = TRIALS / 1_000;
    const SERVED_SHARE: f64 = 0.1;
    const FLEETS: [(usize, u64); 3] = [(295, 3_000), (985, 4_000), (3_900, 4_000)];
    let mut rng = StdRng::seed_from_u64(1);
    for (boxes, bound_ms) in FLEETS {
        let limits = limits(bound_ms);
        let served = (boxes as f64 * SERVED_SHARE) as usize;
        let mut first_calls: Vec<u64> = (0..TRIALS)
            .map(|_| {
                let random = (0..served).map(|_| rng.random()).fold(1.0, f64::min);
                limits.substitute_limit_ms(boxes, random)
            })
            .collect();
        first_calls.sort_unstable();
        let asks_at = first_calls[TRIALS - 1 - MAX_LATE];
        let reaches_upstream = asks_at + CALL_MS + SPREAD_MS + DELIVERY_MS;
        assert!(reaches_upstream <= bound_ms, "{boxes}: {reaches_upstream}");
    }
}

#[test]
fn a_box_that_the_store_serves_again_asks_before_it_counts_as_undisturbed() {
    for boxes in [1, 12, 75, 295] {
        for random in DRAWS {
            let mut probing = StoreProbing::default();
            probing.record_call(boxes, random, 0);
            let due_at = (0..).find(|now| probing.is_due(*now)).unwrap();
            let knows_at = due_at + POLL_MS + CALL_MS;
            assert!(knows_at <= CONTACT_MS, "{boxes}: {knows_at}");
        }
    }
}

#[test]
fn a_response_lets_a_box_ask_again_at_once() {
    let mut probing = StoreProbing::default();
    assert!(probing.is_due(0));
    probing.record_call(12, 0.5, 1_000);
    assert!(!probing.is_due(1_001));
    probing.record_response();
    assert!(probing.is_due(1_002));
}

/// Counts the calls of boxes that don't follow a store that serves nobody.
#[test]
fn an_outage_costs_a_bounded_number_of_calls() {
    const OUTAGE_MS: u64 = 60_000;
    /// One call of each box in 2.2 s, and no more than 200 a second of all boxes.
    const MAX_CALLS_PER_S: [(usize, f64); 4] = [(12, 5.5), (75, 34.1), (295, 134.1), (985, 200.0)];
    /// Random intervals of many boxes average out; the first call of each comes before them.
    const MARGIN: f64 = 1.1;
    let mut rng = StdRng::seed_from_u64(1);
    for (boxes, max_per_s) in MAX_CALLS_PER_S {
        let mut calls = 0;
        for _ in 0..boxes {
            let mut probing = StoreProbing::default();
            let first = limits(3_000).substitute_limit_ms(boxes, rng.random());
            for now in (first..OUTAGE_MS).step_by(POLL_MS as usize) {
                if probing.is_due(now) {
                    probing.record_call(boxes, rng.random(), now);
                    calls += 1;
                }
            }
        }
        let per_s = f64::from(calls) * 1_000.0 / OUTAGE_MS as f64;
        assert!(per_s <= max_per_s * MARGIN, "{boxes} boxes: {per_s}");
    }
}
