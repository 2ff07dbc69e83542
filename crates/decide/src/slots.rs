//! The load of one service in one zone, as slots that boxes own, lend and borrow.
//!
//! The zone may run `load` requests of the service at a time; that is slots
//! `0..load`. A slot belongs to the box that owns its unit in the zone's table,
//! and at most one box at a time may start work on it:
//!
//! * The owner may, with no time limit, in every cut and outage.
//! * The owner can lend an idle slot. The borrower counts the loan's term from
//!   the moment it **asked**, by its own clock; the owner counts from the moment
//!   it **granted**, and takes the slot back only when the borrower returns it or
//!   when the term, the longest run and a margin have passed. However long the
//!   messages take or the borrower sleeps, the borrower's right ends first.
//! * An owner that can't know what its predecessor lent or ran holds the slot
//!   back until everyone has reported or the longest possible use has passed.

use brasswinch_types::{BoxId, Millis, UnitTable, unit_of_slot};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How long loans last and what they allow for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanTerms {
    /// Time from asking during which the borrower may start work.
    pub term_ms: Millis,
    /// Longest time that work may go on after it was started.
    pub max_run_ms: Millis,
    /// Allowance for clocks that run at different speeds and for late cancellation.
    pub margin_ms: Millis,
}

impl LoanTerms {
    /// Longest time from granting until no work on the loan can be left.
    pub fn longest_use_ms(&self) -> Millis {
        self.term_ms + self.max_run_ms + self.margin_ms
    }
}

/// Identifies one loan among all that its lender makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LoanId(pub u64);

/// A slot on loan, as the lender tells the borrower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// The slot.
    pub slot: u32,
    /// The loan; a return must name it.
    pub id: LoanId,
}

/// A slot to be handed back to its lender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Returned {
    /// Who lent it.
    pub lender: BoxId,
    /// What was lent.
    pub loan: Loan,
}

/// The right to run one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotGrant {
    /// The slot that the request occupies until it is finished.
    pub slot: u32,
    /// When work must have been sent, for borrowed slots.
    pub send_before: Option<Millis>,
}

/// Counts of a pool's slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotCounts {
    /// Slots that this box owns and hasn't lent.
    pub held: u32,
    /// Slots that it could start work on at once.
    pub idle: u32,
    /// Slots with work on them.
    pub busy: u32,
    /// Slots it has on loan from others.
    pub borrowed: u32,
    /// Slots it has lent.
    pub lent: u32,
}

#[derive(Clone, Debug, PartialEq)]
enum Right {
    /// Another box's, as far as this one knows.
    None,
    /// This box's own.
    Own,
    /// This box's own, but a predecessor may have work or loans on it.
    HeldBack { until: Millis },
    /// This box's own, on loan to another.
    Lent {
        borrower: BoxId,
        id: LoanId,
        back_at: Millis,
    },
    /// Another box's, on loan to this one.
    Borrowed {
        lender: BoxId,
        id: LoanId,
        use_before: Millis,
    },
}

#[derive(Clone, Debug)]
struct Slot {
    right: Right,
    busy: bool,
}

/// The slots of one service in one zone, as one box sees them.
#[derive(Debug)]
pub struct SlotPool {
    me: BoxId,
    load: u32,
    terms: LoanTerms,
    slots: Vec<Slot>,
    next_loan: u64,
    /// The last loan taken from each lender.
    last_taken: BTreeMap<BoxId, LoanId>,
}

impl SlotPool {
    /// A pool without rights. `first_loan` must differ between incarnations.
    pub fn new(me: BoxId, terms: LoanTerms, first_loan: u64) -> Self {
        Self {
            me,
            load: 0,
            terms,
            slots: Vec::new(),
            next_loan: first_loan,
            last_taken: BTreeMap::new(),
        }
    }

    /// Takes a new load and new terms from a plan. Work on slots that fall away goes on.
    ///
    /// `hold_back` matters for slots that this pool didn't have before.
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
                    right: Right::None,
                    busy: false,
                },
            );
            for slot in first_new..wanted {
                self.take_if_owned(slot as u32, table, hold_back, now);
            }
        }
    }

    /// Takes a new table of unit owners.
    ///
    /// `hold_back` says whether units that are new here may carry work or loans
    /// of a previous owner.
    pub fn set_table(&mut self, table: &UnitTable, hold_back: HoldBack, now: Millis) {
        for slot in 0..self.slots.len() as u32 {
            self.drop_if_lost(slot, table);
            self.take_if_owned(slot, table, hold_back, now);
        }
    }

    /// Starts work on the idle slot that `cost` likes best; `None` from `cost` rules a slot out.
    ///
    /// Own slots go before borrowed ones of equal cost.
    pub fn admit(&mut self, now: Millis, cost: impl Fn(u32) -> Option<u32>) -> Option<SlotGrant> {
        self.settle(now);
        let best = (0..self.load.min(self.slots.len() as u32))
            .filter(|slot| self.can_start(*slot, now))
            .filter_map(|slot| {
                let borrowed = matches!(self.slots[slot as usize].right, Right::Borrowed { .. });
                cost(slot).map(|cost| (cost, borrowed, slot))
            })
            .min()?;
        let (_, _, slot) = best;
        let entry = &mut self.slots[slot as usize];
        entry.busy = true;
        let send_before = match entry.right {
            Right::Borrowed { use_before, .. } => Some(use_before),
            _ => None,
        };
        Some(SlotGrant { slot, send_before })
    }

    /// Ends the work on a slot. A borrowed slot past its term goes back to its lender.
    pub fn finish(&mut self, slot: u32, now: Millis) -> Option<Returned> {
        let entry = self.slots.get_mut(slot as usize)?;
        entry.busy = false;
        match entry.right {
            Right::Borrowed { use_before, .. } if now >= use_before => self.give_back(slot),
            _ => None,
        }
    }

    /// Lends up to `want` idle own slots to `borrower`, at most half of the idle ones
    /// (rounded up), so that a burst here still finds some.
    pub fn lend(&mut self, borrower: &BoxId, want: u32, now: Millis) -> Vec<Loan> {
        self.settle(now);
        let idle: Vec<u32> = (0..self.load.min(self.slots.len() as u32))
            .filter(|slot| self.is_idle_own(*slot))
            .collect();
        let most = idle.len().div_ceil(2).min(want as usize);
        let back_at = now + self.terms.longest_use_ms();
        let mut loans = Vec::with_capacity(most);
        for slot in idle.into_iter().rev().take(most) {
            let id = LoanId(self.next_loan);
            self.next_loan += 1;
            self.slots[slot as usize].right = Right::Lent {
                borrower: borrower.clone(),
                id,
                back_at,
            };
            loans.push(Loan { slot, id });
        }
        loans
    }

    /// Takes loans that were asked for at `asked_at`; returns those that can't be used.
    ///
    /// A lender numbers its loans upwards. A grant that isn't newer than the last one
    /// taken came twice or was overtaken; it is dropped without a word, because handing
    /// it back could end a loan that is in use.
    pub fn borrow(
        &mut self,
        lender: &BoxId,
        loans: &[Loan],
        asked_at: Millis,
        now: Millis,
    ) -> Vec<Returned> {
        let use_before = asked_at + self.terms.term_ms;
        let mut refused = Vec::new();
        let last = self.last_taken.get(lender).copied();
        let newer = |loan: &&Loan| last.is_none_or(|last| loan.id > last);
        for loan in loans.iter().filter(newer) {
            self.last_taken.insert(lender.clone(), loan.id);
            let usable = now < use_before
                && self
                    .slots
                    .get(loan.slot as usize)
                    .is_some_and(|entry| entry.right == Right::None && !entry.busy);
            if !usable {
                refused.push(Returned {
                    lender: lender.clone(),
                    loan: *loan,
                });
                continue;
            }
            self.slots[loan.slot as usize].right = Right::Borrowed {
                lender: lender.clone(),
                id: loan.id,
                use_before,
            };
        }
        refused
    }

    /// Takes back a slot from `borrower`; a return of an earlier loan changes nothing.
    pub fn take_back(&mut self, borrower: &BoxId, loan: Loan) -> bool {
        let Some(entry) = self.slots.get_mut(loan.slot as usize) else {
            return false;
        };
        match &entry.right {
            Right::Lent {
                borrower: held_by,
                id,
                ..
            } if held_by == borrower && *id == loan.id => {
                entry.right = Right::Own;
                true
            }
            _ => false,
        }
    }

    /// The borrowed slots to hand back: idle, and past `keep_until` or their term.
    pub fn return_idle(&mut self, keep: bool, now: Millis) -> Vec<Returned> {
        let mut returned = Vec::new();
        for slot in 0..self.slots.len() as u32 {
            let entry = &self.slots[slot as usize];
            let Right::Borrowed { use_before, .. } = entry.right else {
                continue;
            };
            if entry.busy || (keep && now < use_before) {
                continue;
            }
            returned.extend(self.give_back(slot));
        }
        returned
    }

    /// The lender is leaving: hands its idle slots back now, the others when their work
    /// ends, so that it needn't wait for the term.
    pub fn recall(&mut self, leaving: &BoxId) -> Vec<Returned> {
        let mut returned = Vec::new();
        for slot in 0..self.slots.len() as u32 {
            let entry = &mut self.slots[slot as usize];
            let Right::Borrowed {
                lender, use_before, ..
            } = &mut entry.right
            else {
                continue;
            };
            if lender != leaving {
                continue;
            }
            *use_before = 0;
            if !entry.busy {
                returned.extend(self.give_back(slot));
            }
        }
        returned
    }

    /// The slots this box uses on loan from `lender`, for a lender that has restarted.
    ///
    /// Idle ones are dropped on the spot, so only those with work are reported.
    pub fn in_use_from(&mut self, lender: &BoxId) -> Vec<u32> {
        let mut in_use = Vec::new();
        for (index, entry) in self.slots.iter_mut().enumerate() {
            let Right::Borrowed { lender: from, .. } = &entry.right else {
                continue;
            };
            if from != lender {
                continue;
            }
            if entry.busy {
                in_use.push(index as u32);
            } else {
                entry.right = Right::None;
            }
        }
        in_use
    }

    /// Ends the holding back of every slot except those that peers reported in use.
    pub fn release_held_back(&mut self, in_use: &[u32]) {
        for (index, entry) in self.slots.iter_mut().enumerate() {
            let held_back = matches!(entry.right, Right::HeldBack { .. });
            if held_back && !in_use.contains(&(index as u32)) {
                entry.right = Right::Own;
            }
        }
    }

    /// Whether no work and no loan is left on any slot of `unit`, so that it can be given away.
    pub fn unit_is_quiet(&self, unit: usize) -> bool {
        self.slots
            .iter()
            .enumerate()
            .filter(|(index, _)| unit_of_slot(*index as u32) == unit)
            .all(|(_, entry)| !entry.busy && !matches!(entry.right, Right::Lent { .. }))
    }

    /// Counts the slots by what can be done with them.
    pub fn counts(&self, now: Millis) -> SlotCounts {
        let mut counts = SlotCounts::default();
        for slot in 0..self.slots.len() as u32 {
            let entry = &self.slots[slot as usize];
            counts.busy += u32::from(entry.busy);
            if slot >= self.load {
                continue;
            }
            counts.idle += u32::from(self.can_start(slot, now));
            match entry.right {
                Right::Own | Right::HeldBack { .. } => counts.held += 1,
                Right::Borrowed { .. } => counts.borrowed += 1,
                Right::Lent { .. } => counts.lent += 1,
                Right::None => {}
            }
        }
        counts
    }

    /// Ends what has run out: loans out whose last possible use has passed, held-back
    /// times, and idle borrowed slots past their term.
    fn settle(&mut self, now: Millis) {
        for entry in &mut self.slots {
            match entry.right {
                Right::Lent { back_at, .. } if now >= back_at => entry.right = Right::Own,
                Right::HeldBack { until } if now >= until => entry.right = Right::Own,
                _ => {}
            }
        }
    }

    fn can_start(&self, slot: u32, now: Millis) -> bool {
        let entry = &self.slots[slot as usize];
        if entry.busy {
            return false;
        }
        match entry.right {
            Right::Own => true,
            Right::Borrowed { use_before, .. } => now < use_before,
            Right::HeldBack { until } => now >= until,
            Right::Lent { back_at, .. } => now >= back_at,
            Right::None => false,
        }
    }

    fn is_idle_own(&self, slot: u32) -> bool {
        let entry = &self.slots[slot as usize];
        !entry.busy && entry.right == Right::Own
    }

    fn give_back(&mut self, slot: u32) -> Option<Returned> {
        let entry = self.slots.get_mut(slot as usize)?;
        let Right::Borrowed { lender, id, .. } = &entry.right else {
            return None;
        };
        let returned = Returned {
            lender: lender.clone(),
            loan: Loan { slot, id: *id },
        };
        entry.right = Right::None;
        Some(returned)
    }

    fn drop_if_lost(&mut self, slot: u32, table: &UnitTable) {
        if table.owns_slot(&self.me, slot) {
            return;
        }
        let entry = &mut self.slots[slot as usize];
        if !matches!(entry.right, Right::Borrowed { .. }) {
            entry.right = Right::None;
        }
    }

    fn take_if_owned(&mut self, slot: u32, table: &UnitTable, hold_back: HoldBack, now: Millis) {
        if !table.owns_slot(&self.me, slot) {
            return;
        }
        let longest_use_ms = self.terms.longest_use_ms();
        let entry = &mut self.slots[slot as usize];
        if entry.right != Right::None {
            return;
        }
        entry.right = match hold_back {
            HoldBack::No => Right::Own,
            HoldBack::LongestUse => Right::HeldBack {
                until: now + longest_use_ms,
            },
        };
    }
}

/// Whether newly owned units may still carry a previous owner's work or loans.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldBack {
    /// The previous owner gave them up when they were quiet.
    No,
    /// They were a box's that died, or this box's own before a restart.
    LongestUse,
}
