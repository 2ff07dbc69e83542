//! A target: one incarnation of one back end of a service.

use brasswinch_types::{Service, Zone};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Names one incarnation of a target; a restart brings a new one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetId(Arc<str>);

impl TargetId {
    /// Wraps an identifier.
    pub fn new(id: impl AsRef<str>) -> Self {
        Self(Arc::from(id.as_ref()))
    }

    /// The identifier as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for TargetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What a target says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// Takes requests.
    Ready,
    /// Is leaving and takes nothing new.
    Draining,
}

/// A target's own entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// This incarnation.
    pub id: TargetId,
    /// The service it belongs to.
    pub service: Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub zone: Zone,
    /// Requests that it works on at once.
    pub slots: u32,
    /// What it is doing.
    pub state: TargetState,
    /// How much longer it stays cold, in seconds, when the entry was written.
    pub cold_remaining_s: f64,
}
