//! Selection of boxes for look-up answers, at the size designed for.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_routing::{BoxResources, CandidateBox, MAX_LISTED_BOXES, Selection};
use brasswinch_types::Zone;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

fn zone(number: usize) -> Zone {
    Zone::new(format!("zone-{number}"))
}

fn address(number: usize) -> SocketAddr {
    let [high, low] = (number as u16).to_be_bytes();
    ([10, 0, high, low], 8_548).into()
}

fn select_boxes(boxes: &[CandidateBox], zone: &Zone, random: &mut impl Rng) -> Vec<SocketAddr> {
    let Selection { addresses, large } = brasswinch_routing::select_boxes(boxes, zone, random);
    assert!(large <= addresses.len());
    addresses
}

/// Returns `per_zone` equal boxes in each of `zones` zones.
fn even_region(zones: usize, per_zone: usize) -> Vec<CandidateBox> {
    let mut boxes = uneven_region(zones, per_zone);
    for candidate in &mut boxes {
        candidate.resources.link_mbps = 20;
    }
    boxes
}

/// Returns `per_zone` boxes in each of `zones` zones; one in ten is five times as large.
fn uneven_region(zones: usize, per_zone: usize) -> Vec<CandidateBox> {
    (0..zones * per_zone)
        .map(|number| {
            let is_large = (number / zones).is_multiple_of(10);
            CandidateBox {
                address: address(number),
                zone: zone(number % zones),
                resources: BoxResources {
                    link_mbps: if is_large { 100 } else { 20 },
                    ..BoxResources::default()
                },
                utilization: None,
                requests_per_s: Some(10.0),
                is_cut_off: false,
            }
        })
        .collect()
}

fn random() -> StdRng {
    StdRng::seed_from_u64(5)
}

#[test]
fn a_zone_with_boxes_enough_keeps_its_callers_and_names_all_of_them() {
    // One of three zones used to lose its boxes when answers were cut off after 64 addresses.
    let region_boxes = even_region(3, 32);
    for number in 0..3 {
        let names: BTreeSet<SocketAddr> = select_boxes(&region_boxes, &zone(number), &mut random())
            .into_iter()
            .collect();
        let own = region_boxes
            .iter()
            .filter(|candidate| candidate.zone == zone(number));
        assert_eq!(names, own.map(|candidate| candidate.address).collect());
    }
}

#[test]
fn each_of_3900_boxes_is_listed_and_callers_stay_in_their_zone() {
    const ZONES: usize = 96;
    const PER_REGION: usize = 4;
    let mut named_boxes: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for first in (0..ZONES).step_by(PER_REGION) {
        let mut region_boxes = even_region(PER_REGION, 3_900 / ZONES);
        for candidate in &mut region_boxes {
            let SocketAddr::V4(mut at) = candidate.address else {
                unreachable!()
            };
            at.set_ip((u32::from(*at.ip()) + (first << 16) as u32).into());
            candidate.address = at.into();
        }
        for number in 0..PER_REGION {
            let names = select_boxes(&region_boxes, &zone(number), &mut random());
            let own = region_boxes
                .iter()
                .filter(|candidate| candidate.zone == zone(number));
            let own: BTreeSet<SocketAddr> = own.map(|candidate| candidate.address).collect();
            assert!(names.iter().all(|address| own.contains(address)));
            names
                .into_iter()
                .for_each(|address| *named_boxes.entry(address).or_default() += 1);
        }
    }
    assert_eq!(named_boxes.len(), 3_900 / ZONES * ZONES);
}

/// Guards against callers that leave a zone, and boxes that get no callers, because answers from
/// unevenly sized boxes list only some of them.
#[test]
fn callers_stay_in_their_zone_if_its_boxes_are_uneven_and_each_box_is_listed() {
    let region_boxes = uneven_region(4, 40);
    let mut random = random();
    for number in 0..4 {
        let mut listed = BTreeSet::new();
        for _ in 0..100 {
            listed.extend(select_boxes(&region_boxes, &zone(number), &mut random));
        }
        let own = region_boxes
            .iter()
            .filter(|candidate| candidate.zone == zone(number));
        assert_eq!(listed, own.map(|candidate| candidate.address).collect());
    }
}

#[test]
fn answers_of_a_large_zone_differ_and_list_larger_boxes_more_often() {
    let region_boxes = uneven_region(1, 400);
    let mut random = random();
    let mut counts: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    let mut answers = BTreeSet::new();
    for _ in 0..400 {
        let names = select_boxes(&region_boxes, &zone(0), &mut random);
        assert_eq!(names.len(), MAX_LISTED_BOXES);
        let distinct: BTreeSet<SocketAddr> = names.iter().copied().collect();
        assert_eq!(distinct.len(), MAX_LISTED_BOXES, "no box is listed twice");
        answers.insert(distinct);
        for name in names {
            *counts.entry(name).or_default() += 1;
        }
    }
    assert!(answers.len() > 390, "{} different answers", answers.len());
    assert_eq!(counts.len(), 400, "every box is listed");
    let mean = |size: u32| {
        let candidate = region_boxes
            .iter()
            .filter(|candidate| candidate.resources.link_mbps == size);
        let counts: Vec<usize> = candidate
            .map(|candidate| counts[&candidate.address])
            .collect();
        counts.iter().sum::<usize>() as f64 / counts.len() as f64
    };
    let ratio = mean(100) / mean(20);
    assert!((3.0..5.5).contains(&ratio), "five times as large: {ratio}");
}

#[test]
fn a_zone_with_few_boxes_lists_the_boxes_of_its_region() {
    let region_boxes = uneven_region(3, 2);
    assert_eq!(
        select_boxes(&region_boxes, &zone(0), &mut random()).len(),
        6
    );
    assert_eq!(
        select_boxes(&region_boxes, &zone(9), &mut random()).len(),
        6,
        "the zone has no box"
    );
    assert!(select_boxes(&[], &zone(0), &mut random()).is_empty());
}

/// Guards against a burst that stays in its zone because the region's boxes are uneven.
#[test]
fn a_burst_in_one_zone_of_uneven_boxes_spreads_over_its_region() {
    let mut region_boxes = uneven_region(3, 32);
    let own = region_boxes.iter_mut();
    for candidate in own.filter(|candidate| candidate.zone == zone(1)) {
        candidate.requests_per_s = Some(60.0);
    }
    let own: BTreeSet<SocketAddr> = region_boxes
        .iter()
        .filter(|candidate| candidate.zone == zone(1))
        .map(|candidate| candidate.address)
        .collect();
    let mut random = random();
    let (mut elsewhere, mut listed) = (0, 0);
    for _ in 0..100 {
        let names = select_boxes(&region_boxes, &zone(1), &mut random);
        elsewhere += names.iter().filter(|name| !own.contains(name)).count();
        listed += names.len();
        let names = select_boxes(&region_boxes, &zone(2), &mut random);
        assert!(names.iter().all(|name| !own.contains(name)));
    }
    let part = elsewhere as f64 / listed as f64;
    assert!((0.6..0.73).contains(&part), "{part} in other zones");
}

/// Guards against callers that stay in a zone whose large boxes are lost, in a region of two zones.
#[test]
fn callers_leave_a_zone_that_lost_its_large_boxes() {
    let mut region_boxes = uneven_region(2, 40);
    region_boxes.retain(|b| b.zone != zone(0) || b.resources.link_mbps == 20);
    for (load, leaves) in [(18.0, true), (10.0, false)] {
        for candidate in &mut region_boxes {
            let mbps = candidate.resources.link_mbps as f32;
            let per_20_mbps = if candidate.zone == zone(0) { load } else { 8.0 };
            candidate.requests_per_s = Some(mbps / 20.0 * per_20_mbps);
        }
        let own = region_boxes.iter().filter(|b| b.zone == zone(0));
        let own: BTreeSet<SocketAddr> = own.map(|b| b.address).collect();
        let mut random = random();
        let mut listed = (0..20).flat_map(|_| select_boxes(&region_boxes, &zone(0), &mut random));
        assert_eq!(listed.any(|at| !own.contains(&at)), leaves, "{load}");
        for _ in 0..20 {
            let listed = select_boxes(&region_boxes, &zone(1), &mut random);
            assert!(listed.iter().all(|at| !own.contains(at)));
        }
    }
}

/// One zone gets two thirds of its region's load.
#[test]
fn a_burst_in_one_zone_spreads_over_its_region() {
    let mut region_boxes = even_region(3, 32);
    for candidate in region_boxes
        .iter_mut()
        .filter(|candidate| candidate.zone == zone(1))
    {
        candidate.requests_per_s = Some(60.0);
    }
    let names = select_boxes(&region_boxes, &zone(1), &mut random());
    assert_eq!(names.len(), MAX_LISTED_BOXES);
    let own = region_boxes
        .iter()
        .filter(|candidate| candidate.zone == zone(1));
    let own: BTreeSet<SocketAddr> = own.map(|candidate| candidate.address).collect();
    let elsewhere = names.iter().filter(|name| !own.contains(name)).count();
    assert!(elsewhere >= 32, "{elsewhere} boxes of other zones");
    // The callers of other zones keep their zone.
    assert_eq!(
        select_boxes(&region_boxes, &zone(2), &mut random()).len(),
        32
    );
}

#[test]
fn invalid_or_missing_loads_overload_no_zone() {
    let mut region_boxes = even_region(3, 32);
    for (number, candidate) in region_boxes.iter_mut().enumerate() {
        let loads = [Some(f32::NAN), None, Some(-1.0), Some(f32::INFINITY)];
        candidate.requests_per_s = loads[number % loads.len()];
        candidate.resources.link_mbps = 0;
    }
    for number in 0..3 {
        let names = select_boxes(&region_boxes, &zone(number), &mut random());
        assert!(names.len() >= 32);
    }
}

fn with_cut_off(count: usize) -> Vec<CandidateBox> {
    let mut boxes = even_region(2, 6);
    for cut_off in &mut boxes[..count] {
        cut_off.is_cut_off = true;
    }
    boxes
}

/// Guards against callers that are sent to boxes without links to upstreams.
#[test]
fn boxes_that_reach_no_upstream_are_listed() {
    let boxes = with_cut_off(6);
    let listed = select_boxes(&boxes, &zone(0), &mut random());
    assert_eq!(listed.len(), 6);
    let mut cut_off = boxes.iter().filter(|candidate| candidate.is_cut_off);
    assert!(cut_off.all(|candidate| !listed.contains(&candidate.address)));
}

/// Guards against boxes without links to upstreams that are listed because they are large.
#[test]
fn large_boxes_that_reach_no_upstream_are_not_listed() {
    let mut boxes = uneven_region(1, 40);
    for candidate in &mut boxes {
        candidate.is_cut_off = candidate.resources.link_mbps == 100;
    }
    let listed = select_boxes(&boxes, &zone(0), &mut random());
    assert_eq!(listed.len(), 36);
    let mut cut_off = boxes.iter().filter(|candidate| candidate.is_cut_off);
    assert!(cut_off.all(|candidate| !listed.contains(&candidate.address)));
}

/// Guards against a region whose callers all go to the few boxes that are left.
#[test]
fn the_last_box_that_reaches_upstreams_is_listed_alone() {
    let listed = select_boxes(&with_cut_off(11), &zone(0), &mut random());
    assert_eq!(listed.len(), 12);
}

/// Returns the addresses of all boxes in 100 answers.
fn union_of_answers(boxes: &[CandidateBox], zone: &Zone) -> BTreeSet<SocketAddr> {
    let mut random = random();
    let answers = (0..100).map(|_| select_boxes(boxes, zone, &mut random));
    answers.flatten().collect()
}

/// Guards against boxes of a large fleet that are never listed because boxes are uneven.
#[test]
fn each_of_3900_uneven_boxes_is_listed_in_its_zone() {
    // 24 regions with 4 zones each.
    for first in 0..24_u16 {
        let mut region_boxes = uneven_region(4, 3_900 / 96);
        for candidate in &mut region_boxes {
            candidate.address.set_port(1_000 + first);
        }
        for number in 0..4 {
            let own = region_boxes.iter().filter(|b| b.zone == zone(number));
            let own: BTreeSet<SocketAddr> = own.map(|b| b.address).collect();
            assert_eq!(union_of_answers(&region_boxes, &zone(number)), own);
        }
    }
}

/// Guards against uneven zones that callers leave because of invalid or missing loads.
#[test]
fn invalid_or_missing_loads_overload_no_uneven_zone() {
    let mut region_boxes = uneven_region(3, 32);
    for (number, candidate) in region_boxes.iter_mut().enumerate() {
        let loads = [Some(f32::NAN), None, Some(-1.0), Some(f32::INFINITY)];
        candidate.requests_per_s = loads[number % loads.len()];
    }
    for number in 0..3 {
        let own = region_boxes.iter().filter(|b| b.zone == zone(number));
        let own: BTreeSet<SocketAddr> = own.map(|b| b.address).collect();
        assert_eq!(union_of_answers(&region_boxes, &zone(number)), own);
    }
}

/// Guards against uneven boxes without links to upstreams that are listed while enough others are
/// left, or against few others that get all callers.
#[test]
fn uneven_boxes_that_reach_no_upstream_are_listed_only_if_most_are_cut_off() {
    for (cut_off, expected) in [(6, 6), (11, 12)] {
        let mut boxes = uneven_region(2, 6);
        for candidate in &mut boxes[..cut_off] {
            candidate.is_cut_off = true;
        }
        let listed = union_of_answers(&boxes, &zone(0));
        assert_eq!(listed.len(), expected);
        let reaching = boxes.iter().filter(|b| !b.is_cut_off);
        assert!(reaching.map(|b| b.address).all(|at| listed.contains(&at)));
    }
}
