//! The pause between two requests for updates of the store.
//!
//! While upstreams change all the time, as when thousands of them start, each change alone would
//! cost every box a connection and a new placement. So after a reply a box waits as long as its
//! bytes take at [`BYTES_PER_S`], but never so long that its view becomes stale:
//!
//! `MAX_PAUSE_FRACTION × view limit + one exchange ≤ view limit`,
//!
//! where the view limit is the age at which a box considers its view stale
//! ([`ViewLimits`](crate::ViewLimits)). A small change after a quiet time is requested at once.

use crate::view_limits::ViewLimits;
use brasswinch_types::Millis;

/// Bytes a second that a box spends on updates, unless its view would become stale. All control
/// traffic may take 13 kB/s.
const BYTES_PER_S: u64 = 12_000;

/// Longest pause, as a fraction of the age at which a view is considered stale. The rest is for
/// the report that announces the update, and for the exchange that brings it.
const MAX_PAUSE_FRACTION: f64 = 0.4;

/// Paces the requests of one scope.
#[derive(Clone, Copy, Debug)]
pub struct UpdatePacing {
    max_pause_ms: Millis,
    next_at: Millis,
}

impl UpdatePacing {
    /// Creates the pacing of a box whose views become stale at `limits`.
    pub fn new(limits: &ViewLimits) -> Self {
        let max_pause_ms = limits.unreachable_ms() as f64 * MAX_PAUSE_FRACTION;
        Self {
            max_pause_ms: max_pause_ms as Millis,
            next_at: 0,
        }
    }

    /// Records a reply of `bytes` on the wire.
    pub fn record_reply(&mut self, bytes: usize, now: Millis) {
        let pause_ms = bytes as u64 * 1_000 / BYTES_PER_S;
        self.next_at = now + pause_ms.min(self.max_pause_ms);
    }

    /// Returns how long to wait before the next request, in milliseconds.
    pub fn pause_ms(&self, now: Millis) -> Millis {
        self.next_at.saturating_sub(now)
    }
}
