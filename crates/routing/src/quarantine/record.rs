//! What is known of one request: the runs under which upstreams ended, one after another.

use super::message::{RunReport, ToldRun};
use super::{RUNS_TO_SHUT_OUT, RUNS_TO_SUSPECT};
use crate::request_digest::{RequestDigest, RequestShape};
use crate::upstream::UpstreamStart;
use brasswinch_types::{Millis, Service, UpstreamId, Workspace};
use serde::{Deserialize, Serialize};

/// How long a request is shut out after the last run that broke; doubled by each run beyond
/// those that shut it out.
const SHUT_OUT_MS: Millis = 300_000;

/// Most such doublings: 40 minutes.
const MOST_DOUBLINGS: usize = 3;

/// How long a request that isn't shut out is remembered after its last broken run.
const REMEMBERED_MS: Millis = 600_000;

/// How long a request that was cleared is remembered: longer than a report of an earlier run is
/// on its way.
const CLEARED_MS: Millis = 30_000;

/// Most runs that are kept.
pub(super) const MOST_RUNS: usize = RUNS_TO_SHUT_OUT + MOST_DOUBLINGS;

/// Whose request it is, where it goes, and how to know it without its digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The workspace; `None` where no key is needed.
    #[serde(rename = "w")]
    pub workspace: Option<Workspace>,
    /// The service.
    #[serde(rename = "s")]
    pub service: Service,
    /// What is compared before the digest is computed.
    #[serde(rename = "h")]
    pub shape: RequestShape,
}

/// A run that ended with its upstream's connection, without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenRun {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Which of its lives.
    pub started: Option<UpstreamStart>,
    /// When the request was sent, by this box's clock; 0 where that was before its start.
    pub began: Millis,
    /// When the connection broke.
    pub ended: Millis,
}

impl BrokenRun {
    fn is_at_upstream_of(&self, other: &Self) -> bool {
        (&self.upstream, self.started) == (&other.upstream, other.started)
    }
}

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Unknown,
    /// An upstream ended under it: it goes where its own digest says.
    Suspect,
    /// It is held back.
    ShutOut {
        /// How much longer, in milliseconds.
        for_ms: Millis,
    },
}

/// How much speaks against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Level {
    /// Nothing, or less than others are told of.
    Clear,
    /// It was shut out.
    LetOut,
    /// Enough to tell all boxes.
    Suspected,
    /// Enough to hold it back.
    ShutOut,
}

/// What is known of one request.
#[derive(Clone, Debug)]
pub(super) struct Record {
    suspect: Suspect,
    /// Broken runs, each of which began after the one before had ended. Runs of one moment
    /// count once: where many upstreams end together, none of their requests is the cause.
    runs: Vec<BrokenRun>,
    /// When a run was last answered; 0 if never.
    answered_at: Millis,
    seen: Level,
}

impl Record {
    pub(super) fn new(suspect: Suspect) -> Self {
        Self {
            suspect,
            runs: Vec::new(),
            answered_at: 0,
            seen: Level::Clear,
        }
    }

    pub(super) fn suspect(&self) -> &Suspect {
        &self.suspect
    }

    pub(super) fn runs(&self) -> &[BrokenRun] {
        &self.runs
    }

    /// Adds a broken run; says whether that changed anything.
    pub(super) fn add_run(&mut self, run: BrokenRun) -> bool {
        let is_known = self.runs.iter().any(|held| held.is_at_upstream_of(&run));
        if is_known || run.ended <= self.answered_at {
            return false;
        }
        let mut all = self.runs.clone();
        all.push(run);
        let kept = one_after_another(all);
        let is_changed = kept != self.runs;
        self.runs = kept;
        is_changed
    }

    /// A run was answered at `at`; says whether that changed anything.
    pub(super) fn answered(&mut self, at: Millis) -> bool {
        if at <= self.answered_at {
            return false;
        }
        self.answered_at = at;
        let held = self.runs.len();
        self.runs.retain(|run| run.ended > at);
        self.runs.len() != held
    }

    /// Takes what another box told; says whether that changed anything.
    pub(super) fn merge(&mut self, report: &RunReport, now: Millis) -> bool {
        let ago = |ago_ms: Millis| now.saturating_sub(ago_ms);
        let mut is_changed = report
            .answered_ago_ms
            .is_some_and(|answered| self.answered(ago(answered)));
        // Reports are on their way for different times, so that runs of two of them may seem to
        // overlap. Those of one report don't: where it tells of more than is known here, its
        // times count.
        let mut theirs = Self {
            runs: Vec::new(),
            ..self.clone()
        };
        let told_runs = report.runs.iter().map(|told| BrokenRun {
            upstream: told.upstream.clone(),
            started: told.started,
            began: ago(told.began_ago_ms),
            ended: ago(told.ended_ago_ms),
        });
        for run in told_runs {
            theirs.add_run(run.clone());
            is_changed |= self.add_run(run);
        }
        if theirs.runs.len() > self.runs.len() {
            self.runs = theirs.runs;
            is_changed = true;
        }
        is_changed
    }

    pub(super) fn report(&self, digest: RequestDigest, now: Millis) -> RunReport {
        let told = |run: &BrokenRun| ToldRun {
            upstream: run.upstream.clone(),
            started: run.started,
            began_ago_ms: now.saturating_sub(run.began),
            ended_ago_ms: now.saturating_sub(run.ended),
        };
        RunReport {
            digest,
            suspect: self.suspect.clone(),
            runs: self.runs.iter().map(told).collect(),
            answered_ago_ms: (self.answered_at > 0).then(|| now.saturating_sub(self.answered_at)),
        }
    }

    pub(super) fn verdict(&self, now: Millis) -> Verdict {
        match self.level(now) {
            Level::ShutOut => Verdict::ShutOut {
                for_ms: self.shut_out_until().saturating_sub(now),
            },
            _ if self.runs.is_empty() => Verdict::Unknown,
            _ => Verdict::Suspect,
        }
    }

    pub(super) fn level(&self, now: Millis) -> Level {
        match self.runs.len() {
            RUNS_TO_SHUT_OUT.. if now < self.shut_out_until() => Level::ShutOut,
            RUNS_TO_SHUT_OUT.. => Level::LetOut,
            RUNS_TO_SUSPECT.. => Level::Suspected,
            _ => Level::Clear,
        }
    }

    /// The level, where it is another than when it was last looked at.
    pub(super) fn seen_level(&mut self, now: Millis) -> Option<Level> {
        let level = self.level(now);
        let is_new = level != self.seen;
        self.seen = level;
        is_new.then_some(level)
    }

    /// When a request that was shut out is let out again; 0 if it never was.
    pub(super) fn shut_out_until(&self) -> Millis {
        let Some(beyond) = self.runs.len().checked_sub(RUNS_TO_SHUT_OUT) else {
            return 0;
        };
        let ended = self.runs.last().map_or(0, |run| run.ended);
        ended + (SHUT_OUT_MS << beyond.min(MOST_DOUBLINGS))
    }

    /// Whether it need not be remembered.
    pub(super) fn is_over(&self, now: Millis) -> bool {
        match self.runs.last() {
            Some(last) => now >= self.shut_out_until().max(last.ended) + REMEMBERED_MS,
            None => now >= self.answered_at + CLEARED_MS,
        }
    }

    /// What counts where not all can be remembered: how much speaks against it, then how new
    /// that is.
    pub(super) fn weight(&self) -> (usize, Millis) {
        let ended = self.runs.last().map_or(0, |run| run.ended);
        (self.runs.len(), ended)
    }
}

/// The longest row of runs, each of which began after the one before had ended; the newest
/// [`MOST_RUNS`] of it.
fn one_after_another(mut runs: Vec<BrokenRun>) -> Vec<BrokenRun> {
    runs.sort_by_key(|run| run.ended);
    let mut kept: Vec<BrokenRun> = Vec::with_capacity(runs.len());
    for run in runs {
        if kept.last().is_none_or(|last| run.began >= last.ended) {
            kept.push(run);
        }
    }
    let surplus = kept.len().saturating_sub(MOST_RUNS);
    kept.split_off(surplus)
}
