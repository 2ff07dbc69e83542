//! The workload of the model, and what may happen to the coordinator.

use brasswinch_routing::{QuotaBounds, QuotaBox, QuotaClass, QuotaLimit};
use brasswinch_types::{BoxId, Workspace};
use std::net::SocketAddr;

pub(crate) const BOUNDS: QuotaBounds = QuotaBounds {
    window_s: 5.0,
    overage: 0.1,
    slack: 20.0,
};

pub(crate) const LIMIT: QuotaLimit = QuotaLimit {
    rate_per_s: 1_023.0,
    burst: 1_023.0,
};

/// Requests per second before and during the overload.
pub(crate) const USUAL_PER_S: f64 = 640.0;
pub(crate) const OVERLOAD_PER_S: f64 = 2_700.0;

/// Times in milliseconds: the first request, the overload's begin, the fault, and the end of
/// a fault that ends.
pub(crate) const TRAFFIC_FROM_MS: u64 = 1_000;
pub(crate) const OVERLOAD_FROM_MS: u64 = 2_000;
pub(crate) const FAULT_AT_MS: u64 = 4_500;
pub(crate) const FAULT_ENDS_MS: u64 = FAULT_AT_MS + 2_000;
pub(crate) const END_MS: u64 = 10_000;

/// End of a simulation without a fault, in milliseconds: it covers a window of the quota.
pub(crate) const CALM_END_MS: u64 = 8_000;

/// Time until boxes detect that one left or came back, in milliseconds.
pub(crate) const DETECTION_MS: u64 = 1_000;

pub(crate) const STEP_MS: u64 = 4;
pub(crate) const TICK_MS: u64 = 20;
pub(crate) const REPLY_TIMEOUT_MS: u64 = 60;

/// Longest time to a decision beyond the wait of the class, in milliseconds: two queries, and two
/// reply timeouts after the wait.
pub(crate) const MAX_EXCESS_MS: u64 = 4 * REPLY_TIMEOUT_MS + 2 * STEP_MS;

/// Fraction of waiting requests whose clients disconnect.
pub(crate) const DISCONNECTED: f64 = 0.01;

/// A kind of request: its share, latency goal and deadline in milliseconds, and priority.
pub(crate) struct Kind {
    pub(crate) route: &'static str,
    pub(crate) share: f64,
    pub(crate) goal_ms: u64,
    pub(crate) deadline_ms: u64,
    pub(crate) priority: u32,
}

const fn kind(route: &'static str, share: f64, times: [u64; 2], priority: u32) -> Kind {
    Kind {
        route,
        share,
        goal_ms: times[0],
        deadline_ms: times[1],
        priority,
    }
}

pub(crate) const KINDS: [Kind; 3] = [
    kind("look-ups", 0.64, [800, 6_000], 1),
    kind("approvals", 0.25, [2_000, 8_000], 2),
    kind("downloads", 0.11, [500, 5_000], 0),
];

pub(crate) const LOOK_UPS: usize = 0;
pub(crate) const APPROVALS: usize = 1;
pub(crate) const DOWNLOADS: usize = 2;

/// What happens to the coordinator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    None,
    Dies,
    CutOff,
    Suspended,
    /// It runs an older build, which knows no classes and makes nothing wait.
    OlderBuild,
}

pub(crate) fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + index as u16))
}

pub(crate) fn index_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1_000
}

pub(crate) fn quota_box(index: usize) -> QuotaBox {
    QuotaBox {
        id: BoxId::new(format!("box-{index}")),
        address: address(index),
    }
}

pub(crate) fn workspace() -> Workspace {
    Workspace::new("alpha")
}

pub(crate) fn class_of(kind: usize) -> QuotaClass {
    let kind = &KINDS[kind];
    QuotaClass::of_route(kind.route, kind.priority).waiting_within(kind.goal_ms, kind.deadline_ms)
}
