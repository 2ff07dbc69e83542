//! Decisions about requests, and the messages that they need.

use super::{QueuedGrant, QuotaCount, QuotaReply};
use brasswinch_types::Millis;
use std::net::SocketAddr;

/// A message to a workspace's coordinator.
#[derive(Clone, Debug, PartialEq)]
pub struct ToCoordinator {
    /// The coordinator's address.
    pub address: SocketAddr,
    /// The message.
    pub count: QuotaCount,
}

/// The decision about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// The request may be sent. The message goes to the coordinator, unless that is this box.
    Send(Option<ToCoordinator>),
    /// The coordinator must grant the request first.
    Ask(ToCoordinator),
    /// The request waits for a grant at the coordinator. The reply has its id: from another box it
    /// arrives as a datagram, from this one in [`super::Quotas::take_grants`], which may happen before
    /// the caller of [`super::Quotas::admit`] handles this variant.
    Wait(QueuedGrant),
    /// The request must not be sent.
    Refuse {
        /// Time until a request may be admitted again, in milliseconds.
        retry_after_ms: Millis,
    },
}

/// A reply about a request that waited for a grant.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedReply {
    /// The address of the box that waits; this box's own for its own requests.
    pub address: SocketAddr,
    /// The reply.
    pub reply: QuotaReply,
}
