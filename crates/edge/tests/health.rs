//! Health probes of upstreams while the store doesn't respond.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_lab::routed_upstream::Upstream;
use common::eventually;
use common::fleet::{BOXES, Fleet};
use std::time::Duration;

/// Interval between probes of one upstream, plus a margin.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_100);

fn probe_counts(fleet: &Fleet) -> Vec<usize> {
    let upstreams = fleet.upstreams.iter();
    upstreams.map(Upstream::health_questions).collect()
}

/// Returns each box's metric line of cold upstreams.
fn cold_lines(fleet: &Fleet) -> Vec<String> {
    let is_cold = |line: &&str| line.contains("state=\"cold\"");
    let of_box = |text: String| text.lines().find(is_cold).unwrap().to_owned();
    let boxes = fleet.boxes.iter();
    boxes
        .map(|handle| of_box(handle.context().metrics_text()))
        .collect()
}

fn all_boxes_count_cold(fleet: &Fleet, count: usize) -> bool {
    let expected = format!("brasswinch_upstreams{{service=\"desk\",state=\"cold\"}} {count}");
    cold_lines(fleet).iter().all(|line| *line == expected)
}

/// Guards against every box probing every upstream.
#[tokio::test]
async fn an_upstream_is_probed_by_every_box() {
    let fleet = Fleet::start(BOXES).await;
    fleet.make_store_unresponsive();
    let all_probed = || probe_counts(&fleet).iter().all(|probes| *probes > 0);
    eventually("each upstream was probed", all_probed).await;
    tokio::time::sleep(PROBE_INTERVAL).await;
    // The box that probes an upstream has sent it one or two more probes.
    let probes = probe_counts(&fleet);
    assert!(probes.iter().all(|probes| *probes <= BOXES), "{probes:?}");
}

/// Guards against a cold upstream that only one box knows of: one box probes it and must notify all
/// others.
#[tokio::test]
async fn only_the_probing_box_learns_that_an_upstream_is_cold() {
    let fleet = Fleet::start(BOXES).await;
    fleet.make_store_unresponsive();
    fleet.upstreams[0].turn_cold(30);
    eventually("all boxes know that the upstream is cold", || {
        all_boxes_count_cold(&fleet, 1)
    })
    .await;
}

/// Guards against recording an upstream as cold when another upstream responds at its address.
#[tokio::test]
async fn a_health_response_of_another_upstream_is_accepted() {
    let fleet = Fleet::start(1).await;
    fleet.make_store_unresponsive();
    fleet.upstreams[0].turn_cold(30);
    fleet.upstreams[0].answer_health_as("another");
    eventually("it was probed", || probe_counts(&fleet)[0] > 1).await;
    assert!(all_boxes_count_cold(&fleet, 0), "{:?}", cold_lines(&fleet));
}

/// Guards against an invalid cold time taking an upstream out of use.
#[tokio::test]
async fn an_invalid_cold_time_is_accepted() {
    let fleet = Fleet::start(1).await;
    fleet.make_store_unresponsive();
    let endless = "9".repeat(400);
    let cold_times = ["-1", "NaN", "inf", &endless];
    for (upstream, cold_time) in fleet.upstreams.iter().zip(cold_times) {
        upstream.say_cold(cold_time);
    }
    let all_probed = || probe_counts(&fleet).iter().all(|probes| *probes > 1);
    eventually("each upstream was probed", all_probed).await;
    assert!(all_boxes_count_cold(&fleet, 0), "{:?}", cold_lines(&fleet));
}
