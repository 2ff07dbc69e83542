//! The ledger of tickets: each runs at most once, on one incarnation of one box.
//!
//! The ledger lives in memory and dies with its incarnation, which is safe
//! because a ticket names the incarnation: a successor never runs it. A ticket
//! can also be voided by a peer whose caller lost contact with this box; once
//! voided it never runs here, so the peer can truthfully answer `not_run`.

use brasswinch_types::{BoxId, ErrorKind, Incarnation, ServiceKey, Ticket};
use std::collections::{BTreeSet, HashMap};

/// How long a used ticket is remembered past its expiry, for clocks that differ.
pub const CLOCK_MARGIN_MS: u64 = 60_000;

/// What is known of a used ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketState {
    /// It was admitted and an upstream may have run it.
    MayHaveRun,
    /// It was voided before anything was sent.
    Voided,
}

/// What a request brings that must match its ticket.
#[derive(Clone, Copy, Debug)]
pub struct Presented<'a> {
    /// The service that the request names.
    pub service: &'a ServiceKey,
    /// The caller's own key, where it sent one.
    pub key: Option<&'a str>,
}

/// Tickets used on this incarnation, until they can't be presented any more.
#[derive(Debug)]
pub struct TicketLedger {
    box_id: BoxId,
    incarnation: Incarnation,
    used: HashMap<u64, TicketState>,
    expiries: BTreeSet<(u64, u64)>,
    latest_wall_ms: u64,
}

impl TicketLedger {
    /// An empty ledger for one incarnation.
    pub fn new(box_id: BoxId, incarnation: Incarnation) -> Self {
        Self {
            box_id,
            incarnation,
            used: HashMap::new(),
            expiries: BTreeSet::new(),
            latest_wall_ms: 0,
        }
    }

    /// Uses a ticket. On `Ok` the caller of this function, and nobody else, may run it.
    pub fn admit(
        &mut self,
        ticket: &Ticket,
        presented: Presented<'_>,
        wall_ms: u64,
    ) -> Result<(), ErrorKind> {
        let same_key = ticket.key.as_deref() == presented.key;
        if &ticket.service != presented.service || !same_key {
            return Err(ErrorKind::TicketInvalid);
        }
        if !self.is_for_me(ticket) {
            return Err(ErrorKind::TicketElsewhere);
        }
        let wall_ms = self.advance(wall_ms);
        match self.used.get(&ticket.nonce) {
            Some(TicketState::MayHaveRun) => return Err(ErrorKind::AlreadySubmitted),
            Some(TicketState::Voided) => return Err(ErrorKind::TicketVoided),
            None => {}
        }
        if wall_ms >= ticket.expires_ms {
            return Err(ErrorKind::TicketExpired);
        }
        self.remember(ticket, TicketState::MayHaveRun);
        Ok(())
    }

    /// Gives a ticket back after it was admitted but certainly not run.
    pub fn release(&mut self, ticket: &Ticket) {
        self.used.remove(&ticket.nonce);
        self.expiries.remove(&(
            ticket.expires_ms.saturating_add(CLOCK_MARGIN_MS),
            ticket.nonce,
        ));
    }

    /// Voids a ticket for a peer. `Voided` means that it has not run and never will.
    pub fn void(&mut self, ticket: &Ticket, wall_ms: u64) -> TicketState {
        if !self.is_for_me(ticket) {
            return TicketState::MayHaveRun;
        }
        let wall_ms = self.advance(wall_ms);
        if let Some(state) = self.used.get(&ticket.nonce) {
            return *state;
        }
        if wall_ms >= ticket.expires_ms.saturating_add(CLOCK_MARGIN_MS) {
            return TicketState::MayHaveRun;
        }
        self.remember(ticket, TicketState::Voided);
        TicketState::Voided
    }

    /// How many tickets are remembered.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Whether no ticket is remembered.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }

    fn is_for_me(&self, ticket: &Ticket) -> bool {
        ticket.box_id == self.box_id && ticket.incarnation == self.incarnation
    }

    fn remember(&mut self, ticket: &Ticket, state: TicketState) {
        self.used.insert(ticket.nonce, state);
        let forget_at = ticket.expires_ms.saturating_add(CLOCK_MARGIN_MS);
        self.expiries.insert((forget_at, ticket.nonce));
    }

    /// Forgets what has expired. A wall clock that is set back stays where it was,
    /// or a forgotten ticket could look unexpired.
    fn advance(&mut self, wall_ms: u64) -> u64 {
        self.latest_wall_ms = self.latest_wall_ms.max(wall_ms);
        self.forget_expired(self.latest_wall_ms);
        self.latest_wall_ms
    }

    fn forget_expired(&mut self, wall_ms: u64) {
        while let Some((forget_at, nonce)) = self.expiries.first().copied() {
            if forget_at > wall_ms {
                return;
            }
            self.expiries.pop_first();
            self.used.remove(&nonce);
        }
    }
}
