//! Counts messages and bytes between boxes by kind and direction.

use crate::datagram::Datagram;
use brasswinch_routing::SwimMessage;
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

/// Kind of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum MessageKind {
    /// Probes a member.
    Ping,
    /// Acknowledges a probe.
    Ack,
    /// Asks for an indirect probe.
    PingRequest,
    /// Compares members, or sends a few of them.
    Sync,
    /// Reports how much of the store a box knows.
    ViewReport,
    /// A query about an upstream's load, its reply, or the report of its outcome.
    Advice,
    /// Counts or grants requests of a workspace with a quota.
    Quota,
    /// Counts or grants requests to an upstream with a limit, or announces the limit.
    Limit,
    /// Reports a request under which upstreams crashed.
    CrashReport,
    /// Announces that an upstream is cold.
    ColdNotice,
    /// Requests changes of the store, or sends them.
    Updates,
    /// Requests members, or sends them.
    Members,
    /// Requests a connection to an upstream, or replies.
    Tunnel,
}

/// Direction of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Direction {
    /// This box sent it.
    Sent,
    /// This box received it.
    Received,
}

impl From<&Datagram> for MessageKind {
    fn from(datagram: &Datagram) -> Self {
        match datagram {
            Datagram::Swim(SwimMessage::Ping { .. }) => Self::Ping,
            Datagram::Swim(SwimMessage::Ack { .. }) => Self::Ack,
            Datagram::Swim(SwimMessage::PingRequest { .. }) => Self::PingRequest,
            Datagram::Swim(SwimMessage::Sync { .. }) => Self::Sync,
            Datagram::Swim(SwimMessage::Known { .. }) => Self::ViewReport,
            Datagram::AdviceQuery(_) | Datagram::Advice(_) | Datagram::CompletionReport(_) => {
                Self::Advice
            }
            Datagram::QuotaCount(_) | Datagram::QuotaReply(_) => Self::Quota,
            Datagram::LimitQuery(_) | Datagram::LimitReply(_) | Datagram::LimitUpdate(_) => {
                Self::Limit
            }
            Datagram::CrashReport(_) => Self::CrashReport,
            Datagram::ColdNotice(_) => Self::ColdNotice,
        }
    }
}

impl MessageKind {
    fn label(self) -> &'static str {
        match self {
            Self::Ping => "ping",
            Self::Ack => "ack",
            Self::PingRequest => "ping_request",
            Self::Sync => "sync",
            Self::ViewReport => "view_report",
            Self::Advice => "advice",
            Self::Quota => "quota",
            Self::Limit => "limit",
            Self::CrashReport => "crash_report",
            Self::ColdNotice => "cold_notice",
            Self::Updates => "updates",
            Self::Members => "members",
            Self::Tunnel => "tunnel",
        }
    }
}

impl Direction {
    fn label(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Received => "received",
        }
    }
}

/// Messages and their length, without headers of the network.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
}

/// What this box has sent to other boxes and received from them.
#[derive(Debug, Default)]
pub(crate) struct PeerTraffic {
    counts: Mutex<BTreeMap<(MessageKind, Direction), Traffic>>,
}

impl PeerTraffic {
    /// Counts a message of `bytes`.
    pub(crate) fn count(&self, kind: MessageKind, direction: Direction, bytes: usize) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let traffic = counts.entry((kind, direction)).or_default();
        traffic.messages += 1;
        traffic.bytes += bytes as u64;
    }

    /// Returns the labels and traffic of each kind and direction.
    pub(crate) fn by_label(&self) -> Vec<(String, Traffic)> {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let labelled = counts.iter().map(|((kind, direction), traffic)| {
            let (kind, direction) = (kind.label(), direction.label());
            let labels = format!("kind=\"{kind}\",direction=\"{direction}\"");
            (labels, *traffic)
        });
        labelled.collect()
    }
}
