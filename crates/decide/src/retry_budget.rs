//! A retry budget, which keeps retries a small fraction of the traffic.
//!
//! Each first attempt earns a fraction of a retry, and each retry spends a whole one.
//! When many upstreams fail, the budget runs out, and retries then add no more than
//! that fraction to the load.

/// Retries earned by one first attempt.
const RETRIES_PER_ATTEMPT: f64 = 0.1;

/// Maximum number of retries that can accumulate.
const MAX_RETRIES: f64 = 10.0;

/// The retry budget of one service on one box.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: MAX_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Credits the budget for a first attempt.
    pub fn earn(&mut self) {
        self.balance = (self.balance + RETRIES_PER_ATTEMPT).min(MAX_RETRIES);
    }

    /// Spends one retry. Returns false if less than one is left.
    pub fn spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
