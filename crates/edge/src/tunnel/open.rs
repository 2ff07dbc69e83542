//! Opens tunnels through boxes that reach upstreams.

use super::{TunnelReply, TunnelRequest, TunnelStream};
use crate::context::Context;
use crate::recent_failures::RecentFailures;
use crate::relay::request_tunnel;
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{
    Choice, Liveness, Member, MemberRecord, MemberState, RegionLimits, TunnelEnds, TunnelPeer,
    select_tunnel_peer,
};
use brasswinch_types::{BoxId, Region};
use std::time::Duration;
use tokio::time::timeout;

/// Boxes that are asked for one tunnel, one after the other.
const MAX_PEERS_ASKED: u32 = 3;

/// Timeout for opening a tunnel: three round trips to the other box, and its connection to the
/// upstream.
const OPEN_TIMEOUT: Duration = Duration::from_millis(900);

/// How long a box is not asked after it opened no tunnel.
const SKIPPED_FOR: Duration = Duration::from_secs(1);

/// Why no tunnel was opened. Nothing was sent to the upstream.
#[derive(Debug, thiserror::Error)]
pub(crate) enum TunnelError {
    /// No known box reaches upstreams.
    #[error("no other box reaches upstreams")]
    NoPeer,
    /// The upstream can't be reached from a box that reaches others.
    #[error("the upstream can't be reached from another box either")]
    UpstreamUnreachable,
    /// The boxes that were asked opened no tunnel.
    #[error("no box that was asked opened a tunnel")]
    NotOpened,
}

/// Boxes that carry tunnels for this one.
#[derive(Debug)]
pub(crate) struct TunnelPeers {
    failures: RecentFailures,
}

impl Default for TunnelPeers {
    fn default() -> Self {
        Self {
            failures: RecentFailures::new(SKIPPED_FOR),
        }
    }
}

impl TunnelPeers {
    /// Records that a tunnel through a box was lost.
    pub(crate) fn record_loss(&self, peer: &BoxId) {
        self.failures.insert(peer);
    }
}

/// Opens a tunnel to the chosen upstream through a box in the regions allowed. Returns it with
/// that box.
///
/// # Errors
///
/// Fails if no box opens one.
pub(crate) async fn open(
    context: &Context,
    choice: &Choice,
    regions: RegionLimits<'_>,
) -> Result<(TunnelStream, BoxId), TunnelError> {
    let mut has_peer = false;
    for _ in 0..MAX_PEERS_ASKED {
        let Some(peer) = context.select_tunnel_peer(choice, regions) else {
            break;
        };
        has_peer = true;
        let request = TunnelRequest {
            upstream: choice.incarnation(),
        };
        let opening = request_tunnel(context, peer.address, request);
        let reply = match timeout(OPEN_TIMEOUT, opening).await {
            Ok(Ok((socket, TunnelReply::Connected))) => match TunnelStream::new(socket) {
                Ok(tunnel) => return Ok((tunnel, peer.id)),
                Err(error) => error.to_string(),
            },
            Ok(Ok((_, TunnelReply::UpstreamUnreachable))) => {
                return Err(TunnelError::UpstreamUnreachable);
            }
            Ok(Ok((_, reply))) => format!("it replied {reply:?}"),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "opening a tunnel timed out".to_owned(),
        };
        let id = &peer.id;
        emit(Event::PeerDown, format_args!("{id}: tunnel: {reply}"));
        context.tunnel_peers.failures.insert(id);
    }
    Err(if has_peer {
        TunnelError::NotOpened
    } else {
        TunnelError::NoPeer
    })
}

impl Context {
    /// Closes tunnels through boxes that are no longer serving, so that these can stop.
    pub(crate) fn close_tunnels_of_leaving_boxes(&self) {
        let swim = self.swim();
        let leaving = swim.members().filter(|member| !is_serving(member));
        let leaving = leaving.map(|member| member.record.id.clone()).collect();
        drop(swim);
        self.pool.close_tunnels(leaving);
    }

    /// Selects a box through which to reach the upstream of `choice`.
    fn select_tunnel_peer(&self, choice: &Choice, regions: RegionLimits<'_>) -> Option<TunnelPeer> {
        let zones = &self.settings.zones;
        let is_allowed = |record: &MemberRecord| {
            let region = zones.get(&record.zone);
            regions.allow(region.unwrap_or(&Region::new("")))
        };
        let swim = self.swim();
        let reaching = swim.serving_boxes().filter(|record| {
            record.id != self.settings.id
                && record.reaches_upstreams == Some(true)
                && is_allowed(record)
                && !self.tunnel_peers.failures.contains(&record.id)
        });
        let peers: Vec<TunnelPeer> = reaching.map(tunnel_peer).collect();
        drop(swim);
        let ends = TunnelEnds {
            from: &self.settings.zone,
            to: &choice.zone,
        };
        select_tunnel_peer(&peers, ends, zones, &mut rand::rng()).cloned()
    }
}

fn is_serving(member: &Member) -> bool {
    member.liveness == Liveness::Alive && member.record.state == MemberState::Serving
}

fn tunnel_peer(record: &MemberRecord) -> TunnelPeer {
    TunnelPeer {
        id: record.id.clone(),
        zone: record.zone.clone(),
        address: record.peer_address,
        link_mbps: record.link_mbps,
        requests_per_s: record.requests_per_s,
    }
}
