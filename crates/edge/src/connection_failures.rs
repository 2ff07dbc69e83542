//! Counts and logs how connections to upstreams are established and lost.

use crate::context::Context;
use crate::tunnel::is_tunnel_loss;
use brasswinch_observe::{Event, emit};
use brasswinch_types::{BoxId, UpstreamId};
use std::error::Error;
use std::fmt;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Why a connection could not be established, or ended before the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureCause {
    /// The upstream's machine refused it.
    Refused,
    /// The other side reset it.
    Reset,
    /// The other side closed it.
    Closed,
    /// Nothing came back in time.
    TimedOut,
    /// The box that carried it failed, or the link to it.
    TunnelLost,
    /// Another error.
    Other,
}

/// All causes, in the order of the counters.
const CAUSES: [FailureCause; 6] = [
    FailureCause::Refused,
    FailureCause::Reset,
    FailureCause::Closed,
    FailureCause::TimedOut,
    FailureCause::TunnelLost,
    FailureCause::Other,
];

impl From<&io::Error> for FailureCause {
    fn from(error: &io::Error) -> Self {
        if is_tunnel_loss(error) {
            return Self::TunnelLost;
        }
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe => Self::Reset,
            io::ErrorKind::UnexpectedEof => Self::Closed,
            io::ErrorKind::TimedOut
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable => Self::TimedOut,
            _ => Self::Other,
        }
    }
}

impl From<&hyper::Error> for FailureCause {
    fn from(error: &hyper::Error) -> Self {
        let mut source = error.source();
        while let Some(cause) = source {
            if let Some(io_error) = cause.downcast_ref::<io::Error>() {
                return io_error.into();
            }
            source = cause.source();
        }
        if error.is_incomplete_message() || error.is_canceled() || error.is_closed() {
            return Self::Closed;
        }
        Self::Other
    }
}

impl FailureCause {
    /// Whether the cause may be this box's own path to the upstream.
    fn may_be_own_path(self) -> bool {
        matches!(self, Self::Refused | Self::Reset | Self::TimedOut)
    }

    fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Reset => "reset",
            Self::Closed => "closed",
            Self::TimedOut => "timed_out",
            Self::TunnelLost => "tunnel_lost",
            Self::Other => "other",
        }
    }
}

impl fmt::Display for FailureCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Connections to upstreams since the start.
#[derive(Debug, Default)]
pub(crate) struct ConnectionCounts {
    established: AtomicU64,
    unestablished: [AtomicU64; CAUSES.len()],
    lost: [AtomicU64; CAUSES.len()],
}

impl ConnectionCounts {
    /// Returns the counts, each with its label.
    pub(crate) fn by_label(&self) -> Vec<(String, u64)> {
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let mut all = vec![(
            "outcome=\"established\"".to_owned(),
            count(&self.established),
        )];
        for (outcome, counters) in [("failed", &self.unestablished), ("lost", &self.lost)] {
            for (cause, counter) in CAUSES.iter().zip(counters) {
                let labels = format!("outcome=\"{outcome}\",cause=\"{cause}\"");
                all.push((labels, count(counter)));
            }
        }
        all
    }
}

impl Context {
    /// Counts a new direct connection to an upstream.
    pub(crate) fn record_connected(&self) {
        let counts = &self.metrics.connections;
        counts.established.fetch_add(1, Ordering::Relaxed);
        self.record_upstream_reached();
    }

    /// Counts and logs a connection that could not be established in `took`.
    pub(crate) fn record_connect_failure(
        self: &Arc<Self>,
        upstream: &UpstreamId,
        cause: FailureCause,
        took: Duration,
    ) {
        let counts = &self.metrics.connections;
        counts.unestablished[cause as usize].fetch_add(1, Ordering::Relaxed);
        let ms = took.as_millis();
        emit(
            Event::UpstreamFailed,
            format_args!("upstream={upstream} connect={cause} ms={ms}"),
        );
        if cause.may_be_own_path() {
            self.record_upstream_unreached(upstream);
        }
    }

    /// Counts and logs a connection that ended before the response was complete, `took` after the
    /// request was sent.
    pub(crate) fn record_connection_loss(
        self: &Arc<Self>,
        upstream: &UpstreamId,
        via: Option<&BoxId>,
        cause: FailureCause,
        took: Duration,
    ) {
        let counts = &self.metrics.connections;
        counts.lost[cause as usize].fetch_add(1, Ordering::Relaxed);
        let ms = took.as_millis();
        let carrier = via.map_or("-", BoxId::as_str);
        emit(
            Event::UpstreamFailed,
            format_args!("upstream={upstream} lost={cause} via={carrier} ms={ms}"),
        );
        match via {
            None if cause.may_be_own_path() => self.record_upstream_unreached(upstream),
            Some(peer) if cause == FailureCause::TunnelLost => self.tunnel_peers.record_loss(peer),
            _ => {}
        }
    }
}
