//! Settings of a box that serves routed requests.

use crate::clock::Clock;
use brasswinch_routing::QuotaBounds;
use brasswinch_types::{BoxId, Region, Zone};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Where a box listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EdgeAddresses {
    /// Listens for clients.
    pub clients: SocketAddr,
    /// Listens for other boxes: datagrams and connections.
    pub peers: SocketAddr,
}

/// Bounds that the whole fleet observes. Times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBounds {
    /// Maximum time from the request to stop until the process ends.
    pub grace_s: f64,
    /// Maximum time for which requests may still reach an upstream that announced it is leaving.
    pub drain_s: f64,
    /// Maximum time until a change by operators is in force at all boxes.
    pub config_apply_s: f64,
    /// Retries allowed per request of a service.
    pub retry_ratio: f64,
    /// Additional retries allowed per window, regardless of the number of requests.
    pub retry_extra: f64,
    /// Window in which retries are counted.
    pub retry_window_s: f64,
    /// Maximum share of a region's requests that may move to another region from one 2 s window to
    /// the next.
    pub max_shift: f64,
    /// Maximum time for which a client may cache a look-up's answer.
    pub max_lookup_ttl_s: f64,
    /// Interval at which upstreams renew their entries in the store.
    pub upstream_heartbeat_s: f64,
    /// Bounds on how far workspaces may exceed their quotas.
    pub quota: QuotaBounds,
    /// Maximum time for which a box that has lost contact with the store accepts the keys that it
    /// knows; `None` for no limit.
    pub max_unconfirmed_keys_s: Option<f64>,
}

impl Default for FleetBounds {
    fn default() -> Self {
        Self {
            grace_s: 6.0,
            drain_s: 2.0,
            config_apply_s: 2.0,
            retry_ratio: 0.2,
            retry_extra: 60.0,
            retry_window_s: 10.0,
            max_shift: 0.15,
            max_lookup_ttl_s: 5.0,
            upstream_heartbeat_s: 1.5,
            quota: QuotaBounds {
                window_s: 5.0,
                overage: 0.1,
                slack: 20.0,
            },
            max_unconfirmed_keys_s: None,
        }
    }
}

/// Default timeout for the reply of an upstream's coordinator. The round trip within a region takes
/// about 1 ms; the rest allows for a busy CPU. A request loses this time if the coordinator doesn't
/// respond.
pub const COORDINATOR_REPLY_TIMEOUT: Duration = Duration::from_millis(15);

/// Bytes of a megabyte.
const MEGABYTE: usize = 1_000_000;

/// Settings of one box.
#[derive(Clone, Debug)]
pub struct EdgeSettings {
    /// Id of the box.
    pub id: BoxId,
    /// The box's zone.
    pub zone: Zone,
    /// All zones and their regions.
    pub zones: BTreeMap<Zone, Region>,
    /// Addresses that the box listens on.
    pub addresses: EdgeAddresses,
    /// Addresses of other boxes, for joining the fleet. May be stale.
    pub seeds: Vec<SocketAddr>,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// Bandwidth of the box's link in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
    /// CPU that the process may use, in thousandths of a core; `None` if unknown.
    pub cpu_millis: Option<u32>,
    /// Maximum number of open connections; `None` if unknown.
    pub max_connections: Option<u32>,
    /// Timeout for the reply of an upstream's coordinator.
    pub coordinator_reply_timeout: Duration,
    /// Bounds of the fleet.
    pub bounds: FleetBounds,
    /// The clock of the process.
    pub clock: Clock,
}

impl EdgeSettings {
    /// Returns the memory that the process may use, in MB, rounded up.
    pub(crate) fn memory_mb(&self) -> u32 {
        u32::try_from(self.memory_bytes.div_ceil(MEGABYTE)).unwrap_or(u32::MAX)
    }

    /// Returns the box's region; empty if its zone is not in `zones`.
    pub fn region(&self) -> Region {
        let region = self.zones.get(&self.zone).cloned();
        region.unwrap_or_else(|| Region::new(""))
    }
}
