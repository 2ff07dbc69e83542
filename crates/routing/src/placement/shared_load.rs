//! The load of an upstream as its coordinator counts it for all boxes of a region.

use crate::upstream_load::{LoadReport, UpstreamLoad};
use brasswinch_types::Millis;
use std::collections::{HashMap, VecDeque};

/// Number of objects remembered for each upstream.
const MAX_OBJECTS: usize = 64;

/// Longest time a request is counted if no completion report arrives, because its box died or the
/// message was lost.
const MAX_COUNT_MS: Millis = 10_000;

/// Counts an upstream's requests and remembers the objects that it was chosen for.
#[derive(Clone, Debug, Default)]
pub(super) struct SharedLoad {
    load: UpstreamLoad,
    /// Expiry of each counted request, by query id.
    counted: HashMap<u64, Millis>,
    /// Objects that the upstream was recently chosen for, newest last, and whether it has served
    /// them.
    objects: VecDeque<(u64, bool)>,
}

impl SharedLoad {
    /// Counts a request about `object`, for at most `left_ms`.
    pub(super) fn begin(&mut self, query: u64, object: u64, left_ms: Millis, now: Millis) {
        let until = now + left_ms.min(MAX_COUNT_MS);
        if self.counted.insert(query, until).is_none() {
            self.load.started();
        }
        self.remember(object, false);
    }

    /// Removes an ended request; returns whether it was counted.
    pub(super) fn end(&mut self, query: u64) -> bool {
        let was_counted = self.counted.remove(&query).is_some();
        if was_counted {
            self.load.ended();
        }
        was_counted
    }

    /// Records that the upstream served a request for `object`.
    pub(super) fn served(&mut self, object: u64) {
        self.remember(object, true);
    }

    /// Records that the request for `object` was not sent to the upstream chosen for it.
    pub(super) fn not_sent(&mut self, object: u64) {
        self.objects
            .retain(|(stored, has_served)| *stored != object || *has_served);
    }

    /// Records a load report. The request whose answer carried it must still be counted.
    pub(super) fn reported(&mut self, report: LoadReport, now: Millis) {
        self.load.reported(report, now);
    }

    /// Removes expired requests.
    pub(super) fn remove_expired(&mut self, now: Millis) {
        let before = self.counted.len();
        self.counted.retain(|_, until| now < *until);
        for _ in self.counted.len()..before {
            self.load.ended();
        }
    }

    /// Whether any request is counted.
    pub(super) fn is_counting(&self) -> bool {
        !self.counted.is_empty()
    }

    /// Whether the upstream was recently chosen for `object`.
    pub(super) fn is_chosen_for(&self, object: u64) -> bool {
        self.objects.iter().any(|(stored, _)| *stored == object)
    }

    /// Whether the upstream has recently served a request for `object`.
    pub(super) fn has_served(&self, object: u64) -> bool {
        self.objects.contains(&(object, true))
    }

    /// Returns the number of objects that the upstream was recently chosen for.
    pub(super) fn objects(&self) -> usize {
        self.objects.len()
    }

    /// Returns the requests there as a multiple of `slots`.
    pub(super) fn fullness(&self, slots: u32, now: Millis) -> f64 {
        self.load.estimate(now) / f64::from(slots.max(1))
    }

    fn remember(&mut self, object: u64, has_served: bool) {
        let stored = self
            .objects
            .iter()
            .position(|(stored, _)| *stored == object);
        let had_served = stored
            .and_then(|index| self.objects.remove(index))
            .is_some_and(|(_, had_served)| had_served);
        self.objects.push_back((object, has_served || had_served));
        if self.objects.len() > MAX_OBJECTS {
            self.objects.pop_front();
        }
    }
}
