//! What boxes tell each other of requests under which upstreams ended.

use super::record::{MOST_RUNS, Suspect};
use crate::request_digest::RequestDigest;
use crate::upstream::UpstreamStart;
use brasswinch_types::{Millis, UpstreamId};
use serde::{Deserialize, Serialize};

/// Longest time that a report may look back: more than any run is remembered.
const LONGEST_AGO_MS: Millis = 7_200_000;

/// A broken run as it is told: in spans, since no two boxes' clocks agree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldRun {
    /// The upstream.
    #[serde(rename = "u")]
    pub upstream: UpstreamId,
    /// Which of its lives.
    #[serde(rename = "l")]
    pub started: Option<UpstreamStart>,
    /// How long ago the request was sent, in milliseconds.
    #[serde(rename = "b")]
    pub began_ago_ms: Millis,
    /// How long ago the connection broke.
    #[serde(rename = "e")]
    pub ended_ago_ms: Millis,
}

/// All that a box knows of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// The request.
    #[serde(rename = "d")]
    pub digest: RequestDigest,
    /// Whose it is.
    #[serde(rename = "s")]
    pub suspect: Suspect,
    /// Its broken runs, oldest first.
    #[serde(rename = "r")]
    pub runs: Vec<ToldRun>,
    /// How long ago one of its runs was answered, in milliseconds; `None` if never.
    #[serde(rename = "a")]
    pub answered_ago_ms: Option<Millis>,
}

/// Why a report can't be true.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// It tells of nothing.
    #[error("a report of no run")]
    Empty,
    /// It has more runs than are ever kept.
    #[error("{0} broken runs of one request")]
    TooManyRuns(usize),
    /// A run ended before it began.
    #[error("a run that ended before it began")]
    Backwards,
    /// It looks back further than anything is remembered.
    #[error("something that happened {0} ms ago")]
    TooLongAgo(Millis),
}

impl RunReport {
    /// The same, told `by_ms` later.
    pub(super) fn grow_older(&mut self, by_ms: Millis) {
        for run in &mut self.runs {
            run.began_ago_ms += by_ms;
            run.ended_ago_ms += by_ms;
        }
        self.answered_ago_ms = self.answered_ago_ms.map(|ago_ms| ago_ms + by_ms);
    }

    /// Whether it can be true.
    pub(super) fn check(&self) -> Result<(), ReportError> {
        if self.runs.is_empty() && self.answered_ago_ms.is_none() {
            return Err(ReportError::Empty);
        }
        if self.runs.len() > MOST_RUNS {
            return Err(ReportError::TooManyRuns(self.runs.len()));
        }
        if self
            .runs
            .iter()
            .any(|run| run.began_ago_ms < run.ended_ago_ms)
        {
            return Err(ReportError::Backwards);
        }
        let began = self.runs.iter().map(|run| run.began_ago_ms);
        let longest = began.chain(self.answered_ago_ms).max().unwrap_or(0);
        if longest > LONGEST_AGO_MS {
            return Err(ReportError::TooLongAgo(longest));
        }
        Ok(())
    }
}
