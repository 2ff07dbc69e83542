//! Which boxes follow the store themselves. The others hear from them.
//!
//! One box of each zone does, and never fewer than a few in all, so that the store's
//! calls grow with the zones and not with the boxes, and no single loss leaves the fleet
//! without news. Boxes with fast links come first: the store tells a change of the
//! configuration by the whole of it, up to a megabyte, and the fleet waits for that.

use crate::rendezvous::{object_hash, weighted_score};
use crate::swim::{Liveness, MemberRecord, MemberState, Swim};
use brasswinch_types::BoxId;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Fewest boxes that follow the store, where there are as many.
const LEAST_WATCHERS: usize = 4;

/// What a box does to know of the store's changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreDuty {
    /// Follows the store, and confirms to the others that follow it that they miss nothing.
    Confirms,
    /// Follows the store.
    Follows,
    /// Hears from others.
    Hears,
}

/// The boxes that follow the store, as one box sees them.
#[derive(Clone, Debug)]
pub struct Watchers {
    /// What this box does.
    pub duty: StoreDuty,
    /// Where the others that follow the store are reached.
    pub others: Vec<SocketAddr>,
}

impl Watchers {
    /// Boxes that the store doesn't answer count as none, so that others step in; they go
    /// on trying all the same.
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
        let mut duty = if may_follow(me) {
            StoreDuty::Hears
        } else {
            StoreDuty::Follows
        };
        let mut others = Vec::new();
        for (place, Ranked { record, .. }) in ranked.into_iter().enumerate() {
            let is_first_of_zone = zones.insert(record.zone.as_str());
            if place >= LEAST_WATCHERS && !is_first_of_zone {
                continue;
            }
            if record.id != me.id {
                others.push(record.peer_address);
            } else if place == 0 {
                duty = StoreDuty::Confirms;
            } else {
                duty = StoreDuty::Follows;
            }
        }
        Self { duty, others }
    }
}

/// Whether this box follows the store itself.
pub fn watches_store(swim: &Swim) -> bool {
    Watchers::of(swim).duty != StoreDuty::Hears
}

fn may_follow(record: &MemberRecord) -> bool {
    record.reaches_store && record.state == MemberState::Serving
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
        let by_link = self.record.link_mbps.cmp(&other.record.link_mbps);
        by_link.then_with(|| self.rank.total_cmp(&other.rank))
    }
}

fn rank(id: &BoxId) -> f64 {
    weighted_score(
        object_hash("watch", b"store"),
        object_hash("box", id.as_str().as_bytes()),
        1.0,
    )
}
