//! Look-up answers from boxes with several resources, wrong sizes and utilization.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_routing::{BoxResources, CandidateBox, MAX_LISTED_BOXES, select_boxes};
use common::look_up::{
    LARGE_MBPS, SMALL_MBPS, candidate, fleet_mbps, link, listed, mean_share, one_zone, random,
    shares, zone,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Guards against an older build in the fleet that makes the sizes of the others incomparable.
#[test]
fn a_resource_that_one_box_does_not_publish_is_equal_for_all() {
    let full = |cpu_millis| BoxResources {
        link_mbps: 100,
        cpu_millis,
        memory_mb: Some(512),
        max_connections: Some(8_192),
    };
    let cores = |number: usize| Some(if number.is_multiple_of(6) { 500 } else { 100 });
    let mut boxes: Vec<CandidateBox> = (0..75)
        .map(|number| candidate(number, 0, full(cores(number))))
        .collect();
    let uneven = listed(&boxes, 0, &mut random());
    assert_eq!(uneven.len(), 26, "the sum of capacities is 13 + 62 * 0.2");
    boxes[40].resources = link(100);
    let even = listed(&boxes, 0, &mut random());
    assert_eq!(even.len(), MAX_LISTED_BOXES);
}

/// Guards against a box whose scarcest resource is ignored.
#[test]
fn the_scarcest_resource_determines_the_capacity() {
    let mut boxes = one_zone(40, |_| 100);
    for (number, candidate) in boxes.iter_mut().enumerate() {
        // Odd boxes have ten times the memory and a tenth of the connections.
        let is_odd = number % 2 == 1;
        candidate.resources.cpu_millis = Some(500);
        candidate.resources.memory_mb = Some(if is_odd { 5_120 } else { 512 });
        candidate.resources.max_connections = Some(if is_odd { 800 } else { 8_000 });
    }
    // All have a tenth of the largest value of some resource.
    assert_eq!(listed(&boxes, 0, &mut random()).len(), 40);
    // Four boxes have both.
    for candidate in &mut boxes[..4] {
        candidate.resources.memory_mb = Some(5_120);
        candidate.resources.max_connections = Some(8_000);
    }
    let shares = shares(&boxes, &mut random());
    let rich = mean_share(&shares, &boxes[..4], |_| true);
    let poor = mean_share(&shares, &boxes[4..], |_| true);
    assert!((6.0..11.0).contains(&(rich / poor)), "{}", rich / poor);
}

/// Guards against one box with wrong sizes that draws all callers, or changes the shares of
/// the others.
#[test]
fn invalid_sizes_count_as_unknown_for_their_box_alone() {
    for (wrong_cpu, wrong_link) in [(0, 10), (u32::MAX, 10), (u32::MAX, u32::MAX), (0, u32::MAX)] {
        let mut boxes = one_zone(75, |number| if number % 6 == 1 { 50 } else { 10 });
        for candidate in &mut boxes {
            candidate.resources.cpu_millis = Some(500);
        }
        boxes[0].resources.cpu_millis = Some(wrong_cpu);
        boxes[0].resources.link_mbps = wrong_link;
        assert!(boxes[0].resources.has_invalid());
        assert!(!boxes[1].resources.has_invalid());
        let shares = shares(&boxes, &mut random());
        let small = mean_share(&shares, &boxes[1..], |b| b.resources.link_mbps == 10);
        let large = mean_share(&shares, &boxes[1..], |b| b.resources.link_mbps == 50);
        let wrong = shares[&boxes[0].address];
        assert!((0.6..1.5).contains(&(wrong / small)), "{}", wrong / small);
        assert!((4.0..6.0).contains(&(large / small)), "{}", large / small);
    }
}

/// Guards against one box with an absurd bandwidth that is in each answer of a large zone of equal
/// boxes, or in none.
#[test]
fn an_absurd_bandwidth_among_equal_boxes_draws_no_callers() {
    let mut boxes = one_zone(300, |_| 100);
    boxes[7].resources.link_mbps = u32::MAX;
    let shares = shares(&boxes, &mut random());
    let ratio = shares[&boxes[7].address] * 300.0;
    assert!((0.8..1.25).contains(&ratio), "{ratio}");
}

/// Guards against one box with a size in a mistaken unit that draws a quarter of the callers.
#[test]
fn a_size_in_a_mistaken_unit_draws_no_callers() {
    let mut boxes = one_zone(75, fleet_mbps);
    boxes[1].resources.link_mbps = 200_000;
    let shares = shares(&boxes, &mut random());
    let small = mean_share(&shares, &boxes, |b| b.resources.link_mbps == SMALL_MBPS);
    let large = mean_share(&shares, &boxes, |b| b.resources.link_mbps == LARGE_MBPS);
    let wrong = shares[&boxes[1].address];
    assert!((0.6..1.5).contains(&(wrong / small)), "{}", wrong / small);
    assert!(large / small > 10.0, "{}", large / small);
}

/// Guards against busy boxes that get as many callers as idle ones, or none at all.
#[test]
fn utilization_reduces_the_share_of_a_box() {
    for (utilization, expected) in [
        (0, 1.0),
        (70, 1.0),
        (85, 0.5),
        (97, 0.125),
        (100, 0.125),
        (101, 1.0),
        (u32::MAX, 1.0),
    ] {
        let mut boxes = one_zone(75, |number| if number % 6 == 1 { 50 } else { 10 });
        for candidate in boxes.iter_mut().step_by(6) {
            candidate.utilization = Some(utilization);
        }
        let shares = shares(&boxes, &mut random());
        let is_small = |b: &CandidateBox| b.resources.link_mbps == 10;
        let busy = mean_share(&shares, &boxes, |b| is_small(b) && b.utilization.is_some());
        let idle = mean_share(&shares, &boxes, |b| is_small(b) && b.utilization.is_none());
        let ratio = busy / idle;
        assert!(
            (expected * 0.8..expected * 1.25).contains(&ratio),
            "{utilization}: {ratio}, expected {expected}"
        );
    }
}

fn any_size() -> impl Strategy<Value = u32> {
    prop_oneof![
        Just(0),
        Just(1),
        1_u32..20_000,
        Just(u32::MAX),
        any::<u32>()
    ]
}

fn any_box() -> impl Strategy<Value = (BoxResources, Option<u32>)> {
    let published = || proptest::option::weighted(0.9, any_size());
    let sizes = (any_size(), published(), published(), published());
    let resources =
        sizes.prop_map(
            |(link_mbps, cpu_millis, memory_mb, max_connections)| BoxResources {
                link_mbps,
                cpu_millis,
                memory_mb,
                max_connections,
            },
        );
    (resources, proptest::option::of(0_u32..300))
}

proptest! {
    /// Guards against answers that repeat a box or hold too few, whatever the boxes publish.
    #[test]
    fn answers_hold_different_boxes_for_any_sizes(
        published in proptest::collection::vec(any_box(), 1..130),
        seed: u64,
    ) {
        let boxes: Vec<CandidateBox> = published
            .iter()
            .enumerate()
            .map(|(number, (resources, utilization))| CandidateBox {
                utilization: *utilization,
                ..candidate(number, 0, *resources)
            })
            .collect();
        let selection = select_boxes(&boxes, &zone(0), &mut StdRng::seed_from_u64(seed));
        let distinct: BTreeSet<SocketAddr> = selection.addresses.iter().copied().collect();
        prop_assert_eq!(distinct.len(), selection.addresses.len());
        prop_assert!(distinct.len() >= boxes.len().min(4));
        prop_assert!(distinct.len() <= MAX_LISTED_BOXES);
        prop_assert!(selection.large <= distinct.len());
    }
}
