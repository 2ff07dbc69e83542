//! How many requests were refused lately, and when they come back.

use brasswinch_types::Millis;

/// The span in which refusals are counted.
const SPAN_MS: Millis = 1_000;

/// Part of a time by which callers that were refused together are spread after its end.
const SPREAD_PART: f64 = 0.25;

/// Shortest span over which they are spread, in milliseconds.
const LEAST_SPREAD_MS: f64 = 100.0;

/// Requests refused lately: those of the span before, and of this one so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Refusals {
    began: Millis,
    last: f64,
    current: f64,
}

impl Refusals {
    /// Counts `refused` requests.
    pub(crate) fn count(&mut self, refused: f64, now: Millis) {
        let elapsed = now.saturating_sub(self.began);
        if elapsed >= SPAN_MS {
            let is_next = elapsed < 2 * SPAN_MS;
            self.last = if is_next { self.current } else { 0.0 };
            self.current = 0.0;
            self.began = now;
        }
        self.current += refused;
    }

    /// Refusals a second: the larger of the two spans' counts.
    pub(crate) fn per_s(&self) -> f64 {
        self.last.max(self.current)
    }

    /// Whether the last span began within the last two.
    pub(crate) fn is_recent(&self, now: Millis) -> bool {
        now.saturating_sub(self.began) < 2 * SPAN_MS
    }
}

/// A time that is told, or kept, half as long to half as long again, so that what was
/// refused together doesn't come back together. `random` is drawn from 0 to 1.
pub(crate) fn spread(ms: Millis, random: f64) -> Millis {
    (ms as f64 * (0.5 + random.clamp(0.0, 1.0))) as Millis
}

/// A time before which there is no use in coming back, or somewhat later.
pub(crate) fn spread_later(ms: Millis, random: f64) -> Millis {
    let span = (ms as f64 * SPREAD_PART).max(LEAST_SPREAD_MS);
    ms + (span * random.clamp(0.0, 1.0)) as Millis
}
