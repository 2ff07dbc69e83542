//! Keeps the newest entry of each configuration key and never goes back.
//!
//! Entries arrive from the store and from peers, late, twice and in any order.
//! Merging is commutative, associative and idempotent, so all daemons that have
//! seen the same entries hold the same set.

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
    /// The submission that made it.
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

/// What became of an entry that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// It is newer and now in force.
    Newer,
    /// It is the entry already in force.
    Same,
    /// It is older than the entry in force and was dropped.
    Older,
}

/// The entries in force.
#[derive(Clone, Debug, Default)]
pub struct ConfigKeeper {
    entries: BTreeMap<ConfigKey, ConfigEntry>,
    digest: u64,
}

impl ConfigKeeper {
    /// Takes `entry` if it is newer than what is held.
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

    /// The entry in force under `key`.
    pub fn get(&self, key: &ConfigKey) -> Option<&ConfigEntry> {
        self.entries.get(key)
    }

    /// Every entry, withdrawn ones included.
    pub fn entries(&self) -> impl Iterator<Item = &ConfigEntry> {
        self.entries.values()
    }

    /// A number that is equal where the same versions are in force.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The versions held, for a peer to compare with its own.
    pub fn held(&self) -> Vec<HeldVersion> {
        self.entries.values().map(HeldVersion::from).collect()
    }

    /// Whether `offered` is newer than what is held under its key.
    pub fn lacks(&self, offered: &HeldVersion) -> bool {
        self.entries.get(&offered.key).is_none_or(|held| {
            (offered.version, offered.submission) > (held.version, held.submission)
        })
    }

    /// The entries that a peer holding `theirs` lacks or holds older.
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
