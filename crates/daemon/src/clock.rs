//! The only place where the daemon reads clocks.

use brasswinch_types::{Incarnation, Millis};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Random bits at the end of an incarnation number.
const INCARNATION_RANDOM_BITS: u32 = 16;

/// A monotonic clock that starts at 1 with the process, and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
        }
    }
}

impl Clock {
    /// Monotonic milliseconds since the start.
    pub fn now(&self) -> Millis {
        u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX) + 1
    }

    /// Milliseconds since the Unix epoch.
    pub fn wall_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0))
    }

    /// An incarnation number: later starts get larger ones.
    pub fn new_incarnation(&self) -> Incarnation {
        let random = u64::from(rand::random::<u16>());
        Incarnation((self.wall_ms() << INCARNATION_RANDOM_BITS) | random)
    }
}
