//! The operators' configuration in the form in which it is stored and relayed by daemons.
//!
//! Each entry carries its own version, one above the version it replaces. Entries
//! of one key are ordered by this version and not by the store's revision, so a
//! store restored from an older backup can't put an older entry back in force.

use crate::{Service, SubmissionId, UpstreamId, Workspace};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The subject of an entry. Each key has one value and one sequence of versions.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ConfigKey {
    /// The policy of a workspace.
    Policy(Workspace),
    /// A planned drain of one upstream.
    Drain(Workspace, Service, UpstreamId),
}

impl ConfigKey {
    /// Returns the workspace that the entry belongs to.
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

/// One accepted change to the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigEntry {
    /// The subject of the entry.
    pub key: ConfigKey,
    /// One above the version it replaces; the first is 1.
    pub version: u64,
    /// Identifies the submission that made this change.
    pub submission: SubmissionId,
    /// The new content.
    pub document: ConfigDocument,
}

impl ConfigEntry {
    /// Whether this entry replaces `other` under the same key.
    ///
    /// The higher version wins. Equal versions arise only after a store was restored
    /// from an older backup; the higher submission identifier then wins, so that all
    /// daemons choose the same entry.
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
    /// The key was withdrawn. The entry remains so that an older one can't take effect again.
    Withdrawn(Tombstone),
}

/// A policy as written by the operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyText {
    /// The source text of the policy program.
    pub source: String,
}

/// Why an upstream is being drained.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainNotice {
    /// The reason that the operator gave.
    pub reason: String,
}

/// Marks a key as withdrawn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tombstone {}
