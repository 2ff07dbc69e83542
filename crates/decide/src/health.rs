//! The health of one upstream as one box sees it, and whether the box may send it requests.
//!
//! Three sources can mark an upstream as leaving: the operators' configuration, the
//! upstream's own reports and the platform's list. Any one suffices. An upstream's report
//! that isn't newer than its last one is ignored.

use brasswinch_types::{Millis, UpstreamRest};

/// Number of consecutive connection failures after which an upstream is ejected.
const EJECT_AFTER_FAILURES: u32 = 3;

/// Duration of the first ejection. It doubles with each further failure.
const FIRST_EJECTION_MS: Millis = 500;

/// Maximum duration of an ejection.
const MAX_EJECTION_MS: Millis = 15_000;

/// Time over which an upstream warms up: from its first use, from its first use after an
/// ejection, or from when the configuration stops marking it as leaving.
const WARM_UP_MS: Millis = 5_000;

/// Minimum time for which an explicit refusal closes an upstream.
const MIN_REFUSAL_PAUSE_MS: Millis = 100;

/// A report from an upstream about itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamReport {
    /// When the upstream made the report, by its own clock. Later reports have larger values.
    pub sequence: u64,
    /// Whether the upstream is leaving.
    pub leaving: bool,
    /// Number of requests that the upstream reports as running.
    pub in_use: u32,
}

/// The state of one upstream at one box.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHealth {
    config_leaving: bool,
    listed_leaving: bool,
    reported: Option<UpstreamReport>,
    failures: u32,
    closed_until: Millis,
    warm_up_started_at: Option<Millis>,
    in_flight: u32,
}

impl UpstreamHealth {
    /// Sets whether the configuration in force marks the upstream as leaving. Only the
    /// configuration can clear this; the upstream then warms up again.
    pub fn set_config_leaving(&mut self, leaving: bool, now: Millis) {
        if self.config_leaving && !leaving {
            self.warm_up_started_at = Some(now);
        }
        self.config_leaving = leaving;
    }

    /// Sets whether the platform's list shows the upstream as leaving.
    pub fn set_listed_leaving(&mut self, leaving: bool) {
        self.listed_leaving = leaving;
    }

    /// Records the upstream's own report. One that isn't newer than the last is dropped.
    pub fn report(&mut self, report: UpstreamReport) {
        let newer = self
            .reported
            .is_none_or(|last| report.sequence > last.sequence);
        if newer {
            self.reported = Some(report);
        }
    }

    /// Whether any source marks the upstream as leaving.
    pub fn is_leaving(&self) -> bool {
        let reported_leaving = self.reported.is_some_and(|report| report.leaving);
        self.config_leaving || self.listed_leaving || reported_leaving
    }

    /// Records that a request was sent.
    pub fn started(&mut self, now: Millis) {
        self.in_flight += 1;
        self.warm_up_started_at.get_or_insert(now);
    }

    /// Records that a request ended, successfully or not.
    pub fn finished(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records a response, which resets the count of failures.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Records an explicit refusal and closes the upstream for the rest time it asked for,
    /// or for the minimum if that is longer.
    pub fn refused(&mut self, rest: Option<UpstreamRest>, now: Millis) {
        let rest_ms = rest.map_or(0, UpstreamRest::ms);
        let pause_ms = rest_ms.max(MIN_REFUSAL_PAUSE_MS);
        self.closed_until = self.closed_until.max(now + pause_ms);
    }

    /// Records a connection that failed or broke. Ejects the upstream after several in a row.
    pub fn failed(&mut self, now: Millis) {
        self.failures = self.failures.saturating_add(1);
        if self.failures < EJECT_AFTER_FAILURES {
            return;
        }
        let doublings = (self.failures - EJECT_AFTER_FAILURES).min(5);
        let ejection = (FIRST_EJECTION_MS << doublings).min(MAX_EJECTION_MS);
        self.closed_until = self.closed_until.max(now + ejection);
        self.warm_up_started_at = None;
    }

    /// Returns the number of requests in flight from this box.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the cost of sending one more request; `None` if none may be sent.
    ///
    /// This box's own requests in flight outweigh the upstream's report. A cold upstream
    /// gets one request at a time, and more as it warms up.
    pub fn cost(&self, slots: u32, now: Millis) -> Option<u32> {
        if self.is_leaving() || now < self.closed_until {
            return None;
        }
        let ready = self.ready_slots(slots, now);
        if self.in_flight >= ready {
            return None;
        }
        let reported = self.reported.map_or(0, |report| report.in_use);
        Some(self.in_flight * 256 + reported.min(255))
    }

    /// Returns the time in milliseconds until one more request may be sent, if warming up is
    /// the only reason that none may be sent now.
    pub fn warm_up_wait_ms(&self, slots: u32, now: Millis) -> Option<Millis> {
        if self.is_leaving() || now < self.closed_until {
            return None;
        }
        let ready = self.ready_slots(slots, now);
        if self.in_flight < ready || ready >= slots {
            return None;
        }
        let since = self.warm_up_started_at.unwrap_or(now);
        let next_at = since + (WARM_UP_MS * u64::from(ready + 1)).div_ceil(u64::from(slots));
        Some(next_at.saturating_sub(now))
    }

    /// Returns the number of slots usable at the present stage of the warm-up.
    fn ready_slots(&self, slots: u32, now: Millis) -> u32 {
        let Some(since) = self.warm_up_started_at else {
            return 1;
        };
        let warm_for = now.saturating_sub(since).min(WARM_UP_MS);
        let ready = u64::from(slots) * warm_for / WARM_UP_MS;
        (ready as u32).clamp(1, slots)
    }
}
