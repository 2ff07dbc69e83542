//! Counts how clients' connections are closed, and logs those that may have lost a response.

use brasswinch_listen::{ConnectionClose, LingerEnd};
use brasswinch_observe::{Event, emit};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// Closed connections since the start, and those that are being closed.
#[derive(Debug, Default)]
pub(crate) struct ConnectionCloses {
    /// Connections that are being closed.
    closing: AtomicUsize,
    at_once: AtomicU64,
    /// By end, in the order of [`LingerEnd::ALL`].
    lingered: [AtomicU64; LingerEnd::ALL.len()],
    /// Sum of the times for which connections lingered, in milliseconds.
    lingered_ms: AtomicU64,
    /// Connections whose client had not acknowledged everything when they were closed.
    unacknowledged: AtomicU64,
}

/// Counts a connection while it is being closed.
pub(crate) struct Closing<'a>(&'a ConnectionCloses);

impl Drop for Closing<'_> {
    fn drop(&mut self) {
        self.0.closing.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ConnectionCloses {
    /// Counts a connection until the result is dropped.
    pub(crate) fn begin(&self) -> Closing<'_> {
        self.closing.fetch_add(1, Ordering::Relaxed);
        Closing(self)
    }

    /// Returns the number of connections that are being closed.
    pub(crate) fn closing(&self) -> usize {
        self.closing.load(Ordering::Relaxed)
    }

    /// Counts a closed connection, and logs it if its client may lack a part of a response.
    pub(crate) fn record(&self, closed: ConnectionClose) {
        let ConnectionClose::Lingered(lingered) = closed else {
            self.at_once.fetch_add(1, Ordering::Relaxed);
            return;
        };
        let took_ms = lingered.took.as_millis() as u64;
        for (end, count) in LingerEnd::ALL.iter().zip(&self.lingered) {
            let is_end = u64::from(*end == lingered.end);
            count.fetch_add(is_end, Ordering::Relaxed);
        }
        self.lingered_ms.fetch_add(took_ms, Ordering::Relaxed);
        if lingered.may_lack_bytes() {
            self.unacknowledged.fetch_add(1, Ordering::Relaxed);
            emit(Event::ResponseUnacknowledged, format_args!("{lingered}"));
        }
    }

    /// Returns the closed connections by how they were closed.
    pub(crate) fn by_end(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let at_once = ("at_once", self.at_once.load(Ordering::Relaxed));
        let lingered = LingerEnd::ALL.iter().zip(&self.lingered);
        let lingered = lingered.map(|(end, count)| (end.name(), count.load(Ordering::Relaxed)));
        std::iter::once(at_once).chain(lingered)
    }

    /// Returns how many connections were closed before their client had acknowledged everything.
    pub(crate) fn unacknowledged(&self) -> u64 {
        self.unacknowledged.load(Ordering::Relaxed)
    }

    /// Returns for how long connections lingered in all, in seconds.
    pub(crate) fn lingered_s(&self) -> f64 {
        self.lingered_ms.load(Ordering::Relaxed) as f64 / 1e3
    }
}
