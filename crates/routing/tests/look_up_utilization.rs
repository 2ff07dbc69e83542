//! Callers that follow the published utilization of a box.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_routing::{MemberRecord, MemberState, MovingAverage, Revision, Swim, SwimSettings};
use brasswinch_types::BoxId;
use common::look_up::{address, one_zone, random, shares, zone};

/// Measurements until the loop has settled.
const SETTLING: usize = 8;

/// Measurements after that.
const OBSERVED: usize = 16;

fn swim() -> Swim {
    let record = MemberRecord {
        id: BoxId::new("box-1"),
        incarnation: 1_000,
        zone: zone(0),
        caller_address: address(1),
        peer_address: address(1),
        state: MemberState::Serving,
        requests_per_s: None,
        operator_revision: Revision(0),
        upstream_revision: Revision(0),
        reaches_store: true,
        link_mbps: 10,
        fleet_size: 0,
        reaches_upstreams: Some(true),
        cpu_millis: None,
        memory_mb: None,
        max_connections: None,
        utilization: None,
    };
    Swim::new(record, Vec::new(), SwimSettings::default())
}

/// Guards against load that swings between boxes because callers follow each measurement within
/// one step: a small box at 85% was at 84, 47, 85 and 45 without decay. Smaller swings remain, as
/// changes below 10 aren't published.
#[test]
fn load_swings_less_if_callers_follow_the_utilization_at_once() {
    let mut random = random();
    let mut boxes = one_zone(75, |number| if number % 6 == 1 { 50 } else { 10 });
    let small = boxes[0].address;
    // The load of the small box is 85% if it gets the share of an idle one.
    let idle_share = shares(&boxes, &mut random)[&small];
    let mut swim = swim();
    let mut average = MovingAverage::default();
    let mut measured = Vec::new();
    for _ in 0..SETTLING + OBSERVED {
        let load = 85.0 * shares(&boxes, &mut random)[&small] / idle_share;
        measured.push(load.min(100.0).round());
        swim.set_utilization(average.add(load.min(100.0)).round() as u32);
        boxes[0].utilization = swim.me().utilization;
    }
    let observed = &measured[SETTLING..];
    let changes = observed.windows(2).map(|pair| (pair[1] - pair[0]).abs());
    let mean_change = changes.sum::<f64>() / (OBSERVED - 1) as f64;
    println!("{measured:?}: mean change {mean_change:.1}");
    assert!(mean_change < 20.0, "{measured:?}");
}
