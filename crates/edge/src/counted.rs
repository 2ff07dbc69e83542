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

/// Steps in which the count of a body of unknown length grows.
const GROWTH_BYTES: usize = 16 * 1024;

/// Counts the bytes of a body while it is buffered.
pub(crate) struct BufferedBytes {
    context: Arc<Context>,
    bytes: usize,
}

impl BufferedBytes {
    /// Counts nothing yet.
    pub(crate) fn none(context: &Arc<Context>) -> Self {
        Self {
            context: Arc::clone(context),
            bytes: 0,
        }
    }

    /// Reserves `bytes` for a body. Returns `None` if buffered bodies would exceed their part of
    /// the memory.
    pub(crate) fn reserve(context: &Arc<Context>, bytes: usize) -> Option<Self> {
        let mut reservation = Self::none(context);
        reservation.add(bytes).then_some(reservation)
    }

    /// Returns the bytes that are reserved.
    pub(crate) fn reserved(&self) -> usize {
        self.bytes
    }

    /// Makes sure that `bytes` are reserved in all. Returns false, and reserves nothing more, if
    /// buffered bodies would exceed their part of the memory.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> bool {
        if bytes <= self.bytes {
            return true;
        }
        self.add(bytes.next_multiple_of(GROWTH_BYTES) - self.bytes)
    }

    fn add(&mut self, bytes: usize) -> bool {
        let counted = &self.context.buffered_bytes;
        let max_bytes = max_buffered_bytes(self.context.settings.memory_bytes);
        let before = counted.fetch_add(bytes, Ordering::Relaxed);
        let has_room = before + bytes <= max_bytes;
        if has_room {
            self.bytes += bytes;
        } else {
            counted.fetch_sub(bytes, Ordering::Relaxed);
        }
        has_room
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        self.context
            .buffered_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
