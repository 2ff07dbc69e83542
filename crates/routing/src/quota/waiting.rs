//! The requests of one workspace that wait for a grant at its coordinator, and how the requests of
//! its classes compete.

use super::class::QuotaClass;
use super::grants::RequestKey;
use crate::fair_queue::{FairQueue, MIN_CLASS_WEIGHT, class_weight};
use crate::refusals::Refusals;
use brasswinch_types::Millis;
use std::collections::{BTreeMap, HashSet};

/// Most requests that wait at a coordinator, of all workspaces. A request takes about 200 bytes.
pub(super) const MAX_WAITING: usize = 4_096;

/// Most classes of a workspace that a coordinator tells apart at once. The requests of others are
/// treated as those of unknown class.
const MAX_CLASSES: usize = 64;

/// Time after the refusal of a request that can't wait in which a token is kept for such requests.
const RESERVE_MS: Millis = 1_000;

/// Bounds of the retry time for refused clients, in milliseconds: at least the time that a request
/// takes to arrive, and no longer than the clients with the shortest deadlines wait.
const RETRY_AFTER_MS: std::ops::RangeInclusive<f64> = 100.0..=5_000.0;

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingRequest {
    pub(super) key: RequestKey,
    pub(super) class: QuotaClass,
}

/// The load of a class.
#[derive(Clone, Copy, Debug)]
struct ClassLoad {
    priority: u32,
    refusals: Refusals,
}

/// The waiting and recently refused requests of one workspace.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    queue: FairQueue<WaitingRequest>,
    /// Keys of the queue's requests.
    keys: HashSet<RequestKey>,
    /// Classes with waiting or recently refused requests.
    classes: BTreeMap<u64, ClassLoad>,
    /// The share of the grants that requests which can't wait have not used, from 0 to 1.
    reserve: f64,
    /// Until when that share grows.
    reserves_until: Millis,
}

impl Waiting {
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    pub(super) fn contains(&self, key: RequestKey) -> bool {
        self.keys.contains(&key)
    }

    /// Returns the class by which `class` is accounted for.
    fn accounted(&mut self, class: QuotaClass, now: Millis) -> QuotaClass {
        let is_full = self.classes.len() >= MAX_CLASSES;
        if is_full && !self.classes.contains_key(&class.class) {
            let queue = &self.queue;
            self.classes
                .retain(|other, load| load.refusals.is_recent(now) || queue.len_of(*other) > 0);
        }
        let is_untold =
            self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(&class.class);
        if class.class == 0 || is_untold {
            return QuotaClass {
                class: 0,
                priority: u32::MAX,
                ..class
            };
        }
        class
    }

    fn load(&mut self, class: QuotaClass) -> &mut ClassLoad {
        let load = self.classes.entry(class.class).or_insert(ClassLoad {
            priority: class.priority,
            refusals: Refusals::default(),
        });
        load.priority = class.priority;
        load
    }

    /// Returns the priority of the most urgent class that has waiting requests, or is `class`.
    fn most_urgent(&self, class: QuotaClass) -> u32 {
        let waiting = self
            .classes
            .iter()
            .filter(|(other, _)| self.queue.len_of(**other) > 0);
        let priorities = waiting.map(|(_, load)| load.priority);
        priorities.fold(class.priority, u32::min)
    }

    /// Predicts how long a request of `class` waits, in milliseconds, where `rate_per_s` requests
    /// are granted per second.
    pub(super) fn wait_ms(&mut self, class: QuotaClass, rate_per_s: f64, now: Millis) -> Millis {
        let class = self.accounted(class, now);
        let weight = class_weight(class.priority, self.most_urgent(class));
        self.queue.wait_ms(class.class, weight, rate_per_s)
    }

    /// Queues a request until `class.max_wait_ms` have passed.
    pub(super) fn push(&mut self, key: RequestKey, class: QuotaClass, now: Millis) {
        let class = self.accounted(class, now);
        let previous_priority = self.classes.get(&class.class).map(|load| load.priority);
        let joins = self.queue.len_of(class.class) == 0;
        self.load(class);
        let weight = class_weight(class.priority, self.most_urgent(class));
        let expires_at = now.saturating_add(class.max_wait_ms);
        let request = WaitingRequest { key, class };
        self.queue.push(class.class, weight, expires_at, request);
        self.keys.insert(key);
        if joins || previous_priority != Some(class.priority) {
            self.set_weights();
        }
    }

    /// Sets the weights of the classes relative to the most urgent one that waits.
    fn set_weights(&mut self) {
        let most_urgent = self.most_urgent(QuotaClass {
            priority: u32::MAX,
            ..QuotaClass::default()
        });
        let classes = &self.classes;
        let priority = |class: u64| classes.get(&class).map_or(u32::MAX, |load| load.priority);
        self.queue
            .set_weights(|class| class_weight(priority(class), most_urgent));
    }

    /// Returns the bucket's level from which on the next request that waits is granted. Requests
    /// of older builds can't wait, and would never find a token while others do; so one is kept
    /// for them as often as the lowest weight allows.
    ///
    /// A bucket whose `capacity` is below 2 keeps none, since it would never reach that level.
    pub(super) fn granting_level(&self, capacity: f64, now: Millis) -> f64 {
        let keeps_one = self.reserve >= 1.0 && now < self.reserves_until && capacity >= 2.0;
        if keeps_one { 2.0 } else { 1.0 }
    }

    /// Records that a request that can't wait was refused.
    pub(super) fn refuse_unqueued(&mut self, now: Millis) {
        self.reserves_until = now.saturating_add(RESERVE_MS);
    }

    /// Records that a request that can't wait was granted.
    pub(super) fn use_reserve(&mut self) {
        self.reserve = 0.0;
    }

    /// Takes the next request to grant.
    pub(super) fn pop(&mut self, now: Millis) -> Option<WaitingRequest> {
        let total_weight = self.queue.total_weight() + MIN_CLASS_WEIGHT;
        let request = self.queue.pop(now)?;
        self.reserve = if now < self.reserves_until {
            (self.reserve + MIN_CLASS_WEIGHT / total_weight).min(1.0)
        } else {
            0.0
        };
        self.forget(request);
        Some(request)
    }

    /// Removes the requests whose wait has ended.
    pub(super) fn remove_expired(&mut self, now: Millis) -> Vec<WaitingRequest> {
        let expired = self.queue.remove_expired(now);
        expired.iter().for_each(|request| self.forget(*request));
        expired
    }

    /// Removes a request. Returns whether it waited.
    pub(super) fn remove(&mut self, key: RequestKey) -> bool {
        if !self.keys.contains(&key) {
            return false;
        }
        let removed = self.queue.remove(|request| request.key == key);
        if let Some(request) = removed {
            self.forget(request);
        }
        removed.is_some()
    }

    /// Removes all requests.
    pub(super) fn drain(&mut self) -> Vec<WaitingRequest> {
        self.keys.clear();
        self.queue.drain()
    }

    /// Updates what depends on a request that has left the queue.
    fn forget(&mut self, request: WaitingRequest) {
        self.keys.remove(&request.key);
        if self.queue.len_of(request.class.class) == 0 {
            self.set_weights();
        }
    }

    /// Counts `refused` requests of `class`.
    pub(super) fn count_refused(&mut self, class: QuotaClass, refused: f64, now: Millis) {
        if refused > 0.0 {
            let class = self.accounted(class, now);
            self.load(class).refusals.count(refused, now);
        }
    }

    /// Returns when a client of `class` that is refused now may retry, in milliseconds, where
    /// `debt` tokens are missing for the next grant. Assumes that all clients of the class that
    /// were refused recently come back in the same order, and that the class gets its share of
    /// `rate_per_s` among the classes that compete.
    pub(super) fn retry_after_ms(
        &mut self,
        class: QuotaClass,
        debt: f64,
        rate_per_s: f64,
        now: Millis,
    ) -> Millis {
        let class = self.accounted(class, now);
        let competes = |id: u64, load: &ClassLoad| {
            id == class.class || load.refusals.is_recent(now) || self.queue.len_of(id) > 0
        };
        let competing = self
            .classes
            .iter()
            .filter(|(id, load)| competes(**id, load));
        let priorities: Vec<u32> = competing.map(|(_, load)| load.priority).collect();
        let most_urgent = priorities.iter().copied().fold(class.priority, u32::min);
        let weights = priorities
            .iter()
            .map(|priority| class_weight(*priority, most_urgent));
        let weight = class_weight(class.priority, most_urgent);
        let share = weight / weights.sum::<f64>().max(weight);
        let load = self.classes.get(&class.class);
        let recent = load.filter(|load| load.refusals.is_recent(now));
        let refused = recent.map_or(0.0, |load| load.refusals.per_s());
        let ahead = refused + self.queue.len_of(class.class) as f64 + debt;
        let ms = ahead / (rate_per_s * share).max(f64::MIN_POSITIVE) * 1_000.0;
        ms.clamp(*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end()) as Millis
    }
}
