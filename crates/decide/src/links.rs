//! Which boxes a box links to.
//!
//! Inside the zone, every box. Every other zone is covered by a few boxes of this one,
//! chosen by rendezvous hashing; each of them links to one box there and passes on what
//! it hears in its heartbeats inside the zone. A box's links then grow with its zone
//! and with the number of zones for each box of its own, not with the fleet.

use crate::members::BoxRecord;
use brasswinch_types::{BoxId, Zone};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// What the choice of links depends on.
pub struct LinkChoice<'a> {
    /// The box that chooses.
    pub me: &'a BoxId,
    /// Its zone.
    pub zone: &'a Zone,
    /// The other boxes of its zone that are heard.
    pub neighbours: &'a [BoxId],
    /// How many boxes of a zone cover each other zone.
    pub links_per_zone: usize,
}

impl LinkChoice<'_> {
    /// The boxes of `records` to link to. `usable` leaves out boxes that were just
    /// dialled in vain.
    pub fn desired<'r>(
        &self,
        records: impl Iterator<Item = &'r BoxRecord>,
        usable: impl Fn(&BoxId) -> bool,
    ) -> Vec<&'r BoxRecord> {
        let mut chosen = Vec::new();
        let mut far: BTreeMap<&Zone, &BoxRecord> = BTreeMap::new();
        for record in records.filter(|record| usable(&record.id)) {
            if &record.zone == self.zone {
                chosen.push(record);
                continue;
            }
            let best = far.entry(&record.zone).or_insert(record);
            if self.distance(record) < self.distance(best) {
                *best = record;
            }
        }
        let covered = far.into_iter().filter(|(zone, _)| self.covers(zone));
        chosen.extend(covered.map(|(_, record)| record));
        chosen
    }

    /// Whether this box is one of those that cover `zone` for their neighbours.
    pub fn covers(&self, zone: &Zone) -> bool {
        is_chosen(self.me, zone, self.neighbours, self.links_per_zone)
    }

    fn distance(&self, record: &BoxRecord) -> u64 {
        score(self.me.as_str(), record.id.as_str())
    }
}

/// Whether `me` is one of the `count` boxes of its zone that watch the store.
pub fn is_watcher(me: &BoxId, zone: &Zone, others: &[BoxId], count: usize) -> bool {
    is_chosen(me, zone, others, count)
}

/// Whether `me` ranks among the first `count` of itself and `others` for `task`.
fn is_chosen(me: &BoxId, task: &Zone, others: &[BoxId], count: usize) -> bool {
    let mine = score(task.as_str(), me.as_str());
    let before_me = others
        .iter()
        .filter(|other| score(task.as_str(), other.as_str()) < mine)
        .count();
    before_me < count
}

fn score(a: &str, b: &str) -> u64 {
    xxh3_64(format!("{a}\u{0}{b}").as_bytes())
}
