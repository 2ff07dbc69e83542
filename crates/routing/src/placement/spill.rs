//! Limits how many requests leave their planned region for lack of capacity.

use brasswinch_types::Millis;

/// Fraction of requests in the spill window that may leave their planned region for lack of
/// capacity.
const MAX_SPILL_FRACTION: f64 = 0.05;

/// The same limit including requests that have to queue in the other region.
const MAX_QUEUED_SPILL_FRACTION: f64 = 0.12;

/// Spills allowed in each window regardless of traffic.
const BASE_SPILLS_PER_WINDOW: f64 = 1.0;

/// Length of the spill window.
const SPILL_WINDOW_MS: Millis = 2_000;

/// Counts the requests and spills of the current and the last window.
#[derive(Debug, Default)]
pub(super) struct SpillWindow {
    started_at: Millis,
    requests: [f64; 2],
    spills: [f64; 2],
}

impl SpillWindow {
    /// Starts a new window if the current one has ended.
    pub(super) fn roll(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.started_at);
        if elapsed < SPILL_WINDOW_MS {
            return;
        }
        let keeps_last = elapsed < 2 * SPILL_WINDOW_MS;
        let last = |counts: [f64; 2]| if keeps_last { counts[0] } else { 0.0 };
        self.requests = [0.0, last(self.requests)];
        self.spills = [0.0, last(self.spills)];
        self.started_at = now;
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
        self.is_below(MAX_SPILL_FRACTION)
    }

    /// Whether one more request may leave its planned region and queue elsewhere.
    pub(super) fn may_queue_elsewhere(&self) -> bool {
        self.is_below(MAX_QUEUED_SPILL_FRACTION)
    }

    fn is_below(&self, fraction: f64) -> bool {
        let requests = self.requests[0].max(self.requests[1]);
        self.spills[0] + 1.0 <= requests * fraction + BASE_SPILLS_PER_WINDOW
    }
}
