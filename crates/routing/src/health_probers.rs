//! Selects the box that probes an upstream's health while the store is unavailable.
//!
//! One box probes on behalf of all, chosen by rendezvous hashing among the serving boxes in the
//! upstream's zone; if there are none, in its region; otherwise among all. Each upstream is thus
//! probed once, regardless of the number of boxes, and a zone that is cut off probes its own
//! upstreams.

use crate::rendezvous::{object_hash, weighted_score};
use crate::upstream::UpstreamRecord;
use brasswinch_types::{BoxId, Region, Zone};
use std::collections::BTreeMap;

/// A serving box that may probe upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthProber {
    /// The box.
    pub id: BoxId,
    /// Its zone.
    pub zone: Zone,
}

/// The boxes that may probe upstreams, as one of them sees them.
#[derive(Debug)]
pub struct HealthProbers<'a> {
    me: u64,
    zones: &'a BTreeMap<Zone, Region>,
    by_zone: BTreeMap<Zone, Vec<u64>>,
}

fn box_hash(id: &BoxId) -> u64 {
    object_hash("health", id.as_str().as_bytes())
}

impl<'a> HealthProbers<'a> {
    /// Creates the set from the serving boxes and the region of each zone; `me` is one of the
    /// boxes.
    pub fn new(
        me: &BoxId,
        zones: &'a BTreeMap<Zone, Region>,
        boxes: impl Iterator<Item = HealthProber>,
    ) -> Self {
        let mut by_zone: BTreeMap<Zone, Vec<u64>> = BTreeMap::new();
        for prober in boxes {
            let hash = box_hash(&prober.id);
            by_zone.entry(prober.zone).or_default().push(hash);
        }
        Self {
            me: box_hash(me),
            zones,
            by_zone,
        }
    }

    /// Whether this box probes the upstream.
    pub fn probes(&self, upstream: &UpstreamRecord) -> bool {
        let candidates = self.nearest(&upstream.zone);
        if !candidates.contains(&self.me) {
            return false;
        }
        let object = object_hash("upstream", upstream.id.as_str().as_bytes());
        let own_score = weighted_score(object, self.me, 1.0);
        let score = |other: &u64| weighted_score(object, *other, 1.0);
        candidates.iter().all(|other| score(other) <= own_score)
    }

    /// Returns the boxes nearest to a zone: its own, else its region's, else all.
    fn nearest(&self, zone: &Zone) -> Vec<u64> {
        if let Some(boxes) = self.by_zone.get(zone) {
            return boxes.clone();
        }
        let region = self.zones.get(zone);
        let is_in_region = |other: &&Zone| region.is_some() && self.zones.get(other) == region;
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
