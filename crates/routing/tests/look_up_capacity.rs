//! Look-up answers from boxes of different sizes, at 12, 75, 300 and 985 boxes.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_routing::{BoxResources, CandidateBox, MAX_LISTED_BOXES, select_boxes};
use brasswinch_types::Zone;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

/// Numbers of boxes.
const FLEETS: [usize; 4] = [12, 75, 300, 985];

/// Answers per measurement of shares.
const ANSWERS: usize = 4_000;

const LARGE_MBPS: u32 = 200;
const SMALL_MBPS: u32 = 10;

/// One in this many boxes is large: 12 of 75.
const LARGE_EVERY: usize = 6;

fn zone(number: usize) -> Zone {
    Zone::new(format!("zone-{number}"))
}

fn address(number: usize) -> SocketAddr {
    let [high, low] = (number as u16).to_be_bytes();
    ([10, 0, high, low], 8_548).into()
}

fn link(mbps: u32) -> BoxResources {
    BoxResources {
        link_mbps: mbps,
        ..BoxResources::default()
    }
}

fn candidate(number: usize, zone_number: usize, resources: BoxResources) -> CandidateBox {
    CandidateBox {
        address: address(number),
        zone: zone(zone_number),
        resources,
        utilization: None,
        requests_per_s: Some(10.0),
        is_cut_off: false,
    }
}

/// Returns boxes in one zone, with the link that `mbps` returns for their number.
fn one_zone(boxes: usize, mbps: impl Fn(usize) -> u32) -> Vec<CandidateBox> {
    (0..boxes)
        .map(|number| candidate(number, 0, link(mbps(number))))
        .collect()
}

/// Returns a region's part of a fleet of `boxes` in 3 regions with 2 zones each; a fleet of 12
/// is in one region. The largest boxes have 20 times the bandwidth of the others.
fn region_of(boxes: usize) -> Vec<CandidateBox> {
    let in_region = if boxes < 24 { boxes } else { boxes / 3 };
    (0..in_region)
        .map(|number| candidate(number, number % 2, link(fleet_mbps(number / 2))))
        .collect()
}

fn fleet_mbps(number: usize) -> u32 {
    if number.is_multiple_of(LARGE_EVERY) {
        LARGE_MBPS
    } else {
        SMALL_MBPS
    }
}

fn random() -> StdRng {
    StdRng::seed_from_u64(17)
}

fn listed(boxes: &[CandidateBox], zone_number: usize, random: &mut impl Rng) -> Vec<SocketAddr> {
    select_boxes(boxes, &zone(zone_number), random).addresses
}

/// Returns each box's share of the requests of callers that choose uniformly in each answer.
fn shares(boxes: &[CandidateBox], random: &mut impl Rng) -> BTreeMap<SocketAddr, f64> {
    let mut shares = BTreeMap::new();
    for _ in 0..ANSWERS {
        let addresses = listed(boxes, 0, random);
        for at in &addresses {
            *shares.entry(*at).or_default() += 1.0 / (addresses.len() * ANSWERS) as f64;
        }
    }
    shares
}

fn mean_share(
    shares: &BTreeMap<SocketAddr, f64>,
    boxes: &[CandidateBox],
    includes: impl Fn(&CandidateBox) -> bool,
) -> f64 {
    let included: Vec<f64> = boxes
        .iter()
        .filter(|candidate| includes(candidate))
        .map(|candidate| shares.get(&candidate.address).copied().unwrap_or(0.0))
        .collect();
    included.iter().sum::<f64>() / included.len() as f64
}

/// Guards against boxes with slow links that get as many requests as those with fast ones.
#[test]
fn shares_are_proportional_to_capacity() {
    let mut random = random();
    for count in FLEETS {
        // One box in ten has five times the bandwidth of the others, and one in ten twice.
        let boxes = one_zone(count, |number| match number % 10 {
            0 => 50,
            5 => 20,
            _ => 10,
        });
        let sum: u32 = boxes.iter().map(|b| b.resources.link_mbps).sum();
        let shares = shares(&boxes, &mut random);
        for mbps in [50, 20, 10] {
            let share = mean_share(&shares, &boxes, |b| b.resources.link_mbps == mbps);
            let ratio = share * f64::from(sum) / f64::from(mbps);
            println!("{count} boxes, {mbps} Mbit/s: {ratio:.3} of the proportional share");
            assert!((1.0 / 1.5..1.5).contains(&ratio), "{count}: {ratio}");
        }
    }
}

/// Guards against large boxes that get more than half of the requests, where they have more than
/// half of the capacity, and against small ones that differ among each other.
#[test]
fn large_boxes_with_most_of_the_capacity_get_half_of_the_requests() {
    let mut random = random();
    for count in FLEETS {
        let boxes = one_zone(count, fleet_mbps);
        let is_large = |b: &CandidateBox| b.resources.link_mbps == LARGE_MBPS;
        let shares = shares(&boxes, &mut random);
        let large = boxes.iter().filter(|b| is_large(b));
        let part: f64 = large.map(|b| shares[&b.address]).sum();
        let large_ratio =
            mean_share(&shares, &boxes, is_large) / mean_share(&shares, &boxes, |b| !is_large(b));
        println!("{count} boxes: large have {part:.3}, {large_ratio:.2} of a small one's share");
        assert!((0.4..=0.5 + 1e-9).contains(&part), "{count}: {part}");
        let small = boxes.iter().filter(|b| !is_large(b));
        let small: Vec<f64> = small.map(|b| shares[&b.address]).collect();
        let mean = small.iter().sum::<f64>() / small.len() as f64;
        assert!(
            small
                .iter()
                .all(|share| (mean / 1.5..mean * 1.5).contains(share))
        );
    }
}

/// Guards against boxes that are never listed, whose faults would be found only when needed.
#[test]
fn each_box_is_listed_in_1000_answers() {
    let mut random = random();
    for count in FLEETS {
        let mut boxes = region_of(count);
        // The smallest boxes by far, and full ones.
        for (number, candidate) in boxes.iter_mut().enumerate() {
            if number % 7 == 3 {
                candidate.resources.link_mbps = 1;
            }
            if number % 5 == 2 {
                candidate.utilization = Some(100);
            }
        }
        let mut seen = BTreeSet::new();
        for number in 0..2 {
            for _ in 0..1_000 {
                seen.extend(listed(&boxes, number, &mut random));
            }
        }
        assert_eq!(seen.len(), boxes.len(), "{count} boxes");
    }
}

/// Guards against answers whose addresses all fail if the boxes of the largest kind fail together.
#[test]
fn half_of_each_answer_serves_after_all_large_boxes_died() {
    let mut random = random();
    for count in FLEETS {
        let boxes = region_of(count);
        let dies = |candidate: &CandidateBox| candidate.resources.link_mbps == LARGE_MBPS;
        let large: BTreeSet<SocketAddr> = boxes
            .iter()
            .filter(|candidate| dies(candidate))
            .map(|candidate| candidate.address)
            .collect();
        let in_zone = |candidate: &&CandidateBox| dies(candidate) && candidate.zone == zone(0);
        let large_of_zone: BTreeSet<SocketAddr> = boxes
            .iter()
            .filter(in_zone)
            .map(|candidate| candidate.address)
            .collect();
        assert!(!large_of_zone.is_empty());
        for number in [0, 1, 9] {
            for _ in 0..500 {
                let answer = listed(&boxes, number, &mut random);
                for dead in [&large, &large_of_zone] {
                    let serving = answer.iter().filter(|at| !dead.contains(at)).count();
                    assert!(
                        serving * 2 >= answer.len(),
                        "{count} boxes: {serving} of {} serve",
                        answer.len()
                    );
                }
            }
        }
    }
}

/// Guards against answers that name mostly large boxes while those are too busy to count as
/// such by their current capacity.
#[test]
fn busy_large_boxes_count_as_large() {
    let mut random = random();
    // The answer holds 5 boxes, and 7 of 12 are large.
    let mut boxes = one_zone(12, |number| match number {
        0 => 100,
        1..7 => 51,
        _ => 5,
    });
    for candidate in &mut boxes[1..7] {
        candidate.utilization = Some(80);
    }
    for _ in 0..500 {
        let selection = select_boxes(&boxes, &zone(0), &mut random);
        let large = selection.addresses.iter();
        let large = large.filter(|at| boxes[..7].iter().any(|b| b.address == **at));
        assert_eq!(large.count(), selection.large);
        assert!(selection.large * 2 <= selection.addresses.len());
    }
}

/// The selection before sizes were taken into account, for callers that stay in their zone.
fn former_selection(
    candidates: &[CandidateBox],
    weights: impl Fn(&CandidateBox) -> u32,
    random: &mut impl Rng,
) -> Vec<SocketAddr> {
    if candidates.len() <= MAX_LISTED_BOXES {
        return candidates.iter().map(|b| b.address).collect();
    }
    let mut drawn: Vec<(f64, SocketAddr)> = candidates
        .iter()
        .map(|candidate| {
            let uniform: f64 = random.random();
            let weight = f64::from(weights(candidate).max(1));
            (uniform.powf(1.0 / weight), candidate.address)
        })
        .collect();
    drawn.sort_by(|a, b| b.0.total_cmp(&a.0));
    drawn.truncate(MAX_LISTED_BOXES);
    drawn.into_iter().map(|(_, address)| address).collect()
}

/// Guards against other answers in fleets of equal or similar boxes, also while some are busy.
#[test]
fn evenly_sized_boxes_get_the_former_answers() {
    for count in FLEETS {
        for links in [[0, 0, 0], [100, 100, 100], [100, 60, 100], [100, 30, 60]] {
            let mut boxes = one_zone(count, |number| links[number % 3]);
            for candidate in boxes.iter_mut().step_by(4) {
                candidate.utilization = Some(100);
            }
            for seed in 0..20 {
                let mut ours = StdRng::seed_from_u64(seed);
                let mut theirs = StdRng::seed_from_u64(seed);
                assert_eq!(
                    listed(&boxes, 0, &mut ours),
                    former_selection(&boxes, |b| b.resources.link_mbps, &mut theirs),
                    "{count} boxes with {links:?} Mbit/s"
                );
            }
        }
    }
}

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

/// Prints the time of one decision; the goal is 10 µs in an optimized build.
#[test]
fn time_per_decision() {
    const DECISIONS: u32 = 200;
    let mut random = random();
    for (name, boxes) in [
        ("985 uneven boxes in one zone", one_zone(985, fleet_mbps)),
        ("985 even boxes in one zone", one_zone(985, |_| 100)),
        ("a third of 985 uneven boxes, in two zones", region_of(985)),
    ] {
        let started = Instant::now();
        for _ in 0..DECISIONS {
            std::hint::black_box(listed(&boxes, 0, &mut random));
        }
        let took = started.elapsed() / DECISIONS;
        println!("{name}: {took:?} per decision");
    }
}
