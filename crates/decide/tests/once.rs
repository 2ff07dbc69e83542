//! A ticket runs at most once, in every order of presenting and voiding and with clocks
//! that go forwards and backwards.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_decide::ticket_ledger::{
    CLOCK_MARGIN_MS, PresentedRequest, TicketLedger, TicketState,
};
use brasswinch_types::{BoxId, ErrorKind, Incarnation, ServiceKey, Ticket};

const EXPIRES_MS: u64 = 100_000;

fn service() -> ServiceKey {
    ServiceKey::new("kavach", "order-book")
}

fn ticket(nonce: u64) -> Ticket {
    Ticket {
        service: service(),
        box_id: BoxId::new("box-1"),
        incarnation: Incarnation(5),
        nonce,
        key: Some("order-77".into()),
        expires_ms: EXPIRES_MS,
    }
}

fn ledger(incarnation: u64) -> TicketLedger {
    TicketLedger::new(BoxId::new("box-1"), Incarnation(incarnation))
}

fn admit(ledger: &mut TicketLedger, ticket: &Ticket, wall_ms: u64) -> Result<(), ErrorKind> {
    let service = service();
    let presented = PresentedRequest {
        service: &service,
        key: Some("order-77"),
    };
    ledger.admit(ticket, presented, wall_ms)
}

/// Checks all sequences of five events: presenting and voiding, before and after the expiry,
/// with a clock that goes forwards and backwards. At most one presentation succeeds, and none
/// in a sequence with a void that returned `Voided`.
#[test]
fn in_every_order_of_events_a_ticket_runs_at_most_once() {
    const EVENTS: usize = 5;
    const KINDS: usize = 5;
    for code in 0..KINDS.pow(EVENTS as u32) {
        let mut ledger = ledger(5);
        let mut ran = 0;
        let mut voided = false;
        let mut rest = code;
        for _ in 0..EVENTS {
            match rest % KINDS {
                0 => ran += u32::from(admit(&mut ledger, &ticket(1), 1_000).is_ok()),
                1 => ran += u32::from(admit(&mut ledger, &ticket(1), EXPIRES_MS - 1).is_ok()),
                2 => {
                    ran += u32::from(
                        admit(&mut ledger, &ticket(1), EXPIRES_MS + CLOCK_MARGIN_MS + 1).is_ok(),
                    )
                }
                3 => voided |= ledger.void(&ticket(1), 1_000) == TicketState::Voided,
                _ => {
                    voided |= ledger.void(&ticket(1), EXPIRES_MS + CLOCK_MARGIN_MS + 1)
                        == TicketState::Voided
                }
            }
            rest /= KINDS;
            assert!(ran <= 1, "ran {ran} times in sequence {code}");
            assert!(
                !(ran > 0 && voided),
                "ran and was voided in sequence {code}"
            );
        }
    }
}

#[test]
fn a_successor_of_the_box_never_runs_its_tickets_and_never_voids_them() {
    let mut successor = ledger(6);
    let outcome = admit(&mut successor, &ticket(1), 1_000);
    assert_eq!(outcome, Err(ErrorKind::TicketElsewhere));
    assert_eq!(successor.void(&ticket(1), 1_000), TicketState::MayHaveRun);
}

#[test]
fn a_ticket_is_valid_for_its_service_and_key_only() {
    let mut ledger = ledger(5);
    let other = ServiceKey::new("kavach", "rate-desk");
    let wrong_service = PresentedRequest {
        service: &other,
        key: Some("order-77"),
    };
    let wrong_key = PresentedRequest {
        service: &service(),
        key: Some("order-78"),
    };
    let no_key = PresentedRequest {
        service: &service(),
        key: None,
    };
    for presented in [wrong_service, wrong_key, no_key] {
        let outcome = ledger.admit(&ticket(1), presented, 1_000);
        assert_eq!(outcome, Err(ErrorKind::TicketInvalid));
    }
    assert_eq!(admit(&mut ledger, &ticket(1), 1_000), Ok(()));
}

#[test]
fn a_ticket_released_unused_can_be_presented_again() {
    let mut ledger = ledger(5);
    assert_eq!(admit(&mut ledger, &ticket(1), 1_000), Ok(()));
    ledger.release(&ticket(1));
    assert!(ledger.is_empty());
    assert_eq!(admit(&mut ledger, &ticket(1), 1_001), Ok(()));
    let again = admit(&mut ledger, &ticket(1), 1_002);
    assert_eq!(again, Err(ErrorKind::AlreadySubmitted));
}

#[test]
fn the_ledger_removes_tickets_that_can_no_longer_be_presented() {
    let mut ledger = ledger(5);
    for nonce in 0..100 {
        assert_eq!(admit(&mut ledger, &ticket(nonce), 1_000), Ok(()));
    }
    let mut later = ticket(1_000);
    later.expires_ms = 10 * EXPIRES_MS;
    let wall_ms = EXPIRES_MS + CLOCK_MARGIN_MS;
    assert_eq!(admit(&mut ledger, &later, wall_ms), Ok(()));
    assert_eq!(ledger.len(), 1);
}
