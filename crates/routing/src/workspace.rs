//! Workspaces: which one a request belongs to, and what it may use.

use crate::config::SteeringConfig;
use brasswinch_types::{Region, Workspace};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::sync::Arc;

/// The first 128 bits of a key's SHA-256 hash. Boxes store and exchange keys in this form.
///
/// The key itself is dropped as soon as the operator's document is parsed, so no box can leak
/// it. Since keys are looked up by this hash, the duration of a lookup doesn't reveal how much of
/// a guessed key is right.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(u128);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        let digest = Sha256::digest(key);
        let mut first = [0; 16];
        first.copy_from_slice(&digest[..16]);
        Self(u128::from_be_bytes(first))
    }

    /// Folds the digest into 64 bits, for the fingerprint of a configuration.
    pub(crate) fn fold_to_u64(self) -> u64 {
        (self.0 >> 64) as u64 ^ self.0 as u64
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// The fleet-wide request limit of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaLimit {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Requests allowed on top of the rate, once.
    pub burst: f64,
}

/// The operators' settings of a workspace.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceConfig {
    /// The keys of its clients.
    pub keys: BTreeSet<KeyDigest>,
    /// Priority of its requests, compared before that of their route; 0 is the highest.
    pub priority: u32,
    /// `None` if it has no limit.
    pub quota: Option<QuotaLimit>,
    /// The regions that its requests may go to; empty allows all.
    pub allowed_regions: BTreeSet<Region>,
}

/// A workspace of the configuration in force.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownWorkspace {
    /// Its name.
    pub name: Workspace,
    /// The operators' settings of it.
    pub config: WorkspaceConfig,
}

/// Maps keys to workspaces in constant time.
#[derive(Debug, Default)]
pub struct KeyTable {
    by_key: HashMap<KeyDigest, Arc<KnownWorkspace>>,
    has_workspaces: bool,
}

impl KeyTable {
    /// Creates a table of the keys of all workspaces.
    pub fn new(config: &SteeringConfig) -> Self {
        let mut table = Self {
            // Requests need a key even if no workspace could be read.
            has_workspaces: config.gaps.lacks_workspaces(),
            ..Self::default()
        };
        for (name, config) in &config.workspaces {
            table.has_workspaces = true;
            let known = Arc::new(KnownWorkspace {
                name: name.clone(),
                config: config.clone(),
            });
            let keys = config.keys.iter();
            table
                .by_key
                .extend(keys.map(|key| (*key, Arc::clone(&known))));
        }
        table
    }

    /// Returns whether any workspace is configured. If none is, requests need no key.
    pub fn has_workspaces(&self) -> bool {
        self.has_workspaces
    }

    /// Returns the workspace that holds `key`.
    pub fn find(&self, key: &[u8]) -> Option<&Arc<KnownWorkspace>> {
        self.by_key.get(&KeyDigest::of(key))
    }
}

/// The regions that a request may go to: those that both its route and its workspace allow.
/// An empty set allows all.
#[derive(Clone, Copy, Debug)]
pub struct RegionLimits<'a> {
    /// The regions that the route allows.
    pub route: &'a BTreeSet<Region>,
    /// The regions that the workspace allows; `None` for a request without a workspace.
    pub workspace: Option<&'a BTreeSet<Region>>,
}

impl RegionLimits<'_> {
    /// Returns whether a request may go to `region`.
    pub fn allow(&self, region: &Region) -> bool {
        let allows = |regions: &BTreeSet<Region>| regions.is_empty() || regions.contains(region);
        allows(self.route) && self.workspace.is_none_or(allows)
    }
}

/// The urgency of a request. Workspace priorities are compared before route priorities; lower
/// values are more urgent.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Rank {
    /// The workspace's priority.
    pub workspace: u32,
    /// The route's priority.
    pub route: u32,
}
