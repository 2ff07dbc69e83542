//! What upstreams say of themselves in their answers.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_lab::memory_store::StoreFault;
use brasswinch_lab::routed_upstream::{Behaviour, Upstream};
use common::fleet::{BOXES, Fleet, served};
use std::time::{Duration, Instant};

/// How long requests go on where an upstream should get none.
const WATCHED: Duration = Duration::from_millis(1_500);

/// After it, what was under way as an upstream spoke has arrived.
const UNDER_WAY: Duration = Duration::from_millis(500);

/// Requests that came to `upstream` from `from` on.
fn seen_from(upstream: &Upstream, from: Instant) -> usize {
    let seen = upstream.seen();
    seen.iter().filter(|seen| seen.at >= from).count()
}

/// A box's answers told that an upstream leaves while the store could not, and the box sent on.
#[tokio::test]
async fn requests_reach_an_upstream_that_said_in_answers_that_it_leaves() {
    let fleet = Fleet::start(BOXES).await;
    let home = fleet.home().await;
    for store in &fleet.stores {
        store.set_fault(StoreFault::Silent);
    }
    home.say_leaving(&["1"]);
    fleet.press(UNDER_WAY).await;
    let told_at = Instant::now();
    let answers = fleet.press(WATCHED).await;
    assert_eq!(seen_from(&home, told_at), 0);
    assert_eq!(served(&answers), answers.len(), "the others have room");
}

/// An upstream refused a request and asked for rest, and the same box sent on.
#[tokio::test]
async fn requests_reach_an_upstream_that_asked_for_rest() {
    let fleet = Fleet::start(1).await;
    let home = fleet.home().await;
    home.ask_for_rest(&["3"]);
    home.always(Behaviour::Refuse);
    fleet.press(UNDER_WAY).await;
    let rests_from = Instant::now();
    let answers = fleet.press(WATCHED).await;
    assert_eq!(seen_from(&home, rests_from), 0);
    assert_eq!(served(&answers), answers.len(), "the others have room");
}
