//! Ensures that each ticket runs at most once, on one incarnation of one box.
//!
//! The ledger is held in memory and lost on restart. This is safe because a ticket
//! names the incarnation, so a later incarnation never runs it. A peer whose caller
//! lost its connection to this box can void a ticket. A voided ticket never runs
//! here, so the peer can safely answer `not_run`.

use brasswinch_types::{BoxId, ErrorKind, Incarnation, ServiceKey, Ticket};
use std::collections::{BTreeSet, HashMap};

/// Time for which a used ticket is kept after its expiry, to allow for clock skew.
pub const CLOCK_MARGIN_MS: u64 = 60_000;

/// The state of a used ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketState {
    /// The request was admitted, and an upstream may have run it.
    MayHaveRun,
    /// The ticket was voided before anything was sent.
    Voided,
}

/// The parts of a request that must match its ticket.
#[derive(Clone, Copy, Debug)]
pub struct PresentedRequest<'a> {
    /// The service that the request names.
    pub service: &'a ServiceKey,
    /// The caller's own key, if it sent one.
    pub key: Option<&'a str>,
}

/// The tickets used on this incarnation, kept until they can no longer be presented.
#[derive(Debug)]
pub struct TicketLedger {
    box_id: BoxId,
    incarnation: Incarnation,
    used: HashMap<u64, TicketState>,
    expiries: BTreeSet<(u64, u64)>,
    latest_wall_ms: u64,
}

impl TicketLedger {
    /// Creates an empty ledger for one incarnation.
    pub fn new(box_id: BoxId, incarnation: Incarnation) -> Self {
        Self {
            box_id,
            incarnation,
            used: HashMap::new(),
            expiries: BTreeSet::new(),
            latest_wall_ms: 0,
        }
    }

    /// Marks a ticket as used. After `Ok` only the caller of this function may run it.
    pub fn admit(
        &mut self,
        ticket: &Ticket,
        presented: PresentedRequest<'_>,
        wall_ms: u64,
    ) -> Result<(), ErrorKind> {
        let same_key = ticket.key.as_deref() == presented.key;
        if &ticket.service != presented.service || !same_key {
            return Err(ErrorKind::TicketInvalid);
        }
        if !self.is_for_this_box(ticket) {
            return Err(ErrorKind::TicketElsewhere);
        }
        let wall_ms = self.advance_clock(wall_ms);
        match self.used.get(&ticket.nonce) {
            Some(TicketState::MayHaveRun) => return Err(ErrorKind::AlreadySubmitted),
            Some(TicketState::Voided) => return Err(ErrorKind::TicketVoided),
            None => {}
        }
        if wall_ms >= ticket.expires_ms {
            return Err(ErrorKind::TicketExpired);
        }
        self.record(ticket, TicketState::MayHaveRun);
        Ok(())
    }

    /// Makes an admitted ticket usable again; its request must not have run.
    pub fn release(&mut self, ticket: &Ticket) {
        self.used.remove(&ticket.nonce);
        self.expiries.remove(&(
            ticket.expires_ms.saturating_add(CLOCK_MARGIN_MS),
            ticket.nonce,
        ));
    }

    /// Voids a ticket for a peer. `Voided` means that it hasn't run and never will.
    pub fn void(&mut self, ticket: &Ticket, wall_ms: u64) -> TicketState {
        if !self.is_for_this_box(ticket) {
            return TicketState::MayHaveRun;
        }
        let wall_ms = self.advance_clock(wall_ms);
        if let Some(state) = self.used.get(&ticket.nonce) {
            return *state;
        }
        if wall_ms >= ticket.expires_ms.saturating_add(CLOCK_MARGIN_MS) {
            return TicketState::MayHaveRun;
        }
        self.record(ticket, TicketState::Voided);
        TicketState::Voided
    }

    /// Returns the number of tickets in the ledger.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Whether the ledger has no tickets.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }

    fn is_for_this_box(&self, ticket: &Ticket) -> bool {
        ticket.box_id == self.box_id && ticket.incarnation == self.incarnation
    }

    fn record(&mut self, ticket: &Ticket, state: TicketState) {
        self.used.insert(ticket.nonce, state);
        let remove_at = ticket.expires_ms.saturating_add(CLOCK_MARGIN_MS);
        self.expiries.insert((remove_at, ticket.nonce));
    }

    /// Advances the wall clock, removes expired tickets and returns the time to use. The time
    /// never goes back, because a removed ticket could then seem unexpired and run again.
    fn advance_clock(&mut self, wall_ms: u64) -> u64 {
        self.latest_wall_ms = self.latest_wall_ms.max(wall_ms);
        self.remove_expired(self.latest_wall_ms);
        self.latest_wall_ms
    }

    fn remove_expired(&mut self, wall_ms: u64) {
        while let Some((remove_at, nonce)) = self.expiries.first().copied() {
            if remove_at > wall_ms {
                return;
            }
            self.expiries.pop_first();
            self.used.remove(&nonce);
        }
    }
}
