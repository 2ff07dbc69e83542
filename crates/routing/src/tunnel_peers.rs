//! Selects the box through which another one reaches an upstream.
//!
//! In the zone of either end the detour crosses no zone that the direct way would not. If that
//! leaves no choice, any box in the region of either end is considered, then all. Of two random
//! ones the less loaded is taken, so that the boxes of a lost zone don't all choose the same.

use brasswinch_types::{BoxId, Region, Zone};
use rand::{Rng, RngExt};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Candidates in the zones of both ends below which boxes farther away are considered as well.
const MIN_NEAR_PEERS: usize = 2;

/// A box that reaches upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct TunnelPeer {
    /// The box.
    pub id: BoxId,
    /// Its zone.
    pub zone: Zone,
    /// Its address for other boxes.
    pub address: SocketAddr,
    /// The bandwidth of its link, in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
    /// Requests per second from its callers; `None` until measured.
    pub requests_per_s: Option<f32>,
}

impl TunnelPeer {
    /// Returns its load relative to its size.
    fn load(&self) -> f32 {
        self.requests_per_s.unwrap_or(0.0) / self.link_mbps.max(1) as f32
    }
}

/// The two ends of a tunnel.
#[derive(Clone, Copy, Debug)]
pub struct TunnelEnds<'a> {
    /// The zone of the box that opens it.
    pub from: &'a Zone,
    /// The zone of the upstream.
    pub to: &'a Zone,
}

impl TunnelEnds<'_> {
    fn is_in_zone(self, peer: &TunnelPeer) -> bool {
        peer.zone == *self.from || peer.zone == *self.to
    }

    fn is_in_region(self, peer: &TunnelPeer, zones: &BTreeMap<Zone, Region>) -> bool {
        let region = zones.get(&peer.zone);
        region.is_some() && (region == zones.get(self.from) || region == zones.get(self.to))
    }
}

/// Selects one of `peers`, which reach upstreams and may carry the request; `None` if there are
/// none. `zones` gives the region of each zone.
pub fn select_tunnel_peer<'a>(
    peers: &'a [TunnelPeer],
    ends: TunnelEnds<'_>,
    zones: &BTreeMap<Zone, Region>,
    random: &mut impl Rng,
) -> Option<&'a TunnelPeer> {
    let mut near: Vec<&TunnelPeer> = peers.iter().filter(|peer| ends.is_in_zone(peer)).collect();
    if near.len() < MIN_NEAR_PEERS {
        near = peers
            .iter()
            .filter(|peer| ends.is_in_region(peer, zones))
            .collect();
    }
    if near.is_empty() {
        near = peers.iter().collect();
    }
    let mut draw = || near.get(random.random_range(0..near.len().max(1))).copied();
    let (one, other) = (draw()?, draw()?);
    if one.load() <= other.load() {
        Some(one)
    } else {
        Some(other)
    }
}
