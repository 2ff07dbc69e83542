//! Changes of what is known, each with the store's revision that made it.

use crate::config::SteeringConfig;
use crate::config_patch::ConfigPatch;
use crate::upstream::UpstreamRecord;
use brasswinch_types::{UpstreamId, Zone};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A count of the store's changes; later changes have larger ones.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// The two parts of the store that are followed, each by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Scope {
    /// The configuration and evacuations.
    Operator,
    /// The upstreams.
    Upstreams,
}

/// What a change is about. The last change of a key counts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ChangeKey {
    /// The configuration.
    Config,
    /// The evacuation of a zone.
    Evacuation(Zone),
    /// An upstream.
    Upstream(UpstreamId),
}

impl ChangeKey {
    /// The part of the store that holds it.
    pub fn scope(&self) -> Scope {
        match self {
            Self::Config | Self::Evacuation(_) => Scope::Operator,
            Self::Upstream(_) => Scope::Upstreams,
        }
    }
}

/// What became of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// The configuration was replaced.
    Config(Arc<SteeringConfig>),
    /// The configuration was changed, in these steps, from a version that a box holds;
    /// none, if it holds the newest. Only boxes tell each other this.
    ConfigPatched(Vec<Arc<ConfigPatch>>),
    /// A zone is to get nothing more.
    Evacuated(Zone),
    /// An upstream wrote its entry.
    Upstream(UpstreamRecord),
    /// An upstream's entry was written, and it names no upstream that can be used.
    Unreadable(UpstreamId),
    /// The key is no longer there.
    Gone(ChangeKey),
}

impl Change {
    /// What the change is about.
    pub fn key(&self) -> ChangeKey {
        match self {
            Self::Config(_) | Self::ConfigPatched(_) => ChangeKey::Config,
            Self::Evacuated(zone) => ChangeKey::Evacuation(zone.clone()),
            Self::Upstream(record) => ChangeKey::Upstream(record.id.clone()),
            Self::Unreadable(id) => ChangeKey::Upstream(id.clone()),
            Self::Gone(key) => key.clone(),
        }
    }
}

/// A change and its revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Revised {
    /// The revision that made it.
    pub revision: Revision,
    /// The change.
    pub change: Change,
}

/// All entries of a scope. A key that is missing and whose last change is not later
/// than `at` is gone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The part of the store.
    pub scope: Scope,
    /// The store's revision when the listing began.
    pub at: Revision,
    /// The entries.
    pub entries: Vec<Revised>,
}
