//! A queue that is fair among classes: deficit round robin (Shreedhar and Varghese, 1996) by
//! weight among the classes, first in, first out within a class.

use brasswinch_types::Millis;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Lowest weight of a class, so that no class is starved.
pub const MIN_CLASS_WEIGHT: f64 = 0.125;

/// Steps of priority after which a class has the lowest weight.
const MAX_PRIORITY_STEPS: u32 = 3;

/// Cost of an entry, in units of deficit.
const ENTRY_COST: f64 = 1.0;

/// Returns the weight of a class: halved for each step of priority below the most urgent one, and
/// at least [`MIN_CLASS_WEIGHT`]. Priority 0 is the most urgent of all.
pub fn class_weight(priority: u32, most_urgent: u32) -> f64 {
    let steps = priority.saturating_sub(most_urgent).min(MAX_PRIORITY_STEPS);
    1.0 / f64::from(1_u32 << steps)
}

/// Limits a weight to its valid range, from [`MIN_CLASS_WEIGHT`] to 1.
fn valid_weight(weight: f64) -> f64 {
    if weight.is_nan() {
        return MIN_CLASS_WEIGHT;
    }
    weight.clamp(MIN_CLASS_WEIGHT, 1.0)
}

/// An entry of the queue.
#[derive(Debug)]
struct Entry<T> {
    sequence: u64,
    expires_at: Millis,
    item: T,
}

/// The entries of a class.
#[derive(Debug)]
struct Class<T> {
    weight: f64,
    deficit: f64,
    /// Ordered by sequence number.
    entries: VecDeque<Entry<T>>,
}

/// Identifies an entry by when it expires. Ordered by that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Millis,
    sequence: u64,
    class: u64,
}

/// A queue of items by class. Items expire; an expired item is never popped.
#[derive(Debug)]
pub struct FairQueue<T> {
    /// Classes that have entries.
    classes: BTreeMap<u64, Class<T>>,
    /// The same classes, in the order in which they are served.
    round: VecDeque<u64>,
    expiries: BTreeSet<Expiry>,
    next_sequence: u64,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            classes: BTreeMap::new(),
            round: VecDeque::new(),
            expiries: BTreeSet::new(),
            next_sequence: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Returns the number of items, including expired ones that haven't been removed.
    pub fn len(&self) -> usize {
        self.expiries.len()
    }

    /// Whether the queue holds no items.
    pub fn is_empty(&self) -> bool {
        self.expiries.is_empty()
    }

    /// Returns the number of items of `class`.
    pub fn len_of(&self, class: u64) -> usize {
        self.classes
            .get(&class)
            .map_or(0, |class| class.entries.len())
    }

    /// Returns the number of classes that have items.
    pub fn classes(&self) -> usize {
        self.round.len()
    }

    /// Returns the sum of the weights of the classes that have items.
    pub fn total_weight(&self) -> f64 {
        self.classes.values().map(|held| held.weight).sum()
    }

    /// Adds an item that expires at `expires_at`. `weight` becomes the weight of the whole class,
    /// limited to [`MIN_CLASS_WEIGHT`] to 1.
    pub fn push(&mut self, class: u64, weight: f64, expires_at: Millis, item: T) {
        let weight = valid_weight(weight);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let round = &mut self.round;
        let held = self.classes.entry(class).or_insert_with(|| {
            round.push_back(class);
            Class {
                weight,
                // A class that joins has taken part in the current round.
                deficit: weight,
                entries: VecDeque::new(),
            }
        });
        held.weight = weight;
        held.entries.push_back(Entry {
            sequence,
            expires_at,
            item,
        });
        self.expiries.insert(Expiry {
            at: expires_at,
            sequence,
            class,
        });
    }

    /// Sets the weight of each class that has items.
    pub fn set_weights(&mut self, weight_of: impl Fn(u64) -> f64) {
        for (class, held) in &mut self.classes {
            held.weight = valid_weight(weight_of(*class));
        }
    }

    /// Takes the next item that hasn't expired by `now`.
    pub fn pop(&mut self, now: Millis) -> Option<T> {
        if self.expiries.last()?.at <= now {
            return None;
        }
        // Ends, since a class has an item that may be popped, and its deficit grows each round.
        loop {
            let class = *self.round.front()?;
            let held = self.classes.get_mut(&class)?;
            let is_live = |entry: &Entry<T>| entry.expires_at > now;
            if let Some(place) = held.entries.iter().position(is_live) {
                if held.deficit >= ENTRY_COST {
                    held.deficit -= ENTRY_COST;
                    return self.take(class, place);
                }
                held.deficit += held.weight;
            }
            self.round.rotate_left(1);
        }
    }

    /// Removes the items that have expired by `now`, in the order in which they expired.
    pub fn remove_expired(&mut self, now: Millis) -> Vec<T> {
        let mut expired = Vec::new();
        while let Some(expiry) = self.expiries.first().copied() {
            if expiry.at > now {
                break;
            }
            let place = self.classes.get(&expiry.class).and_then(|held| {
                held.entries
                    .binary_search_by_key(&expiry.sequence, |entry| entry.sequence)
                    .ok()
            });
            match place {
                Some(place) => expired.extend(self.take(expiry.class, place)),
                None => {
                    self.expiries.remove(&expiry);
                }
            }
        }
        expired
    }

    /// Removes the first item found that `matches`.
    pub fn remove(&mut self, matches: impl Fn(&T) -> bool) -> Option<T> {
        let (class, place) = self.classes.iter().find_map(|(class, held)| {
            let place = held.entries.iter().position(|entry| matches(&entry.item))?;
            Some((*class, place))
        })?;
        self.take(class, place)
    }

    /// Removes all items, ordered by class.
    pub fn drain(&mut self) -> Vec<T> {
        self.round.clear();
        self.expiries.clear();
        let classes = std::mem::take(&mut self.classes);
        let entries = classes.into_values().flat_map(|held| held.entries);
        entries.map(|entry| entry.item).collect()
    }

    /// Predicts how long an item that is pushed now waits, in milliseconds, where `rate_per_s`
    /// items are popped per second: by the backlog of its class and the share of the rate that
    /// `weight` gives it among the classes that have items.
    pub fn wait_ms(&self, class: u64, weight: f64, rate_per_s: f64) -> Millis {
        let weight = valid_weight(weight);
        let others = self.classes.iter().filter(|(other, _)| **other != class);
        let other_weights: f64 = others.map(|(_, held)| held.weight).sum();
        let share_per_s = rate_per_s.max(0.0) * weight / (weight + other_weights);
        let ahead = self.len_of(class) as f64 + 1.0;
        // The conversion saturates where the rate is 0.
        (ahead / share_per_s.max(f64::MIN_POSITIVE) * 1_000.0) as Millis
    }

    /// Removes an entry, and its class if that has no others.
    fn take(&mut self, class: u64, place: usize) -> Option<T> {
        let held = self.classes.get_mut(&class)?;
        let entry = held.entries.remove(place)?;
        self.expiries.remove(&Expiry {
            at: entry.expires_at,
            sequence: entry.sequence,
            class,
        });
        if held.entries.is_empty() {
            self.classes.remove(&class);
            self.round.retain(|other| *other != class);
        }
        Some(entry.item)
    }
}
