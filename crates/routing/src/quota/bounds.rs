//! How far a quota may be exceeded.

use crate::workspace::QuotaLimit;

/// How far requests may exceed a quota, as set by operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window in which requests are counted, in seconds.
    pub window_s: f64,
    /// Fraction of the window's allowed requests by which they may be exceeded.
    pub overage: f64,
    /// Requests by which any quota may be exceeded in a window, in addition to the fraction.
    pub slack: f64,
}

impl QuotaBounds {
    /// Returns how many requests beyond `limit` may run in a window.
    pub fn overage(&self, limit: QuotaLimit) -> f64 {
        self.in_window(limit) * self.overage + self.slack
    }

    /// Returns how many requests `limit` allows in a window.
    fn in_window(&self, limit: QuotaLimit) -> f64 {
        limit.rate_per_s * self.window_s + limit.burst
    }

    /// Whether two boxes that each grant the whole quota would exceed what is allowed.
    pub(super) fn needs_loans(&self, limit: QuotaLimit) -> bool {
        self.in_window(limit) > self.overage(limit)
    }
}
