//! A ticket is valid only with the key that signed it.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_types::{BoxId, Incarnation, ServiceKey, Ticket, TicketError, TicketKey};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn ticket() -> Ticket {
    Ticket {
        service: ServiceKey::new("kavach", "order-book"),
        box_id: BoxId::new("guj-west-a-1"),
        incarnation: Incarnation(7),
        nonce: 42,
        key: Some("order-1".into()),
        expires_ms: 1_000,
    }
}

#[test]
fn a_sealed_ticket_opens_to_the_original() {
    let key = TicketKey::new(b"a secret of some length");
    assert_eq!(key.open(&key.seal(&ticket())).unwrap(), ticket());
}

#[test]
fn another_systems_ticket_is_forged() {
    let ours = TicketKey::new(b"a secret of some length");
    let theirs = TicketKey::new(b"another secret of a length");
    assert_eq!(ours.open(&theirs.seal(&ticket())), Err(TicketError::Forged));
}

#[test]
fn the_secret_is_not_shown() {
    let shown = format!("{:?}", TicketKey::new(b"a secret of some length"));
    assert!(!shown.contains("secret"));
}

/// Generates the same cases in every run.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn a_changed_text_never_opens(position in any::<prop::sample::Index>(), letter in "[A-Za-z0-9_-]") {
        let key = TicketKey::new(b"a secret of some length");
        let mut text = key.seal(&ticket());
        let at = position.index(text.len());
        if text[at..=at] != letter {
            text.replace_range(at..=at, &letter);
            // The last character may have bits that don't belong to any byte, so changing it
            // may leave the ticket the same.
            prop_assert!(key.open(&text).is_err() || at + 1 == text.len());
        }
    }

    #[test]
    fn any_other_text_is_rejected(text in ".{0,2000}") {
        let key = TicketKey::new(b"a secret of some length");
        prop_assert!(key.open(&text).is_err());
    }
}
