//! What a daemon holds of one service: its plan, its gate, its steering.

use crate::gate::Gate;
use crate::steering::Steering;
use crate::traffic::ConnectionPool;
use arc_swap::ArcSwapOption;
use brasswinch_decide::load_reports::ServiceLoad;
use brasswinch_types::{Millis, ServiceKey, ServicePlan, ServiceTag, UpstreamId};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicI64, AtomicU32, AtomicU64, Ordering};

/// An upstream of the own zone.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) id: UpstreamId,
    pub(crate) address: SocketAddr,
    pub(crate) connections: ConnectionPool,
}

/// The last report of a zone's load for one service.
#[derive(Debug, Default)]
pub(crate) struct ZoneLoadCell {
    idle: AtomicI64,
    reported_idle: AtomicU32,
    total: AtomicU32,
    reported_at: AtomicU64,
}

impl ZoneLoadCell {
    /// Takes a report.
    pub(crate) fn set(&self, load: &ServiceLoad, now: Millis) {
        self.reported_idle.store(load.idle, Ordering::Relaxed);
        self.total.store(load.total, Ordering::Relaxed);
        self.confirm_from(now);
    }

    /// The zone is reachable and reported no change; the last report is current.
    pub(crate) fn confirm(&self, now: Millis) {
        if self.reported_at.load(Ordering::Relaxed) > 0 {
            self.confirm_from(now);
        }
    }

    fn confirm_from(&self, now: Millis) {
        let idle = self.reported_idle.load(Ordering::Relaxed);
        self.idle.store(i64::from(idle), Ordering::Relaxed);
        self.reported_at.store(now, Ordering::Relaxed);
    }

    /// Counts a caller sent there, until the next report shows it.
    pub(crate) fn count_sent(&self) {
        self.idle.fetch_sub(1, Ordering::Relaxed);
    }

    /// Idle slots, less what was sent since the report.
    pub(crate) fn idle(&self) -> u32 {
        u32::try_from(self.idle.load(Ordering::Relaxed)).unwrap_or(0)
    }

    /// Slots of the zone.
    pub(crate) fn total(&self) -> u32 {
        self.total.load(Ordering::Relaxed)
    }

    /// Whether a report came within `age_ms`.
    pub(crate) fn is_fresh(&self, age_ms: Millis, now: Millis) -> bool {
        let reported_at = self.reported_at.load(Ordering::Relaxed);
        reported_at > 0 && now.saturating_sub(reported_at) < age_ms
    }
}

/// One service on one box.
pub(crate) struct ServiceRuntime {
    pub(crate) key: ServiceKey,
    /// The key's short name on links.
    pub(crate) tag: ServiceTag,
    /// Upstreams of the own zone.
    pub(crate) upstreams: Vec<Upstream>,
    /// Slots of all upstreams in each zone, in the deployment's order of zones.
    pub(crate) zone_slots: Vec<u32>,
    /// The policy in force; `None` before there is one.
    pub(crate) plan: ArcSwapOption<ServicePlan>,
    pub(crate) gate: Gate,
    /// Loads by zone, in the deployment's order of zones.
    pub(crate) zone_loads: Vec<ZoneLoadCell>,
    /// Steering by origin region, in the deployment's order of regions.
    pub(crate) steering: Vec<Mutex<Option<Steering>>>,
}
