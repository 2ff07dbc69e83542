//! What boxes send each other in datagrams, in CBOR.

use crate::health::ColdNews;
use brasswinch_routing::{
    Advice, Ending, LimitNews, LimitQuestion, LimitWord, Question, QuotaCount, QuotaWord,
    RunReport, SwimMessage,
};
use serde::{Deserialize, Serialize};

/// One datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Membership.
    #[serde(rename = "s")]
    Swim(SwimMessage),
    /// Where should this request go?
    #[serde(rename = "q")]
    Question(Question),
    /// There.
    #[serde(rename = "a")]
    Advice(Advice),
    /// So it ended.
    #[serde(rename = "e")]
    Ending(Ending),
    /// A request of a workspace with a quota.
    #[serde(rename = "c")]
    QuotaCount(QuotaCount),
    /// What the quota's keeper says.
    #[serde(rename = "w")]
    QuotaWord(QuotaWord),
    /// Upstreams ended under this request, or one of its runs was answered.
    #[serde(rename = "r")]
    RunReport(RunReport),
    /// May a request be sent to an upstream that names a limit?
    #[serde(rename = "l")]
    LimitQuestion(LimitQuestion),
    /// What the limit's keeper says.
    #[serde(rename = "g")]
    LimitWord(LimitWord),
    /// An upstream names a limit, or none any more.
    #[serde(rename = "n")]
    LimitNews(LimitNews),
    /// An upstream is cold.
    #[serde(rename = "k")]
    ColdNews(ColdNews),
}
