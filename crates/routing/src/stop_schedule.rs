//! The stages of a planned stop, and which requests a stopping box still admits.
//!
//! All times are counted from the request to stop. With the grace `G` of the platform:
//!
//! ```text
//! closes_after < ends_after < G
//! admitted are requests with
//!     arrival + limit + RESPONSE_MARGIN <= ends_after,
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
    /// Whether it may have to wait at its upstream for a slot.
    pub may_wait: bool,
}

/// The stages of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    grace: Duration,
}

impl StopSchedule {
    /// Returns the schedule of a box that is killed `grace` after the request to stop.
    pub fn new(grace: Duration) -> Self {
        Self { grace }
    }

    /// Returns when the box accepts no further connections.
    pub fn closes_after(&self) -> Duration {
        self.grace.mul_f64(OPEN_GRACE_FRACTION)
    }

    /// Returns when the process ends, whatever is in progress.
    pub fn ends_after(&self) -> Duration {
        self.grace.mul_f64(MAX_GRACE_FRACTION)
    }

    /// Returns whether the response to a request that is sent `since_stop` is expected before the
    /// process ends.
    pub fn admits(&self, since_stop: Duration, expected: &ExpectedTime) -> bool {
        if self.ends_before(since_stop, expected.limit) {
            return true;
        }
        let fits = |work: Duration| self.ends_before(since_stop, work.mul_f64(WORK_FACTOR));
        !expected.may_wait && expected.longest_work.is_some_and(fits)
    }

    fn ends_before(&self, since_stop: Duration, takes: Duration) -> bool {
        let ends = since_stop.saturating_add(takes);
        ends.saturating_add(RESPONSE_MARGIN) <= self.ends_after()
    }
}
