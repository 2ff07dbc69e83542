//! What boxes tell each other about members.

use super::member::{Liveness, MemberRecord};
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
}

/// A message and where it goes.
pub type Outgoing = (SocketAddr, SwimMessage);
