//! What boxes and keepers of quotas say to each other.

use super::loan::QuotaLoan;
use brasswinch_types::{Millis, Workspace};
use serde::{Deserialize, Serialize};

/// Tells a workspace's keeper of a request, before or as it is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaCount {
    /// Names the request in the answer; drawn by the box.
    #[serde(rename = "q")]
    pub id: u64,
    /// The workspace.
    #[serde(rename = "w")]
    pub workspace: Workspace,
    /// Requests: 1, or -1 where one that was counted did not run.
    #[serde(rename = "n")]
    pub runs: i32,
    /// Whether the request waits for leave.
    #[serde(rename = "a")]
    pub asks: bool,
    /// Requests that the box refused without asking since it last told.
    #[serde(rename = "t")]
    pub turned_away: u32,
    /// The box's part, where it lends it to this keeper.
    #[serde(rename = "l", default)]
    pub loan: Option<QuotaLoan>,
}

/// A keeper's word.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaWord {
    /// The request's; 0 where it answers none.
    #[serde(rename = "q")]
    pub id: u64,
    /// The workspace.
    #[serde(rename = "w")]
    pub workspace: Workspace,
    /// Whether a request that asked may be sent.
    #[serde(rename = "g")]
    pub is_granted: bool,
    /// Whether boxes have to ask before they send.
    #[serde(rename = "t")]
    pub is_tight: bool,
    /// When there is room for a request that was refused, in milliseconds.
    #[serde(rename = "r")]
    pub retry_after_ms: Millis,
    /// The keeper's clock, for loans.
    #[serde(rename = "s", default)]
    pub stamp: Millis,
}

impl QuotaWord {
    /// Tells boxes that they have to ask before they send.
    pub(super) fn tight(workspace: &Workspace, now: Millis) -> Self {
        Self {
            id: 0,
            workspace: workspace.clone(),
            is_granted: false,
            is_tight: true,
            retry_after_ms: 0,
            stamp: now,
        }
    }
}
