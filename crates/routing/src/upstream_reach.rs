//! Decides whether this box itself reaches upstreams.
//!
//! One upstream that can't be reached has failed. If several can't, one after the other, the cause
//! may be this box's own links, so a sample of other upstreams is checked: a box that reaches none
//! of them has lost its path, and uses those of other boxes until two checks in a row reach one.

use brasswinch_types::{Millis, UpstreamId, Zone};
use rand::Rng;
use rand::seq::SliceRandom;

/// Upstreams that fail before a check is due.
const FAILURES_TO_CHECK: usize = 2;

/// How long a failure counts.
const FAILURE_WINDOW_MS: Millis = 2_000;

/// Shortest time between the starts of two checks.
pub const CHECK_INTERVAL_MS: Millis = 500;

/// Upstreams that a check tries to reach.
const SAMPLE_SIZE: usize = 4;

/// Checks in a row that reach an upstream before the own path is used again.
const CHECKS_TO_RESTORE: u32 = 2;

/// Whether this box reaches upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UpstreamPath {
    /// It reaches some.
    #[default]
    Direct,
    /// It reaches none.
    Lost,
}

/// An upstream as a candidate for a check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckCandidate<T> {
    /// Its zone.
    pub zone: Zone,
    /// What the caller needs to reach it.
    pub target: T,
}

/// One box's evidence of whether it reaches upstreams.
#[derive(Debug, Default)]
pub struct UpstreamReach {
    path: UpstreamPath,
    /// Upstreams that failed since one was reached, each with when.
    failures: Vec<(UpstreamId, Millis)>,
    is_checking: bool,
    /// When the last check started; `None` before the first.
    checked_at: Option<Millis>,
    /// Checks in a row that reached an upstream while the path was lost.
    reached_checks: u32,
}

impl UpstreamReach {
    /// Returns whether this box reaches upstreams.
    pub fn path(&self) -> UpstreamPath {
        self.path
    }

    /// Whether the result of a check is pending.
    pub fn is_checking(&self) -> bool {
        self.is_checking
    }

    /// Records that a new connection to an upstream was established.
    pub fn record_reached(&mut self) {
        self.failures.clear();
    }

    /// Records that a connection to one of `known` upstreams could not be established, or was lost.
    pub fn record_failure(&mut self, upstream: &UpstreamId, known: usize, now: Millis) {
        self.failures
            .retain(|(failed, at)| failed != upstream && is_within_window(*at, now));
        if self.failures.len() < FAILURES_TO_CHECK.min(known.max(1)) {
            self.failures.push((upstream.clone(), now));
        }
    }

    /// Starts a check if one is due for `known` upstreams. Returns whether it did.
    pub fn start_check_if_due(&mut self, known: usize, now: Millis) -> bool {
        let is_suspected = self.failures.len() >= FAILURES_TO_CHECK.min(known.max(1));
        let is_wanted = is_suspected || self.path == UpstreamPath::Lost;
        let last = self.checked_at;
        let is_early = last.is_some_and(|at| now.saturating_sub(at) < CHECK_INTERVAL_MS);
        if !is_wanted || self.is_checking || is_early || known == 0 {
            return false;
        }
        self.is_checking = true;
        self.checked_at = Some(now);
        true
    }

    /// Ends a check, which reached an upstream or none. Returns the new path if it changed.
    pub fn end_check(&mut self, has_reached: bool) -> Option<UpstreamPath> {
        self.is_checking = false;
        self.failures.clear();
        let path = match (self.path, has_reached) {
            (UpstreamPath::Direct, false) => UpstreamPath::Lost,
            (UpstreamPath::Lost, true) if self.reached_checks + 1 >= CHECKS_TO_RESTORE => {
                UpstreamPath::Direct
            }
            (unchanged, _) => unchanged,
        };
        self.reached_checks = match path {
            UpstreamPath::Lost if has_reached => self.reached_checks + 1,
            _ => 0,
        };
        let has_changed = path != self.path;
        self.path = path;
        has_changed.then_some(path)
    }
}

fn is_within_window(at: Millis, now: Millis) -> bool {
    now.saturating_sub(at) < FAILURE_WINDOW_MS
}

/// Draws the upstreams that a check tries to reach: of different zones as far as there are any,
/// so that the loss of one zone does not pass for the loss of the own path.
pub fn draw_sample<T>(
    mut candidates: Vec<CheckCandidate<T>>,
    random: &mut impl Rng,
) -> Vec<CheckCandidate<T>> {
    candidates.shuffle(random);
    let mut sample: Vec<CheckCandidate<T>> = Vec::new();
    let mut others = Vec::new();
    for candidate in candidates {
        let is_new_zone = sample.iter().all(|drawn| drawn.zone != candidate.zone);
        if is_new_zone {
            sample.push(candidate);
        } else {
            others.push(candidate);
        }
    }
    sample.truncate(SAMPLE_SIZE);
    let missing = SAMPLE_SIZE - sample.len();
    sample.extend(others.into_iter().take(missing));
    sample
}
