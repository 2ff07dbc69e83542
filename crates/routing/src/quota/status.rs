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
