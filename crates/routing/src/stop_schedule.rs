//! The stages of a planned stop, and which requests a stopping box still admits.
//!
//! All times are counted from the request to stop. With the grace `G` of the platform:
//!
//! ```text
//! admit_if_idle <= closes_after < ends_after < G
//! admitted are requests with
//!     arrival + limit + RESPONSE_MARGIN <= ends_after,
//!     or an idle slot and arrival < admit_if_idle,
//!     or an idle slot and start + work * WORK_FACTOR + RESPONSE_MARGIN <= ends_after
//! ```

use std::time::Duration;

/// Fraction of the grace period during which a leaving box accepts connections.
const OPEN_GRACE_FRACTION: f64 = 0.5;

/// Fraction of the grace period after which a leaving box ends, whatever is in progress.
const MAX_GRACE_FRACTION: f64 = 0.93;

/// Between the end of a request's time and its response on the client's connection.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// Multiple of the longest known work that a request may take.
const WORK_FACTOR: f64 = 1.5;

/// What is known about the time that a request takes.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedTime {
    /// The time after which it ends in any case: its client's deadline or its route's timeout.
    pub limit: Duration,
    /// The time that nearly all requests of its kind take; `None` if too few have ended.
    pub longest_work: Option<Duration>,
    /// Whether it would wait at its upstream for a slot.
    pub waits: bool,
}

/// The stages of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    grace: Duration,
    admit_if_idle: Duration,
}

impl StopSchedule {
    /// Returns the schedule of a box that is killed `grace` after the request to stop. Until
    /// `admit_if_idle` it admits every request that finds an idle slot, though one may outlast the
    /// process.
    pub fn new(grace: Duration, admit_if_idle: Duration) -> Self {
        let closes_after = grace.mul_f64(OPEN_GRACE_FRACTION);
        Self {
            grace,
            admit_if_idle: admit_if_idle.min(closes_after),
        }
    }

    /// Returns when the box accepts no further connections.
    pub fn closes_after(&self) -> Duration {
        self.grace.mul_f64(OPEN_GRACE_FRACTION)
    }

    /// Returns when the process ends, whatever is in progress.
    pub fn ends_after(&self) -> Duration {
        self.grace.mul_f64(MAX_GRACE_FRACTION)
    }

    /// Returns whether a request may be sent `since_stop`: whether its response is expected before
    /// the process ends, or the request is so early that its upstream begins with it at once.
    pub fn admits(&self, since_stop: Duration, expected: &ExpectedTime) -> bool {
        if self.ends_before(since_stop, expected.limit) {
            return true;
        }
        if expected.waits {
            return false;
        }
        let fits = |work: Duration| self.ends_before(since_stop, work.mul_f64(WORK_FACTOR));
        since_stop < self.admit_if_idle || expected.longest_work.is_some_and(fits)
    }

    fn ends_before(&self, since_stop: Duration, takes: Duration) -> bool {
        let ends = since_stop.saturating_add(takes);
        ends.saturating_add(RESPONSE_MARGIN) <= self.ends_after()
    }
}
