//! Plans the share of a region's requests that each region executes.
//!
//! A region keeps its own requests as long as its upstreams have proportional capacity; the rest
//! goes where capacity is left over. Shares move slowly, so that requests change their region of
//! execution no faster than the shift limit.

use brasswinch_types::{Millis, Region};
use std::collections::{BTreeMap, BTreeSet};

/// Factor by which a region may exceed its even share of the load to keep requests near their
/// callers. At 1.6 its upstreams were full while others had capacity; 1.25 raised the total answer
/// value by 0.010 ± 0.007 and 0.006 ± 0.006 (two loads).
const LOCAL_PREFERENCE: f64 = 1.25;

/// Fraction of the shift limit that the plan uses; the rest covers randomness and spills.
const USED_PART_OF_BOUND: f64 = 0.6;

/// Window of the shift limit.
const BOUND_WINDOW_MS: f64 = 2_000.0;

/// Capacity and demand of one region for a service.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionRoom {
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
    parts: BTreeMap<Region, f64>,
    moved_at: Option<Millis>,
}

impl RegionPlan {
    /// Returns the share of `region`, from 0 to 1.
    pub fn part(&self, region: &Region) -> f64 {
        self.parts.get(region).copied().unwrap_or(0.0)
    }

    /// Moves the shares toward the balance for `rooms`, no faster than `most_shift` allows. A
    /// region without capacity gets nothing from now on.
    pub fn advance(&mut self, origin: &Region, rooms: &[RegionRoom], most_shift: f64, now: Millis) {
        let goal = goal(origin, rooms);
        let Some(moved_at) = self.moved_at.replace(now) else {
            self.parts = goal;
            return;
        };
        self.drop_empty(rooms);
        if self.parts.is_empty() {
            self.parts = goal;
            return;
        }
        let elapsed = now.saturating_sub(moved_at) as f64;
        let step = most_shift * USED_PART_OF_BOUND * elapsed / BOUND_WINDOW_MS;
        let distance: f64 = goal
            .iter()
            .map(|(region, part)| (part - self.part(region)).max(0.0))
            .sum();
        let fraction = if distance > step {
            step / distance
        } else {
            1.0
        };
        let regions: BTreeSet<Region> = self.parts.keys().chain(goal.keys()).cloned().collect();
        for region in regions {
            let wanted = goal.get(&region).copied().unwrap_or(0.0);
            let part = self.parts.entry(region).or_insert(0.0);
            *part += (wanted - *part) * fraction;
        }
    }

    /// Removes regions without capacity and distributes their shares over the others.
    fn drop_empty(&mut self, rooms: &[RegionRoom]) {
        let has_room = |region: &Region| {
            rooms
                .iter()
                .any(|room| &room.region == region && room.slots > 0.0)
        };
        self.parts.retain(|region, _| has_room(region));
        let total: f64 = self.parts.values().sum();
        if total <= 0.0 {
            self.parts.clear();
            return;
        }
        for part in self.parts.values_mut() {
            *part /= total;
        }
    }
}

/// Returns the shares that balance load, with a preference for the origin. While no demand is
/// known, all regions are assumed to have equal demand.
fn goal(origin: &Region, rooms: &[RegionRoom]) -> BTreeMap<Region, f64> {
    if rooms.iter().all(|room| room.demand <= 0.0) {
        let asking_alike: Vec<RegionRoom> = rooms
            .iter()
            .map(|room| RegionRoom {
                demand: 1.0,
                ..room.clone()
            })
            .collect();
        return balanced(origin, &asking_alike);
    }
    balanced(origin, rooms)
}

fn balanced(origin: &Region, rooms: &[RegionRoom]) -> BTreeMap<Region, f64> {
    let slots: f64 = rooms.iter().map(|room| room.slots).sum();
    let demand: f64 = rooms.iter().map(|room| room.demand).sum();
    if slots <= 0.0 {
        return BTreeMap::new();
    }
    let own_demand = rooms
        .iter()
        .find(|room| &room.region == origin)
        .map_or(0.0, |room| room.demand);
    if own_demand <= 0.0 {
        let even = |room: &RegionRoom| (room.region.clone(), room.slots / slots);
        return rooms.iter().map(even).collect();
    }
    let intake = |room: &RegionRoom| room.slots / slots * demand * LOCAL_PREFERENCE;
    let kept = |room: &RegionRoom| intake(room).min(room.demand);
    let left_over = |room: &RegionRoom| intake(room) - kept(room);
    let all_left_over: f64 = rooms
        .iter()
        .filter(|room| &room.region != origin)
        .map(left_over)
        .sum();
    let own_kept = rooms
        .iter()
        .find(|room| &room.region == origin)
        .map_or(0.0, kept);
    let sent_away = (own_demand - own_kept) / own_demand;
    let part = |room: &RegionRoom| {
        if &room.region == origin {
            1.0 - sent_away
        } else if all_left_over > 0.0 {
            sent_away * left_over(room) / all_left_over
        } else {
            0.0
        }
    };
    rooms
        .iter()
        .map(|room| (room.region.clone(), part(room)))
        .collect()
}
