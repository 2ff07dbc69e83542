//! Selects the boxes that follow the store and the boxes that relay its updates to their zone.
//!
//! Two boxes of the fleet follow the store. Its load then depends neither on the number of
//! boxes nor on the number of zones, and the loss of one follower interrupts no updates. In
//! each zone without a follower, one box receives updates from the leading follower and relays
//! them to its zone; if none arrive in time, it asks the store itself
//! ([`ViewLimits`](crate::ViewLimits)). Boxes with fast links rank first: the store sends the
//! whole configuration, up to 1 MB, for every change of it, and the fleet waits for that
//! transfer.

use crate::rendezvous::{object_hash, weighted_score};
use crate::swim::{Liveness, MemberRecord, MemberState, Swim};
use brasswinch_types::BoxId;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Boxes that follow the store, fleet-wide. If one is lost, the other's watch goes on. With one
/// follower per zone, every change was fetched nine times.
const FOLLOWER_COUNT: usize = 2;

/// A box's part in distributing the store's changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreDuty {
    /// Follows the store, and confirms to the other followers and the relays that their views
    /// are complete.
    #[serde(rename = "Confirms")]
    Lead,
    /// Follows the store.
    #[serde(rename = "Follows")]
    Follow,
    /// Receives updates from the leading follower and relays them to its zone.
    #[serde(rename = "PassesOn")]
    Relay,
    /// Receives updates from other boxes only.
    #[serde(rename = "Hears")]
    Listen,
}

impl StoreDuty {
    /// Whether a box with this duty follows the store itself.
    pub fn follows_store(self) -> bool {
        matches!(self, Self::Lead | Self::Follow)
    }
}

/// The followers and relays of the fleet, as one box sees them.
#[derive(Clone, Debug)]
pub struct Watchers {
    /// The duty of this box.
    pub duty: StoreDuty,
    /// Peer addresses of the other followers and relays.
    pub others: Vec<SocketAddr>,
}

impl Watchers {
    /// Ranks the serving boxes and assigns the duties. Boxes that can't reach the store rank
    /// last, so that others replace them.
    pub fn of(swim: &Swim) -> Self {
        let me = swim.me();
        let members = swim
            .members()
            .filter(|member| member.liveness == Liveness::Alive)
            .map(|member| &member.record);
        let candidates = members.chain([me]).filter(|record| may_follow(record));
        let mut ranked: Vec<Ranked<'_>> = candidates.map(Ranked::of).collect();
        ranked.sort_by(|a, b| b.compare(a));
        let mut zones: BTreeSet<&str> = BTreeSet::new();
        let mut duty = StoreDuty::Listen;
        let mut others = Vec::new();
        for (place, Ranked { record, .. }) in ranked.into_iter().enumerate() {
            let is_first_of_zone = zones.insert(record.zone.as_str());
            if place >= FOLLOWER_COUNT && !is_first_of_zone {
                continue;
            }
            if record.id != me.id {
                others.push(record.peer_address);
                continue;
            }
            duty = match place {
                0 => StoreDuty::Lead,
                place if place < FOLLOWER_COUNT => StoreDuty::Follow,
                _ => StoreDuty::Relay,
            };
        }
        Self { duty, others }
    }
}

fn may_follow(record: &MemberRecord) -> bool {
    record.state == MemberState::Serving
}

/// A box and its rank. The rank is computed once per box, since the whole fleet is sorted
/// whenever a box joins or leaves.
struct Ranked<'a> {
    record: &'a MemberRecord,
    rank: f64,
}

impl<'a> Ranked<'a> {
    fn of(record: &'a MemberRecord) -> Self {
        let rank = rank(&record.id);
        Self { record, rank }
    }

    /// Compares two boxes; the greater one is the better follower.
    fn compare(&self, other: &Self) -> Ordering {
        let (mine, others) = (self.record, other.record);
        let by_reach = mine.reaches_store.cmp(&others.reaches_store);
        let by_link = mine.link_mbps.cmp(&others.link_mbps);
        by_reach
            .then(by_link)
            .then_with(|| self.rank.total_cmp(&other.rank))
    }
}

fn rank(id: &BoxId) -> f64 {
    weighted_score(
        object_hash("watch", b"store"),
        object_hash("box", id.as_str().as_bytes()),
        1.0,
    )
}
