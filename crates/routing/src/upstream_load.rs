//! Load and health of one upstream, as one box sees them.
//!
//! Load is the box's own requests in flight plus the requests of others from the upstream's last
//! report, whose weight decays with age. Health checks are passive: failures eject an upstream for
//! a time that doubles, after which it is probed with one request at a time.

use brasswinch_types::Millis;
use serde::{Deserialize, Serialize};

/// Time in which a report of others' requests loses half of its weight.
const REPORT_HALF_LIFE_MS: f64 = 1_000.0;

/// Duration of the first ejection of a failing upstream.
const FIRST_EJECTION_MS: Millis = 500;

/// Longest ejection of a failing upstream.
const MAX_EJECTION_MS: Millis = 4_000;

/// Consecutive unanswered requests that eject an upstream.
const FAILURES_TO_EJECT: u32 = 2;

/// Largest accepted duration of work, in percent of the usual one.
const MAX_DURATION_PERCENT: u32 = 10_000;

/// Load report in an upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that it is running.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it can run at the same time.
    pub slots: u32,
    /// Current duration of its work, in percent of the usual one; `None` if it wasn't reported.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub duration_percent: Option<u32>,
}

/// A parsed load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParsedLoadReport {
    /// The report, without its duration if that is invalid.
    pub report: LoadReport,
    /// Whether the duration is present and is not a number from 1 to 10,000.
    pub has_invalid_duration: bool,
}

impl LoadReport {
    /// Parses `running,waiting,slots` or `running,waiting,slots,duration`; further values are
    /// ignored. Returns `None` if one of the first three is not a number of 32 bits.
    pub fn parse(text: &str) -> Option<ParsedLoadReport> {
        let mut values = text.split(',').map(str::trim);
        let mut number = || values.next()?.parse().ok();
        let (running, waiting, slots) = (number()?, number()?, number()?);
        let duration = values.next();
        let duration_percent = duration
            .and_then(|duration| duration.parse().ok())
            .filter(|percent| (1..=MAX_DURATION_PERCENT).contains(percent));
        Some(ParsedLoadReport {
            report: Self {
                running,
                waiting,
                slots,
                duration_percent,
            },
            has_invalid_duration: duration.is_some() && duration_percent.is_none(),
        })
    }
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
    /// Records that a request is about to be sent.
    pub fn started(&mut self) {
        self.in_flight += 1;
    }

    /// Records the end of a request, regardless of its outcome.
    pub fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records an answer, whether or not the upstream ran the request: it is alive.
    pub fn answered(&mut self) {
        self.forget_failures();
    }

    /// Forgets failures, and with them the ejection.
    pub fn forget_failures(&mut self) {
        self.is_unreachable = false;
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = 0;
    }

    /// Records a load report. The request whose answer carried it still counts as in flight here
    /// but is no longer included in the report.
    pub fn reported(&mut self, report: LoadReport, now: Millis) {
        let total = f64::from(report.running) + f64::from(report.waiting);
        let mine = f64::from(self.in_flight.saturating_sub(1));
        self.others = (total - mine).max(0.0);
        self.reported_at = now;
    }

    /// Records a failed connection attempt.
    pub fn unreachable(&mut self, now: Millis) {
        self.is_unreachable = true;
        self.eject(now);
    }

    /// Records a request that was sent and got no answer.
    pub fn unanswered(&mut self, now: Millis) {
        self.failures += 1;
        if self.failures >= FAILURES_TO_EJECT {
            self.eject(now);
        }
    }

    /// Whether the upstream may get a request now.
    pub fn is_usable(&self, now: Millis) -> bool {
        if self.ejections == 0 {
            return true;
        }
        now >= self.ejected_until && self.is_idle()
    }

    /// Whether this box has no request at the upstream.
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0
    }

    /// Whether the last connection attempt failed.
    pub fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Returns the age of the upstream's last report, in milliseconds; `None` without a report.
    pub fn report_age_ms(&self, now: Millis) -> Option<Millis> {
        (self.reported_at > 0).then(|| now.saturating_sub(self.reported_at))
    }

    /// Returns the estimated number of requests at the upstream, running and waiting.
    pub fn estimate(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.reported_at) as f64;
        let weight = 0.5_f64.powf(age / REPORT_HALF_LIFE_MS);
        f64::from(self.in_flight) + self.others * weight
    }

    fn eject(&mut self, now: Millis) {
        if now < self.ejected_until {
            return;
        }
        let duration_ms = FIRST_EJECTION_MS << self.ejections.min(8);
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = now + duration_ms.min(MAX_EJECTION_MS);
    }
}
