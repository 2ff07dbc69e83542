//! Limits how many requests leave their planned region for lack of capacity.

use brasswinch_types::Millis;

/// Fraction of requests in the spill window that may leave their planned region for lack of
/// capacity.
const MOST_SPILL: f64 = 0.05;

/// The same limit including requests that have to queue in the other region.
const MOST_SPILL_TO_QUEUES: f64 = 0.12;

/// Spills allowed in each window regardless of traffic.
const FREE_SPILLS: f64 = 1.0;

/// Length of the spill window.
const SPILL_WINDOW_MS: Millis = 2_000;

/// Counts the requests and spills of the current and the last window.
#[derive(Debug, Default)]
pub(super) struct SpillWindow {
    began: Millis,
    requests: [f64; 2],
    spills: [f64; 2],
}

impl SpillWindow {
    /// Starts a new window if the current one has ended.
    pub(super) fn roll(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.began);
        if elapsed < SPILL_WINDOW_MS {
            return;
        }
        let keeps_last = elapsed < 2 * SPILL_WINDOW_MS;
        let last = |counts: [f64; 2]| if keeps_last { counts[0] } else { 0.0 };
        self.requests = [0.0, last(self.requests)];
        self.spills = [0.0, last(self.spills)];
        self.began = now;
    }

    /// Counts a request.
    pub(super) fn count_request(&mut self) {
        self.requests[0] += 1.0;
    }

    /// Counts a request that left its planned region.
    pub(super) fn count_spill(&mut self) {
        self.spills[0] += 1.0;
    }

    /// Whether one more request may leave its planned region.
    pub(super) fn may_spill(&self) -> bool {
        self.is_under(MOST_SPILL)
    }

    /// Whether one more request may leave its planned region and queue elsewhere.
    pub(super) fn may_queue_elsewhere(&self) -> bool {
        self.is_under(MOST_SPILL_TO_QUEUES)
    }

    fn is_under(&self, part: f64) -> bool {
        let requests = self.requests[0].max(self.requests[1]);
        self.spills[0] + 1.0 <= requests * part + FREE_SPILLS
    }
}
