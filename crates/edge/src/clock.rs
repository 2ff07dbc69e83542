//! The monotonic clock of the process.

use brasswinch_types::Millis;
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
        self.origin.elapsed().as_millis() as Millis + 1
    }
}
