//! The stages of a planned stop, and which requests a stopping box still admits.
//!
//! All times are counted from the request to stop. With the grace `G` of the platform:
//!
//! ```text
//! admit_all <= closes_after < ends_after < G
//! arrival + limit + RESPONSE_MARGIN <= ends_after        each request after admit_all, or
//! start + work * WORK_FACTOR + RESPONSE_MARGIN <= ends_after    and its upstream is free
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

/// The stages of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    grace: Duration,
    admit_all: Duration,
}

impl StopSchedule {
    /// Returns the schedule of a box that is killed `grace` after the request to stop. Until
    /// `admit_all` it admits every request, though one may outlast the process.
    pub fn new(grace: Duration, admit_all: Duration) -> Self {
        let closes_after = grace.mul_f64(OPEN_GRACE_FRACTION);
        Self {
            grace,
            admit_all: admit_all.min(closes_after),
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

    /// Returns whether a request that arrives `since_stop` gets its response before the process
    /// ends, however long it takes within its `limit`; also true while every request is admitted.
    pub fn fits(&self, since_stop: Duration, limit: Duration) -> bool {
        since_stop < self.admit_all || self.ends_before(since_stop, limit)
    }

    /// Returns whether a request that starts at an idle slot `since_stop`, and whose `work` takes
    /// about as long as the longest of its kind, is expected to end before the process does.
    pub fn is_expected_to_fit(&self, since_stop: Duration, work: Duration) -> bool {
        self.ends_before(since_stop, work.mul_f64(WORK_FACTOR))
    }

    fn ends_before(&self, since_stop: Duration, takes: Duration) -> bool {
        let ends = since_stop.saturating_add(takes);
        ends.saturating_add(RESPONSE_MARGIN) <= self.ends_after()
    }
}
