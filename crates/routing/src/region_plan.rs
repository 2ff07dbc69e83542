//! Which parts of a region's requests run in which region.
//!
//! A region keeps its own requests as far as its upstreams have room in proportion; the
//! rest goes where room is left over. The parts move slowly, so that the requests of a
//! region never change their region of execution faster than the shift bound.

use brasswinch_types::{Millis, Region};
use std::collections::{BTreeMap, BTreeSet};

/// A region may take this much more than its even part of the load to keep requests
/// near their callers. At 1.6 its upstreams are full when others have room; worth of all
/// answers at 1.25: 0.010 ± 0.007 and 0.006 ± 0.006 more (two loads, 12 paired days each).
const LOCAL_PREFERENCE: f64 = 1.25;

/// Part of the shift bound that the plan uses; the rest covers chance and spilling.
const USED_PART_OF_BOUND: f64 = 0.6;

/// The window of the shift bound, in milliseconds.
const BOUND_WINDOW_MS: f64 = 2_000.0;

/// One region's room and demand for a service.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionRoom {
    /// The region.
    pub region: Region,
    /// Slots of its usable upstreams.
    pub slots: f64,
    /// Requests a second that its callers send, in any unit.
    pub demand: f64,
}

/// The parts of one origin region's requests, by region of execution.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionPlan {
    parts: BTreeMap<Region, f64>,
    moved_at: Option<Millis>,
}

impl RegionPlan {
    /// The part of `region`, from 0 to 1.
    pub fn part(&self, region: &Region) -> f64 {
        self.parts.get(region).copied().unwrap_or(0.0)
    }

    /// Moves toward what `rooms` asks for, at most as fast as `most_shift` allows. A
    /// region without room gets nothing from now on.
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

    /// Takes regions without room out and spreads their part over the others.
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

/// The parts that balance load, with a preference for the origin. Where nothing is known
/// of demand yet, each region is taken to ask alike.
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
