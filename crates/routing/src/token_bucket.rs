//! A token bucket: what runs in any span is at most its rate times the span, and what it
//! holds at the span's begin.

use brasswinch_types::Millis;

/// A token bucket. Its level may fall below 0 by what ran before anybody could refuse it;
/// that is paid back by what comes in later.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    level: f64,
    filled_at: Millis,
}

/// How a bucket fills.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Filling {
    /// Tokens a second.
    pub(crate) rate_per_s: f64,
    /// The most that it holds.
    pub(crate) capacity: f64,
}

impl TokenBucket {
    pub(crate) fn new(level: f64, now: Millis) -> Self {
        let filled_at = now;
        Self { level, filled_at }
    }

    /// Takes what has come in until now.
    pub(crate) fn fill(&mut self, filling: Filling, now: Millis) {
        let elapsed_s = now.saturating_sub(self.filled_at) as f64 / 1_000.0;
        self.filled_at = self.filled_at.max(now);
        self.level = (self.level + filling.rate_per_s * elapsed_s).min(filling.capacity);
    }

    pub(crate) fn level(&self) -> f64 {
        self.level
    }

    /// Takes out `tokens`, whatever it holds.
    pub(crate) fn take(&mut self, tokens: f64) {
        self.level -= tokens;
    }

    /// Takes one token out, if it holds one.
    pub(crate) fn try_take(&mut self) -> bool {
        let has_one = self.level >= 1.0;
        if has_one {
            self.level -= 1.0;
        }
        has_one
    }

    /// Lowers the level to `most`.
    pub(crate) fn lower_to(&mut self, most: f64) {
        self.level = self.level.min(most);
    }
}
