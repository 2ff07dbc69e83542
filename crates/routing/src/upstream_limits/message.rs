//! What boxes and keepers of upstreams' limits say to each other.

use super::UpstreamLimit;
use crate::upstream::UpstreamLife;
use brasswinch_types::Millis;
use serde::{Deserialize, Serialize};

/// Asks the keeper of an upstream's limit whether a request may be sent there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitQuestion {
    /// Names the question in its answer; drawn by the asking box.
    #[serde(rename = "q")]
    pub id: u64,
    /// The upstream.
    #[serde(flatten)]
    pub life: UpstreamLife,
    /// Its limit as the box knows it; a keeper that knows none goes by it.
    #[serde(rename = "l")]
    pub limit: UpstreamLimit,
}

/// A keeper's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitWord {
    /// The question's.
    #[serde(rename = "q")]
    pub id: u64,
    /// Whether the request may be sent.
    #[serde(rename = "g")]
    pub is_granted: bool,
    /// When the next request may be sent, in milliseconds.
    #[serde(rename = "f")]
    pub free_in_ms: Millis,
    /// When a client comes back best that nobody else serves, in milliseconds.
    #[serde(rename = "r")]
    pub retry_after_ms: Millis,
}

/// What an upstream's answer named: told to the limit's keeper, and by it to all boxes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitNews {
    /// The upstream.
    #[serde(flatten)]
    pub life: UpstreamLife,
    /// Its limit; `None` where it names none any more.
    #[serde(rename = "l")]
    pub limit: Option<UpstreamLimit>,
    /// Whether the box that tells it knew of no limit before.
    #[serde(rename = "f")]
    pub is_first: bool,
    /// Whether the keeper tells it.
    #[serde(rename = "k")]
    pub is_from_keeper: bool,
}
