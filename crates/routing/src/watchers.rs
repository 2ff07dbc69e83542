//! Which boxes follow the store themselves, and which pass on to their zone what they hear.
//!
//! Two boxes of the fleet follow the store, so that its calls grow neither with boxes nor
//! with zones, and the loss of one leaves nobody without news. One box of each zone is told
//! by them and tells the others there; where it isn't told in time it asks the store for its
//! zone ([`ViewLimits`](crate::ViewLimits)). Boxes with fast links come first: the store
//! tells a change of the configuration by the whole of it, up to a megabyte, and the fleet
//! waits for that.

use crate::rendezvous::{object_hash, weighted_score};
use crate::swim::{Liveness, MemberRecord, MemberState, Swim};
use brasswinch_types::BoxId;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Boxes that follow the store, where there are as many: two, so that the loss of one leaves
/// the other's watch. Each change is fetched by each of them: with one in each of nine zones
/// nine times.
const FOLLOWERS: usize = 2;

/// What a box does to know of the store's changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreDuty {
    /// Follows the store, and confirms to the others that follow it that they miss nothing.
    Confirms,
    /// Follows the store.
    Follows,
    /// Is told by the box that confirms, and tells its zone.
    PassesOn,
    /// Hears from others.
    Hears,
}

impl StoreDuty {
    /// Whether a box with this duty follows the store itself.
    pub fn follows_store(self) -> bool {
        matches!(self, Self::Confirms | Self::Follows)
    }
}

/// The boxes with a duty for others, as one box sees them.
#[derive(Clone, Debug)]
pub struct Watchers {
    /// What this box does.
    pub duty: StoreDuty,
    /// Where the others that follow the store or pass news on are reached.
    pub others: Vec<SocketAddr>,
}

impl Watchers {
    /// Boxes that the store doesn't answer come last, so that others step in.
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
        let mut duty = StoreDuty::Hears;
        let mut others = Vec::new();
        for (place, Ranked { record, .. }) in ranked.into_iter().enumerate() {
            let is_first_of_zone = zones.insert(record.zone.as_str());
            if place >= FOLLOWERS && !is_first_of_zone {
                continue;
            }
            if record.id != me.id {
                others.push(record.peer_address);
                continue;
            }
            duty = match place {
                0 => StoreDuty::Confirms,
                place if place < FOLLOWERS => StoreDuty::Follows,
                _ => StoreDuty::PassesOn,
            };
        }
        Self { duty, others }
    }
}

fn may_follow(record: &MemberRecord) -> bool {
    record.state == MemberState::Serving
}

/// A box and its rank, which is worked out once: a large fleet is sorted each time that a
/// box comes or goes.
struct Ranked<'a> {
    record: &'a MemberRecord,
    rank: f64,
}

impl<'a> Ranked<'a> {
    fn of(record: &'a MemberRecord) -> Self {
        let rank = rank(&record.id);
        Self { record, rank }
    }

    /// Which of two boxes is the better one to follow the store.
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
