//! Steers look-ups of one service and origin: shares, cap, region factors.

use crate::context::{Context, Snapshot};
use crate::service::ServiceRuntime;
use brasswinch_decide::regions::{RegionFactors, RegionReport};
use brasswinch_decide::selector::Selector;
use brasswinch_decide::shift::{Shares, ShiftState};
use brasswinch_decide::zone_rank::{self, ZoneCapacity};
use brasswinch_types::{ErrorKind, Millis, Region, ServicePlan, Zone};
use std::sync::PoisonError;

/// Least time between two steps of the shares.
const STEP_MS: Millis = 100;

/// Load reports older than this many heartbeats are ignored.
const FRESH_HEARTBEATS: u64 = 12;

/// Steering of one service and origin.
#[derive(Debug)]
pub(crate) struct Steering {
    shift: ShiftState,
    factors: RegionFactors,
    selector: Selector,
    stepped_at: Millis,
}

impl Steering {
    /// Starts at `shares`.
    pub(crate) fn new(shares: Shares, now: Millis) -> Self {
        Self {
            shift: ShiftState::new(shares, now),
            factors: RegionFactors::default(),
            selector: Selector::default(),
            stepped_at: 0,
        }
    }

    /// The shares in use.
    pub(crate) fn shares(&self) -> &Shares {
        self.shift.shares()
    }
}

/// The region that the next caller from `origin` goes to.
pub(crate) fn pick_region(
    context: &Context,
    service: &ServiceRuntime,
    plan: &ServicePlan,
    snapshot: &Snapshot,
    origin: &Region,
) -> Result<Region, ErrorKind> {
    let planned = plan.shares_for(origin).ok_or(ErrorKind::NoRegion)?;
    let cell = context
        .region_index(origin)
        .and_then(|index| service.steering.get(index))
        .ok_or(ErrorKind::NoRegion)?;
    let now = context.clock.now();
    let mut guard = cell.lock().unwrap_or_else(PoisonError::into_inner);
    let steering = guard.get_or_insert_with(|| Steering::new(planned.clone(), now));
    if now.saturating_sub(steering.stepped_at) >= STEP_MS {
        steering.stepped_at = now;
        for region in planned.keys().chain(plan.loads.keys()) {
            let report = region_report(context, service, snapshot, region, now);
            steering.factors.observe(region, report, now);
        }
        let target = steering.factors.target(planned);
        if !target.is_empty() {
            let cached_ms = context.settings.this_box.limits.lookup_ttl_ms;
            steering.shift.step(&target, plan.shift_cap, cached_ms, now);
        }
    }
    let region = steering
        .selector
        .pick(steering.shift.shares())
        .ok_or(ErrorKind::NoRegion)?;
    if steering.factors.is_down(&region) {
        let other = planned.keys().any(|other| !steering.factors.is_down(other));
        return Err(if other {
            ErrorKind::ShiftCapped
        } else {
            ErrorKind::NoRegion
        });
    }
    Ok(region)
}

/// The zones of `region` that can be handed out, best first.
pub(crate) fn rank_zones(
    context: &Context,
    service: &ServiceRuntime,
    snapshot: &Snapshot,
    region: &Region,
    caller_zone: &Zone,
) -> Vec<Zone> {
    let (zones, rooms): (Vec<Zone>, Vec<ZoneCapacity>) = context
        .settings
        .deployment
        .zones_of(region)
        .into_iter()
        .filter(|zone| snapshot.candidates.get(zone).is_some_and(|c| !c.is_empty()))
        .filter_map(|zone| {
            let index = context.zone_index(&zone)?;
            if service.zone_slots.get(index).copied().unwrap_or(0) == 0 {
                return None;
            }
            let cell = &service.zone_loads[index];
            let room = ZoneCapacity {
                is_local: &zone == caller_zone,
                idle: cell.idle(),
                total: cell.total(),
            };
            Some((zone, room))
        })
        .unzip();
    let order = zone_rank::rank(&rooms, || 1.0 - rand::random::<f64>());
    order
        .into_iter()
        .map(|index| zones[index].clone())
        .collect()
}

fn region_report(
    context: &Context,
    service: &ServiceRuntime,
    snapshot: &Snapshot,
    region: &Region,
    now: Millis,
) -> RegionReport {
    let fresh_ms = context.settings.this_box.peers.heartbeat_ms
        * context.settings.this_box.peers.far_heartbeat_factor
        * FRESH_HEARTBEATS;
    let mut reachable = false;
    let mut idle = 0;
    let mut total = 0;
    for zone in context.settings.deployment.zones_of(region) {
        let Some(index) = context.zone_index(&zone) else {
            continue;
        };
        let serves = service.zone_slots[index] > 0;
        let heard = snapshot
            .candidates
            .get(&zone)
            .is_some_and(|c| !c.is_empty());
        if !serves || !heard {
            continue;
        }
        reachable = true;
        let cell = &service.zone_loads[index];
        if cell.is_fresh(fresh_ms, now) {
            idle += cell.idle().min(cell.total());
            total += cell.total();
        }
    }
    match (reachable, total) {
        (false, _) => RegionReport::Down,
        (true, 0) => RegionReport::Unmeasured,
        (true, total) => RegionReport::Idle(f64::from(idle) / f64::from(total)),
    }
}
