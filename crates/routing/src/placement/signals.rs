//! Signals that upstreams send about themselves in answers. A signal is valid for one incarnation
//! of an upstream, also if its entry is lost and comes back.

use super::{COLD_MARGIN_MS, Choice, Placement};
use crate::upstream::UpstreamIncarnation;
use brasswinch_types::{Millis, UpstreamRest};
use std::collections::{HashMap, VecDeque};

/// Upstreams whose signals are stored; the oldest are evicted first. At 100 bytes each they take
/// 0.4 MB.
const MAX_STORED: usize = 4_096;

/// Signals of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Signals {
    /// Whether it accepts no new requests.
    pub(super) is_leaving: bool,
    /// It asked this box to back off until then; `None` once it has answered a request since.
    pub(super) backoff_until: Option<Millis>,
    /// The cold period that it reported in a health answer.
    pub(super) cold: Option<ColdSignal>,
    /// Whether it has sent a signal that can't be parsed.
    pub(super) is_unreadable: bool,
}

/// A report of an upstream that it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ColdSignal {
    received_at: Millis,
    until: Millis,
}

impl Signals {
    /// Returns the end of the reported cold period if the entry has not changed since
    /// `learned_at`; a later entry takes precedence.
    pub(super) fn cold_until(&self, learned_at: Millis) -> Option<Millis> {
        let cold = self.cold.filter(|cold| cold.received_at >= learned_at)?;
        Some(cold.until)
    }

    /// Whether it asked this box to back off now.
    pub(super) fn is_backing_off(&self, now: Millis) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Whether its backoff has ended and no request has succeeded since.
    pub(super) fn is_probing(&self, now: Millis) -> bool {
        self.backoff_until.is_some_and(|until| now >= until)
    }
}

/// The signals of all upstreams that sent any.
#[derive(Debug, Default)]
pub(super) struct SignalStore {
    stored: HashMap<UpstreamIncarnation, Signals>,
    /// Stored incarnations, oldest first.
    order: VecDeque<UpstreamIncarnation>,
}

impl SignalStore {
    /// Returns the signals of an incarnation of an upstream.
    pub(super) fn of(&self, incarnation: &UpstreamIncarnation) -> Signals {
        self.stored.get(incarnation).copied().unwrap_or_default()
    }

    /// Stores the signals of an incarnation.
    pub(super) fn store(&mut self, incarnation: UpstreamIncarnation, signals: Signals) {
        if self.stored.insert(incarnation.clone(), signals).is_some() {
            return;
        }
        self.order.push_back(incarnation);
        if self.order.len() > MAX_STORED
            && let Some(oldest) = self.order.pop_front()
        {
            self.stored.remove(&oldest);
        }
    }
}

impl Placement {
    /// Records a signal that the upstream is leaving; returns whether that is new.
    pub fn record_leaving(&mut self, choice: &Choice) -> bool {
        let before = self.update_signals(choice, |signals| signals.is_leaving = true);
        !before.is_leaving
    }

    /// Records a refusal with a requested backoff; returns whether the upstream wasn't already
    /// backing off.
    pub fn record_backoff(&mut self, choice: &Choice, rest: UpstreamRest, now: Millis) -> bool {
        if rest.ms() == 0 {
            return false;
        }
        let until = Some(now + rest.ms());
        let before = self.update_signals(choice, |signals| {
            signals.backoff_until = signals.backoff_until.max(until);
        });
        !before.is_backing_off(now)
    }

    /// Records a signal in an answer that can't be parsed; returns whether it is the first one.
    pub fn record_unreadable_signal(&mut self, choice: &Choice) -> bool {
        self.record_unreadable_health(&choice.incarnation())
    }

    /// Records a signal in a health answer that can't be parsed; returns whether it is the first
    /// one.
    pub fn record_unreadable_health(&mut self, incarnation: &UpstreamIncarnation) -> bool {
        let before = self.update_signals_of(incarnation, |signals| signals.is_unreadable = true);
        !before.is_unreadable
    }

    /// Records that the upstream stays cold for `for_ms`, capped at the cold period of its
    /// service; returns whether it wasn't known to be cold.
    pub fn record_cold(
        &mut self,
        incarnation: &UpstreamIncarnation,
        for_ms: Millis,
        now: Millis,
    ) -> bool {
        let Some(longest_ms) = self.cold_period_ms(incarnation) else {
            return false;
        };
        let was_cold = self.is_cold(incarnation, now);
        let until = now + for_ms.min(longest_ms) + COLD_MARGIN_MS;
        let cold = ColdSignal {
            received_at: now,
            until,
        };
        self.update_signals_of(incarnation, |signals| signals.cold = Some(cold));
        if let Some(entry) = self.entry_mut_of(incarnation) {
            entry.cold_until = entry.cold_until.max(until);
        }
        !was_cold
    }

    /// Whether this incarnation of the upstream is known to be cold.
    pub fn is_cold(&self, incarnation: &UpstreamIncarnation, now: Millis) -> bool {
        let entry = self.entry_of(incarnation);
        entry.is_some_and(|entry| entry.is_cold(now))
    }

    /// Returns the longest cold period of the upstream's service, in milliseconds.
    fn cold_period_ms(&self, incarnation: &UpstreamIncarnation) -> Option<Millis> {
        let service = &self.entry_of(incarnation)?.record.service;
        Some(self.services.get(service)?.cold_period_ms)
    }

    /// Ends the backoff after the upstream has answered a request.
    pub(super) fn end_backoff(&mut self, choice: &Choice) {
        self.update_signals(choice, |signals| signals.backoff_until = None);
    }

    /// Updates the signals of the chosen upstream; returns the previous ones.
    fn update_signals(&mut self, choice: &Choice, change: impl FnOnce(&mut Signals)) -> Signals {
        self.update_signals_of(&choice.incarnation(), change)
    }

    /// Updates the signals of an upstream; returns the previous ones.
    fn update_signals_of(
        &mut self,
        incarnation: &UpstreamIncarnation,
        change: impl FnOnce(&mut Signals),
    ) -> Signals {
        let before = self.signals.of(incarnation);
        let mut signals = before;
        change(&mut signals);
        if signals != before {
            self.signals.store(incarnation.clone(), signals);
            if let Some(entry) = self.entry_mut_of(incarnation) {
                entry.signals = signals;
            }
        }
        before
    }
}
