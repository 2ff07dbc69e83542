//! The messages of the membership protocol.

use super::digest::MembersDigest;
use super::member::{Liveness, MemberRecord};
use crate::change::{Revision, Scope};
use brasswinch_types::BoxId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The record and liveness of one member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    #[serde(rename = "r")]
    pub(super) record: MemberRecord,
    #[serde(rename = "l")]
    pub(super) liveness: Liveness,
}

/// A message between boxes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SwimMessage {
    /// Probes the receiver.
    Ping {
        /// Copied into the acknowledgement.
        sequence: u32,
        /// Piggybacked updates.
        updates: Vec<Update>,
    },
    /// Acknowledges a ping, or confirms that the peer of a ping request acknowledged one.
    Ack {
        /// The sequence number of the ping or ping request.
        sequence: u32,
        /// Piggybacked updates.
        updates: Vec<Update>,
    },
    /// Asks the receiver to probe `peer` for the sender.
    PingRequest {
        /// Copied into the acknowledgement.
        sequence: u32,
        /// The box to probe.
        peer: SocketAddr,
        /// Piggybacked updates.
        updates: Vec<Update>,
    },
    /// Sends members that the sender knows.
    Sync {
        /// Whether the receiver is to reply with the members that it knows.
        #[serde(rename = "asks")]
        wants_reply: bool,
        /// The members.
        updates: Vec<Update>,
        /// With a request, what the sender knows; the reply then contains only what differs.
        #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
        digest: Option<MembersDigest>,
        /// In a reply, the number of differing members if they are too many for datagrams. The
        /// receiver is to fetch them in a [`MembersRequest`](super::MembersRequest).
        #[serde(rename = "w", default)]
        withheld: u32,
    },
    /// Sends how much of the store the sender knows, and how old that view is.
    Known {
        /// The sender.
        #[serde(rename = "i")]
        id: BoxId,
        /// Its view of each scope that it knows.
        #[serde(rename = "v")]
        views: Vec<KnownView>,
        /// Whether the store doesn't respond to the sender, or to the box whose views it relays;
        /// that box keeps retrying.
        #[serde(rename = "f", default)]
        failing: bool,
    },
}

/// How much of a scope a box knows, and how old that view is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownView {
    /// The scope.
    #[serde(rename = "s")]
    pub scope: Scope,
    /// The revision of the last change that it knows.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The store's revision up to which there is no later change.
    #[serde(rename = "a")]
    pub at: Revision,
    /// How long ago, in milliseconds, the view was complete.
    #[serde(rename = "o")]
    pub age_ms: u32,
}

/// A message and its destination.
pub type Outgoing = (SocketAddr, SwimMessage);
