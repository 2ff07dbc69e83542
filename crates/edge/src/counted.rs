//! Counters that a request holds while it is in flight.

use crate::context::Context;
use std::sync::atomic::Ordering;

/// Divisor of the allowed memory: buffered bodies may take one such part.
const HELD_PART_OF_MEMORY: usize = 4;

/// Counts a request while it is in flight.
pub(crate) struct InFlight<'a>(&'a Context);

impl<'a> InFlight<'a> {
    pub(crate) fn new(context: &'a Context) -> Self {
        context.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(context)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts the bytes of a body while it is buffered.
pub(crate) struct HeldBytes<'a> {
    context: &'a Context,
    bytes: usize,
}

impl<'a> HeldBytes<'a> {
    pub(crate) fn reserve(context: &'a Context, bytes: usize) -> Option<Self> {
        let most = context.settings.memory_bytes / HELD_PART_OF_MEMORY;
        let before = context.held_bytes.fetch_add(bytes, Ordering::Relaxed);
        let held = Self { context, bytes };
        (before + bytes <= most).then_some(held)
    }
}

impl Drop for HeldBytes<'_> {
    fn drop(&mut self) {
        self.context
            .held_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
