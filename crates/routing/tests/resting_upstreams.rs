//! Upstreams that refuse a request and ask the box to back off.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_routing::{Choice, FleetState, HomeState, Placement, Refusal, UpstreamOutcome};
use brasswinch_types::{UpstreamRest, UpstreamSignalError};
use common::{config, fleet, placement_in, service, wanted};
use std::collections::BTreeSet;

struct Test {
    placement: Placement,
    fleet: FleetState,
}

fn rest(seconds: &str) -> UpstreamRest {
    seconds.parse().unwrap()
}

impl Test {
    fn new() -> Self {
        let (fleet, mut placement) = (fleet(2), placement_in("west"));
        placement.update(&fleet, &config(1), 1);
        Self { placement, fleet }
    }

    fn try_choose(&mut self, now: u64) -> Result<Choice, Refusal> {
        let (service, anywhere) = (service(), BTreeSet::new());
        let wanted = wanted(&service, b"7", &anywhere, &[]);
        self.placement.choose(&wanted, 0.5, now)
    }

    fn choose(&mut self, now: u64) -> Choice {
        self.try_choose(now).unwrap()
    }

    fn answered(&mut self, choice: &Choice, now: u64) {
        self.placement.ended(choice, UpstreamOutcome::Answered, now);
    }

    /// Makes the upstream of `choice` refuse the request and ask for a backoff.
    fn refused(&mut self, choice: &Choice, seconds: &str, now: u64) {
        self.placement.record_backoff(choice, rest(seconds), now);
        self.placement.ended(choice, UpstreamOutcome::Shed, now);
    }
}

/// Guards against a burst at the end of a backoff: all requests that had waited were sent at once.
#[test]
fn requests_are_sent_all_at_once_when_a_backoff_ends() {
    let mut test = Test::new();
    let home = test.choose(10);
    test.refused(&home, "3", 20);
    assert_ne!(test.choose(3_000).upstream, home.upstream);
    let first = test.choose(3_020);
    assert_eq!(first.upstream, home.upstream);
    assert_ne!(
        test.choose(3_030).upstream,
        home.upstream,
        "one probe at a time"
    );
    test.answered(&first, 3_200);
    let after = [test.choose(3_210), test.choose(3_211)];
    assert!(after.iter().all(|choice| choice.upstream == home.upstream));
}

/// Guards against an answer to a request sent before the backoff ending that backoff.
#[test]
fn an_answer_to_an_earlier_request_ends_a_backoff() {
    let mut test = Test::new();
    let (earlier, home) = (test.choose(10), test.choose(11));
    assert_eq!(earlier.upstream, home.upstream);
    test.refused(&home, "3", 20);
    test.answered(&earlier, 100);
    assert_ne!(test.choose(110).upstream, home.upstream);
    assert!(!test.placement.may_send(&home, 110));
}

/// Guards against a shorter backoff replacing a longer one.
#[test]
fn a_shorter_backoff_replaces_a_longer_one() {
    let mut test = Test::new();
    let (first, second) = (test.choose(10), test.choose(11));
    test.refused(&first, "3", 20);
    test.refused(&second, "0.1", 30);
    assert_ne!(test.choose(2_900).upstream, first.upstream);
}

/// Guards against a retry time that ends while all upstreams are still backing off.
#[test]
fn the_retry_time_ends_before_the_first_backoff() {
    let mut test = Test::new();
    let upstreams = test.fleet.upstreams().count();
    for number in 0..upstreams {
        let choice = test.choose(20);
        let seconds = if number == 0 { "2" } else { "3" };
        test.refused(&choice, seconds, 20);
    }
    let Err(Refusal::Busy {
        retry_after_ms,
        basis,
    }) = test.try_choose(120)
    else {
        panic!("all upstreams should be backing off");
    };
    assert!(
        (1_900..=2_375).contains(&retry_after_ms),
        "{retry_after_ms}"
    );
    assert_eq!(basis.home.unwrap().state, HomeState::BackingOff);
}

/// Guards against losing the backoff with the upstream's entry: the upstream then got requests
/// before the backoff ended.
#[test]
fn a_backoff_is_dropped_when_the_entry_is_lost_and_comes_back() {
    let mut test = Test::new();
    let home = test.choose(10);
    test.refused(&home, "3", 20);
    let none = FleetState::default();
    test.placement.update(&none, &config(1), 30);
    test.placement.update(&test.fleet, &config(1), 40);
    assert_ne!(test.choose(50).upstream, home.upstream);
}

#[test]
fn a_backoff_is_a_decimal_number_of_seconds_of_at_most_an_hour() {
    assert_eq!(rest("0.25").ms(), 250);
    assert_eq!(rest("31536000").ms(), 3_600_000);
    let error = |text: &str| text.parse::<UpstreamRest>().unwrap_err();
    for text in ["", "-", "Thu, 01 Jan 2026 00:00:00 GMT", &"9".repeat(400)] {
        assert_eq!(error(text), UpstreamSignalError::NoNumber, "{text}");
    }
    for text in ["-1", "NaN", "inf", "-inf"] {
        assert_eq!(error(text), UpstreamSignalError::OutOfRange, "{text}");
    }
}
