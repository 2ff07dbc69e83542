//! Which box asks an upstream how it is while the store can't tell.
//!
//! One box asks for all, by rendezvous among the boxes that serve in the upstream's zone; where
//! none does, in its region; else among all. So each upstream is asked once, however many boxes
//! there are, and a zone that is cut off asks its own.

use crate::rendezvous::{object_hash, weighted_score};
use crate::upstream::UpstreamRecord;
use brasswinch_types::{BoxId, Region, Zone};
use std::collections::BTreeMap;

/// A box that serves, as one that may ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthAsker {
    /// The box.
    pub id: BoxId,
    /// Where it stands.
    pub zone: Zone,
}

/// The boxes that may ask, as one of them sees them.
#[derive(Debug)]
pub struct HealthAskers<'a> {
    me: u64,
    zones: &'a BTreeMap<Zone, Region>,
    by_zone: BTreeMap<Zone, Vec<u64>>,
}

fn box_hash(id: &BoxId) -> u64 {
    object_hash("health", id.as_str().as_bytes())
}

impl<'a> HealthAskers<'a> {
    /// The boxes that serve, with the regions of all zones; `me` is one of them.
    pub fn new(
        me: &BoxId,
        zones: &'a BTreeMap<Zone, Region>,
        boxes: impl Iterator<Item = HealthAsker>,
    ) -> Self {
        let mut by_zone: BTreeMap<Zone, Vec<u64>> = BTreeMap::new();
        for asker in boxes {
            let hash = box_hash(&asker.id);
            by_zone.entry(asker.zone).or_default().push(hash);
        }
        Self {
            me: box_hash(me),
            zones,
            by_zone,
        }
    }

    /// Whether this box is the one that asks the upstream.
    pub fn asks(&self, upstream: &UpstreamRecord) -> bool {
        let candidates = self.near(&upstream.zone);
        if !candidates.contains(&self.me) {
            return false;
        }
        let object = object_hash("upstream", upstream.id.as_str().as_bytes());
        let mine = weighted_score(object, self.me, 1.0);
        let score = |other: &u64| weighted_score(object, *other, 1.0);
        candidates.iter().all(|other| score(other) <= mine)
    }

    /// The boxes nearest to a zone.
    fn near(&self, zone: &Zone) -> Vec<u64> {
        if let Some(boxes) = self.by_zone.get(zone) {
            return boxes.clone();
        }
        let region = self.zones.get(zone);
        let is_in_region = |held: &&Zone| region.is_some() && self.zones.get(held) == region;
        let in_region = self.by_zone.keys().filter(is_in_region);
        let in_region: Vec<u64> = in_region
            .flat_map(|zone| &self.by_zone[zone])
            .copied()
            .collect();
        if in_region.is_empty() {
            return self.by_zone.values().flatten().copied().collect();
        }
        in_region
    }
}
