//! A member: the record that it publishes, and its liveness.

use super::message::Update;
use crate::change::{Revision, Scope};
use crate::look_up::BoxResources;
use brasswinch_types::{BoxId, Millis, Zone};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The state of a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// It can't serve requests yet.
    Starting,
    /// It serves requests.
    Serving,
    /// It accepts no new requests.
    Leaving,
}

/// What a box publishes about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The box.
    #[serde(rename = "i")]
    pub id: BoxId,
    /// Incremented with each change of the record, and to refute a false claim about the box.
    #[serde(rename = "n")]
    pub incarnation: u64,
    /// Its availability zone.
    #[serde(rename = "z")]
    pub zone: Zone,
    /// Its address for callers.
    #[serde(rename = "c")]
    pub caller_address: SocketAddr,
    /// Its address for other boxes, both for datagrams and for connections.
    #[serde(rename = "p")]
    pub peer_address: SocketAddr,
    /// Its state.
    #[serde(rename = "s")]
    pub state: MemberState,
    /// Requests per second from its callers; `None` until measured.
    #[serde(rename = "r")]
    pub requests_per_s: Option<f32>,
    /// The revision up to which it knows the operators' entries.
    #[serde(rename = "o")]
    pub operator_revision: Revision,
    /// The revision up to which it knows the upstreams' entries.
    #[serde(rename = "t")]
    pub upstream_revision: Revision,
    /// Whether its last call to the store succeeded.
    #[serde(rename = "k")]
    pub reaches_store: bool,
    /// The bandwidth of its link, in Mbit/s; 0 if unknown.
    #[serde(rename = "b", default)]
    pub link_mbps: u32,
    /// The number of boxes in the fleet as far as it knows ([`FleetSize`](crate::FleetSize)); 0
    /// if unknown.
    #[serde(rename = "f", default)]
    pub fleet_size: u32,
    /// Whether it reaches upstreams and connects other boxes to them; `None` if its build can't.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub reaches_upstreams: Option<bool>,
    /// The CPU that it may use, in thousandths of a core; `None` if unknown.
    #[serde(rename = "cp", default, skip_serializing_if = "Option::is_none")]
    pub cpu_millis: Option<u32>,
    /// The memory that it may use, in MB; `None` if unknown.
    #[serde(rename = "mm", default, skip_serializing_if = "Option::is_none")]
    pub memory_mb: Option<u32>,
    /// Its maximum number of connections; `None` if unknown.
    #[serde(rename = "mc", default, skip_serializing_if = "Option::is_none")]
    pub max_connections: Option<u32>,
    /// The largest utilization of its resources that it measures, in percent; `None` if it hasn't
    /// published any.
    #[serde(rename = "ul", default, skip_serializing_if = "Option::is_none")]
    pub utilization: Option<u32>,
}

impl MemberRecord {
    /// Records that the box knows `scope` up to at least `revision`.
    pub(super) fn raise_revision(&mut self, scope: Scope, revision: Revision) {
        let held = match scope {
            Scope::Operator => &mut self.operator_revision,
            Scope::Upstreams => &mut self.upstream_revision,
        };
        *held = (*held).max(revision);
    }

    /// Returns the sizes that the box published.
    pub fn resources(&self) -> BoxResources {
        BoxResources {
            link_mbps: self.link_mbps,
            cpu_millis: self.cpu_millis,
            memory_mb: self.memory_mb,
            max_connections: self.max_connections,
        }
    }

    /// Whether the box has reported that it reaches no upstream.
    pub fn is_cut_off(&self) -> bool {
        self.reaches_upstreams == Some(false)
    }

    /// Returns the revision up to which the box knows `scope`.
    pub fn revision(&self, scope: Scope) -> Revision {
        match scope {
            Scope::Operator => self.operator_revision,
            Scope::Upstreams => self.upstream_revision,
        }
    }
}

/// Whether a box responds to probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Liveness {
    /// It responds.
    Alive,
    /// A probe failed; the box can still refute the suspicion.
    Suspect,
    /// It didn't refute the suspicion in time.
    Dead,
}

/// Another box of the fleet.
#[derive(Clone, Debug)]
pub struct Member {
    /// The newest record received from it.
    pub record: MemberRecord,
    /// Whether it responds to probes.
    pub liveness: Liveness,
    pub(super) changed_at: Millis,
    pub(super) transmissions_left: u32,
}

impl Member {
    pub(super) fn update(&self) -> Update {
        Update {
            record: self.record.clone(),
            liveness: self.liveness,
        }
    }
}
