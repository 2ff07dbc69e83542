//! Voiding tickets: of other boxes for callers here, and of this box for others.

use super::state::Control;
use brasswinch_peer::Message;
use brasswinch_types::{BoxId, Incarnation};
use std::sync::PoisonError;
use tokio::sync::oneshot;

impl Control {
    pub(super) fn ask_to_void(
        &mut self,
        box_id: &BoxId,
        incarnation: Incarnation,
        sealed: String,
        answer: oneshot::Sender<bool>,
    ) {
        let current = self
            .members
            .record(box_id)
            .is_some_and(|record| record.incarnation == incarnation);
        if !current {
            return;
        }
        self.questions.retain(|_, waiting| !waiting.is_closed());
        let question = rand::random();
        let message = Message::TicketQuestion(brasswinch_peer::TicketQuestion {
            question,
            ticket: sealed,
        });
        if self.send_to(box_id, &message) {
            self.questions.insert(question, answer);
        }
    }

    pub(super) fn void_ticket(&self, sealed: &str) -> bool {
        let Ok(ticket) = self.context.ticket_key.open(sealed) else {
            return false;
        };
        let wall_ms = self.context.clock.wall_ms();
        let mut ledger = self
            .context
            .ledger
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        ledger.void(&ticket, wall_ms) == brasswinch_decide::ticket_ledger::TicketState::Voided
    }
}
