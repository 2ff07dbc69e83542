//! The own zone's unit table: claiming, giving up, taking over.

use super::state::Control;
use super::{Command, StoredTable};
use crate::config_store::{table_bytes, table_from, units_key};
use brasswinch_decide::members::BoxState;
use brasswinch_decide::slots::HoldBack;
use brasswinch_decide::unit_claims::{self, ListTracker};
use brasswinch_observe::{Event, emit};
use brasswinch_peer::{Message, ServiceHoldings};
use brasswinch_store::{CasOutcome, StoreError, StoredValue};
use brasswinch_types::{BoxId, Millis, ServiceKey, UNITS, UnitTable};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Readings that lead to writes are spread over this time for each box of the zone; a
/// reading and its write take a few milliseconds.
const SPREAD_PER_BOX_MS: Millis = 20;

/// Time after the start before units are claimed; by then the neighbours are known.
const CLAIM_AFTER_MS: Millis = 1_000;

/// Longest wait, after the last request, for loans to come back before leaving.
const LEAVE_LOANS_WAIT_MS: Millis = 5_000;

/// Longest wait for the store before leaving without giving units up.
const LEAVE_STORE_WAIT_MS: Millis = 8_000;

/// The known state of the zone's units.
#[derive(Default)]
pub(super) struct UnitState {
    /// The newest table seen.
    pub(super) table: UnitTable,
    /// The table less the units that are being given up: what the gates use.
    pub(super) usable: UnitTable,
    revision: Option<i64>,
    read_at: Millis,
    reading: bool,
    writing: bool,
    held_back_since: Option<Millis>,
    holdings: BTreeMap<BoxId, Vec<ServiceHoldings>>,
    list: ListTracker,
    held_back_once: bool,
    unsettled_takeover: bool,
    gave_up: bool,
}

/// How a write of the table ended.
pub(crate) struct UnitWrite {
    pub(crate) table: UnitTable,
    pub(crate) purpose: WritePurpose,
    pub(crate) outcome: Result<CasOutcome, StoreError>,
}

/// Why the table was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum WritePurpose {
    /// To take free units, and these units of boxes that are gone.
    Claim { taken_over: Vec<usize> },
    /// To give units up.
    GiveUp,
    /// To put back what a restored store had lost.
    WriteBack,
}

impl WritePurpose {
    fn takes_over(&self) -> bool {
        matches!(self, Self::Claim { taken_over } if !taken_over.is_empty())
    }
}

impl UnitState {
    /// Whether this box has units and knows that it may use them.
    pub(super) fn is_ready(&self, me: &BoxId) -> bool {
        self.table.count_of(me) > 0 && !self.is_holding_back()
    }

    /// Whether slots of an earlier run may still be in use.
    pub(super) fn is_holding_back(&self) -> bool {
        self.held_back_since.is_some()
    }

    pub(super) fn note_holdings(&mut self, peer: &BoxId, holdings: Vec<ServiceHoldings>) {
        self.holdings.insert(peer.clone(), holdings);
    }
}

impl Control {
    /// Regular work on the table: reads it now and then, and before each change of it.
    pub(super) fn maintain_units(&mut self) {
        self.end_hold_back_if_known();
        if self.units.writing || self.units.reading {
            return;
        }
        let every = self.context.settings.this_box.platform.compare_interval_ms;
        let overdue = self.now().saturating_sub(self.units.read_at) >= every;
        if self.units.revision.is_none() || overdue || self.wants_other_units() {
            self.read_units();
        }
    }

    /// Whether this box would claim or give up units, by the table as it knows it.
    fn wants_other_units(&self) -> bool {
        !self.holds_still() && (self.wanted_claim().is_some() || !self.wanted_surplus().is_empty())
    }

    /// A box that claimed before it knew its neighbours would give most of it up again;
    /// one that leaves hands everything back in its own time.
    fn holds_still(&self) -> bool {
        self.now() < CLAIM_AFTER_MS || self.record.state == BoxState::Leaving
    }

    fn wanted_claim(&self) -> Option<unit_claims::Claim> {
        let now = self.now();
        let grace = self.context.settings.this_box.platform.unlisted_grace_ms;
        unit_claims::claim(
            &self.units.table,
            &self.context.id,
            self.context.incarnation,
            self.boxes_in_zone(),
            |id| self.units.list.is_gone(id, grace, now),
        )
    }

    fn wanted_surplus(&self) -> Vec<usize> {
        unit_claims::surplus(
            &self.units.table,
            &self.context.id,
            self.boxes_in_zone(),
            |unit| self.unit_is_unused(unit),
        )
    }

    fn boxes_in_zone(&self) -> usize {
        self.neighbours_heard().len() + 1
    }

    /// Reads the table after a random while. Boxes that all want to change it at once
    /// would otherwise refuse each other's writes over and over.
    fn read_units(&mut self) {
        self.units.reading = true;
        self.units.read_at = self.now();
        let store = self.store.clone();
        let key = units_key(&self.context.zone);
        let context = Arc::clone(&self.context);
        let spread_ms = SPREAD_PER_BOX_MS * self.boxes_in_zone() as u64;
        let delay = Duration::from_millis(rand::random::<u64>() % spread_ms.max(1));
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            match store.get(&key).await {
                Ok(Some(stored)) => {
                    let table = table_from(&stored.value).unwrap_or_default();
                    let revision = stored.revision;
                    context.tell(Command::UnitsRead(Some(StoredTable { table, revision })));
                }
                Ok(None) => context.tell(Command::UnitsRead(None)),
                Err(error) => context.tell(Command::UnitsUnread(error.to_string())),
            }
        });
    }

    pub(super) fn on_units_unread(&mut self, reason: &str) {
        self.units.reading = false;
        self.on_store_failed(reason);
    }

    pub(super) fn on_units_read(&mut self, stored: Option<StoredTable>) {
        self.units.reading = false;
        self.store_answered();
        let (table, revision) = match stored {
            Some(stored) => (stored.table, stored.revision),
            None => (UnitTable::default(), 0),
        };
        self.units.revision = Some(revision);
        if table.version < self.units.table.version {
            emit(
                Event::StoreWentBack,
                format_args!("units of {}", self.context.zone),
            );
            self.write_units(self.units.table.clone(), WritePurpose::WriteBack);
            return;
        }
        self.adopt_units(table);
        self.rebalance_units();
    }

    /// Takes a newer table, from the store or a neighbour.
    pub(super) fn adopt_units(&mut self, table: UnitTable) {
        if table.version <= self.units.table.version || table.owners.len() != UNITS {
            return;
        }
        let earlier_run = table.owners.iter().flatten().any(|owner| {
            owner.box_id == self.context.id && owner.incarnation != self.context.incarnation
        });
        if earlier_run && !self.units.held_back_once {
            self.units.held_back_once = true;
            self.begin_hold_back();
        }
        let takeover = std::mem::take(&mut self.units.unsettled_takeover);
        let hold_back = if takeover || self.units.is_holding_back() {
            HoldBack::MaxUse
        } else {
            HoldBack::No
        };
        self.use_table(table, hold_back);
    }

    fn use_table(&mut self, table: UnitTable, hold_back: HoldBack) {
        self.units.table = table.clone();
        self.units.usable = table;
        for service in self.context.services.values() {
            service
                .gate
                .set_table(service, &self.units.usable, hold_back);
        }
        self.broadcast_units();
    }

    fn broadcast_units(&mut self) {
        let message = Message::Units(self.units.table.clone());
        for neighbour in self.neighbours_heard() {
            self.send_to(&neighbour.id, &message);
        }
    }

    fn begin_hold_back(&mut self) {
        self.units.held_back_since = Some(self.now());
        self.units.holdings.clear();
        for neighbour in self.neighbours_heard() {
            self.send_to(&neighbour.id, &Message::HoldingsAsk);
        }
    }

    /// Ends the holding back when every box that could hold a loan has reported, and
    /// work of the earlier run has had time to end.
    pub(super) fn end_hold_back_if_known(&mut self) {
        let Some(since) = self.units.held_back_since else {
            return;
        };
        let loans = &self.context.settings.this_box.loans;
        let waited = self.now().saturating_sub(since);
        if waited < loans.orphan_grace_ms {
            return;
        }
        let holders = self.units.table.holders();
        let known = self.members.known_in(&self.context.zone);
        let everyone: BTreeSet<&BoxId> = holders
            .iter()
            .chain(known.into_iter().map(|record| &record.id))
            .filter(|id| **id != self.context.id)
            .collect();
        let alone_for_long = waited >= loans.orphan_grace_ms + loans.term_ms;
        if everyone.is_empty() && !alone_for_long {
            return;
        }
        let all_reported = everyone
            .into_iter()
            .all(|id| self.units.holdings.contains_key(id));
        if !all_reported {
            return;
        }
        self.units.held_back_since = None;
        let mut in_use: BTreeMap<&ServiceKey, Vec<u32>> = BTreeMap::new();
        for holdings in self.units.holdings.values().flatten() {
            in_use
                .entry(&holdings.service)
                .or_default()
                .extend(&holdings.slots);
        }
        for service in self.context.services.values() {
            let slots = in_use.get(&service.key).map_or(&[][..], Vec::as_slice);
            service.gate.release_held_back(service, slots);
        }
        emit(Event::HoldBackEnded, format_args!("{}", self.context.id));
    }

    /// Claims what this box lacks, or gives up what it has too much of. The table was
    /// read just now.
    fn rebalance_units(&mut self) {
        if self.units.writing || self.holds_still() {
            return;
        }
        if let Some(claim) = self.wanted_claim() {
            let purpose = WritePurpose::Claim {
                taken_over: claim.taken_over,
            };
            self.write_units(claim.table, purpose);
            return;
        }
        let surplus = self.wanted_surplus();
        if !surplus.is_empty() {
            self.give_up(&surplus);
        }
    }

    fn unit_is_unused(&self, unit: usize) -> bool {
        self.context
            .services
            .values()
            .all(|service| service.gate.unit_is_unused(unit))
    }

    /// Stops using units first, then writes that they are free.
    fn give_up(&mut self, units: &[usize]) {
        let next = unit_claims::give_up(&self.units.table, &self.context.id, units);
        self.units.usable = next.clone();
        for service in self.context.services.values() {
            service
                .gate
                .set_table(service, &self.units.usable, HoldBack::No);
        }
        self.write_units(next, WritePurpose::GiveUp);
    }

    fn write_units(&mut self, table: UnitTable, purpose: WritePurpose) {
        let Some(expected) = self.units.revision else {
            return;
        };
        self.units.writing = true;
        let store = self.store.clone();
        let key = units_key(&self.context.zone);
        let context = Arc::clone(&self.context);
        tokio::spawn(async move {
            let outcome = store
                .compare_and_swap(&key, expected, &table_bytes(&table), None)
                .await;
            context.tell(Command::UnitsWritten(UnitWrite {
                table,
                purpose,
                outcome,
            }));
        });
    }

    pub(super) fn on_units_written(&mut self, write: UnitWrite) {
        self.units.writing = false;
        match write.outcome {
            Ok(CasOutcome::Written(revision)) => {
                self.units.revision = Some(revision);
                self.units_were_written(write.table, write.purpose);
            }
            // Someone else wrote first: their table comes back with the refusal.
            Ok(CasOutcome::Conflict(held)) => self.on_units_conflict(held),
            // The outcome isn't known: what is really held is read back. Units being
            // given up stay unused until then.
            Err(error) => {
                self.units.unsettled_takeover |= write.purpose.takes_over();
                self.units.revision = None;
                self.units.read_at = self.now();
                self.on_store_failed(&error.to_string());
            }
        }
    }

    fn on_units_conflict(&mut self, held: Option<StoredValue>) {
        let stored = held.and_then(|held| {
            let table = table_from(&held.value)?;
            let revision = held.revision;
            Some(StoredTable { table, revision })
        });
        let Some(stored) = stored else {
            self.units.revision = None;
            return;
        };
        self.units.revision = Some(stored.revision);
        self.units.read_at = self.now();
        // Units that were being given up and still are this box's are used again.
        let same_version = stored.table.version == self.units.table.version;
        if same_version {
            self.use_table(stored.table, HoldBack::No);
        } else {
            self.adopt_units(stored.table);
        }
    }

    fn units_were_written(&mut self, table: UnitTable, purpose: WritePurpose) {
        let count = table.count_of(&self.context.id);
        match purpose {
            WritePurpose::Claim { taken_over } => {
                let hold_back = if taken_over.is_empty() {
                    HoldBack::No
                } else {
                    emit(Event::UnitsTakenOver, format_args!("{}", taken_over.len()));
                    HoldBack::MaxUse
                };
                self.use_table(table, hold_back);
                emit(Event::UnitsClaimed, format_args!("{count} now"));
            }
            WritePurpose::GiveUp => {
                self.units.gave_up = count == 0;
                self.use_table(table, HoldBack::No);
                emit(Event::UnitsGivenUp, format_args!("{count} left"));
            }
            WritePurpose::WriteBack => {}
        }
    }

    pub(super) fn note_listed(&mut self, live: &BTreeSet<BoxId>) {
        let now = self.now();
        let holders = self.units.table.holders();
        self.units.list.observe(live, &holders, now);
    }

    /// Hands everything back before leaving; `true` when done or not worth waiting for.
    pub(super) fn units_are_handed_back(&mut self, waited: Millis) -> bool {
        if self.units.gave_up || self.units.table.count_of(&self.context.id) == 0 {
            return true;
        }
        if waited >= LEAVE_STORE_WAIT_MS || self.store_reached == Some(false) {
            return true;
        }
        if self.units.writing || self.units.reading {
            return false;
        }
        if self.units.revision.is_none() {
            self.read_units();
            return false;
        }
        let owned = unit_claims::owned(&self.units.table, &self.context.id);
        let quiet: Vec<usize> = owned
            .iter()
            .copied()
            .filter(|unit| self.unit_is_unused(*unit))
            .collect();
        if quiet.len() < owned.len() && waited < LEAVE_LOANS_WAIT_MS {
            return false;
        }
        if quiet.is_empty() {
            return true;
        }
        self.give_up(&quiet);
        false
    }
}
