//! An upstream: one incarnation of one back end of a service.

use brasswinch_types::{Service, UpstreamId, Zone};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// When an upstream's process began, in milliseconds since 1970 by its own clock. It tells one
/// life of an upstream from the next, and nothing is reckoned with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UpstreamStart(pub u64);

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
    /// Its name.
    pub id: UpstreamId,
    /// Which of its lives this is, if it says so: one that starts again may keep its name.
    pub started: Option<UpstreamStart>,
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

impl UpstreamRecord {
    /// The life of the upstream that wrote the entry.
    pub fn life(&self) -> UpstreamLife {
        UpstreamLife {
            upstream: self.id.clone(),
            started: self.started,
        }
    }
}

/// One life of an upstream: what is known of one says nothing of the next.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UpstreamLife {
    /// The upstream.
    #[serde(rename = "u")]
    pub upstream: UpstreamId,
    /// Which of its lives.
    #[serde(rename = "b", default)]
    pub started: Option<UpstreamStart>,
}
