//! Starts of whole fleets, replayed on the membership protocol.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_lab::fleet_start::{StartOutcome, StartPattern, Traffic, play};
use brasswinch_types::Millis;

const SEED: u64 = 3;

/// Boxes of the fleets whose starts are compared: a small one, and the largest that takes seconds.
const SMALL: usize = 30;
const LARGE: usize = 300;

/// Time within which all boxes have to know each other: docs/design/membership.md.
const MEMBERSHIP_MS: Millis = 3_000;

/// Bytes that a box may send a second once the fleet has started: docs/CAPACITY.md.
const CONTROL_BYTES_PER_S: u64 = 13_000;

/// Length of the time after the start, in seconds.
const STEADY_S: u64 = 5;

fn start_of(boxes: usize) -> StartOutcome {
    let outcome = play(&StartPattern::all_at_once(boxes), SEED);
    println!("boxes={boxes}\n{outcome}");
    outcome
}

fn middle_messages(traffic: &[Traffic]) -> u64 {
    let mut messages: Vec<u64> = traffic.iter().map(|sent| sent.messages).collect();
    messages.sort_unstable();
    messages[messages.len() / 2]
}

#[test]
fn boxes_of_a_fleet_that_starts_at_once_do_not_know_each_other_in_time() {
    let known_ms = start_of(LARGE).all_known_ms();
    assert!(
        known_ms.is_some_and(|known_ms| known_ms <= MEMBERSHIP_MS),
        "{known_ms:?}"
    );
}

#[test]
fn what_a_box_sends_after_a_start_grows_with_the_fleet() {
    let (small, large) = (start_of(SMALL), start_of(LARGE));
    let (few, many) = (
        middle_messages(&small.steady),
        middle_messages(&large.steady),
    );
    assert!(
        many <= few * 5 / 4,
        "{many} messages, {few} in a small fleet"
    );
    let most_bytes = large.steady.iter().map(|sent| sent.bytes).max().unwrap();
    assert!(most_bytes <= CONTROL_BYTES_PER_S * STEADY_S, "{most_bytes}");
}

#[test]
fn one_box_sends_most_of_what_a_starting_fleet_needs() {
    let large = start_of(LARGE);
    let total: u64 = large.start.iter().map(|sent| sent.bytes).sum();
    let most = large.start.iter().map(|sent| sent.bytes).max().unwrap();
    // All boxes ask the seeds first, which then pass on to others.
    let share = 1.0 / 20.0;
    assert!((most as f64) < total as f64 * share, "{most} of {total}");
}
