//! Which boxes look-ups name, at the size that is designed for.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_routing::{MOST_NAMED, NamedBox, named};
use brasswinch_types::Zone;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

fn zone(number: usize) -> Zone {
    Zone::new(format!("zone-{number}"))
}

fn address(number: usize) -> SocketAddr {
    let [high, low] = (number as u16).to_be_bytes();
    ([10, 0, high, low], 8_548).into()
}

/// `per_zone` boxes in each of `zones` zones; one of ten is five times as large.
fn region(zones: usize, per_zone: usize) -> Vec<NamedBox> {
    (0..zones * per_zone)
        .map(|number| {
            let is_large = (number / zones).is_multiple_of(10);
            NamedBox {
                address: address(number),
                zone: zone(number % zones),
                size: if is_large { 100 } else { 20 },
                requests_per_s: Some(10.0),
            }
        })
        .collect()
}

fn random() -> StdRng {
    StdRng::seed_from_u64(5)
}

#[test]
fn a_zone_with_boxes_enough_keeps_its_callers_and_names_all_of_them() {
    // A region of the size measured: each third zone used to be cut off after 64 addresses.
    let near = region(3, 32);
    for number in 0..3 {
        let names: BTreeSet<SocketAddr> = named(&near, &zone(number), &mut random())
            .into_iter()
            .collect();
        let own = near.iter().filter(|held| held.zone == zone(number));
        assert_eq!(names, own.map(|held| held.address).collect());
    }
}

#[test]
fn of_3900_boxes_every_one_is_named_and_callers_stay_in_their_zone() {
    const ZONES: usize = 96;
    const PER_REGION: usize = 4;
    let mut named_boxes: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for first in (0..ZONES).step_by(PER_REGION) {
        let mut near = region(PER_REGION, 3_900 / ZONES);
        for held in &mut near {
            let SocketAddr::V4(mut at) = held.address else {
                unreachable!()
            };
            at.set_ip((u32::from(*at.ip()) + (first << 16) as u32).into());
            held.address = at.into();
        }
        for number in 0..PER_REGION {
            let names = named(&near, &zone(number), &mut random());
            let own = near.iter().filter(|held| held.zone == zone(number));
            let own: BTreeSet<SocketAddr> = own.map(|held| held.address).collect();
            assert!(names.iter().all(|address| own.contains(address)));
            names
                .into_iter()
                .for_each(|address| *named_boxes.entry(address).or_default() += 1);
        }
    }
    assert_eq!(named_boxes.len(), 3_900 / ZONES * ZONES);
}

#[test]
fn a_large_zone_s_answers_differ_and_name_larger_boxes_more_often() {
    let near = region(1, 400);
    let mut random = random();
    let mut counts: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    let mut answers = BTreeSet::new();
    for _ in 0..400 {
        let names = named(&near, &zone(0), &mut random);
        assert_eq!(names.len(), MOST_NAMED);
        let distinct: BTreeSet<SocketAddr> = names.iter().copied().collect();
        assert_eq!(distinct.len(), MOST_NAMED, "none twice");
        answers.insert(distinct);
        for name in names {
            *counts.entry(name).or_default() += 1;
        }
    }
    assert!(answers.len() > 390, "{} different answers", answers.len());
    assert_eq!(counts.len(), 400, "every box is named");
    let mean = |size: u32| {
        let held = near.iter().filter(|held| held.size == size);
        let counts: Vec<usize> = held.map(|held| counts[&held.address]).collect();
        counts.iter().sum::<usize>() as f64 / counts.len() as f64
    };
    let ratio = mean(100) / mean(20);
    assert!((3.0..5.5).contains(&ratio), "five times as large: {ratio}");
}

#[test]
fn a_zone_with_few_boxes_names_its_region_s() {
    let near = region(3, 2);
    assert_eq!(named(&near, &zone(0), &mut random()).len(), 6);
    assert_eq!(
        named(&near, &zone(9), &mut random()).len(),
        6,
        "no box there"
    );
    assert!(named(&[], &zone(0), &mut random()).is_empty());
}

/// Two thirds of the callers turn to one zone.
#[test]
fn a_burst_in_one_zone_spreads_over_its_region() {
    let mut near = region(3, 32);
    for held in near.iter_mut().filter(|held| held.zone == zone(1)) {
        held.requests_per_s = Some(60.0);
    }
    let names = named(&near, &zone(1), &mut random());
    assert_eq!(names.len(), MOST_NAMED);
    let own = near.iter().filter(|held| held.zone == zone(1));
    let own: BTreeSet<SocketAddr> = own.map(|held| held.address).collect();
    let elsewhere = names.iter().filter(|name| !own.contains(name)).count();
    assert!(elsewhere >= 32, "{elsewhere} of other zones");
    // The others' callers stay where they are.
    assert_eq!(named(&near, &zone(2), &mut random()).len(), 32);
}

#[test]
fn loads_that_are_no_numbers_or_were_not_heard_crowd_nobody() {
    let mut near = region(3, 32);
    for (number, held) in near.iter_mut().enumerate() {
        let loads = [Some(f32::NAN), None, Some(-1.0), Some(f32::INFINITY)];
        held.requests_per_s = loads[number % loads.len()];
        held.size = 0;
    }
    for number in 0..3 {
        let names = named(&near, &zone(number), &mut random());
        assert!(names.len() >= 32);
    }
}
