//! What boxes ask each other about an upstream before they send it a request.
//!
//! Each upstream's load is counted by one box of each region, its keeper: all boxes of the
//! region ask it before they send, and tell it when the request ends. So a decision's load
//! is as good with 300 boxes as with one, where each of 300 boxes meets an upstream about
//! once a minute. The keeper also chooses: of the upstreams that it keeps, the one that
//! knows the object, or the least full. It decides nothing else: where it is silent, a box
//! goes by what it knows itself.

use super::UpstreamOutcome;
use crate::upstream::UpstreamStart;
use crate::upstream_load::LoadReport;
use brasswinch_types::{Millis, Region, Service, UpstreamId};
use serde::{Deserialize, Serialize};

/// Asks the keeper of an object's home where a request about the object should go. It is
/// counted there until its [`Ending`], or until its time is over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Question {
    /// Names the request in the answer and at its end; drawn by the asking box.
    #[serde(rename = "q")]
    pub id: u64,
    /// The service.
    #[serde(rename = "s")]
    pub service: Service,
    /// Where the upstream is to stand.
    #[serde(rename = "r")]
    pub region: Region,
    /// The object, as a hash.
    #[serde(rename = "o")]
    pub object: u64,
    /// The object's home there.
    #[serde(rename = "h")]
    pub home: UpstreamId,
    /// How long the request may still take, in milliseconds.
    #[serde(rename = "t")]
    pub left_ms: Millis,
}

/// A keeper's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Advice {
    /// The question's.
    #[serde(rename = "q")]
    pub id: u64,
    /// The upstream that suits best.
    #[serde(rename = "u")]
    pub upstream: UpstreamId,
    /// Which of its lives.
    #[serde(rename = "b", default)]
    pub started: Option<UpstreamStart>,
    /// Requests there without this one, in multiples of its slots.
    #[serde(rename = "f")]
    pub fullness: f32,
    /// Whether it has served a request about the object lately.
    #[serde(rename = "k")]
    pub has_served: bool,
}

/// Tells a keeper how a request ended that it was asked about.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ending {
    /// The question's.
    #[serde(rename = "q")]
    pub id: u64,
    /// The service.
    #[serde(rename = "s")]
    pub service: Service,
    /// The object, as a hash.
    #[serde(rename = "o")]
    pub object: u64,
    /// Where it was sent; `None` where it went to an upstream of another region, or nowhere.
    #[serde(rename = "u")]
    pub upstream: Option<UpstreamId>,
    /// Which of its lives.
    #[serde(rename = "b", default)]
    pub started: Option<UpstreamStart>,
    /// How it ended there.
    #[serde(rename = "e")]
    pub outcome: UpstreamOutcome,
    /// What the upstream told of its load.
    #[serde(rename = "l")]
    pub report: Option<LoadReport>,
}
