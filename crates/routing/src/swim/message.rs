//! What boxes tell each other about members.

use super::member::{Liveness, MemberRecord};
use crate::change::{Revision, Scope};
use brasswinch_types::BoxId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// News of one member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    #[serde(rename = "r")]
    pub(super) record: MemberRecord,
    #[serde(rename = "l")]
    pub(super) liveness: Liveness,
}

/// What boxes say to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SwimMessage {
    /// Answer me.
    Ping {
        /// Comes back in the answer.
        sequence: u32,
        /// News.
        updates: Vec<Update>,
    },
    /// Here I am, or whom you asked me to probe.
    Ack {
        /// The ping's.
        sequence: u32,
        /// News.
        updates: Vec<Update>,
    },
    /// Probe another for me.
    PingRequest {
        /// Comes back in the answer.
        sequence: u32,
        /// Whom to probe.
        peer: SocketAddr,
        /// News.
        updates: Vec<Update>,
    },
    /// Here are members that I know.
    Sync {
        /// Whether to answer with those that you know.
        asks: bool,
        /// The members.
        updates: Vec<Update>,
    },
    /// Here is how much I know of the store, and how old that is.
    Known {
        /// The sender.
        #[serde(rename = "i")]
        id: BoxId,
        /// Each scope that it knows.
        #[serde(rename = "v")]
        views: Vec<KnownView>,
        /// Whether the store does not answer the sender, or the box that it speaks for,
        /// which goes on trying.
        #[serde(rename = "f", default)]
        failing: bool,
    },
}

/// How much a box knows of a scope, and how old that is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownView {
    /// The scope.
    #[serde(rename = "s")]
    pub scope: Scope,
    /// The last change that it knows.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The store's revision up to which there is no later change.
    #[serde(rename = "a")]
    pub at: Revision,
    /// How long ago, in milliseconds, that was everything.
    #[serde(rename = "o")]
    pub age_ms: u32,
}

/// A message and where it goes.
pub type Outgoing = (SocketAddr, SwimMessage);
