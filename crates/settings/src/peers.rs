//! Links to the other boxes.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Which boxes a daemon links to, and how it keeps the links.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// Peer addresses to ask first; boxes of the own zone serve best.
    pub seeds: Vec<SocketAddr>,
    /// Least time between heartbeats inside the zone, in milliseconds. It grows with the
    /// number of neighbours.
    pub heartbeat_ms: u64,
    /// How many boxes of this zone link to each other zone, one box there each.
    pub links_per_zone: usize,
    /// Heartbeats to other zones are this many times rarer.
    pub far_heartbeat_factor: u64,
    /// Messages that wait on one link before the link is dropped.
    pub queue_messages: usize,
    /// Longest message, in bytes.
    pub message_bytes: usize,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            heartbeat_ms: 250,
            links_per_zone: 2,
            far_heartbeat_factor: 2,
            queue_messages: 1_024,
            message_bytes: 4 * 1024 * 1024,
        }
    }
}
