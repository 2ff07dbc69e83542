//! Messages between boxes about requests during which upstreams crashed.

use super::record::{MAX_CRASHES, Suspect};
use crate::request_digest::RequestDigest;
use crate::upstream::UpstreamStart;
use brasswinch_types::{Millis, UpstreamId};
use serde::{Deserialize, Serialize};

/// Largest age of an event in a report, in milliseconds: longer than any crash is kept.
const MAX_AGE_MS: Millis = 7_200_000;

/// A crash in a report. Its times are relative, since the clocks of boxes differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedCrash {
    /// The upstream.
    #[serde(rename = "u")]
    pub upstream: UpstreamId,
    /// The instance of the upstream.
    #[serde(rename = "l")]
    pub started: Option<UpstreamStart>,
    /// Time since the request was sent, in milliseconds.
    #[serde(rename = "b")]
    pub began_ago_ms: Millis,
    /// Time since the connection broke, in milliseconds.
    #[serde(rename = "e")]
    pub ended_ago_ms: Millis,
}

/// A box's full record of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    #[serde(rename = "d")]
    pub digest: RequestDigest,
    /// What identifies the request without its digest, and its service.
    #[serde(rename = "s")]
    pub suspect: Suspect,
    /// Its crashes, oldest first.
    #[serde(rename = "r")]
    pub crashes: Vec<ReportedCrash>,
    /// Time since one of its attempts was last answered, in milliseconds; `None` if never.
    #[serde(rename = "a")]
    pub answered_ago_ms: Option<Millis>,
}

/// The reason why a report can't be true.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// It contains no event.
    #[error("the report contains neither a crash nor an answer")]
    Empty,
    /// It contains more crashes than are ever kept.
    #[error("the report contains {0} crashes, more than are ever kept")]
    TooManyCrashes(usize),
    /// An attempt ended before it began.
    #[error("an attempt ended before it began")]
    EndedBeforeBegin,
    /// It contains an event older than any that is kept.
    #[error("the report contains an event from {0} ms ago, which is too old")]
    TooOld(Millis),
}

impl CrashReport {
    /// Adds `by_ms` to the age of each event.
    pub(super) fn age_by(&mut self, by_ms: Millis) {
        for crash in &mut self.crashes {
            crash.began_ago_ms += by_ms;
            crash.ended_ago_ms += by_ms;
        }
        self.answered_ago_ms = self.answered_ago_ms.map(|ago_ms| ago_ms + by_ms);
    }

    /// Checks whether the report can be true.
    pub(super) fn check(&self) -> Result<(), ReportError> {
        if self.crashes.is_empty() && self.answered_ago_ms.is_none() {
            return Err(ReportError::Empty);
        }
        if self.crashes.len() > MAX_CRASHES {
            return Err(ReportError::TooManyCrashes(self.crashes.len()));
        }
        if self
            .crashes
            .iter()
            .any(|crash| crash.began_ago_ms < crash.ended_ago_ms)
        {
            return Err(ReportError::EndedBeforeBegin);
        }
        let began = self.crashes.iter().map(|crash| crash.began_ago_ms);
        let longest = began.chain(self.answered_ago_ms).max().unwrap_or(0);
        if longest > MAX_AGE_MS {
            return Err(ReportError::TooOld(longest));
        }
        Ok(())
    }
}
