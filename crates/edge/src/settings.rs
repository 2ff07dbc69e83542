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
    /// For clients.
    pub clients: SocketAddr,
    /// For other boxes: datagrams and connections.
    pub peers: SocketAddr,
}

/// Bounds that all boxes keep together. Times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBounds {
    /// Longest time from the request to stop to the end of the process.
    pub grace_s: f64,
    /// Longest time in which requests may still reach an upstream that said it leaves.
    pub drain_s: f64,
    /// Longest time in which what operators wrote comes into force everywhere.
    pub config_apply_s: f64,
    /// Repeats for each request of a service.
    pub retry_ratio: f64,
    /// Repeats in a window, whatever the requests.
    pub retry_extra: f64,
    /// The window that repeats are counted in.
    pub retry_window_s: f64,
    /// Most of a region's requests that may change their region of execution between a
    /// window of 2 s and the next.
    pub most_shift: f64,
    /// Longest time that a look-up's answer may be kept.
    pub longest_lookup_ttl_s: f64,
    /// Time between two entries of an upstream.
    pub upstream_heartbeat_s: f64,
    /// What workspaces' quotas may be passed by.
    pub quota: QuotaBounds,
    /// Longest time for which a box that is out of touch with the store goes on taking keys
    /// that it knows, in seconds; `None` where it does so for good.
    pub longest_unconfirmed_keys_s: Option<f64>,
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
            most_shift: 0.15,
            longest_lookup_ttl_s: 5.0,
            upstream_heartbeat_s: 1.5,
            quota: QuotaBounds {
                window_s: 5.0,
                overage: 0.1,
                slack: 20.0,
            },
            longest_unconfirmed_keys_s: None,
        }
    }
}

/// How long the answer of an upstream's keeper is waited for, unless settings say otherwise.
/// Boxes of a region are about 1 ms apart, there and back; the rest is for a busy processor.
/// It is lost where the keeper is silent.
pub const KEEPER_WAIT: Duration = Duration::from_millis(15);

/// Settings of one box.
#[derive(Clone, Debug)]
pub struct EdgeSettings {
    /// The box.
    pub id: BoxId,
    /// Where it stands.
    pub zone: Zone,
    /// All zones and their regions.
    pub zones: BTreeMap<Zone, Region>,
    /// Where it listens.
    pub addresses: EdgeAddresses,
    /// Where other boxes may be reached, for a start. May be stale.
    pub seeds: Vec<SocketAddr>,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// What its link carries, in Mbit/s; 0 where that isn't known.
    pub link_mbps: u32,
    /// How long the answer of an upstream's keeper is waited for.
    pub keeper_wait: Duration,
    /// The bounds.
    pub bounds: FleetBounds,
    /// What it reads the time from.
    pub clock: Clock,
}

impl EdgeSettings {
    /// The box's region.
    pub fn region(&self) -> Region {
        let region = self.zones.get(&self.zone).cloned();
        region.unwrap_or_else(|| Region::new(""))
    }
}
