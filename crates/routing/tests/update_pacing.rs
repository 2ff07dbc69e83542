//! Tests of the pause between two requests for updates.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_routing::{UpdatePacing, ViewLimits};

/// Time within which changes are to take effect, in seconds.
const BOUND_S: f64 = 2.0;

/// Bytes a second that a box may spend on control: docs/CAPACITY.md.
const CONTROL_BYTES_PER_S: u64 = 13_000;

/// While upstreams change all the time, each reply is followed by the next request at once.
#[test]
fn updates_are_requested_as_fast_as_upstreams_change() {
    const REPLY_BYTES: usize = 4_000;
    const DURATION_MS: u64 = 10_000;
    let mut pacing = UpdatePacing::new(&ViewLimits::new(BOUND_S));
    let (mut now, mut bytes) = (0, 0);
    while now < DURATION_MS {
        pacing.record_reply(REPLY_BYTES, now);
        bytes += REPLY_BYTES as u64;
        now += pacing.pause_ms(now).max(1);
    }
    assert!(
        bytes <= CONTROL_BYTES_PER_S * DURATION_MS / 1_000,
        "{bytes}"
    );
}

/// A pause may not take so long that boxes ask the store instead, whatever the reply's size.
#[test]
fn a_large_reply_delays_the_next_one_until_the_view_is_stale() {
    /// Time for the report that announces an update and the exchange that brings it.
    const REPORT_AND_EXCHANGE_MS: u64 = 500;
    for bound_s in [2.0, 4.0, 10.0] {
        let limits = ViewLimits::new(bound_s);
        let mut pacing = UpdatePacing::new(&limits);
        pacing.record_reply(usize::MAX / 1_000, 0);
        let pause_ms = pacing.pause_ms(0);
        assert!(pause_ms + REPORT_AND_EXCHANGE_MS <= limits.unreachable_ms());
    }
}

#[test]
fn a_change_after_a_quiet_time_waits() {
    let mut pacing = UpdatePacing::new(&ViewLimits::new(BOUND_S));
    pacing.record_reply(100_000, 0);
    assert_eq!(pacing.pause_ms(1_000), 0);
}
