//! The status of quotas, for operators.

use brasswinch_types::Workspace;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The status of a workspace's quota at one box.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaStatus {
    /// The workspace.
    pub workspace: Workspace,
    /// Requests admitted by this box since it started.
    pub sent: u64,
    /// Requests refused by this box for the quota since it started.
    pub refused: u64,
    /// Whether requests need a grant of the coordinator.
    #[serde(rename = "is_tight")]
    pub is_near_limit: bool,
    /// Whether the coordinator doesn't reply, so that the box admits a fraction of its share.
    #[serde(rename = "is_alone")]
    pub is_coordinator_unreachable: bool,
    /// Tokens in the bucket, where this box is the coordinator.
    pub level: Option<f64>,
    /// Requests at this box by class, ordered by class.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub classes: Vec<QuotaClassStatus>,
}

/// The requests of one class of a workspace at one box, counted since the box started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaClassStatus {
    /// Hash of the route's name ([`super::QuotaClass::class`]).
    pub class: u64,
    /// Requests that needed a grant of the coordinator.
    pub asked: u64,
    /// Requests admitted, with or without a grant.
    pub granted: u64,
    /// Requests that waited for a grant.
    pub waited: u64,
    /// Requests refused by the coordinator, or by this box's own share.
    pub refused: u64,
    /// Requests refused without asking, since the coordinator refused one of the class before.
    pub refused_locally: u64,
    /// Requests whose wait ended without a grant; also counted as refused.
    pub expired: u64,
}

impl QuotaClassStatus {
    /// Adds the counts of another class.
    pub fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.granted += other.granted;
        self.waited += other.waited;
        self.refused += other.refused;
        self.refused_locally += other.refused_locally;
        self.expired += other.expired;
    }
}

impl fmt::Display for QuotaStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            workspace,
            sent,
            refused,
            ..
        } = self;
        write!(f, "{workspace}: {sent} sent, {refused} refused")?;
        if self.is_near_limit {
            f.write_str(", near its limit")?;
        }
        if self.is_coordinator_unreachable {
            f.write_str(", coordinator unreachable")?;
        }
        match self.level {
            Some(level) => write!(f, ", coordinated here: {level:.1} requests available"),
            None => Ok(()),
        }
    }
}
