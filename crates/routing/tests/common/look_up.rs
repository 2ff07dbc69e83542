//! Boxes as candidates for look-ups, and the shares of requests that they get.

use brasswinch_routing::{BoxResources, CandidateBox, select_boxes};
use brasswinch_types::Zone;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Numbers of boxes.
pub const FLEETS: [usize; 4] = [12, 75, 300, 985];

/// Answers per measurement of shares.
pub const ANSWERS: usize = 4_000;

pub const LARGE_MBPS: u32 = 200;
pub const SMALL_MBPS: u32 = 10;

/// One in this many boxes is large: 12 of 75.
pub const LARGE_EVERY: usize = 6;

pub fn zone(number: usize) -> Zone {
    Zone::new(format!("zone-{number}"))
}

pub fn address(number: usize) -> SocketAddr {
    let [high, low] = (number as u16).to_be_bytes();
    ([10, 0, high, low], 8_548).into()
}

pub fn link(mbps: u32) -> BoxResources {
    BoxResources {
        link_mbps: mbps,
        ..BoxResources::default()
    }
}

pub fn candidate(number: usize, zone_number: usize, resources: BoxResources) -> CandidateBox {
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
pub fn one_zone(boxes: usize, mbps: impl Fn(usize) -> u32) -> Vec<CandidateBox> {
    (0..boxes)
        .map(|number| candidate(number, 0, link(mbps(number))))
        .collect()
}

/// Returns a region's part of a fleet of `boxes` in 3 regions with 2 zones each; a fleet of 12
/// is in one region. The largest boxes have 20 times the bandwidth of the others.
pub fn region_of(boxes: usize) -> Vec<CandidateBox> {
    let in_region = if boxes < 24 { boxes } else { boxes / 3 };
    (0..in_region)
        .map(|number| candidate(number, number % 2, link(fleet_mbps(number / 2))))
        .collect()
}

pub fn fleet_mbps(number: usize) -> u32 {
    if number.is_multiple_of(LARGE_EVERY) {
        LARGE_MBPS
    } else {
        SMALL_MBPS
    }
}

pub fn random() -> StdRng {
    StdRng::seed_from_u64(17)
}

pub fn listed(
    boxes: &[CandidateBox],
    zone_number: usize,
    random: &mut impl Rng,
) -> Vec<SocketAddr> {
    select_boxes(boxes, &zone(zone_number), random).addresses
}

/// Returns each box's share of the requests of callers that choose uniformly in each answer.
pub fn shares(boxes: &[CandidateBox], random: &mut impl Rng) -> BTreeMap<SocketAddr, f64> {
    let mut shares = BTreeMap::new();
    for _ in 0..ANSWERS {
        let addresses = listed(boxes, 0, random);
        for at in &addresses {
            *shares.entry(*at).or_default() += 1.0 / (addresses.len() * ANSWERS) as f64;
        }
    }
    shares
}

pub fn mean_share(
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
