//! Selects the boxes that a box links to.
//!
//! A box links to every box of its own zone. Each other zone is covered by a few boxes of
//! this zone, chosen by rendezvous hashing. A covering box links to one box of the other
//! zone and relays what it learns there in its heartbeats within its own zone. The number
//! of links of a box thus depends on the size of its zone and the number of zones per box
//! of its zone, not on the size of the fleet.

use crate::members::BoxRecord;
use brasswinch_types::{BoxId, Zone};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// The inputs to the choice of links.
pub struct LinkChoice<'a> {
    /// The local box.
    pub me: &'a BoxId,
    /// Its zone.
    pub zone: &'a Zone,
    /// The other live boxes of its zone.
    pub neighbours: &'a [BoxId],
    /// Number of boxes of this zone that cover each other zone.
    pub links_per_zone: usize,
}

impl LinkChoice<'_> {
    /// Returns the boxes of `records` to link to. `usable` excludes boxes to which a
    /// connection has just failed.
    pub fn desired<'r>(
        &self,
        records: impl Iterator<Item = &'r BoxRecord>,
        usable: impl Fn(&BoxId) -> bool,
    ) -> Vec<&'r BoxRecord> {
        let mut chosen = Vec::new();
        let mut remote: BTreeMap<&Zone, &BoxRecord> = BTreeMap::new();
        for record in records.filter(|record| usable(&record.id)) {
            if &record.zone == self.zone {
                chosen.push(record);
                continue;
            }
            let best = remote.entry(&record.zone).or_insert(record);
            if self.distance(record) < self.distance(best) {
                *best = record;
            }
        }
        let covered = remote.into_iter().filter(|(zone, _)| self.covers(zone));
        chosen.extend(covered.map(|(_, record)| record));
        chosen
    }

    /// Whether this box is one of those that cover `zone` for its neighbours.
    pub fn covers(&self, zone: &Zone) -> bool {
        is_chosen(self.me, zone, self.neighbours, self.links_per_zone)
    }

    fn distance(&self, record: &BoxRecord) -> u64 {
        score(self.me.as_str(), record.id.as_str())
    }
}

/// Whether `me` is one of the `count` boxes of `zone` that watch the store.
pub fn is_watcher(me: &BoxId, zone: &Zone, others: &[BoxId], count: usize) -> bool {
    is_chosen(me, zone, others, count)
}

/// Whether `me` ranks among the first `count` of itself and `others`, by rendezvous hash
/// with `task`.
fn is_chosen(me: &BoxId, task: &Zone, others: &[BoxId], count: usize) -> bool {
    let my_score = score(task.as_str(), me.as_str());
    let before_me = others
        .iter()
        .filter(|other| score(task.as_str(), other.as_str()) < my_score)
        .count();
    before_me < count
}

fn score(a: &str, b: &str) -> u64 {
    xxh3_64(format!("{a}\u{0}{b}").as_bytes())
}
