//! Ownership of a zone's load by its boxes.
//!
//! A zone's load is divided into [`UNITS`] equal units. Each unit has at most one
//! owner at any time. Slot `k` of any service belongs to the owner of
//! `unit_of_slot(k)`. This doesn't depend on the load or the set of upstreams, so
//! two boxes with different plans still never own the same slot.

use crate::{BoxId, Incarnation};
use serde::{Deserialize, Serialize};

/// Number of units per zone. Divisible by every box count up to 6, and by 40.
pub const UNITS: usize = 120;

/// Distance in units between neighbouring slots. Coprime with [`UNITS`], so that the slots
/// spread over all units.
const SLOT_STRIDE: usize = 73;

/// Returns the unit that `slot` belongs to.
pub fn unit_of_slot(slot: u32) -> usize {
    (slot as usize * SLOT_STRIDE) % UNITS
}

/// The owner of a unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitOwner {
    /// The owning box. It keeps its units when its daemon restarts.
    pub box_id: BoxId,
    /// The incarnation of the box that last wrote this entry.
    pub incarnation: Incarnation,
}

/// The owners of one zone's units, stored under one key of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitTable {
    /// One above the version it replaces.
    pub version: u64,
    /// The owner of each unit; `None` if the unit is free.
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

    /// Returns the owner of the unit of `slot`.
    pub fn owner_of_slot(&self, slot: u32) -> Option<&BoxId> {
        let owner = self.owners.get(unit_of_slot(slot))?.as_ref()?;
        Some(&owner.box_id)
    }

    /// Returns the number of units that `box_id` owns.
    pub fn count_of(&self, box_id: &BoxId) -> usize {
        self.owners
            .iter()
            .flatten()
            .filter(|owner| &owner.box_id == box_id)
            .count()
    }

    /// Returns the number of units without an owner.
    pub fn free(&self) -> usize {
        self.owners.iter().filter(|owner| owner.is_none()).count()
    }

    /// Returns the boxes that own at least one unit, sorted and without duplicates.
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
