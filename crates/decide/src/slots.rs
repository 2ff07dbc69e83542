//! The concurrency limit of one service in one zone, as slots that boxes own, lend and
//! borrow.
//!
//! The zone may run `load` requests of the service at a time, on the slots
//! `0..load`. A slot belongs to the box that owns its unit in the zone's table,
//! and at most one box at a time may start a request on it:
//!
//! * The owner may do so without a time limit, also during partitions and outages.
//! * The owner can lend an idle slot. The borrower counts the loan's term from
//!   the time of its **request**, by its own clock. The owner counts from the time
//!   of its **grant**, and reclaims the slot only when the borrower returns it or
//!   when the term, the longest run and a margin have passed. However long the
//!   messages are delayed or the borrower is paused, the borrower's term ends first.
//! * An owner that doesn't know which slots its predecessor lent or used holds them
//!   back until all peers have reported or the longest possible use has passed.

use brasswinch_types::{BoxId, Millis, UnitTable, unit_of_slot};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The durations that apply to loans.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanTerms {
    /// Time after its request during which the borrower may start work.
    pub term_ms: Millis,
    /// Maximum duration of work after its start.
    pub max_run_ms: Millis,
    /// Margin for clock drift and late cancellation.
    pub margin_ms: Millis,
}

impl LoanTerms {
    /// Returns the time after the grant when no work on the loan can be running any more.
    pub fn max_use_ms(&self) -> Millis {
        self.term_ms + self.max_run_ms + self.margin_ms
    }
}

/// Identifies a loan among all loans of its lender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LoanId(pub u64);

/// A slot on loan, as the lender announces it to the borrower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// The slot.
    pub slot: u32,
    /// The loan's id, which a return must name.
    pub id: LoanId,
}

/// A slot to return to its lender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Returned {
    /// The box that lent the slot.
    pub lender: BoxId,
    /// The loan to return.
    pub loan: Loan,
}

/// Permission to run one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotGrant {
    /// The slot that the request occupies until it finishes.
    pub slot: u32,
    /// Time before which the request must be sent, for borrowed slots.
    pub send_before: Option<Millis>,
}

/// Counts of the slots of a pool. Slots above the load are counted only where busy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotCounts {
    /// Slots that this box owns and hasn't lent, including those held back.
    pub held: u32,
    /// Slots on which it can start work now.
    pub idle: u32,
    /// Slots with running work.
    pub busy: u32,
    /// Slots on loan from other boxes.
    pub borrowed: u32,
    /// Slots on loan to other boxes.
    #[serde(rename = "lent")]
    pub loaned: u32,
}

/// Who owns a slot, and whether this box may use it.
#[derive(Clone, Debug, PartialEq)]
enum Ownership {
    /// As far as known, another box owns the slot; this box can't use it.
    Other,
    /// This box owns the slot.
    Own,
    /// This box owns the slot, but a previous owner may still have work or a loan on it.
    HeldBack { until: Millis },
    /// This box owns the slot and has lent it to another.
    Loaned {
        borrower: BoxId,
        id: LoanId,
        reclaim_at: Millis,
    },
    /// Another box owns the slot and has lent it to this one.
    Borrowed {
        lender: BoxId,
        id: LoanId,
        start_before: Millis,
    },
}

#[derive(Clone, Debug)]
struct Slot {
    ownership: Ownership,
    busy: bool,
}

/// The slots of one service in one zone, as seen by one box.
#[derive(Debug)]
pub struct SlotPool {
    me: BoxId,
    load: u32,
    terms: LoanTerms,
    slots: Vec<Slot>,
    next_loan_id: u64,
    /// The last loan received from each lender.
    last_received: BTreeMap<BoxId, LoanId>,
}

impl SlotPool {
    /// Creates a pool without slots. `first_loan`, the id of its first loan, must differ
    /// between incarnations.
    pub fn new(me: BoxId, terms: LoanTerms, first_loan: u64) -> Self {
        Self {
            me,
            load: 0,
            terms,
            slots: Vec::new(),
            next_loan_id: first_loan,
            last_received: BTreeMap::new(),
        }
    }

    /// Sets the load and the loan terms. Running work on slots above a reduced load continues.
    ///
    /// `hold_back` applies to the slots that are new to this pool.
    pub fn set_load(
        &mut self,
        load: u32,
        terms: LoanTerms,
        table: &UnitTable,
        hold_back: HoldBack,
        now: Millis,
    ) {
        self.load = load;
        self.terms = terms;
        let wanted = load as usize;
        if self.slots.len() < wanted {
            let first_new = self.slots.len();
            self.slots.resize(
                wanted,
                Slot {
                    ownership: Ownership::Other,
                    busy: false,
                },
            );
            for slot in first_new..wanted {
                self.take_if_owned(slot as u32, table, hold_back, now);
            }
        }
    }

    /// Applies a new table of unit owners.
    ///
    /// `hold_back` indicates whether a previous owner may have work or loans on units that are
    /// new to this box.
    pub fn set_table(&mut self, table: &UnitTable, hold_back: HoldBack, now: Millis) {
        for slot in 0..self.slots.len() as u32 {
            self.drop_if_lost(slot, table);
            self.take_if_owned(slot, table, hold_back, now);
        }
    }

    /// Starts work on the idle slot with the lowest `cost`; `None` from `cost` excludes a slot.
    ///
    /// Own slots are preferred to borrowed ones of equal cost.
    pub fn admit(&mut self, now: Millis, cost: impl Fn(u32) -> Option<u32>) -> Option<SlotGrant> {
        self.expire(now);
        let best = (0..self.load.min(self.slots.len() as u32))
            .filter(|slot| self.can_start(*slot, now))
            .filter_map(|slot| {
                let borrowed = matches!(
                    self.slots[slot as usize].ownership,
                    Ownership::Borrowed { .. }
                );
                cost(slot).map(|cost| (cost, borrowed, slot))
            })
            .min()?;
        let (_, _, slot) = best;
        let entry = &mut self.slots[slot as usize];
        entry.busy = true;
        let send_before = match entry.ownership {
            Ownership::Borrowed { start_before, .. } => Some(start_before),
            _ => None,
        };
        Some(SlotGrant { slot, send_before })
    }

    /// Ends the work on a slot. Returns the slot if it is on loan and past its term, to be
    /// sent back to its lender.
    pub fn finish(&mut self, slot: u32, now: Millis) -> Option<Returned> {
        let entry = self.slots.get_mut(slot as usize)?;
        entry.busy = false;
        match entry.ownership {
            Ownership::Borrowed { start_before, .. } if now >= start_before => self.end_loan(slot),
            _ => None,
        }
    }

    /// Lends up to `want` idle own slots to `borrower`, at most half of the idle ones
    /// (rounded up), so that some are left for a local burst.
    pub fn lend(&mut self, borrower: &BoxId, want: u32, now: Millis) -> Vec<Loan> {
        self.expire(now);
        let idle: Vec<u32> = (0..self.load.min(self.slots.len() as u32))
            .filter(|slot| self.is_idle_owned(*slot))
            .collect();
        let limit = idle.len().div_ceil(2).min(want as usize);
        let reclaim_at = now + self.terms.max_use_ms();
        let mut loans = Vec::with_capacity(limit);
        for slot in idle.into_iter().rev().take(limit) {
            let id = LoanId(self.next_loan_id);
            self.next_loan_id += 1;
            self.slots[slot as usize].ownership = Ownership::Loaned {
                borrower: borrower.clone(),
                id,
                reclaim_at,
            };
            loans.push(Loan { slot, id });
        }
        loans
    }

    /// Accepts loans that were requested at `requested_at`; returns those that can't be used.
    ///
    /// A lender's loan ids increase. A loan that isn't newer than the last one received
    /// before this call is a duplicate or out of order. It is dropped without being
    /// returned, because returning it could end a loan that is in use.
    pub fn borrow(
        &mut self,
        lender: &BoxId,
        loans: &[Loan],
        requested_at: Millis,
        now: Millis,
    ) -> Vec<Returned> {
        let start_before = requested_at + self.terms.term_ms;
        let mut refused = Vec::new();
        let last = self.last_received.get(lender).copied();
        let newer = |loan: &&Loan| last.is_none_or(|last| loan.id > last);
        for loan in loans.iter().filter(newer) {
            self.last_received.insert(lender.clone(), loan.id);
            let usable = now < start_before
                && self
                    .slots
                    .get(loan.slot as usize)
                    .is_some_and(|entry| entry.ownership == Ownership::Other && !entry.busy);
            if !usable {
                refused.push(Returned {
                    lender: lender.clone(),
                    loan: *loan,
                });
                continue;
            }
            self.slots[loan.slot as usize].ownership = Ownership::Borrowed {
                lender: lender.clone(),
                id: loan.id,
                start_before,
            };
        }
        refused
    }

    /// Accepts the return of a slot from `borrower`. Returns false, without any effect, if
    /// that loan isn't the slot's current one.
    pub fn take_back(&mut self, borrower: &BoxId, loan: Loan) -> bool {
        let Some(entry) = self.slots.get_mut(loan.slot as usize) else {
            return false;
        };
        match &entry.ownership {
            Ownership::Loaned {
                borrower: held_by,
                id,
                ..
            } if held_by == borrower && *id == loan.id => {
                entry.ownership = Ownership::Own;
                true
            }
            _ => false,
        }
    }

    /// Gives up the idle borrowed slots and returns them. With `keep`, only those past their
    /// term.
    pub fn return_idle(&mut self, keep: bool, now: Millis) -> Vec<Returned> {
        let mut returned = Vec::new();
        for slot in 0..self.slots.len() as u32 {
            let entry = &self.slots[slot as usize];
            let Ownership::Borrowed { start_before, .. } = entry.ownership else {
                continue;
            };
            if entry.busy || (keep && now < start_before) {
                continue;
            }
            returned.extend(self.end_loan(slot));
        }
        returned
    }

    /// Returns the boxes that hold slots on loan from this one.
    pub fn borrowers(&self) -> BTreeSet<BoxId> {
        let borrower = |slot: &Slot| match &slot.ownership {
            Ownership::Loaned { borrower, .. } => Some(borrower.clone()),
            _ => None,
        };
        self.slots.iter().filter_map(borrower).collect()
    }

    /// Ends the loans from a lender that is leaving or needs them itself, so that it needn't wait
    /// for their term.
    /// Returns the idle slots now; the busy ones are returned when their work finishes.
    pub fn recall(&mut self, recalling: &BoxId) -> Vec<Returned> {
        let mut returned = Vec::new();
        for slot in 0..self.slots.len() as u32 {
            let entry = &mut self.slots[slot as usize];
            let Ownership::Borrowed {
                lender,
                start_before,
                ..
            } = &mut entry.ownership
            else {
                continue;
            };
            if lender != recalling {
                continue;
            }
            *start_before = 0;
            if !entry.busy {
                returned.extend(self.end_loan(slot));
            }
        }
        returned
    }

    /// Returns the slots on loan from `lender` that are in use here, for a lender that has
    /// restarted.
    ///
    /// Gives up the idle ones at once, so that only busy slots are reported.
    pub fn in_use_from(&mut self, lender: &BoxId) -> Vec<u32> {
        let mut in_use = Vec::new();
        for (index, entry) in self.slots.iter_mut().enumerate() {
            let Ownership::Borrowed { lender: from, .. } = &entry.ownership else {
                continue;
            };
            if from != lender {
                continue;
            }
            if entry.busy {
                in_use.push(index as u32);
            } else {
                entry.ownership = Ownership::Other;
            }
        }
        in_use
    }

    /// Releases every held-back slot except those that peers reported as `in_use`.
    pub fn release_held_back(&mut self, in_use: &[u32]) {
        for (index, entry) in self.slots.iter_mut().enumerate() {
            let held_back = matches!(entry.ownership, Ownership::HeldBack { .. });
            if held_back && !in_use.contains(&(index as u32)) {
                entry.ownership = Ownership::Own;
            }
        }
    }

    /// Whether no slot of `unit` is busy here or lent, so that the unit can be given up.
    pub fn unit_is_unused(&self, unit: usize) -> bool {
        self.slots
            .iter()
            .enumerate()
            .filter(|(index, _)| unit_of_slot(*index as u32) == unit)
            .all(|(_, entry)| !entry.busy && !matches!(entry.ownership, Ownership::Loaned { .. }))
    }

    /// Counts the slots by ownership and use.
    pub fn counts(&self, now: Millis) -> SlotCounts {
        let mut counts = SlotCounts::default();
        for slot in 0..self.slots.len() as u32 {
            let entry = &self.slots[slot as usize];
            counts.busy += u32::from(entry.busy);
            if slot >= self.load {
                continue;
            }
            counts.idle += u32::from(self.can_start(slot, now));
            match entry.ownership {
                Ownership::Own | Ownership::HeldBack { .. } => counts.held += 1,
                Ownership::Borrowed { .. } => counts.borrowed += 1,
                Ownership::Loaned { .. } => counts.loaned += 1,
                Ownership::Other => {}
            }
        }
        counts
    }

    /// Makes own slots usable again after their loan or hold-back time has expired.
    fn expire(&mut self, now: Millis) {
        for entry in &mut self.slots {
            match entry.ownership {
                Ownership::Loaned { reclaim_at, .. } if now >= reclaim_at => {
                    entry.ownership = Ownership::Own
                }
                Ownership::HeldBack { until } if now >= until => entry.ownership = Ownership::Own,
                _ => {}
            }
        }
    }

    /// Whether work can start on `slot` now.
    fn can_start(&self, slot: u32, now: Millis) -> bool {
        let entry = &self.slots[slot as usize];
        if entry.busy {
            return false;
        }
        match entry.ownership {
            Ownership::Own => true,
            Ownership::Borrowed { start_before, .. } => now < start_before,
            Ownership::HeldBack { until } => now >= until,
            Ownership::Loaned { reclaim_at, .. } => now >= reclaim_at,
            Ownership::Other => false,
        }
    }

    fn is_idle_owned(&self, slot: u32) -> bool {
        let entry = &self.slots[slot as usize];
        !entry.busy && entry.ownership == Ownership::Own
    }

    fn end_loan(&mut self, slot: u32) -> Option<Returned> {
        let entry = self.slots.get_mut(slot as usize)?;
        let Ownership::Borrowed { lender, id, .. } = &entry.ownership else {
            return None;
        };
        let returned = Returned {
            lender: lender.clone(),
            loan: Loan { slot, id: *id },
        };
        entry.ownership = Ownership::Other;
        Some(returned)
    }

    fn drop_if_lost(&mut self, slot: u32, table: &UnitTable) {
        if table.owns_slot(&self.me, slot) {
            return;
        }
        let entry = &mut self.slots[slot as usize];
        if !matches!(entry.ownership, Ownership::Borrowed { .. }) {
            entry.ownership = Ownership::Other;
        }
    }

    fn take_if_owned(&mut self, slot: u32, table: &UnitTable, hold_back: HoldBack, now: Millis) {
        if !table.owns_slot(&self.me, slot) {
            return;
        }
        let max_use_ms = self.terms.max_use_ms();
        let entry = &mut self.slots[slot as usize];
        if entry.ownership != Ownership::Other {
            return;
        }
        entry.ownership = match hold_back {
            HoldBack::No => Ownership::Own,
            HoldBack::MaxUse => Ownership::HeldBack {
                until: now + max_use_ms,
            },
        };
    }
}

/// Whether newly owned units can still have work or loans of a previous owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldBack {
    /// They can't: the previous owner gave the units up when they were unused.
    No,
    /// They can, for the longest possible use: the previous owner died, or was this box
    /// itself before a restart.
    MaxUse,
}
