//! Messages between boxes and the coordinators of upstreams' limits.

use super::UpstreamLimit;
use crate::upstream::UpstreamIncarnation;
use brasswinch_types::Millis;
use serde::{Deserialize, Serialize};

/// Asks the coordinator of an upstream's limit to grant a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitQuery {
    /// Random id of the query, repeated in the reply.
    #[serde(rename = "q")]
    pub id: u64,
    /// The upstream.
    #[serde(flatten)]
    pub incarnation: UpstreamIncarnation,
    /// The limit as known to the box; a coordinator that knows none uses it.
    #[serde(rename = "l")]
    pub limit: UpstreamLimit,
}

/// A coordinator's reply to a query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReply {
    /// The query's id.
    #[serde(rename = "q")]
    pub id: u64,
    /// Whether the request may be sent.
    #[serde(rename = "g")]
    pub is_granted: bool,
    /// Time until the next request may be granted, in milliseconds.
    #[serde(rename = "f")]
    pub next_grant_in_ms: Millis,
    /// Retry time for a client that no other upstream serves, in milliseconds.
    #[serde(rename = "r")]
    pub retry_after_ms: Millis,
}

/// A limit declared in an upstream's response. It is sent to the coordinator, which broadcasts it
/// to all boxes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// The upstream.
    #[serde(flatten)]
    pub incarnation: UpstreamIncarnation,
    /// The limit; `None` where the upstream no longer declares one.
    #[serde(rename = "l")]
    pub limit: Option<UpstreamLimit>,
    /// Whether the sender of the update knew of no limit before.
    #[serde(rename = "f")]
    pub is_first: bool,
    /// Whether the coordinator sent the update.
    #[serde(rename = "k")]
    pub is_from_coordinator: bool,
}
