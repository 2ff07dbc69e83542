//! Selects the boxes in the answer to a look-up.
//!
//! Callers stay in their zone if it has enough boxes: the path is short, and each zone's boxes get
//! the requests of its callers. If the zone has few boxes, or gets far more requests than the rest
//! of its region, the answer lists the boxes of the region. If there are more than an answer
//! holds, each answer is a new random sample that favors larger boxes, so that answers differ and
//! every box gets its share.
//!
//! Callers choose uniformly among the listed boxes. If the boxes differ much in size, an answer
//! lists only some of them, drawn in proportion to their capacities.

mod capacity;
mod sample;

pub use capacity::BoxResources;

use brasswinch_types::Zone;
use capacity::{Sizes, link_weights};
use rand::{Rng, RngExt};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Most boxes in one answer.
pub const MAX_LISTED_BOXES: usize = 64;

/// Smallest number of boxes for which the caller's zone is listed alone: with fewer, the loss of
/// one is noticeable and a caller that skips it has hardly any alternative.
const MIN_ZONE_BOXES: usize = 8;

/// Ratio of a zone's load to that of its region above which the zone is overloaded: to the average
/// of all zones if boxes are evenly sized, else to the rest of the region.
const OVERLOAD_RATIO: f64 = 2.0;

/// Part of a region's boxes that has to reach upstreams for the others to be left out. The callers
/// of a region with fewer are better off with all its boxes, which connect through other regions'.
const MIN_REACHING_PART: f64 = 0.5;

/// A serving box as a candidate for a look-up.
#[derive(Clone, Debug, PartialEq)]
pub struct CandidateBox {
    /// The address for callers.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// Its sizes, as far as it published them.
    pub resources: BoxResources,
    /// Its utilization in percent; `None` if not published.
    pub utilization: Option<u32>,
    /// Request rate of its callers, per second; `None` if not reported.
    pub requests_per_s: Option<f32>,
    /// Whether it has reported that it reaches no upstream.
    pub is_cut_off: bool,
}

/// The boxes in an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selection {
    /// Their addresses, all different.
    pub addresses: Vec<SocketAddr>,
    /// How many of them have more than half the size of the largest candidate.
    pub large: usize,
}

/// Returns the boxes for a caller in `zone`; `region_boxes` are the boxes of its region.
pub fn select_boxes(
    region_boxes: &[CandidateBox],
    zone: &Zone,
    random: &mut impl Rng,
) -> Selection {
    let usable = usable_boxes(region_boxes);
    let in_zone = usable.iter().filter(|candidate| &candidate.zone == zone);
    let own: Vec<&CandidateBox> = in_zone.copied().collect();
    // A zone without others has the average load.
    let has_other_zones = own.len() < usable.len();
    let is_overloaded = || has_other_zones && is_overloaded(&usable, zone);
    let stays_in_zone = own.len() >= MIN_ZONE_BOXES && !is_overloaded();
    draw(if stays_in_zone { &own } else { &usable }, random)
}

/// Returns the boxes that reach upstreams, or all boxes if too few do.
fn usable_boxes(region_boxes: &[CandidateBox]) -> Vec<&CandidateBox> {
    let all = region_boxes.iter();
    let reaching: Vec<&CandidateBox> = all.filter(|candidate| !candidate.is_cut_off).collect();
    if reaching.len() as f64 >= region_boxes.len() as f64 * MIN_REACHING_PART {
        return reaching;
    }
    region_boxes.iter().collect()
}

/// Whether the zone's load per unit of size exceeds that of its region by the overload ratio.
fn is_overloaded(region_boxes: &[&CandidateBox], zone: &Zone) -> bool {
    let sizes = Sizes::of(region_boxes);
    let are_even = sizes.are_even();
    let weights = if are_even {
        link_weights(region_boxes)
    } else {
        sizes.into_values()
    };
    let mut loads: BTreeMap<&Zone, (f64, f64)> = BTreeMap::new();
    for (candidate, weight) in region_boxes.iter().zip(weights) {
        // The rate comes from other boxes; an invalid one counts as missing.
        let reported = candidate.requests_per_s;
        let Some(rate) = reported.filter(|rate| rate.is_finite() && *rate >= 0.0) else {
            continue;
        };
        let (rates, weights) = loads.entry(&candidate.zone).or_default();
        *rates += f64::from(rate);
        *weights += weight;
    }
    let per_size = |(rates, weights): &(f64, f64)| rates / weights;
    let Some(own) = loads.get(zone).map(per_size) else {
        return false;
    };
    if !are_even {
        // With an average that includes the own zone, neither of two zones could be overloaded.
        let others = loads.iter().filter(|(other, _)| **other != zone);
        let rest = others.fold((0.0, 0.0), |sum, (_, load)| {
            (sum.0 + load.0, sum.1 + load.1)
        });
        return rest.1 > 0.0 && own > per_size(&rest) * OVERLOAD_RATIO;
    }
    let all: f64 = loads.values().map(per_size).sum();
    own > all / loads.len() as f64 * OVERLOAD_RATIO
}

/// Draws the boxes of an answer from the candidates.
fn draw(candidates: &[&CandidateBox], random: &mut impl Rng) -> Selection {
    let sizes = Sizes::of(candidates);
    let listed = if sizes.are_even() {
        draw_by_link(candidates, random)
    } else {
        sample::draw_by_capacity(candidates, &sizes, random)
    };
    let large = listed.iter().filter(|index| sizes.is_large(**index));
    Selection {
        large: large.count(),
        addresses: listed
            .into_iter()
            .map(|index| candidates[index].address)
            .collect(),
    }
}

/// Returns the indices of all candidates, or of a weighted sample without replacement of as many
/// as an answer holds (Efraimidis and Spirakis, 2006: the largest of `uniform^(1/weight)`).
fn draw_by_link(candidates: &[&CandidateBox], random: &mut impl Rng) -> Vec<usize> {
    if candidates.len() <= MAX_LISTED_BOXES {
        return (0..candidates.len()).collect();
    }
    let mut drawn: Vec<(f64, usize)> = link_weights(candidates)
        .into_iter()
        .enumerate()
        .map(|(index, weight)| {
            let uniform: f64 = random.random();
            (uniform.powf(1.0 / weight), index)
        })
        .collect();
    drawn.select_nth_unstable_by(MAX_LISTED_BOXES, |a, b| b.0.total_cmp(&a.0));
    drawn.truncate(MAX_LISTED_BOXES);
    drawn.sort_by(|a, b| b.0.total_cmp(&a.0));
    drawn.into_iter().map(|(_, index)| index).collect()
}
