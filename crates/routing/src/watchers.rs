//! Which boxes follow the store themselves. The others hear from them.
//!
//! One box of each zone does, and never fewer than a few in all, so that the store's
//! calls grow with the zones and not with the boxes, and no single loss leaves the fleet
//! without news. Boxes with fast links come first: the store tells a change of the
//! configuration by the whole of it, up to a megabyte, and the fleet waits for that.

use crate::rendezvous::{object_hash, weighted_score};
use crate::swim::{Liveness, MemberRecord, MemberState, Swim};
use brasswinch_types::BoxId;
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Fewest boxes that follow the store, where there are as many.
const LEAST_WATCHERS: usize = 4;

/// Whether this box follows the store itself. Boxes that the store doesn't answer count
/// as none, so that others step in; they go on trying all the same.
pub fn watches_store(swim: &Swim) -> bool {
    let me = swim.me();
    if !me.reaches_store || me.state != MemberState::Serving {
        return true;
    }
    let others = swim
        .members()
        .filter(|member| member.liveness == Liveness::Alive)
        .map(|member| &member.record)
        .filter(|record| record.reaches_store && record.state == MemberState::Serving);
    let mut ranked: Vec<Ranked<'_>> = others.chain([me]).map(Ranked::of).collect();
    ranked.sort_by(|a, b| b.compare(a));
    let mut in_zone: BTreeMap<&str, usize> = BTreeMap::new();
    for (place, Ranked { record, .. }) in ranked.into_iter().enumerate() {
        let before = in_zone.entry(record.zone.as_str()).or_default();
        if record.id == me.id {
            return place < LEAST_WATCHERS || *before == 0;
        }
        *before += 1;
    }
    true
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
