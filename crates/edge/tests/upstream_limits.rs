//! Guards against boxes that ignore the rate limit, requests per second from all boxes
//! together, that an overloaded upstream sets in its answers. Boxes forwarded the answers to
//! clients and sent as before: an upstream that set a limit of 9 per second got 103 requests in
//! 4 s from boxes that had received it, where 59 are allowed. Nothing read the limit, and since
//! the upstream rejected nothing, its load reports showed no overload. The evidence was 19 to
//! 28 arrivals per second before the limit and 20 to 34 after it, and log lines of boxes that
//! had received it, such as `BW510 ... tries=1 ms=189 home_is=free fullness=0.65`.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_lab::routed_upstream::Upstream;
use brasswinch_routing::LimitStatus;
use common::Answer;
use common::fleet::{BOXES, Fleet, PAUSE, served};
use std::time::{Duration, Instant};

/// Time for all boxes to apply a limit after an upstream first sets it.
const LEARNED_WITHIN: Duration = Duration::from_secs(3);

/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Returns the requests allowed per window under a limit of `per_s`: 1.5 times the limit, and
/// five.
fn allowed(per_s: f64) -> usize {
    (per_s * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

/// Returns the most requests to `upstream` in any window that begins after `from`.
fn most_in_window(upstream: &Upstream, from: Instant) -> usize {
    let seen = upstream.seen();
    let at: Vec<Instant> = seen.iter().map(|seen| seen.at).collect();
    let counted = at.iter().filter(|begin| **begin >= from);
    let in_window = |begin: &Instant| {
        let in_span = at.iter().filter(|at| **at >= *begin);
        in_span.filter(|at| **at - *begin < WINDOW).count()
    };
    counted.map(in_window).max().unwrap_or(0)
}

#[tokio::test]
async fn boxes_together_keep_the_limit_that_an_upstream_names() {
    let fleet = Fleet::start(BOXES).await;
    let home = fleet.home().await;
    home.name_limits(&["5"]);
    let named_at = Instant::now();
    let answers = fleet.press(LEARNED_WITHIN + WINDOW + WINDOW / 2).await;
    let most = most_in_window(&home, named_at + LEARNED_WITHIN);
    assert!(most > 0, "it serves what its limit leaves");
    assert!(
        most <= allowed(5.0),
        "{most} requests in {WINDOW:?}, of {} under its limit",
        allowed(5.0)
    );
    for handle in &fleet.boxes {
        let context = handle.context();
        let knows = |held: &LimitStatus| held.upstream.as_str() == home.id;
        assert!(context.status().limits.iter().any(knows));
        let text = context.metrics_text();
        assert!(text.contains("brasswinch_upstreams_limited 1"), "{text}");
        assert!(text.contains("limit_requests_total{service=\"desk\",outcome=\"held_off\"}"));
    }
    // Requests beyond the limit go to other upstreams, which have capacity for all of them.
    let served = served(&answers);
    assert!(
        served * 100 >= answers.len() * 95,
        "{served} of {} are served",
        answers.len()
    );
}

#[tokio::test]
async fn an_upstream_that_names_no_limit_any_more_gets_its_objects_back() {
    let fleet = Fleet::start(BOXES).await;
    let home = fleet.home().await;
    home.name_limits(&["0.5"]);
    fleet.press(LEARNED_WITHIN).await;
    home.name_limits(&[]);
    // Requests under the limit are two seconds apart, and one of them shows that it has ended.
    fleet.press(LEARNED_WITHIN + WINDOW).await;
    let before = home.seen().len();
    let answers = fleet.press(Duration::from_secs(1)).await;
    assert_eq!(home.seen().len() - before, answers.len());
}

#[tokio::test]
async fn an_upstream_that_takes_nothing_is_asked_now_and_then() {
    let fleet = Fleet::start(BOXES).await;
    let home = fleet.home().await;
    home.name_limits(&["0"]);
    let named_at = Instant::now();
    let answers = fleet.press(LEARNED_WITHIN + WINDOW).await;
    let most = most_in_window(&home, named_at + LEARNED_WITHIN);
    assert!(most > 0, "nothing would tell that the limit has ended");
    assert!(most <= allowed(0.0), "{most} requests in {WINDOW:?}");
    assert_eq!(served(&answers), answers.len());
}

#[tokio::test]
async fn what_is_no_limit_changes_nothing_and_the_answer_is_delivered() {
    let fleet = Fleet::start(BOXES).await;
    let home = fleet.home().await;
    let endless = "9".repeat(400);
    for limits in [&["-1"][..], &["NaN"], &["inf"], &[&endless], &["3", "3"]] {
        home.name_limits(limits);
        let before = home.seen().len();
        let answers = fleet.press(PAUSE * 10).await;
        assert_eq!(served(&answers), answers.len());
        assert_eq!(home.seen().len() - before, answers.len(), "{limits:?}");
    }
}

#[tokio::test]
async fn what_no_upstream_has_room_for_is_refused_with_a_time_to_come_back() {
    let fleet = Fleet::start(BOXES).await;
    for upstream in &fleet.upstreams {
        upstream.name_limits(&["2"]);
    }
    let named_at = Instant::now();
    let answers = fleet.press(LEARNED_WITHIN + WINDOW).await;
    for upstream in &fleet.upstreams {
        let most = most_in_window(upstream, named_at + LEARNED_WITHIN);
        assert!(most <= allowed(2.0), "{}: {most}", upstream.id);
    }
    let refused: Vec<&Answer> = answers.iter().filter(|held| held.status != 200).collect();
    assert!(!refused.is_empty(), "they take 8 of some 60 a second");
    for answer in refused {
        assert_eq!(answer.status, 503);
        assert!(answer.headers.contains_key("retry-after"));
    }
}
