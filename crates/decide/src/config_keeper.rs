//! Keeps the newest entry of each configuration key.
//!
//! Entries arrive from the store and from peers, possibly late, duplicated or out of
//! order. An older entry never replaces a newer one. Merging is commutative, associative
//! and idempotent, so all daemons that received the same entries hold the same set.

use brasswinch_types::{ConfigEntry, ConfigKey, SubmissionId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// The version that a daemon holds of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldVersion {
    /// The key.
    pub key: ConfigKey,
    /// Its version.
    pub version: u64,
    /// The submission that created it.
    pub submission: SubmissionId,
}

impl From<&ConfigEntry> for HeldVersion {
    fn from(entry: &ConfigEntry) -> Self {
        Self {
            key: entry.key.clone(),
            version: entry.version,
            submission: entry.submission,
        }
    }
}

/// The result of merging an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// The entry is newer and now in force.
    Newer,
    /// The entry was already in force.
    Same,
    /// The entry doesn't supersede the one in force and was dropped.
    Older,
}

/// The entries in force.
#[derive(Clone, Debug, Default)]
pub struct ConfigKeeper {
    entries: BTreeMap<ConfigKey, ConfigEntry>,
    digest: u64,
}

impl ConfigKeeper {
    /// Stores `entry` if it supersedes the one held under its key.
    pub fn merge(&mut self, entry: ConfigEntry) -> Merge {
        let held = self.entries.get(&entry.key);
        if held == Some(&entry) {
            return Merge::Same;
        }
        if held.is_some_and(|held| !entry.supersedes(held)) {
            return Merge::Older;
        }
        if let Some(held) = held {
            self.digest ^= fingerprint(held);
        }
        self.digest ^= fingerprint(&entry);
        self.entries.insert(entry.key.clone(), entry);
        Merge::Newer
    }

    /// Returns the entry in force under `key`.
    pub fn get(&self, key: &ConfigKey) -> Option<&ConfigEntry> {
        self.entries.get(key)
    }

    /// Returns all entries, including withdrawn ones.
    pub fn entries(&self) -> impl Iterator<Item = &ConfigEntry> {
        self.entries.values()
    }

    /// Returns a digest that is equal on daemons with the same versions in force.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the versions held, for a peer to compare with its own.
    pub fn held(&self) -> Vec<HeldVersion> {
        self.entries.values().map(HeldVersion::from).collect()
    }

    /// Whether `offered` is newer than the version held under its key, or none is held.
    pub fn lacks(&self, offered: &HeldVersion) -> bool {
        self.entries.get(&offered.key).is_none_or(|held| {
            (offered.version, offered.submission) > (held.version, held.submission)
        })
    }

    /// Returns the entries that are missing or older at a peer that holds `theirs`.
    pub fn missing_from(&self, theirs: &[HeldVersion]) -> Vec<ConfigEntry> {
        let theirs: BTreeMap<&ConfigKey, (u64, SubmissionId)> = theirs
            .iter()
            .map(|held| (&held.key, (held.version, held.submission)))
            .collect();
        self.entries
            .values()
            .filter(|entry| {
                theirs
                    .get(&entry.key)
                    .is_none_or(|held| (entry.version, entry.submission) > *held)
            })
            .cloned()
            .collect()
    }
}

fn fingerprint(entry: &ConfigEntry) -> u64 {
    let text = format!("{}#{}#{}", entry.key, entry.version, entry.submission);
    xxh3_64(text.as_bytes())
}
