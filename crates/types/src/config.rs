//! The operators' configuration as the store keeps it and daemons relay it.
//!
//! Each entry carries its own version, one above the version it replaces. The
//! version, not the store's revision, orders the texts of one key: a store
//! restored from an older copy can then not bring an older text back in force.

use crate::{Service, SubmissionId, UpstreamId, Workspace};
use serde::{Deserialize, Serialize};
use std::fmt;

/// What an entry is about. Each key has one value and one line of versions.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ConfigKey {
    /// The policy of a workspace.
    Policy(Workspace),
    /// A planned drain of one upstream.
    Drain(Workspace, Service, UpstreamId),
}

impl ConfigKey {
    /// The workspace that the entry belongs to.
    pub fn workspace(&self) -> &Workspace {
        match self {
            Self::Policy(workspace) | Self::Drain(workspace, _, _) => workspace,
        }
    }
}

impl fmt::Display for ConfigKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Policy(workspace) => write!(f, "policies/{workspace}"),
            Self::Drain(workspace, service, upstream) => {
                write!(f, "drains/{workspace}/{service}/{upstream}")
            }
        }
    }
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigEntry {
    /// What it is about.
    pub key: ConfigKey,
    /// One above the version it replaces; the first is 1.
    pub version: u64,
    /// Tells this submission from every other.
    pub submission: SubmissionId,
    /// The new content.
    pub document: ConfigDocument,
}

impl ConfigEntry {
    /// Whether this entry takes the place of `other` under the same key.
    ///
    /// Versions decide. The submission breaks a tie, which only a store
    /// restored from an older copy can bring about; all daemons break it alike.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.version, self.submission) > (other.version, other.submission)
    }
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigDocument {
    /// A policy program.
    Policy(PolicyText),
    /// A planned drain, in force until cancelled.
    Drain(DrainNotice),
    /// The key was withdrawn. Kept so that an older entry can't return.
    Withdrawn(Tombstone),
}

/// A policy as its operators wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyText {
    /// The program's source.
    pub source: String,
}

/// Why an upstream is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainNotice {
    /// The operator's words.
    pub reason: String,
}

/// Marks a withdrawn key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tombstone {}
