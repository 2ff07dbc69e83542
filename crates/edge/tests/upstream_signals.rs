//! What upstreams say of themselves in their answers.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_lab::memory_store::StoreFault;
use brasswinch_lab::routed_upstream::{Behaviour, Upstream};
use brasswinch_observe::{Event, EventRow};
use brasswinch_types::UpstreamSignal;
use common::fleet::{BOXES, Fleet, PAUSE, served};
use std::path::Path;
use std::time::{Duration, Instant};

/// How long requests go on where an upstream should get none.
const WATCHED: Duration = Duration::from_millis(1_500);

/// After it, what was under way as an upstream spoke has arrived.
const UNDER_WAY: Duration = Duration::from_millis(500);

/// A rest that lasts for longer than a test, in seconds.
const LONG_REST: &str = "60";

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
    home.ask_for_rest(&[LONG_REST]);
    home.always(Behaviour::Refuse);
    fleet.press(UNDER_WAY).await;
    let rests_from = Instant::now();
    let answers = fleet.press(WATCHED).await;
    let figures = fleet.boxes[0].context().figures_text();
    let resting = "brasswinch_upstreams{service=\"desk\",state=\"resting\"} 1";
    assert!(figures.contains(resting), "{figures}");
    assert_eq!(seen_from(&home, rests_from), 0);
    assert_eq!(served(&answers), answers.len(), "the others have room");
}

/// A rest that can't be meant kept requests from an upstream that served again.
#[tokio::test]
async fn a_rest_that_can_t_be_meant_keeps_requests_away() {
    let fleet = Fleet::start(1).await;
    let home = fleet.home().await;
    let endless = "9".repeat(400);
    let date = "Thu, 01 Jan 2026 00:00:00 GMT";
    for rests in [
        &["-1"][..],
        &["NaN"],
        &[""],
        &["0"],
        &[date],
        &[&endless],
        &["3", "3"],
    ] {
        home.ask_for_rest(rests);
        home.script([Behaviour::Refuse]);
        let before = home.seen().len();
        let answers = fleet.press(PAUSE * 10).await;
        assert_eq!(served(&answers), answers.len(), "{rests:?}");
        assert_eq!(home.seen().len() - before, answers.len(), "{rests:?}");
    }
}

/// What can't be a word of leaving emptied a service.
#[tokio::test]
async fn what_is_no_word_of_leaving_keeps_requests_away() {
    let fleet = Fleet::start(1).await;
    let home = fleet.home().await;
    let long = "1".repeat(1_024);
    for words in [&["0"][..], &["true"], &[""], &[&long], &["1", "1"]] {
        home.say_leaving(words);
        let before = home.seen().len();
        let answers = fleet.press(PAUSE * 5).await;
        assert_eq!(served(&answers), answers.len(), "{words:?}");
        assert_eq!(home.seen().len() - before, answers.len(), "{words:?}");
    }
}

/// Callers were told to come back at once while all upstreams rested.
#[tokio::test]
async fn callers_of_a_service_that_rests_come_back_too_early() {
    let fleet = Fleet::start(1).await;
    fleet.home().await;
    for upstream in &fleet.upstreams {
        upstream.ask_for_rest(&[LONG_REST]);
        upstream.always(Behaviour::Refuse);
    }
    fleet.press(UNDER_WAY).await;
    let rests_from = Instant::now();
    let answers = fleet.press(PAUSE * 10).await;
    for upstream in &fleet.upstreams {
        assert_eq!(seen_from(upstream, rests_from), 0);
    }
    for answer in answers {
        assert_eq!(answer.status, 503);
        let retry_after = answer.headers["retry-after"].to_str().unwrap();
        let retry_after: f64 = retry_after.parse().unwrap();
        assert!((30.0..=90.0).contains(&retry_after), "{retry_after}");
    }
}

/// An upstream turned cold while the store was silent; its health answers told it, and nobody asked.
#[tokio::test]
async fn an_upstream_that_turns_cold_while_the_store_is_silent_is_pressed() {
    /// Of 9 requests a second, half as many again, and five.
    const MOST_PER_S: usize = 18;
    let fleet = Fleet::start(BOXES).await;
    let home = fleet.home().await;
    for store in &fleet.stores {
        store.set_fault(StoreFault::Silent);
    }
    home.turn_cold(30);
    fleet.press(UNDER_WAY * 2).await;
    let from = Instant::now();
    fleet.press(Duration::from_secs(1)).await;
    let seen = seen_from(&home, from);
    assert!(seen <= MOST_PER_S, "{seen} requests in a second");
}

/// A signal's row on the page of what upstreams say.
struct Row<'a> {
    cells: Vec<&'a str>,
}

impl Row<'_> {
    /// The last cells name an event, a figure and a test.
    fn named(&self) -> [&str; 3] {
        let [.., event, figure, test] = self.cells.as_slice() else {
            panic!("{:?}", self.cells);
        };
        [event, figure, test].map(|cell| cell.trim_matches('`'))
    }
}

fn row(signal: UpstreamSignal) -> Row<'static> {
    let page = include_str!("../../../docs/design/upstreams.md");
    let begins = format!("| `{signal}` |");
    let mut lines = page.lines();
    let line = lines.find(|line| line.starts_with(&begins));
    let line = line.unwrap_or_else(|| panic!("no row of {signal}"));
    Row {
        cells: line.trim_matches('|').split('|').map(str::trim).collect(),
    }
}

/// All source text below `folder`.
fn sources(folder: &Path) -> String {
    let mut text = String::new();
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            text += &sources(&path);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            text += &std::fs::read_to_string(&path).unwrap();
        }
    }
    text
}

/// What an upstream said had no event, figure or test, so that nobody missed its effect.
#[test]
fn a_signal_has_no_event_figure_or_test() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let text = sources(&crates);
    for signal in UpstreamSignal::ALL {
        let row = row(signal);
        let [event, figure, test] = row.named();
        let numbered = |row: &&EventRow| event.starts_with(&format!("BW{}", row.number));
        assert!(Event::ALL.iter().any(|row| numbered(&row)), "{event}");
        let figure = figure.trim_start_matches("brasswinch_");
        assert!(text.contains(&format!("\"{figure}\"")), "{figure}");
        assert!(text.contains(&format!("fn {test}(")), "{test}");
    }
}
