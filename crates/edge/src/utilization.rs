//! Measures how much of its resources this box uses.

use crate::context::Context;
use crate::counted::max_buffered_bytes;
use brasswinch_types::Millis;
use std::sync::atomic::Ordering;

/// Bytes per second of a link with 1 Mbit/s.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// The largest utilization, in percent.
const FULL: f64 = 100.0;

/// Bytes that the box's connections had carried at the last measurement.
#[derive(Debug, Default)]
pub(crate) struct UtilizationMeter {
    sent_bytes: u64,
    received_bytes: u64,
}

impl UtilizationMeter {
    /// Returns the largest utilization of connections, buffer memory and link, in percent, with
    /// `elapsed` milliseconds since the last measurement. Resources of unknown size don't count.
    pub(crate) fn measure(&mut self, context: &Context, elapsed: Millis) -> u32 {
        let settings = &context.settings;
        let usage = &context.connection_usage;
        let open = usage.open.load(Ordering::Relaxed) as f64;
        let max_open = settings.max_connections.map_or(0.0, f64::from);
        let buffered = context.buffered_bytes.load(Ordering::Relaxed) as f64;
        // More bodies than this are refused, so that they never use all of the memory.
        let max_buffered = max_buffered_bytes(settings.memory_bytes) as f64;
        let per_s = self.take_bytes(context) as f64 * 1_000.0 / elapsed.max(1) as f64;
        let max_per_s = f64::from(settings.link_mbps) * BYTES_PER_MBIT;
        let parts = [
            part(open, max_open),
            part(buffered, max_buffered),
            part(per_s, max_per_s),
        ];
        let largest = parts.into_iter().fold(0.0, f64::max);
        (largest * FULL).min(FULL) as u32
    }

    /// Returns the bytes since the last call in the direction that carried more: links carry both
    /// directions at the same time.
    fn take_bytes(&mut self, context: &Context) -> u64 {
        let usage = &context.connection_usage;
        let sent_bytes = usage.sent_bytes.load(Ordering::Relaxed);
        let received_bytes = usage.received_bytes.load(Ordering::Relaxed);
        let sent = sent_bytes - self.sent_bytes;
        let received = received_bytes - self.received_bytes;
        *self = Self {
            sent_bytes,
            received_bytes,
        };
        sent.max(received)
    }
}

/// Returns the used part of a resource, or 0 if its size is unknown.
fn part(used: f64, available: f64) -> f64 {
    if available > 0.0 {
        used / available
    } else {
        0.0
    }
}
