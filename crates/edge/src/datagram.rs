//! The datagrams that boxes send each other, encoded in CBOR.

use crate::health::ColdNotice;
use brasswinch_routing::{
    Advice, AdviceQuery, CompletionReport, CrashReport, LimitQuery, LimitReply, LimitUpdate,
    QuotaCount, QuotaReply, SwimMessage,
};
use serde::{Deserialize, Serialize};

/// One datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Membership and gossip.
    #[serde(rename = "s")]
    Swim(SwimMessage),
    /// Asks an upstream's coordinator where to send a request.
    #[serde(rename = "q")]
    AdviceQuery(AdviceQuery),
    /// The coordinator's reply to an advice query.
    #[serde(rename = "a")]
    Advice(Advice),
    /// Reports the outcome of a request to the coordinator that was asked where to send it.
    #[serde(rename = "e")]
    CompletionReport(CompletionReport),
    /// Reports a request of a workspace with a quota to the quota's coordinator, and may ask for a
    /// grant to send it.
    #[serde(rename = "c")]
    QuotaCount(QuotaCount),
    /// The reply of the quota's coordinator.
    #[serde(rename = "w")]
    QuotaReply(QuotaReply),
    /// Reports a request under which upstreams crashed, or a run of such a request that completed.
    #[serde(rename = "r")]
    CrashReport(CrashReport),
    /// Asks for a grant to send a request to an upstream with a limit.
    #[serde(rename = "l")]
    LimitQuery(LimitQuery),
    /// The reply of the limit's coordinator.
    #[serde(rename = "g")]
    LimitReply(LimitReply),
    /// Announces that an upstream has set, changed or removed its limit.
    #[serde(rename = "n")]
    LimitUpdate(LimitUpdate),
    /// Announces that an upstream is cold.
    #[serde(rename = "k")]
    ColdNotice(ColdNotice),
}
