//! The record of one request: the crashes that occurred one after another.

use super::message::{CrashReport, ReportedCrash};
use super::{CRASHES_TO_QUARANTINE, CRASHES_TO_SUSPECT};
use crate::request_digest::{RequestDigest, RequestShape};
use crate::upstream::UpstreamStart;
use brasswinch_types::{Millis, Service, UpstreamId, Workspace};
use serde::{Deserialize, Serialize};

/// Duration of a quarantine, counted from the last crash; doubled by each crash beyond those that
/// caused it.
const QUARANTINE_MS: Millis = 300_000;

/// Largest number of such doublings: 40 minutes.
const MAX_DOUBLINGS: usize = 3;

/// How long the record of a request that isn't quarantined is kept after its last crash.
const RETENTION_MS: Millis = 600_000;

/// How long the record of a cleared request is kept: longer than the report of an earlier crash
/// takes to arrive.
const CLEARED_RETENTION_MS: Millis = 30_000;

/// Most crashes kept in a record.
pub(super) const MAX_CRASHES: usize = CRASHES_TO_QUARANTINE + MAX_DOUBLINGS;

/// What identifies a suspected request without its digest, and its service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The workspace; `None` where no key is needed.
    #[serde(rename = "w")]
    pub workspace: Option<Workspace>,
    /// The service.
    #[serde(rename = "s")]
    pub service: Service,
    /// The shape, which is compared before the digest is computed.
    #[serde(rename = "h")]
    pub shape: RequestShape,
}

/// An attempt whose connection to the upstream broke without a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamCrash {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The instance of the upstream.
    pub started: Option<UpstreamStart>,
    /// When the request was sent, by this box's clock; 0 if that was before the box started.
    pub began: Millis,
    /// When the connection broke.
    pub ended: Millis,
}

impl UpstreamCrash {
    fn is_same_upstream(&self, other: &Self) -> bool {
        (&self.upstream, self.started) == (&other.upstream, other.started)
    }
}

/// The decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No crash is on record.
    Unknown,
    /// An upstream crashed while running it: the request is placed by its own digest.
    Suspect,
    /// The request is quarantined.
    Quarantined {
        /// Remaining time of the quarantine, in milliseconds.
        for_ms: Millis,
    },
}

/// The level of suspicion against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Level {
    /// No crash, or too few to inform all boxes.
    Clear,
    /// Its quarantine has expired.
    Released,
    /// Enough crashes to inform all boxes.
    Suspected,
    /// Enough crashes to quarantine it.
    Quarantined,
}

/// The record of one request.
#[derive(Clone, Debug)]
pub(super) struct Record {
    suspect: Suspect,
    /// Crashes, each of an attempt that began after the one before had ended. Of attempts that
    /// overlap in time only one counts: where many upstreams crash together, none of their
    /// requests is the cause.
    crashes: Vec<UpstreamCrash>,
    /// When an attempt was last answered; 0 if never.
    answered_at: Millis,
    last_level: Level,
}

impl Record {
    pub(super) fn new(suspect: Suspect) -> Self {
        Self {
            suspect,
            crashes: Vec::new(),
            answered_at: 0,
            last_level: Level::Clear,
        }
    }

    pub(super) fn suspect(&self) -> &Suspect {
        &self.suspect
    }

    pub(super) fn crashes(&self) -> &[UpstreamCrash] {
        &self.crashes
    }

    /// Adds a crash; returns whether the record changed.
    pub(super) fn add_crash(&mut self, crash: UpstreamCrash) -> bool {
        let is_known = self
            .crashes
            .iter()
            .any(|known| known.is_same_upstream(&crash));
        if is_known || crash.ended <= self.answered_at {
            return false;
        }
        let mut all = self.crashes.clone();
        all.push(crash);
        let kept = sequential(all);
        let is_changed = kept != self.crashes;
        self.crashes = kept;
        is_changed
    }

    /// Records that an attempt was answered at `at`; returns whether the record changed.
    pub(super) fn record_answer(&mut self, at: Millis) -> bool {
        if at <= self.answered_at {
            return false;
        }
        self.answered_at = at;
        let count_before = self.crashes.len();
        self.crashes.retain(|crash| crash.ended > at);
        self.crashes.len() != count_before
    }

    /// Merges another box's report; returns whether the record changed.
    pub(super) fn merge(&mut self, report: &CrashReport, now: Millis) -> bool {
        let ago = |ago_ms: Millis| now.saturating_sub(ago_ms);
        let mut is_changed = report
            .answered_ago_ms
            .is_some_and(|ago_ms| self.record_answer(ago(ago_ms)));
        // Reports take different times to arrive, so that crashes from two reports may seem to
        // overlap. Those of one report never do: if it contains more crashes than are on record
        // here, its times are used.
        let mut merged = Self {
            crashes: Vec::new(),
            ..self.clone()
        };
        let reported = report.crashes.iter().map(|reported_crash| UpstreamCrash {
            upstream: reported_crash.upstream.clone(),
            started: reported_crash.started,
            began: ago(reported_crash.began_ago_ms),
            ended: ago(reported_crash.ended_ago_ms),
        });
        for crash in reported {
            merged.add_crash(crash.clone());
            is_changed |= self.add_crash(crash);
        }
        if merged.crashes.len() > self.crashes.len() {
            self.crashes = merged.crashes;
            is_changed = true;
        }
        is_changed
    }

    pub(super) fn report(&self, digest: RequestDigest, now: Millis) -> CrashReport {
        let reported_crash = |crash: &UpstreamCrash| ReportedCrash {
            upstream: crash.upstream.clone(),
            started: crash.started,
            began_ago_ms: now.saturating_sub(crash.began),
            ended_ago_ms: now.saturating_sub(crash.ended),
        };
        CrashReport {
            digest,
            suspect: self.suspect.clone(),
            crashes: self.crashes.iter().map(reported_crash).collect(),
            answered_ago_ms: (self.answered_at > 0).then(|| now.saturating_sub(self.answered_at)),
        }
    }

    pub(super) fn verdict(&self, now: Millis) -> Verdict {
        match self.level(now) {
            Level::Quarantined => Verdict::Quarantined {
                for_ms: self.quarantined_until().saturating_sub(now),
            },
            _ if self.crashes.is_empty() => Verdict::Unknown,
            _ => Verdict::Suspect,
        }
    }

    pub(super) fn level(&self, now: Millis) -> Level {
        match self.crashes.len() {
            CRASHES_TO_QUARANTINE.. if now < self.quarantined_until() => Level::Quarantined,
            CRASHES_TO_QUARANTINE.. => Level::Released,
            CRASHES_TO_SUSPECT.. => Level::Suspected,
            _ => Level::Clear,
        }
    }

    /// Returns the level if it has changed since the last call.
    pub(super) fn take_level_change(&mut self, now: Millis) -> Option<Level> {
        let level = self.level(now);
        let has_changed = level != self.last_level;
        self.last_level = level;
        has_changed.then_some(level)
    }

    /// Returns when the quarantine ends; 0 if the request was never quarantined.
    pub(super) fn quarantined_until(&self) -> Millis {
        let Some(surplus) = self.crashes.len().checked_sub(CRASHES_TO_QUARANTINE) else {
            return 0;
        };
        let ended = self.crashes.last().map_or(0, |crash| crash.ended);
        ended + (QUARANTINE_MS << surplus.min(MAX_DOUBLINGS))
    }

    /// Whether the record may be removed.
    pub(super) fn is_expired(&self, now: Millis) -> bool {
        match self.crashes.last() {
            Some(last) => now >= self.quarantined_until().max(last.ended) + RETENTION_MS,
            None => now >= self.answered_at + CLEARED_RETENTION_MS,
        }
    }

    /// Returns the order in which records are kept when there are too many: by the number of
    /// crashes, then by the time of the last one.
    pub(super) fn retention_priority(&self) -> (usize, Millis) {
        let ended = self.crashes.last().map_or(0, |crash| crash.ended);
        (self.crashes.len(), ended)
    }
}

/// Returns the longest sequence of crashes in which each attempt began after the one before had
/// ended, limited to the newest [`MAX_CRASHES`].
fn sequential(mut crashes: Vec<UpstreamCrash>) -> Vec<UpstreamCrash> {
    crashes.sort_by_key(|crash| crash.ended);
    let mut kept: Vec<UpstreamCrash> = Vec::with_capacity(crashes.len());
    for crash in crashes {
        if kept.last().is_none_or(|last| crash.began >= last.ended) {
            kept.push(crash);
        }
    }
    let surplus = kept.len().saturating_sub(MAX_CRASHES);
    kept.split_off(surplus)
}
