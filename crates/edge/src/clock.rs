//! The clock of the process: it counts the time for which the machine was suspended.
//!
//! The runtime's timers run on the steady clock, which stands still meanwhile. So every age and
//! every deadline is read here, and a timer that fires is followed by a look at this clock.

use brasswinch_types::Millis;
use rustix::time::{ClockId, clock_gettime};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Counts from its creation.
#[derive(Clone, Debug)]
pub struct Clock {
    began: Duration,
    steady: Instant,
    skipped_ms: Arc<AtomicU64>,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            began: since_boot(),
            steady: Instant::now(),
            skipped_ms: Arc::default(),
        }
    }
}

impl Clock {
    /// Goes on by `span` at once, as it does while the machine is suspended. All its clones do.
    pub fn skip(&self, span: Duration) {
        let span = Self::millis(span);
        self.skipped_ms.fetch_add(span, Ordering::Relaxed);
    }

    /// Milliseconds since it was created. Never 0, which stands for "never".
    pub(crate) fn now(&self) -> Millis {
        Self::millis(self.elapsed()) + 1
    }

    /// A span as the clock counts it.
    pub(crate) fn millis(span: Duration) -> Millis {
        span.as_millis() as Millis
    }

    /// The moment in `span` from now.
    pub(crate) fn after(&self, span: Duration) -> Deadline {
        Deadline {
            at: self.elapsed() + span,
            clock: self.clone(),
        }
    }

    fn elapsed(&self) -> Duration {
        let skipped = Duration::from_millis(self.skipped_ms.load(Ordering::Relaxed));
        let counted = since_boot().saturating_sub(self.began);
        counted.max(self.steady.elapsed()) + skipped
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

/// A moment by the clock.
#[derive(Clone, Debug)]
pub(crate) struct Deadline {
    at: Duration,
    clock: Clock,
}

impl Deadline {
    /// The time left; zero if it has passed.
    pub(crate) fn left(&self) -> Duration {
        self.at.saturating_sub(self.clock.elapsed())
    }

    /// Whether it has passed.
    pub(crate) fn is_over(&self) -> bool {
        self.left().is_zero()
    }

    /// When a timer that is set now has to fire.
    pub(crate) fn timer(&self) -> Instant {
        Instant::now() + self.left()
    }
}
