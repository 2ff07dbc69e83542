//! The clock of the process. It includes the time for which the machine was suspended.
//!
//! The runtime's timers use the monotonic clock, which stops during suspension. Therefore all ages
//! and deadlines are computed from this clock, and code that wakes up on a timer checks it again.

use brasswinch_types::Millis;
use rustix::time::{ClockId, clock_gettime};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// A clock that counts from its creation.
#[derive(Clone, Debug)]
pub struct Clock {
    started_at: Duration,
    monotonic_start: Instant,
    skipped_ms: Arc<AtomicU64>,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            started_at: since_boot(),
            monotonic_start: Instant::now(),
            skipped_ms: Arc::default(),
        }
    }
}

impl Clock {
    /// Advances the clock and all its clones by `span`, as a suspension of the machine does.
    pub fn skip(&self, span: Duration) {
        let span = Self::millis(span);
        self.skipped_ms.fetch_add(span, Ordering::Relaxed);
    }

    /// Returns the milliseconds since its creation. Never 0, which callers use for "never".
    pub(crate) fn now(&self) -> Millis {
        Self::millis(self.elapsed()) + 1
    }

    /// Converts a duration to milliseconds.
    pub(crate) fn millis(span: Duration) -> Millis {
        span.as_millis() as Millis
    }

    /// Returns the deadline `span` from now.
    pub(crate) fn after(&self, span: Duration) -> Deadline {
        Deadline {
            at: self.elapsed() + span,
            clock: self.clone(),
        }
    }

    fn elapsed(&self) -> Duration {
        let skipped = Duration::from_millis(self.skipped_ms.load(Ordering::Relaxed));
        let since_start = since_boot().saturating_sub(self.started_at);
        since_start.max(self.monotonic_start.elapsed()) + skipped
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

/// A point in time on the clock.
#[derive(Clone, Debug)]
pub(crate) struct Deadline {
    at: Duration,
    clock: Clock,
}

impl Deadline {
    /// Returns the time left; zero if the deadline has passed.
    pub(crate) fn left(&self) -> Duration {
        self.at.saturating_sub(self.clock.elapsed())
    }

    /// Whether the deadline has passed.
    pub(crate) fn has_passed(&self) -> bool {
        self.left().is_zero()
    }

    /// Returns the deadline as an instant of the runtime's timers.
    pub(crate) fn timer(&self) -> Instant {
        Instant::now() + self.left()
    }
}
