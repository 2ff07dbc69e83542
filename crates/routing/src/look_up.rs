//! Selects the boxes in the answer to a look-up.
//!
//! Callers stay in their zone if it has enough boxes: the path is short, and each zone's boxes get
//! the requests of its callers. If the zone has few boxes, or gets far more requests than the rest
//! of its region, the answer lists the boxes of the region. If there are more than an answer
//! holds, each answer is a new random sample that favors larger boxes, so that answers differ and
//! every box gets its share.

use brasswinch_types::Zone;
use rand::{Rng, RngExt};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Most boxes in one answer.
pub const MAX_LISTED_BOXES: usize = 64;

/// Smallest number of boxes for which the caller's zone is listed alone: with fewer, the loss of
/// one is noticeable and a caller that skips it has hardly any alternative.
const MIN_ZONE_BOXES: usize = 8;

/// Ratio of a zone's load to the average of its region's zones above which the zone is overloaded.
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
    /// Capacity in a unit shared by all boxes; 0 if unknown.
    pub size: u32,
    /// Request rate of its callers, per second; `None` if not reported.
    pub requests_per_s: Option<f32>,
    /// Whether it has reported that it reaches no upstream.
    pub is_cut_off: bool,
}

impl CandidateBox {
    /// Boxes of unknown size count as equal.
    fn weight(&self) -> f64 {
        f64::from(self.size.max(1))
    }
}

/// Returns the boxes for a caller in `zone`; `region_boxes` are the boxes of its region.
pub fn select_boxes(
    region_boxes: &[CandidateBox],
    zone: &Zone,
    random: &mut impl Rng,
) -> Vec<SocketAddr> {
    let usable = usable_boxes(region_boxes);
    let in_zone = usable.iter().filter(|candidate| &candidate.zone == zone);
    let own: Vec<&CandidateBox> = in_zone.copied().collect();
    let stays_in_zone = own.len() >= MIN_ZONE_BOXES && !is_overloaded(&usable, zone);
    draw(if stays_in_zone { own } else { usable }, random)
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

/// Whether the zone's load per unit of size exceeds the region's average by the overload ratio.
fn is_overloaded(region_boxes: &[&CandidateBox], zone: &Zone) -> bool {
    let mut loads: BTreeMap<&Zone, (f64, f64)> = BTreeMap::new();
    for candidate in region_boxes {
        // The rate comes from other boxes; an invalid one counts as missing.
        let reported = candidate.requests_per_s;
        let Some(rate) = reported.filter(|rate| rate.is_finite() && *rate >= 0.0) else {
            continue;
        };
        let (rates, weights) = loads.entry(&candidate.zone).or_default();
        *rates += f64::from(rate);
        *weights += candidate.weight();
    }
    let per_size = |(rates, weights): &(f64, f64)| rates / weights.max(1.0);
    let Some(own) = loads.get(zone).map(per_size) else {
        return false;
    };
    let all: f64 = loads.values().map(per_size).sum();
    own > all / loads.len() as f64 * OVERLOAD_RATIO
}

/// Returns all candidates, or a weighted sample without replacement of as many as an answer holds
/// (Efraimidis and Spirakis, 2006: the largest of `uniform^(1/weight)`).
fn draw(candidates: Vec<&CandidateBox>, random: &mut impl Rng) -> Vec<SocketAddr> {
    if candidates.len() <= MAX_LISTED_BOXES {
        return candidates
            .iter()
            .map(|candidate| candidate.address)
            .collect();
    }
    let mut drawn: Vec<(f64, SocketAddr)> = candidates
        .iter()
        .map(|candidate| {
            let uniform: f64 = random.random();
            (uniform.powf(1.0 / candidate.weight()), candidate.address)
        })
        .collect();
    drawn.sort_by(|a, b| b.0.total_cmp(&a.0));
    drawn.truncate(MAX_LISTED_BOXES);
    drawn.into_iter().map(|(_, address)| address).collect()
}
