//! Whether a box itself reaches upstreams.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_routing::{
    CHECK_INTERVAL_MS, CheckCandidate, TunnelEnds, TunnelPeer, UpstreamPath, UpstreamReach,
    draw_sample, select_tunnel_peer,
};
use brasswinch_types::{BoxId, Region, UpstreamId, Zone};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::{BTreeMap, BTreeSet};

const KNOWN: usize = 40;

fn upstream(number: usize) -> UpstreamId {
    UpstreamId::new(format!("upstream-{number}"))
}

/// Returns a reach whose check is in progress after failures at two upstreams.
fn suspected() -> UpstreamReach {
    let mut reach = UpstreamReach::default();
    reach.record_failure(&upstream(1), KNOWN, 0);
    reach.record_failure(&upstream(2), KNOWN, 10);
    assert!(reach.start_check_if_due(KNOWN, 10));
    reach
}

/// Guards against a crashed upstream that passes for a lost path.
#[test]
fn one_upstream_that_fails_again_and_again_causes_a_check() {
    let mut reach = UpstreamReach::default();
    for now in 0..100 {
        reach.record_failure(&upstream(1), KNOWN, now * 10);
        assert!(!reach.start_check_if_due(KNOWN, now * 10));
    }
}

#[test]
fn failures_that_lie_apart_or_around_a_success_cause_a_check() {
    let mut reach = UpstreamReach::default();
    reach.record_failure(&upstream(1), KNOWN, 0);
    reach.record_failure(&upstream(2), KNOWN, 5_000);
    assert!(!reach.start_check_if_due(KNOWN, 5_000));
    reach.record_reached();
    reach.record_failure(&upstream(3), KNOWN, 5_010);
    assert!(!reach.start_check_if_due(KNOWN, 5_010));
}

/// Guards against a fleet with one upstream that never checks its path.
#[test]
fn the_failure_of_the_only_upstream_causes_no_check() {
    let mut reach = UpstreamReach::default();
    reach.record_failure(&upstream(1), 1, 0);
    assert!(reach.start_check_if_due(1, 0));
}

#[test]
fn a_check_that_reaches_an_upstream_loses_the_path() {
    let mut reach = suspected();
    assert_eq!(reach.end_check(true), None);
    assert_eq!(reach.path(), UpstreamPath::Direct);
}

/// Guards against a path that flaps: one check that happens to reach an upstream is not enough.
#[test]
fn one_check_restores_a_lost_path() {
    let mut reach = suspected();
    assert_eq!(reach.end_check(false), Some(UpstreamPath::Lost));
    let mut now = 10;
    let mut check = |has_reached| {
        now += CHECK_INTERVAL_MS;
        assert!(reach.start_check_if_due(KNOWN, now));
        reach.end_check(has_reached)
    };
    assert_eq!(check(true), None);
    assert_eq!(check(false), None);
    assert_eq!(check(true), None);
    assert_eq!(check(true), Some(UpstreamPath::Direct));
}

#[test]
fn checks_run_side_by_side_or_too_often() {
    let mut reach = suspected();
    reach.record_failure(&upstream(3), KNOWN, 20);
    assert!(!reach.start_check_if_due(KNOWN, 20));
    reach.end_check(true);
    reach.record_failure(&upstream(4), KNOWN, 30);
    reach.record_failure(&upstream(5), KNOWN, 30);
    assert!(!reach.start_check_if_due(KNOWN, 30));
    assert!(reach.start_check_if_due(KNOWN, 10 + CHECK_INTERVAL_MS));
}

/// Guards against the loss of one zone that passes for the loss of the own path.
#[test]
fn a_sample_lies_in_one_zone() {
    let candidate = |number: usize| CheckCandidate {
        zone: Zone::new(if number < 97 { "a" } else { "b" }),
        target: number,
    };
    for seed in 0..100 {
        let mut random = SmallRng::seed_from_u64(seed);
        let sample = draw_sample((0..100).map(candidate).collect(), &mut random);
        let zones: BTreeSet<&Zone> = sample.iter().map(|drawn| &drawn.zone).collect();
        let targets: BTreeSet<usize> = sample.iter().map(|drawn| drawn.target).collect();
        assert_eq!((zones.len(), targets.len()), (2, 4));
    }
}

fn peer(number: usize, zone: &str) -> TunnelPeer {
    TunnelPeer {
        id: BoxId::new(format!("box-{number}")),
        zone: Zone::new(zone),
        address: "127.0.0.1:1".parse().unwrap(),
        link_mbps: 10,
        requests_per_s: Some(10.0),
    }
}

/// Selects many times for a box in `a1` and an upstream in `b1`; returns how often each box was
/// selected.
fn selected(peers: &[TunnelPeer]) -> BTreeMap<String, usize> {
    let zones = ["a1", "a2", "b1", "b2", "c1"];
    let zones = zones.map(|zone| (Zone::new(zone), Region::new(&zone[..1])));
    let zones = BTreeMap::from(zones);
    let ends = TunnelEnds {
        from: &Zone::new("a1"),
        to: &Zone::new("b1"),
    };
    let mut random = SmallRng::seed_from_u64(7);
    let mut counts = BTreeMap::new();
    for _ in 0..1_000 {
        if let Some(peer) = select_tunnel_peer(peers, ends, &zones, &mut random) {
            *counts.entry(peer.id.to_string()).or_default() += 1;
        }
    }
    counts
}

#[test]
fn a_tunnel_leaves_the_zones_of_its_ends_without_need() {
    let peers = [peer(1, "a1"), peer(2, "b1"), peer(3, "a2"), peer(4, "c1")];
    let counts = selected(&peers);
    assert_eq!(counts.keys().collect::<Vec<_>>(), ["box-1", "box-2"]);
}

/// Guards against the only box left in a zone carrying all tunnels of the zone.
#[test]
fn the_last_box_of_a_zone_carries_all_tunnels() {
    let peers = [peer(1, "a1"), peer(2, "a2"), peer(3, "b2"), peer(4, "c1")];
    let counts = selected(&peers);
    assert_eq!(
        counts.keys().collect::<Vec<_>>(),
        ["box-1", "box-2", "box-3"]
    );
    assert!(counts.values().all(|count| *count < 500), "{counts:?}");
}

#[test]
fn a_box_that_is_far_from_both_ends_carries_no_tunnel() {
    assert_eq!(selected(&[peer(4, "c1")])["box-4"], 1_000);
    assert!(selected(&[]).is_empty());
}

#[test]
fn a_busy_box_carries_as_many_tunnels_as_an_idle_one() {
    let mut peers = [peer(1, "a1"), peer(2, "b1"), peer(3, "b1")];
    peers[0].requests_per_s = Some(1_000.0);
    let counts = selected(&peers);
    assert!(counts["box-1"] < 200, "{counts:?}");
}
