//! What a box knows of one upstream's load and health.
//!
//! Load is the own requests in flight plus what the upstream last reported of others',
//! which counts for less as it ages. Health is passive: failures eject an upstream for a
//! time that doubles, after which one request at a time tries it.

use brasswinch_types::Millis;
use serde::{Deserialize, Serialize};

/// A report of others' requests loses half of its weight in this time.
const REPORT_HALF_LIFE_MS: f64 = 1_000.0;

/// First time that a failing upstream is left out.
const FIRST_EJECTION_MS: Millis = 500;

/// Longest time that a failing upstream is left out.
const LONGEST_EJECTION_MS: Millis = 4_000;

/// Unanswered requests in a row that eject an upstream.
const FAILURES_TO_EJECT: u32 = 2;

/// What an upstream says of its load in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it works on at once.
    pub slots: u32,
}

/// Load and health of one upstream, as one box sees them.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamLoad {
    in_flight: u32,
    others: f64,
    reported_at: Millis,
    failures: u32,
    ejections: u32,
    ejected_until: Millis,
    is_unreachable: bool,
}

impl UpstreamLoad {
    /// A request is about to be sent.
    pub fn started(&mut self) {
        self.in_flight += 1;
    }

    /// A request ended, whatever its outcome.
    pub fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// The upstream answered, whether it ran the request or not: it is alive.
    pub fn answered(&mut self) {
        self.is_unreachable = false;
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = 0;
    }

    /// The upstream reported its load in an answer to a request that still counts as in
    /// flight here, although the report no longer holds it.
    pub fn reported(&mut self, report: LoadReport, now: Millis) {
        let total = f64::from(report.running) + f64::from(report.waiting);
        let mine = f64::from(self.in_flight.saturating_sub(1));
        self.others = (total - mine).max(0.0);
        self.reported_at = now;
    }

    /// No connection could be made.
    pub fn unreachable(&mut self, now: Millis) {
        self.is_unreachable = true;
        self.eject(now);
    }

    /// A request that was sent got no answer.
    pub fn unanswered(&mut self, now: Millis) {
        self.failures += 1;
        if self.failures >= FAILURES_TO_EJECT {
            self.eject(now);
        }
    }

    /// Whether it may get a request now.
    pub fn is_usable(&self, now: Millis) -> bool {
        if self.ejections == 0 {
            return true;
        }
        now >= self.ejected_until && self.is_idle()
    }

    /// Whether no request of this box is at the upstream.
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0
    }

    /// Whether the last try to connect failed.
    pub fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Age of the upstream's last report; `None` if there was none.
    pub fn report_age_ms(&self, now: Millis) -> Option<Millis> {
        (self.reported_at > 0).then(|| now.saturating_sub(self.reported_at))
    }

    /// Requests at the upstream, as far as known: running and waiting.
    pub fn estimate(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.reported_at) as f64;
        let kept = 0.5_f64.powf(age / REPORT_HALF_LIFE_MS);
        f64::from(self.in_flight) + self.others * kept
    }

    fn eject(&mut self, now: Millis) {
        if now < self.ejected_until {
            return;
        }
        let time = FIRST_EJECTION_MS << self.ejections.min(8);
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = now + time.min(LONGEST_EJECTION_MS);
    }
}
