//! What one box knows of one upstream, and whether it may be given work.
//!
//! Three sources can say that an upstream is leaving: the operators'
//! configuration, the upstream's own reports and the platform's list. Any one
//! suffices. A word that is older than the word it contradicts changes nothing.

use brasswinch_types::{Millis, UpstreamRest};

/// Failed connections in a row after which an upstream is left alone.
const EJECT_AFTER: u32 = 3;

/// First time an upstream is left alone; doubles with each failure after that.
const FIRST_EJECTION_MS: Millis = 500;

/// Longest time an upstream is left alone.
const LONGEST_EJECTION_MS: Millis = 15_000;

/// Time after an upstream is first used, or used again, during which it is cold.
const WARM_UP_MS: Millis = 5_000;

/// How long an explicit refusal closes an upstream at least.
const REFUSAL_PAUSE_MS: Millis = 100;

/// One upstream's own word about itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamReport {
    /// When the upstream made it, by its own clock; later reports are larger.
    pub sequence: u64,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Requests it says it is running.
    pub in_use: u32,
}

/// The state of one upstream at one box.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHealth {
    announced: bool,
    listed_leaving: bool,
    reported: Option<UpstreamReport>,
    failures: u32,
    closed_until: Millis,
    warm_since: Option<Millis>,
    in_flight: u32,
}

impl UpstreamHealth {
    /// Takes what the configuration in force says. Only it can take its word back.
    pub fn set_announced(&mut self, leaving: bool, now: Millis) {
        if self.announced && !leaving {
            self.warm_since = Some(now);
        }
        self.announced = leaving;
    }

    /// Takes what the platform's list says.
    pub fn set_listed_leaving(&mut self, leaving: bool) {
        self.listed_leaving = leaving;
    }

    /// Takes the upstream's own report; one that is older than the last is dropped.
    pub fn report(&mut self, report: UpstreamReport) {
        let newer = self
            .reported
            .is_none_or(|last| report.sequence > last.sequence);
        if newer {
            self.reported = Some(report);
        }
    }

    /// Whether any source says that it is leaving.
    pub fn is_leaving(&self) -> bool {
        let says_so = self.reported.is_some_and(|report| report.leaving);
        self.announced || self.listed_leaving || says_so
    }

    /// Work was sent.
    pub fn started(&mut self, now: Millis) {
        self.in_flight += 1;
        self.warm_since.get_or_insert(now);
    }

    /// Work ended, well or not.
    pub fn finished(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// It answered.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// It refused work explicitly, and may have asked for rest.
    pub fn refused(&mut self, rest: Option<UpstreamRest>, now: Millis) {
        let rest_ms = rest.map_or(0, UpstreamRest::ms);
        let pause_ms = rest_ms.max(REFUSAL_PAUSE_MS);
        self.closed_until = self.closed_until.max(now + pause_ms);
    }

    /// A connection failed or broke.
    pub fn failed(&mut self, now: Millis) {
        self.failures = self.failures.saturating_add(1);
        if self.failures < EJECT_AFTER {
            return;
        }
        let doublings = (self.failures - EJECT_AFTER).min(5);
        let ejection = (FIRST_EJECTION_MS << doublings).min(LONGEST_EJECTION_MS);
        self.closed_until = self.closed_until.max(now + ejection);
        self.warm_since = None;
    }

    /// Work in flight from this box.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// How reluctantly to give it one more request; `None` means not at all.
    ///
    /// Own work in flight comes first, before any report. A cold upstream is
    /// given one request at a time and more as it warms.
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

    /// How long it takes until one more request may be given to it, in milliseconds, where only
    /// its warming up stands against that.
    pub fn warmer_in(&self, slots: u32, now: Millis) -> Option<Millis> {
        if self.is_leaving() || now < self.closed_until {
            return None;
        }
        let ready = self.ready_slots(slots, now);
        if self.in_flight < ready || ready >= slots {
            return None;
        }
        let since = self.warm_since.unwrap_or(now);
        let next_at = since + (WARM_UP_MS * u64::from(ready + 1)).div_ceil(u64::from(slots));
        Some(next_at.saturating_sub(now))
    }

    fn ready_slots(&self, slots: u32, now: Millis) -> u32 {
        let Some(since) = self.warm_since else {
            return 1;
        };
        let warm_for = now.saturating_sub(since).min(WARM_UP_MS);
        let ready = u64::from(slots) * warm_for / WARM_UP_MS;
        (ready as u32).clamp(1, slots)
    }
}
