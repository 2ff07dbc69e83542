//! Decides when a box asks the store although its followers report that it fails them.
//!
//! The store may refuse some boxes and serve others, so another box's failure says nothing about
//! this box: it defers to the followers only after a call of its own has failed. With a maximum view
//! age `A`, the share `s` of boxes that the store serves and the platform's time `contact` after which a
//! box counts as undisturbed:
//!
//! ```text
//! A + call + poll + call + delivery <= bound                                       served box
//! 0.8 A + ln(1000) / (s × rate) + call + spread + delivery <= bound                large fleet
//! (1 + PROBE_JITTER) × PROBE_INTERVAL_MS + poll + call <= contact                  served again
//! ```

use brasswinch_types::Millis;

/// Maximum rate at which all boxes that don't follow the store ask it while it fails its followers,
/// in calls per second.
pub(crate) const MAX_PROBES_PER_S: f64 = 200.0;

/// Interval at which a box asks again after a failed call, in milliseconds.
const PROBE_INTERVAL_MS: f64 = 2_200.0;

/// Random part of the interval, in both directions.
const PROBE_JITTER: f64 = 0.2;

/// Whether a box that doesn't follow the store may ask it while its followers report failures.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreProbing {
    next_at: Millis,
}

impl StoreProbing {
    /// Returns whether the box may ask: the store responded to its last call, or that call was made
    /// long enough ago.
    pub fn is_due(&self, now: Millis) -> bool {
        now >= self.next_at
    }

    /// Records the start of a call, or a call that failed at `now`. `random` is drawn from 0 to 1.
    pub fn record_call(&mut self, boxes: usize, random: f64, now: Millis) {
        let interval_ms = PROBE_INTERVAL_MS.max(min_round_ms(boxes));
        let jitter = 1.0 + PROBE_JITTER * (2.0 * random - 1.0);
        self.next_at = now + (interval_ms * jitter) as Millis;
    }

    /// Records that the store has responded.
    pub fn record_response(&mut self) {
        self.next_at = 0;
    }
}

/// Returns the shortest time, in milliseconds, in which all boxes may ask the store once.
pub(crate) fn min_round_ms(boxes: usize) -> f64 {
    boxes as f64 * 1_000.0 / MAX_PROBES_PER_S
}
