//! A token bucket: over any time span, at most the rate times the span plus the level at its start
//! can be taken.

use brasswinch_types::Millis;

/// A token bucket. Its level may fall below 0 by requests that ran before they could be refused;
/// later tokens pay that back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    level: f64,
    filled_at: Millis,
}

/// How a bucket fills.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Filling {
    /// Tokens per second.
    pub(crate) rate_per_s: f64,
    /// Maximum number of tokens.
    pub(crate) capacity: f64,
}

impl TokenBucket {
    pub(crate) fn new(level: f64, now: Millis) -> Self {
        let filled_at = now;
        Self { level, filled_at }
    }

    /// Adds the tokens that accrued until now.
    pub(crate) fn fill(&mut self, filling: Filling, now: Millis) {
        let elapsed_s = now.saturating_sub(self.filled_at) as f64 / 1_000.0;
        self.filled_at = self.filled_at.max(now);
        self.level = (self.level + filling.rate_per_s * elapsed_s).min(filling.capacity);
    }

    pub(crate) fn level(&self) -> f64 {
        self.level
    }

    /// Takes `tokens`, even if the level falls below 0.
    pub(crate) fn take(&mut self, tokens: f64) {
        self.level -= tokens;
    }

    /// Takes one token if the bucket holds one; returns whether it did.
    pub(crate) fn try_take(&mut self) -> bool {
        let has_one = self.level >= 1.0;
        if has_one {
            self.level -= 1.0;
        }
        has_one
    }

    /// Lowers the level to `max_level` if it is higher.
    pub(crate) fn lower_to(&mut self, max_level: f64) {
        self.level = self.level.min(max_level);
    }
}
