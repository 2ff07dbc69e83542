//! An upstream: one incarnation of one back end of a service.

use brasswinch_types::{Service, UpstreamId, Zone};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Start time of an upstream's process, in milliseconds since 1970 by its own clock. It only
/// identifies the incarnation; it is never used for time arithmetic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UpstreamStart(pub u64);

/// State that an upstream announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamState {
    /// Accepts requests.
    Ready,
    /// Leaves and accepts no new requests.
    Draining,
}

/// The entry that an upstream writes for itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Its name.
    pub id: UpstreamId,
    /// Start time of this incarnation, if announced: a restarted upstream may keep its name.
    pub started: Option<UpstreamStart>,
    /// The service it belongs to.
    pub service: Service,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The zone that it runs in.
    pub zone: Zone,
    /// Requests that it can run at the same time.
    pub slots: u32,
    /// Its announced state.
    pub state: UpstreamState,
    /// Remaining cold period when the entry was written, in seconds.
    pub cold_remaining_s: f64,
}

impl UpstreamRecord {
    /// Returns the incarnation that wrote the entry.
    pub fn incarnation(&self) -> UpstreamIncarnation {
        UpstreamIncarnation {
            upstream: self.id.clone(),
            started: self.started,
        }
    }
}

/// One incarnation of an upstream. State of one incarnation doesn't apply to the next.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UpstreamIncarnation {
    /// The upstream.
    #[serde(rename = "u")]
    pub upstream: UpstreamId,
    /// Start time of the incarnation.
    #[serde(rename = "b", default)]
    pub started: Option<UpstreamStart>,
}
