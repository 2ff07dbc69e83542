//! Checks the ticket of a request that runs at most once.

use super::request;
use crate::context::Context;
use crate::control::Command;
use crate::service::ServiceRuntime;
use brasswinch_decide::ticket_ledger::PresentedRequest;
use brasswinch_types::{ErrorKind, Ticket};
use http::HeaderMap;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::sync::oneshot;

/// Longest wait for another box to void a ticket of its own.
const VOID_TIMEOUT: Duration = Duration::from_millis(500);

/// A ticket in use; unless it is kept, dropping it gives the ticket back unused.
pub(crate) struct TicketUse<'a> {
    context: &'a Context,
    ticket: Option<Ticket>,
}

impl TicketUse<'_> {
    /// The request may have reached an upstream: the ticket stays used.
    pub(crate) fn keep(&mut self) {
        self.ticket = None;
    }
}

impl Drop for TicketUse<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.context
                .ledger
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .release(&ticket);
        }
    }
}

/// Uses the request's ticket.
pub(crate) async fn use_ticket<'a>(
    context: &'a Context,
    service: &ServiceRuntime,
    headers: &HeaderMap,
) -> Result<TicketUse<'a>, ErrorKind> {
    let text = request::ticket(headers)?.ok_or(ErrorKind::TicketMissing)?;
    let key = request::key(headers)?;
    let ticket = context
        .ticket_key
        .open(text)
        .map_err(|_| ErrorKind::TicketInvalid)?;
    let presented = PresentedRequest {
        service: &service.key,
        key,
    };
    let wall_ms = context.clock.wall_ms();
    let admitted = context
        .ledger
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .admit(&ticket, presented, wall_ms);
    match admitted {
        Ok(()) => Ok(TicketUse {
            context,
            ticket: Some(ticket),
        }),
        Err(ErrorKind::TicketElsewhere) => Err(void_elsewhere(context, ticket, text).await),
        Err(kind) => Err(kind),
    }
}

/// Asks the box that the ticket names to void it. If it does, the request has not
/// run and the caller can safely get a new ticket.
async fn void_elsewhere(context: &Context, ticket: Ticket, sealed: &str) -> ErrorKind {
    let (answer, voided) = oneshot::channel();
    context.tell(Command::VoidTicket {
        box_id: ticket.box_id,
        incarnation: ticket.incarnation,
        sealed: sealed.to_owned(),
        answer,
    });
    match tokio::time::timeout(VOID_TIMEOUT, voided).await {
        Ok(Ok(true)) => ErrorKind::TicketVoided,
        _ => ErrorKind::TicketElsewhere,
    }
}
