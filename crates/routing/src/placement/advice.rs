//! Messages that boxes exchange about an upstream before they send it a request.
//!
//! In each region one box, the coordinator, counts the load of an upstream: all boxes of the
//! region ask it before they send a request and report to it when the request ends. Decisions are
//! thus based on equally fresh load with 300 boxes as with one; on its own, each of 300 boxes
//! reaches an upstream about once a minute. The coordinator also chooses among the upstreams that
//! it coordinates: one that has been chosen for the object, or the least loaded. It decides
//! nothing else: if it doesn't reply, a box uses its own information.

use super::UpstreamOutcome;
use crate::upstream::UpstreamStart;
use crate::upstream_load::LoadReport;
use brasswinch_types::{Millis, Region, Service, UpstreamId};
use serde::{Deserialize, Serialize};

/// Asks the coordinator of an object's home where to send a request. The coordinator counts the
/// request until its [`CompletionReport`] arrives or its time runs out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdviceQuery {
    /// Identifies the request in the reply and the completion report; random, drawn by the asking
    /// box.
    #[serde(rename = "q")]
    pub id: u64,
    /// The service.
    #[serde(rename = "s")]
    pub service: Service,
    /// The region to choose an upstream in.
    #[serde(rename = "r")]
    pub region: Region,
    /// Hash of the object.
    #[serde(rename = "o")]
    pub object: u64,
    /// The object's home in the region.
    #[serde(rename = "h")]
    pub home: UpstreamId,
    /// Time left until the request's deadline, in milliseconds.
    #[serde(rename = "t")]
    pub left_ms: Millis,
}

/// A coordinator's reply to a query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Advice {
    /// The id of the query.
    #[serde(rename = "q")]
    pub id: u64,
    /// The advised upstream.
    #[serde(rename = "u")]
    pub upstream: UpstreamId,
    /// Start time of the upstream's incarnation.
    #[serde(rename = "b", default)]
    pub started: Option<UpstreamStart>,
    /// Requests at the upstream without this one, as a multiple of its slots.
    #[serde(rename = "f")]
    pub fullness: f32,
    /// Whether the upstream has recently served a request for the object.
    #[serde(rename = "k")]
    pub has_served: bool,
}

/// Reports to the coordinator how a request that it was queried about ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionReport {
    /// The id of the query.
    #[serde(rename = "q")]
    pub id: u64,
    /// The service.
    #[serde(rename = "s")]
    pub service: Service,
    /// Hash of the object.
    #[serde(rename = "o")]
    pub object: u64,
    /// The upstream that got the request; `None` if it went to another region or was never sent.
    #[serde(rename = "u")]
    pub upstream: Option<UpstreamId>,
    /// Start time of the upstream's incarnation.
    #[serde(rename = "b", default)]
    pub started: Option<UpstreamStart>,
    /// The outcome at that upstream.
    #[serde(rename = "e")]
    pub outcome: UpstreamOutcome,
    /// The load report in the upstream's answer.
    #[serde(rename = "l")]
    pub report: Option<LoadReport>,
}
