//! An upstream: one incarnation of one back end of a service.

use brasswinch_types::{Service, UpstreamId, Zone};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What an upstream says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamState {
    /// Takes requests.
    Ready,
    /// Is leaving and takes nothing new.
    Draining,
}

/// An upstream's own entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// This incarnation.
    pub id: UpstreamId,
    /// The service it belongs to.
    pub service: Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub zone: Zone,
    /// Requests that it works on at once.
    pub slots: u32,
    /// What it is doing.
    pub state: UpstreamState,
    /// How much longer it stays cold, in seconds, when the entry was written.
    pub cold_remaining_s: f64,
}
