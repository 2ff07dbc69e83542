//! Changes of the store's entries, each with the store revision that made it.

use crate::config::SteeringConfig;
use crate::config_patch::ConfigPatch;
use crate::upstream::UpstreamRecord;
use brasswinch_types::{UpstreamId, Zone};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// How often the store was restored from an older copy.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct StoreEra(pub u16);

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The store's change counter, with the era in its upper 16 bits; later changes have larger
/// revisions. A restored store gives out values of its counter again, in a new era.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl Revision {
    /// Bits of the counter.
    const COUNTER_BITS: u32 = 48;

    /// Returns the revision of a value of the store's counter.
    pub fn new(era: StoreEra, counter: u64) -> Self {
        Self(u64::from(era.0) << Self::COUNTER_BITS | counter)
    }

    /// Returns the era of the store.
    pub fn era(self) -> StoreEra {
        StoreEra((self.0 >> Self::COUNTER_BITS) as u16)
    }

    /// Returns the value of the store's counter.
    pub fn counter(self) -> u64 {
        self.0 & ((1 << Self::COUNTER_BITS) - 1)
    }
}

/// The two parts of the store; each is followed separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Scope {
    /// The configuration and evacuations.
    Operator,
    /// The upstreams.
    Upstreams,
}

/// The key of a change. The latest change of a key applies.
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
    /// Returns the part of the store that holds the key.
    pub fn scope(&self) -> Scope {
        match self {
            Self::Config | Self::Evacuation(_) => Scope::Operator,
            Self::Upstream(_) => Scope::Upstreams,
        }
    }
}

/// The new value of a key, or its removal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// The configuration was replaced.
    Config(Arc<SteeringConfig>),
    /// The patches that lead from the configuration that a box holds to the newest one; empty if
    /// it holds the newest. Sent between boxes only.
    ConfigPatched(Vec<Arc<ConfigPatch>>),
    /// A configuration was written, but nothing of it can be read. Boxes don't send this to each
    /// other.
    ConfigUnreadable,
    /// A zone was evacuated and must receive no more requests.
    Evacuated(Zone),
    /// An upstream's entry was written.
    Upstream(UpstreamRecord),
    /// An upstream's entry was written, but describes no usable upstream.
    Unreadable(UpstreamId),
    /// The key was removed.
    Gone(ChangeKey),
}

impl Change {
    /// Returns the key of the change.
    pub fn key(&self) -> ChangeKey {
        match self {
            Self::Config(_) | Self::ConfigPatched(_) | Self::ConfigUnreadable => ChangeKey::Config,
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
    /// The store revision of the change.
    pub revision: Revision,
    /// The change.
    pub change: Change,
}

/// All entries of a scope as of `at`. A key that isn't listed and was last changed at or before
/// `at` has been removed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The part of the store.
    pub scope: Scope,
    /// The store's revision when the listing began.
    pub at: Revision,
    /// The entries.
    pub entries: Vec<Revised>,
}
