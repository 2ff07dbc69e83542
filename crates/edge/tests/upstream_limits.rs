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
const APPLY_TIME: Duration = Duration::from_secs(3);

/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Returns the requests allowed per window under a limit of `per_s`: 1.5 times the limit, and
/// five.
fn allowed(per_s: f64) -> usize {
    (per_s * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

/// Returns the most requests to `upstream` in any window that begins after `from`.
fn max_in_window(upstream: &Upstream, from: Instant) -> usize {
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
    let limit_set_at = Instant::now();
    let answers = fleet.send_requests(APPLY_TIME + WINDOW + WINDOW / 2).await;
    let max_requests = max_in_window(&home, limit_set_at + APPLY_TIME);
    assert!(
        max_requests > 0,
        "the upstream got no request under its limit"
    );
    assert!(
        max_requests <= allowed(5.0),
        "{max_requests} requests in {WINDOW:?}, of {} under its limit",
        allowed(5.0)
    );
    for handle in &fleet.boxes {
        let context = handle.context();
        let is_for_home = |limit: &LimitStatus| limit.upstream.as_str() == home.id;
        assert!(context.status().limits.iter().any(is_for_home));
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
    fleet.send_requests(APPLY_TIME).await;
    home.name_limits(&[]);
    // Requests under the limit are two seconds apart, and one of them shows that it has ended.
    fleet.send_requests(APPLY_TIME + WINDOW).await;
    let before = home.seen().len();
    let answers = fleet.send_requests(Duration::from_secs(1)).await;
    assert_eq!(home.seen().len() - before, answers.len());
}

#[tokio::test]
async fn an_upstream_that_takes_nothing_is_asked_now_and_then() {
    let fleet = Fleet::start(BOXES).await;
    let home = fleet.home().await;
    home.name_limits(&["0"]);
    let limit_set_at = Instant::now();
    let answers = fleet.send_requests(APPLY_TIME + WINDOW).await;
    let max_requests = max_in_window(&home, limit_set_at + APPLY_TIME);
    assert!(
        max_requests > 0,
        "without a request, no box learns that the limit has ended"
    );
    assert!(
        max_requests <= allowed(0.0),
        "{max_requests} requests in {WINDOW:?}"
    );
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
        let answers = fleet.send_requests(PAUSE * 10).await;
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
    let limit_set_at = Instant::now();
    let answers = fleet.send_requests(APPLY_TIME + WINDOW).await;
    for upstream in &fleet.upstreams {
        let max_requests = max_in_window(upstream, limit_set_at + APPLY_TIME);
        assert!(
            max_requests <= allowed(2.0),
            "{}: {max_requests}",
            upstream.id
        );
    }
    let refused: Vec<&Answer> = answers
        .iter()
        .filter(|answer| answer.status != 200)
        .collect();
    assert!(
        !refused.is_empty(),
        "the upstreams accept 8 of some 60 requests per second"
    );
    for answer in refused {
        assert_eq!(answer.status, 503);
        assert!(answer.headers.contains_key("retry-after"));
    }
}
