//! The monotonic clock of the process.

use brasswinch_types::Millis;
use std::time::Duration;
use tokio::time::Instant;

/// Counts from its creation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    origin: Instant,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Milliseconds since the process started. Never 0, which stands for "never".
    pub(crate) fn now(&self) -> Millis {
        Self::millis(self.origin.elapsed()) + 1
    }

    /// A span as the clock counts it.
    pub(crate) fn millis(span: Duration) -> Millis {
        span.as_millis() as Millis
    }
}
