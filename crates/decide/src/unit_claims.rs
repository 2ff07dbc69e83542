//! Ownership of a zone's units: claiming, giving up and taking over.
//!
//! Every change is one compare-and-swap on the zone's table in the platform's
//! store. A box gives up units only when they are unused, and takes units over
//! from another box only when that box is gone from the platform's list. A box
//! that is silent, frozen or partitioned keeps its units, because it may still be
//! serving.

use brasswinch_types::{BoxId, Incarnation, Millis, UNITS, UnitOwner, UnitTable};
use std::collections::{BTreeMap, BTreeSet};

/// Time that a box must be missing from the platform's list before its units
/// are taken over, in milliseconds. Applies to boxes that were listed before.
pub const GONE_AFTER_MS: Millis = 3_000;

/// Tracks how long the owners of units have been missing from the platform's list.
#[derive(Debug, Default)]
pub struct ListTracker {
    missing_since: BTreeMap<BoxId, Millis>,
    seen: BTreeSet<BoxId>,
}

impl ListTracker {
    /// Processes a reading of the list; `holders` are the boxes that own units.
    pub fn observe(&mut self, listed: &BTreeSet<BoxId>, holders: &[BoxId], now: Millis) {
        self.seen.extend(listed.iter().cloned());
        self.missing_since
            .retain(|id, _| holders.contains(id) && !listed.contains(id));
        for holder in holders {
            if !listed.contains(holder) {
                self.missing_since.entry(holder.clone()).or_insert(now);
            }
        }
    }

    /// Whether `id` has been missing from the list for long enough to count as gone.
    ///
    /// A box that this daemon never saw in the list may be too new for the list, which
    /// lags, so `never_seen_ms` applies to it in place of `GONE_AFTER_MS`.
    pub fn is_gone(&self, id: &BoxId, never_seen_ms: Millis, now: Millis) -> bool {
        let Some(since) = self.missing_since.get(id) else {
            return false;
        };
        let wait = if self.seen.contains(id) {
            GONE_AFTER_MS
        } else {
            never_seen_ms
        };
        now.saturating_sub(*since) >= wait
    }
}

/// A change of the table that this box wants to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The table to write in place of the one that was read.
    pub table: UnitTable,
    /// Units taken over from boxes that are gone, which must be held back.
    pub taken_over: Vec<usize>,
}

/// Returns the claim of `me` on free units and on those of gone boxes, up to an equal
/// share among the `boxes` live in the zone; `None` if there is nothing to claim.
pub fn claim(
    table: &UnitTable,
    me: &BoxId,
    incarnation: Incarnation,
    boxes: usize,
    gone: impl Fn(&BoxId) -> bool,
) -> Option<Claim> {
    let share = UNITS.div_ceil(boxes.max(1));
    let mut remaining = share.saturating_sub(table.count_of(me));
    let mut next = table.clone();
    let mut taken_over = Vec::new();
    for (unit, owner) in next.owners.iter_mut().enumerate() {
        if remaining == 0 {
            break;
        }
        let claimable = match owner {
            None => true,
            Some(owner) => owner.box_id != *me && gone(&owner.box_id),
        };
        if !claimable {
            continue;
        }
        if owner.is_some() {
            taken_over.push(unit);
        }
        *owner = Some(UnitOwner {
            box_id: me.clone(),
            incarnation,
        });
        remaining -= 1;
    }
    if next == *table {
        return None;
    }
    next.version += 1;
    Some(Claim {
        table: next,
        taken_over,
    })
}

/// Returns the units above its share that `me` should give up, so that boxes below their
/// share can claim them. `is_unused` returns whether a unit can be given up now.
pub fn surplus(
    table: &UnitTable,
    me: &BoxId,
    boxes: usize,
    is_unused: impl Fn(usize) -> bool,
) -> Vec<usize> {
    let share = UNITS.div_ceil(boxes.max(1));
    let excess = table.count_of(me).saturating_sub(share);
    owned(table, me)
        .into_iter()
        .rev()
        .filter(|unit| is_unused(*unit))
        .take(excess)
        .collect()
}

/// Returns the units that `me` owns.
pub fn owned(table: &UnitTable, me: &BoxId) -> Vec<usize> {
    let mine = |owner: &Option<UnitOwner>| owner.as_ref().is_some_and(|o| o.box_id == *me);
    (0..table.owners.len())
        .filter(|unit| mine(&table.owners[*unit]))
        .collect()
}

/// Returns the table after `me` gives up `units`, with the next version.
pub fn give_up(table: &UnitTable, me: &BoxId, units: &[usize]) -> UnitTable {
    let mut next = table.clone();
    for unit in units {
        let Some(owner) = next.owners.get_mut(*unit) else {
            continue;
        };
        if owner.as_ref().is_some_and(|o| o.box_id == *me) {
            *owner = None;
        }
    }
    next.version += 1;
    next
}
