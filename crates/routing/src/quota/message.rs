//! Messages between boxes and the coordinators of quotas.

use super::QuotaClass;
use super::loan::QuotaLoan;
use brasswinch_types::{Millis, Workspace};
use serde::{Deserialize, Serialize};

/// Reports a request to the workspace's coordinator, before or as it is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaCount {
    /// Random id of the request, repeated in the reply; 0 where no reply is needed.
    #[serde(rename = "q")]
    pub id: u64,
    /// The workspace.
    #[serde(rename = "w")]
    pub workspace: Workspace,
    /// Number of requests: 1, -1 where a counted request did not run, or 0 where only a loan is
    /// sent.
    #[serde(rename = "n")]
    pub runs: i32,
    /// Whether the request waits for a grant.
    #[serde(rename = "a")]
    pub needs_grant: bool,
    /// Requests that the box refused without asking since its last message.
    #[serde(rename = "t")]
    pub refused_locally: u32,
    /// The box's share, where it is lent to this coordinator.
    #[serde(rename = "l", default)]
    pub loan: Option<QuotaLoan>,
    /// Hash of the name of the request's route; 0 if unknown.
    #[serde(rename = "c", default, skip_serializing_if = "is_default")]
    pub class: u64,
    /// Priority of the class; 0 is the most urgent.
    #[serde(rename = "p", default, skip_serializing_if = "is_default")]
    pub priority: u32,
    /// Longest time that the request may wait for a grant, in milliseconds; 0 in older builds.
    #[serde(rename = "m", default, skip_serializing_if = "is_default")]
    pub max_wait_ms: Millis,
    /// Whether the request `id` is withdrawn: it no longer waits, and gives back its grant.
    #[serde(rename = "x", default, skip_serializing_if = "is_default")]
    pub withdraw: bool,
}

impl QuotaCount {
    /// Returns a count of `runs` requests that needs neither a grant nor a reply.
    pub(super) fn without_reply(workspace: &Workspace, runs: i32) -> Self {
        Self {
            id: 0,
            workspace: workspace.clone(),
            runs,
            needs_grant: false,
            refused_locally: 0,
            loan: None,
            class: 0,
            priority: 0,
            max_wait_ms: 0,
            withdraw: false,
        }
    }

    /// Returns the request for a grant of the request `id`.
    pub(super) fn needing_grant(workspace: &Workspace, id: u64, class: QuotaClass) -> Self {
        Self {
            id,
            needs_grant: true,
            class: class.class,
            priority: class.priority,
            max_wait_ms: class.max_wait_ms,
            ..Self::without_reply(workspace, 1)
        }
    }
}

/// Whether a field is unset, so that it is left out of the message.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// A coordinator's reply or broadcast.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// The request's id; 0 in a broadcast and where the count had none.
    #[serde(rename = "q")]
    pub id: u64,
    /// The workspace.
    #[serde(rename = "w")]
    pub workspace: Workspace,
    /// Whether a request that waits for a grant may be sent.
    #[serde(rename = "g")]
    pub is_granted: bool,
    /// Whether the workspace is near its limit, so that boxes need a grant before they send.
    #[serde(rename = "t")]
    pub is_near_limit: bool,
    /// Time after which a refused client may retry, in milliseconds.
    #[serde(rename = "r")]
    pub retry_after_ms: Millis,
    /// The coordinator's time, for loans.
    #[serde(rename = "s", default)]
    pub stamp: Millis,
    /// Set if the request waits for a grant, which is expected after that many milliseconds.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub wait_ms: Option<Millis>,
}

impl QuotaReply {
    /// Creates the broadcast that the workspace is near its limit.
    pub(super) fn near_limit(workspace: &Workspace, now: Millis) -> Self {
        Self {
            id: 0,
            workspace: workspace.clone(),
            is_granted: false,
            is_near_limit: true,
            retry_after_ms: 0,
            stamp: now,
            wait_ms: None,
        }
    }
}
