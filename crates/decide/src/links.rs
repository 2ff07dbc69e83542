//! Which boxes a box links to.
//!
//! Inside the zone, every box. Of each other zone, a few chosen by rendezvous
//! hashing, so that each box of a zone is chosen about equally often and a box
//! that goes away moves only its own links. Heartbeats of the linked boxes
//! speak for their whole zone.

use crate::members::BoxRecord;
use brasswinch_types::{BoxId, Zone};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// The boxes to link to. `usable` leaves out boxes that were just dialled in vain.
pub fn desired<'a>(
    me: &BoxId,
    my_zone: &Zone,
    records: impl Iterator<Item = &'a BoxRecord>,
    links_per_zone: usize,
    usable: impl Fn(&BoxId) -> bool,
) -> Vec<&'a BoxRecord> {
    let mut chosen = Vec::new();
    let mut far: BTreeMap<&Zone, Vec<&BoxRecord>> = BTreeMap::new();
    for record in records {
        if !usable(&record.id) {
            continue;
        }
        if &record.zone == my_zone {
            chosen.push(record);
        } else {
            far.entry(&record.zone).or_default().push(record);
        }
    }
    for mut candidates in far.into_values() {
        candidates.sort_by_key(|record| score(me.as_str(), record.id.as_str()));
        chosen.extend(candidates.into_iter().take(links_per_zone));
    }
    chosen
}

/// Whether `me` is one of the `count` boxes of its zone that watch the store.
pub fn is_watcher(me: &BoxId, zone: &Zone, others: &[BoxId], count: usize) -> bool {
    let mine = score(zone.as_str(), me.as_str());
    let before_me = others
        .iter()
        .filter(|other| score(zone.as_str(), other.as_str()) < mine)
        .count();
    before_me < count
}

fn score(a: &str, b: &str) -> u64 {
    xxh3_64(format!("{a}\u{0}{b}").as_bytes())
}
