//! Plans the share of a region's requests that each region executes.
//!
//! A region keeps its own requests as long as its upstreams have proportional capacity; the rest
//! goes where capacity is left over. Shares move slowly, so that requests change their region of
//! execution no faster than the shift limit.

use brasswinch_types::{Millis, Region};
use std::collections::{BTreeMap, BTreeSet};

/// Factor by which a region may exceed its even share of the load to keep requests near their
/// callers. At 1.6 its upstreams were full while others had capacity; 1.25 raised the total answer
/// value by 0.010 ± 0.007 and 0.006 ± 0.006 (two loads, 12 paired days each).
const LOCAL_PREFERENCE_FACTOR: f64 = 1.25;

/// Fraction of the shift limit that the plan uses; the rest covers randomness and spills.
const USED_LIMIT_FRACTION: f64 = 0.6;

/// Window of the shift limit.
const SHIFT_WINDOW_MS: f64 = 2_000.0;

/// Capacity and demand of one region for a service.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionCapacity {
    /// The region.
    pub region: Region,
    /// Slots of its usable upstreams.
    pub slots: f64,
    /// Request rate of its callers, in any unit.
    pub demand: f64,
}

/// The shares of one origin region's requests, by region of execution.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionPlan {
    shares: BTreeMap<Region, f64>,
    moved_at: Option<Millis>,
}

impl RegionPlan {
    /// Returns the share of `region`, from 0 to 1.
    pub fn share(&self, region: &Region) -> f64 {
        self.shares.get(region).copied().unwrap_or(0.0)
    }

    /// Moves the shares toward the balance for `capacities`, no faster than `max_shift` allows. A
    /// region without capacity gets nothing from now on.
    pub fn advance(
        &mut self,
        origin: &Region,
        capacities: &[RegionCapacity],
        max_shift: f64,
        now: Millis,
    ) {
        let target_shares = target_shares(origin, capacities);
        let Some(moved_at) = self.moved_at.replace(now) else {
            self.shares = target_shares;
            return;
        };
        self.remove_without_capacity(capacities);
        if self.shares.is_empty() {
            self.shares = target_shares;
            return;
        }
        let elapsed = now.saturating_sub(moved_at) as f64;
        let step = max_shift * USED_LIMIT_FRACTION * elapsed / SHIFT_WINDOW_MS;
        let distance: f64 = target_shares
            .iter()
            .map(|(region, share)| (share - self.share(region)).max(0.0))
            .sum();
        let fraction = if distance > step {
            step / distance
        } else {
            1.0
        };
        let regions: BTreeSet<Region> = self
            .shares
            .keys()
            .chain(target_shares.keys())
            .cloned()
            .collect();
        for region in regions {
            let target = target_shares.get(&region).copied().unwrap_or(0.0);
            let share = self.shares.entry(region).or_insert(0.0);
            *share += (target - *share) * fraction;
        }
    }

    /// Removes regions without capacity and distributes their shares over the others.
    fn remove_without_capacity(&mut self, capacities: &[RegionCapacity]) {
        let has_capacity = |region: &Region| {
            capacities
                .iter()
                .any(|capacity| &capacity.region == region && capacity.slots > 0.0)
        };
        self.shares.retain(|region, _| has_capacity(region));
        let total: f64 = self.shares.values().sum();
        if total <= 0.0 {
            self.shares.clear();
            return;
        }
        for share in self.shares.values_mut() {
            *share /= total;
        }
    }
}

/// Returns the shares that balance load, with a preference for the origin. While no demand is
/// known, all regions are assumed to have equal demand.
fn target_shares(origin: &Region, capacities: &[RegionCapacity]) -> BTreeMap<Region, f64> {
    if capacities.iter().all(|capacity| capacity.demand <= 0.0) {
        let equal_demand: Vec<RegionCapacity> = capacities
            .iter()
            .map(|capacity| RegionCapacity {
                demand: 1.0,
                ..capacity.clone()
            })
            .collect();
        return balanced_shares(origin, &equal_demand);
    }
    balanced_shares(origin, capacities)
}

fn balanced_shares(origin: &Region, capacities: &[RegionCapacity]) -> BTreeMap<Region, f64> {
    let slots: f64 = capacities.iter().map(|capacity| capacity.slots).sum();
    let demand: f64 = capacities.iter().map(|capacity| capacity.demand).sum();
    if slots <= 0.0 {
        return BTreeMap::new();
    }
    let own_demand = capacities
        .iter()
        .find(|capacity| &capacity.region == origin)
        .map_or(0.0, |capacity| capacity.demand);
    if own_demand <= 0.0 {
        let even = |capacity: &RegionCapacity| (capacity.region.clone(), capacity.slots / slots);
        return capacities.iter().map(even).collect();
    }
    let intake =
        |capacity: &RegionCapacity| capacity.slots / slots * demand * LOCAL_PREFERENCE_FACTOR;
    let kept_demand = |capacity: &RegionCapacity| intake(capacity).min(capacity.demand);
    let spare = |capacity: &RegionCapacity| intake(capacity) - kept_demand(capacity);
    let total_spare: f64 = capacities
        .iter()
        .filter(|capacity| &capacity.region != origin)
        .map(spare)
        .sum();
    let own_kept_demand = capacities
        .iter()
        .find(|capacity| &capacity.region == origin)
        .map_or(0.0, kept_demand);
    let sent_away = (own_demand - own_kept_demand) / own_demand;
    let share = |capacity: &RegionCapacity| {
        if &capacity.region == origin {
            1.0 - sent_away
        } else if total_spare > 0.0 {
            sent_away * spare(capacity) / total_spare
        } else {
            0.0
        }
    };
    capacities
        .iter()
        .map(|capacity| (capacity.region.clone(), share(capacity)))
        .collect()
}
