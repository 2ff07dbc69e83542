//! Counters that a request holds while it is in flight.

use crate::context::Context;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Buffered bodies may use at most the process's allowed memory divided by this.
const BUFFER_MEMORY_DIVISOR: usize = 4;

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
pub(crate) struct BufferedBytes {
    context: Arc<Context>,
    bytes: usize,
}

impl BufferedBytes {
    /// Reserves `bytes` for a body. Returns `None` if buffered bodies would exceed their part of
    /// the memory.
    pub(crate) fn reserve(context: &Arc<Context>, bytes: usize) -> Option<Self> {
        let max_bytes = context.settings.memory_bytes / BUFFER_MEMORY_DIVISOR;
        let before = context.buffered_bytes.fetch_add(bytes, Ordering::Relaxed);
        let reservation = Self {
            context: Arc::clone(context),
            bytes,
        };
        (before + bytes <= max_bytes).then_some(reservation)
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        self.context
            .buffered_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
