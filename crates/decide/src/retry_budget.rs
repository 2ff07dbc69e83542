//! A budget that keeps retries a small part of the traffic.
//!
//! Each first try earns a fraction of a retry; each retry spends one. When
//! upstreams fail widely the budget runs out, and the load they see grows by no
//! more than that fraction.

/// Retries earned by one first try.
const EARNED_PER_TRY: f64 = 0.1;

/// Most retries that can be saved up.
const MAX_SAVED: f64 = 10.0;

/// The retry budget of one service on one box.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MAX_SAVED }
    }
}

impl RetryBudget {
    /// Counts a first try.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_TRY).min(MAX_SAVED);
    }

    /// Takes one retry out, if one is left.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
