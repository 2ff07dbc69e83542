//! Signals that upstreams send about themselves in their responses.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_lab::memory_store::StoreFault;
use brasswinch_lab::routed_upstream::{Behaviour, Upstream};
use brasswinch_observe::{Event, EventRow};
use brasswinch_types::UpstreamSignal;
use common::fleet::{BOXES, Fleet, PAUSE, served};
use std::path::Path;
use std::time::{Duration, Instant};

/// How long requests are sent while an upstream must receive none.
const OBSERVATION_TIME: Duration = Duration::from_millis(1_500);

/// Time after which requests in flight at the time of a signal have arrived.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// A `Retry-After` longer than a test, in seconds.
const LONG_RETRY_AFTER_S: &str = "60";

/// Returns the number of requests that reached `upstream` since `from`.
fn seen_from(upstream: &Upstream, from: Instant) -> usize {
    let seen = upstream.seen();
    seen.iter().filter(|seen| seen.at >= from).count()
}

/// Guards against a box that ignores the leaving signal in responses while the store doesn't
/// respond.
#[tokio::test]
async fn requests_reach_an_upstream_that_said_in_answers_that_it_leaves() {
    let fleet = Fleet::start(BOXES).await;
    let home = fleet.home().await;
    for store in &fleet.stores {
        store.set_fault(StoreFault::Silent);
    }
    home.say_leaving(&["1"]);
    fleet.send_requests(SETTLE_TIME).await;
    let announced_at = Instant::now();
    let answers = fleet.send_requests(OBSERVATION_TIME).await;
    assert_eq!(seen_from(&home, announced_at), 0);
    assert_eq!(served(&answers), answers.len(), "the others have room");
}

/// Guards against a box that ignores the `Retry-After` of an upstream that refused a request.
#[tokio::test]
async fn requests_reach_an_upstream_that_asked_for_rest() {
    let fleet = Fleet::start(1).await;
    let home = fleet.home().await;
    home.ask_for_rest(&[LONG_RETRY_AFTER_S]);
    home.always(Behaviour::Refuse);
    fleet.send_requests(SETTLE_TIME).await;
    let paused_from = Instant::now();
    let answers = fleet.send_requests(OBSERVATION_TIME).await;
    let metrics = fleet.boxes[0].context().metrics_text();
    let resting = "brasswinch_upstreams{service=\"desk\",state=\"resting\"} 1";
    assert!(metrics.contains(resting), "{metrics}");
    assert_eq!(seen_from(&home, paused_from), 0);
    assert_eq!(served(&answers), answers.len(), "the others have room");
}

/// Guards against an invalid `Retry-After` keeping requests from an upstream that serves again.
#[tokio::test]
async fn an_invalid_retry_after_keeps_requests_away() {
    let fleet = Fleet::start(1).await;
    let home = fleet.home().await;
    let endless = "9".repeat(400);
    let date = "Thu, 01 Jan 2026 00:00:00 GMT";
    for retry_afters in [
        &["-1"][..],
        &["NaN"],
        &[""],
        &["0"],
        &[date],
        &[&endless],
        &["3", "3"],
    ] {
        home.ask_for_rest(retry_afters);
        home.script([Behaviour::Refuse]);
        let before = home.seen().len();
        let answers = fleet.send_requests(PAUSE * 10).await;
        assert_eq!(served(&answers), answers.len(), "{retry_afters:?}");
        assert_eq!(
            home.seen().len() - before,
            answers.len(),
            "{retry_afters:?}"
        );
    }
}

/// Guards against invalid leaving signals taking all upstreams of a service out of use.
#[tokio::test]
async fn an_invalid_leaving_signal_keeps_requests_away() {
    let fleet = Fleet::start(1).await;
    let home = fleet.home().await;
    let long = "1".repeat(1_024);
    for values in [&["0"][..], &["true"], &[""], &[&long], &["1", "1"]] {
        home.say_leaving(values);
        let before = home.seen().len();
        let answers = fleet.send_requests(PAUSE * 5).await;
        assert_eq!(served(&answers), answers.len(), "{values:?}");
        assert_eq!(home.seen().len() - before, answers.len(), "{values:?}");
    }
}

/// Guards against a short retry time for clients while all upstreams have asked for a long pause.
#[tokio::test]
async fn clients_retry_before_the_pause_that_all_upstreams_asked_for_ends() {
    let fleet = Fleet::start(1).await;
    fleet.home().await;
    for upstream in &fleet.upstreams {
        upstream.ask_for_rest(&[LONG_RETRY_AFTER_S]);
        upstream.always(Behaviour::Refuse);
    }
    fleet.send_requests(SETTLE_TIME).await;
    let paused_from = Instant::now();
    let answers = fleet.send_requests(PAUSE * 10).await;
    for upstream in &fleet.upstreams {
        assert_eq!(seen_from(upstream, paused_from), 0);
    }
    for answer in answers {
        assert_eq!(answer.status, 503);
        let retry_after = answer.headers["retry-after"].to_str().unwrap();
        let retry_after: f64 = retry_after.parse().unwrap();
        assert!((30.0..=90.0).contains(&retry_after), "{retry_after}");
    }
}

/// Guards against overloading an upstream that turns cold while the store doesn't respond: only its
/// health responses report it then.
#[tokio::test]
async fn an_upstream_that_turns_cold_while_the_store_is_silent_is_pressed() {
    /// A cold upstream can handle 9 requests per second (`cold_per_s`); half as many again, and
    /// five more, are accepted.
    const MAX_REQUESTS_PER_S: usize = 18;
    let fleet = Fleet::start(BOXES).await;
    let home = fleet.home().await;
    for store in &fleet.stores {
        store.set_fault(StoreFault::Silent);
    }
    home.turn_cold(30);
    fleet.send_requests(SETTLE_TIME * 2).await;
    let from = Instant::now();
    fleet.send_requests(Duration::from_secs(1)).await;
    let seen = seen_from(&home, from);
    assert!(seen <= MAX_REQUESTS_PER_S, "{seen} requests in a second");
}

/// A signal's row in the table of the documentation page.
struct Row<'a> {
    cells: Vec<&'a str>,
}

impl Row<'_> {
    /// Returns the last three cells: the names of an event, a metric and a test.
    fn named(&self) -> [&str; 3] {
        let [.., event, metric, test] = self.cells.as_slice() else {
            panic!("{:?}", self.cells);
        };
        [event, metric, test].map(|cell| cell.trim_matches('`'))
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

/// Returns the text of all sources below `folder`.
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

/// Guards against signals without an event, a metric and a test, whose missing effect would go
/// unnoticed.
#[test]
fn a_signal_has_no_event_metric_or_test() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let text = sources(&crates);
    for signal in UpstreamSignal::ALL {
        let row = row(signal);
        let [event, metric, test] = row.named();
        let numbered = |row: &&EventRow| event.starts_with(&format!("BW{}", row.number));
        assert!(Event::ALL.iter().any(|row| numbered(&row)), "{event}");
        let metric = metric.trim_start_matches("brasswinch_");
        assert!(text.contains(&format!("\"{metric}\"")), "{metric}");
        assert!(text.contains(&format!("fn {test}(")), "{test}");
    }
}
