//! Counters that requests and connections hold while they last.

use crate::context::Context;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Buffered bodies may use at most the process's allowed memory divided by this.
const BUFFER_MEMORY_DIVISOR: usize = 4;

/// Returns the bytes that buffered bodies may use of a process's allowed memory.
pub(crate) fn max_buffered_bytes(memory_bytes: usize) -> usize {
    memory_bytes / BUFFER_MEMORY_DIVISOR
}

/// Counts a request until its response has been passed on.
pub(crate) struct InFlight(Arc<Context>);

impl InFlight {
    pub(crate) fn new(context: &Arc<Context>) -> Self {
        context.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(context))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a client's connection while it is open.
pub(crate) struct OpenConnection(Arc<Context>);

impl OpenConnection {
    pub(crate) fn new(context: &Arc<Context>) -> Self {
        context.open_connections.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(context))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::Relaxed);
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
        let max_bytes = max_buffered_bytes(context.settings.memory_bytes);
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
