//! A member: its own word, and whether it was heard.

use super::message::Update;
use crate::change::{Revision, Scope};
use brasswinch_types::{BoxId, Millis, Zone};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a box is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// It can't serve yet.
    Starting,
    /// It serves.
    Serving,
    /// It takes nothing new.
    Leaving,
}

/// A box's own word about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The box.
    #[serde(rename = "i")]
    pub id: BoxId,
    /// Goes up with each change of the record, and with each denial of a suspicion.
    #[serde(rename = "n")]
    pub incarnation: u64,
    /// Where it stands.
    #[serde(rename = "z")]
    pub zone: Zone,
    /// Where callers reach it.
    #[serde(rename = "c")]
    pub caller_address: SocketAddr,
    /// Where other boxes reach it, by datagram and by connection.
    #[serde(rename = "p")]
    pub peer_address: SocketAddr,
    /// What it is doing.
    #[serde(rename = "s")]
    pub state: MemberState,
    /// Requests a second that its callers send; `None` until it has measured them.
    #[serde(rename = "r")]
    pub requests_per_s: Option<f32>,
    /// Up to where it knows what operators wrote.
    #[serde(rename = "o")]
    pub operator_revision: Revision,
    /// Up to where it knows what upstreams wrote.
    #[serde(rename = "t")]
    pub upstream_revision: Revision,
    /// Whether the store answered it when it last asked.
    #[serde(rename = "k")]
    pub reaches_store: bool,
    /// What its link carries, in Mbit/s; 0 where that isn't known.
    #[serde(rename = "b", default)]
    pub link_mbps: u32,
    /// How many boxes it knows the fleet to have ([`FleetSize`](crate::FleetSize)); 0 as long as
    /// it doesn't know.
    #[serde(rename = "f", default)]
    pub fleet_size: u32,
}

impl MemberRecord {
    /// Takes that the box knows `scope` up to `revision` at least.
    pub(super) fn raise_revision(&mut self, scope: Scope, revision: Revision) {
        let held = match scope {
            Scope::Operator => &mut self.operator_revision,
            Scope::Upstreams => &mut self.upstream_revision,
        };
        *held = (*held).max(revision);
    }

    /// Up to where the box knows `scope`.
    pub fn revision(&self, scope: Scope) -> Revision {
        match scope {
            Scope::Operator => self.operator_revision,
            Scope::Upstreams => self.upstream_revision,
        }
    }
}

/// Whether a box was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Liveness {
    /// It answers.
    Alive,
    /// It was silent; it may still deny that.
    Suspect,
    /// It was silent for too long.
    Dead,
}

/// What is known of another box.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its own word.
    pub record: MemberRecord,
    /// Whether it was heard.
    pub liveness: Liveness,
    pub(super) changed_at: Millis,
    pub(super) spread_left: u32,
}

impl Member {
    pub(super) fn update(&self) -> Update {
        Update {
            record: self.record.clone(),
            liveness: self.liveness,
        }
    }
}
