//! Counts recently refused requests and spreads their retries over time.

use brasswinch_types::Millis;

/// Window in which refusals are counted.
const WINDOW_MS: Millis = 1_000;

/// Fraction of a delay over which callers that were refused together are spread after its end.
const JITTER_FRACTION: f64 = 0.25;

/// Shortest time over which they are spread.
const MIN_JITTER_MS: f64 = 100.0;

/// Recently refused requests: those of the last window and of the current one so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Refusals {
    started_at: Millis,
    previous: f64,
    current: f64,
}

impl Refusals {
    /// Counts `refused` requests.
    pub(crate) fn count(&mut self, refused: f64, now: Millis) {
        let elapsed = now.saturating_sub(self.started_at);
        if elapsed >= WINDOW_MS {
            let is_next = elapsed < 2 * WINDOW_MS;
            self.previous = if is_next { self.current } else { 0.0 };
            self.current = 0.0;
            self.started_at = now;
        }
        self.current += refused;
    }

    /// Returns the refusals per second: the larger count of the two windows.
    pub(crate) fn per_s(&self) -> f64 {
        self.previous.max(self.current)
    }

    /// Whether the current window began less than two windows ago.
    pub(crate) fn is_recent(&self, now: Millis) -> bool {
        now.saturating_sub(self.started_at) < 2 * WINDOW_MS
    }
}

/// Returns `ms` scaled by a random factor from 0.5 to 1.5, so that requests refused together don't
/// retry together. `random` is drawn from 0 to 1.
pub(crate) fn with_jitter(ms: Millis, random: f64) -> Millis {
    (ms as f64 * (0.5 + random.clamp(0.0, 1.0))) as Millis
}

/// Returns `ms` plus a random delay, for a retry that is useless before `ms` is over.
pub(crate) fn with_added_jitter(ms: Millis, random: f64) -> Millis {
    let max_jitter_ms = (ms as f64 * JITTER_FRACTION).max(MIN_JITTER_MS);
    ms + (max_jitter_ms * random.clamp(0.0, 1.0)) as Millis
}
