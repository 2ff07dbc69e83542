//! Connections to upstreams through another box, for boxes that reach none themselves.
//!
//! The other box connects to the upstream and copies bytes; it reads no request. Placement, quotas,
//! retries, deadlines and whether a request may have run stay with the box that took it, as on a
//! direct connection. A box opens no tunnel on behalf of another, so there is at most one hop.

mod carry;
mod open;
mod stream;

use brasswinch_routing::UpstreamIncarnation;
pub(crate) use carry::{CarriedTunnels, carry};
pub(crate) use open::{TunnelError, TunnelPeers, open};
use serde::{Deserialize, Serialize};
pub(crate) use stream::{TunnelStream, is_tunnel_loss};

/// Asks for a connection to an upstream. The receiver looks up its address itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TunnelRequest {
    /// The upstream.
    #[serde(rename = "tunnel")]
    upstream: UpstreamIncarnation,
}

/// The reply to a request for a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum TunnelReply {
    /// The upstream is connected; bytes follow in both directions.
    Connected,
    /// The upstream can't be reached from there, though others can.
    UpstreamUnreachable,
    /// The upstream is not known there, or is known not to accept requests.
    NotAccepted,
    /// The box carries no further tunnel now.
    Unavailable,
}
