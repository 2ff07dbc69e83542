//! What the administration API answers.

use brasswinch_types::{ConfigDocument, ConfigEntry};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What became of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SubmitOutcome {
    /// The store has it; it is coming into force everywhere.
    Accepted,
    /// Another submission took its place or came first; this one is not in force.
    Superseded,
    /// The store's answer was lost and reading back failed: ask again with the same submission.
    Unknown,
    /// It is wrong; nothing was changed.
    Refused,
    /// The store can't be reached; nothing was changed.
    Unavailable,
}

/// The answer to a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitAnswer {
    /// What became of it.
    pub outcome: SubmitOutcome,
    /// The version that it got, or that is in its way.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// Identifies the submission.
    pub submission: String,
    /// Why, for a person.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

/// A policy in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyView {
    /// Its version.
    pub version: u64,
    /// The submission that made it.
    pub submission: String,
    /// Its text; empty where the policy was withdrawn.
    pub source: String,
}

impl PolicyView {
    pub(crate) fn from_entry(entry: &ConfigEntry) -> Self {
        let source = match &entry.document {
            ConfigDocument::Policy(policy) => policy.source.clone(),
            _ => String::new(),
        };
        Self {
            version: entry.version,
            submission: entry.submission.to_string(),
            source,
        }
    }
}

/// What one box knows of what the system is doing for a workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusView {
    /// The box that answers.
    pub answered_by: String,
    /// Its zone.
    pub zone: String,
    /// What it is doing.
    pub state: String,
    /// Whether the platform's store answers it.
    pub store_reached: bool,
    /// The policy in force here.
    pub policy: Option<PolicyView>,
    /// Drains in force here, as `service/upstream`.
    pub drains: Vec<String>,
    /// The workspace's services.
    pub services: Vec<ServiceView>,
    /// All boxes.
    pub boxes: Vec<BoxView>,
    /// Zones without a reachable box.
    pub unreachable_zones: Vec<String>,
}

/// One service at one box.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceView {
    /// Its name.
    pub service: String,
    /// Its class; none before a policy is in force.
    pub class: Option<String>,
    /// Slots with work on this box.
    pub busy_here: u32,
    /// Slots that this box could start work on.
    pub idle_here: u32,
    /// Slots that this box has on loan.
    pub borrowed_here: u32,
    /// Slots that this box has lent.
    pub lent_here: u32,
    /// Load by zone.
    pub zones: BTreeMap<String, LoadView>,
    /// Shares by origin that was looked up here.
    pub origins: Vec<OriginView>,
    /// Upstreams of this zone that are leaving.
    pub leaving: Vec<String>,
}

/// Load of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadView {
    /// Idle slots, less callers sent there since the last report.
    pub idle: u32,
    /// All slots.
    pub total: u32,
}

impl From<(u32, u32)> for LoadView {
    fn from((idle, total): (u32, u32)) -> Self {
        Self { idle, total }
    }
}

/// Where callers of one origin are sent now.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OriginView {
    /// The callers' region.
    pub origin: String,
    /// The share of each region.
    pub shares: BTreeMap<String, f64>,
}

/// One box, as the answering box sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxView {
    /// Its name.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// The state that it reports.
    pub state: String,
    /// Whether it is reachable.
    pub heard: bool,
    /// Whether it reports the same configuration in force as the answering box.
    pub in_force: bool,
}
