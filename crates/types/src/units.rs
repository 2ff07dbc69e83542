//! Ownership of a zone's load by its boxes.
//!
//! A zone's load is cut into [`UNITS`] equal units. Each unit has at most one
//! owner at any time. Slot `k` of any service belongs to the owner of
//! `unit_of_slot(k)`, whatever the load or the set of upstreams is, so two
//! boxes that hold different plans still never own the same slot.

use crate::{BoxId, Incarnation};
use serde::{Deserialize, Serialize};

/// How many units a zone is cut into. Divisible by every box count up to 6, and by 40.
pub const UNITS: usize = 120;

/// A number coprime with [`UNITS`] that spreads neighbouring slots over the units.
const SLOT_STRIDE: usize = 73;

/// The unit that slot `slot` belongs to.
pub fn unit_of_slot(slot: u32) -> usize {
    (slot as usize * SLOT_STRIDE) % UNITS
}

/// Who owns a unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitOwner {
    /// The box. A restart on the same box keeps its units.
    pub box_id: BoxId,
    /// The incarnation that wrote the entry last.
    pub incarnation: Incarnation,
}

/// The table of one zone, kept under one key of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitTable {
    /// One above the version it replaces.
    pub version: u64,
    /// The owner of each unit; `None` is free to take.
    pub owners: Vec<Option<UnitOwner>>,
}

impl Default for UnitTable {
    fn default() -> Self {
        Self {
            version: 0,
            owners: vec![None; UNITS],
        }
    }
}

impl UnitTable {
    /// Whether `box_id` owns the unit of `slot`.
    pub fn owns_slot(&self, box_id: &BoxId, slot: u32) -> bool {
        self.owner_of_slot(slot) == Some(box_id)
    }

    /// The owner of the unit of `slot`.
    pub fn owner_of_slot(&self, slot: u32) -> Option<&BoxId> {
        let owner = self.owners.get(unit_of_slot(slot))?.as_ref()?;
        Some(&owner.box_id)
    }

    /// How many units `box_id` owns.
    pub fn count_of(&self, box_id: &BoxId) -> usize {
        self.owners
            .iter()
            .flatten()
            .filter(|owner| &owner.box_id == box_id)
            .count()
    }

    /// How many units nobody owns.
    pub fn free(&self) -> usize {
        self.owners.iter().filter(|owner| owner.is_none()).count()
    }

    /// The boxes that own at least one unit, sorted, each once.
    pub fn holders(&self) -> Vec<BoxId> {
        let mut holders: Vec<BoxId> = self
            .owners
            .iter()
            .flatten()
            .map(|owner| owner.box_id.clone())
            .collect();
        holders.sort();
        holders.dedup();
        holders
    }
}
