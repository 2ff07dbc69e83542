//! Draws the boxes of an answer from unevenly sized boxes.

use super::capacity::Sizes;
use super::{CandidateBox, MAX_LISTED_BOXES};
use brasswinch_types::Zone;
use rand::seq::SliceRandom;
use rand::{Rng, RngExt};

/// Fewest boxes in an answer from unevenly sized boxes, unless there are fewer candidates. With two
/// or three, callers have too few alternatives when listed boxes fail.
pub(super) const MIN_LISTED_BOXES: usize = 4;

/// Tolerance for rounding errors in sums of capacities.
const ROUNDING: f64 = 1e-9;

/// Fewest addresses in an answer that serve after all large boxes, or a zone, fail together, as far
/// as there are any. Callers skip addresses that failed, so that the number of alternatives
/// counts, not their part of the answer.
const MIN_ALTERNATIVES: usize = 2;

/// Returns the indices of the listed boxes, in random order, with enough alternatives to the large
/// boxes and to each zone.
pub(super) fn draw_by_capacity(
    candidates: &[&CandidateBox],
    sizes: &Sizes,
    random: &mut impl Rng,
) -> Vec<usize> {
    let capacities = sizes.capacities(candidates);
    let count = listed_count(&capacities);
    let mut order: Vec<usize> = (0..capacities.len()).collect();
    order.shuffle(random);
    let listed = systematic_sample(&order, &capacities, count, random);
    let mut draw = Draw {
        sizes,
        capacities,
        order,
        listed,
    };
    draw.add_alternatives(|index| sizes.is_large(index), random);
    // A zone without enough alternatives has at least one of the first two addresses.
    let first = draw.listed.iter().take(MIN_ALTERNATIVES);
    let zones: Vec<&Zone> = first.map(|index| &candidates[*index].zone).collect();
    for zone in zones {
        draw.add_alternatives(|index| &candidates[index].zone == zone, random);
    }
    draw.listed
}

/// The listed boxes and those that may replace them.
struct Draw<'a> {
    sizes: &'a Sizes,
    capacities: Vec<f64>,
    order: Vec<usize>,
    listed: Vec<usize>,
}

impl Draw<'_> {
    /// Replaces boxes that fail together by others, until enough of the others are listed.
    fn add_alternatives(&mut self, fails: impl Fn(usize) -> bool, random: &mut impl Rng) {
        let others = self.listed.iter().filter(|index| !fails(**index)).count();
        if others >= MIN_ALTERNATIVES {
            return;
        }
        let mut is_free: Vec<bool> = (0..self.capacities.len()).map(|at| !fails(at)).collect();
        for index in &self.listed {
            is_free[*index] = false;
        }
        let order = self.order.iter().copied();
        let free: Vec<usize> = order.filter(|index| is_free[*index]).collect();
        let missing = (MIN_ALTERNATIVES - others).min(free.len());
        for added in systematic_sample(&free, &self.capacities, missing, random) {
            // A large box replaces a large one if there is one, which keeps the alternatives to
            // the large boxes.
            let is_like = |at: usize| !self.sizes.is_large(added) || self.sizes.is_large(at);
            let mut listed = self.listed.iter();
            let position = listed
                .position(|index| fails(*index) && is_like(*index))
                .or_else(|| self.listed.iter().position(|index| fails(*index)));
            if let Some(position) = position {
                self.listed[position] = added;
            }
        }
        self.listed.shuffle(random);
    }
}

/// Returns the number of boxes to list: as many as needed for the largest box to be in each answer
/// and others in proportion. Callers choose uniformly among the listed boxes, so that a larger
/// answer would even out the shares.
fn listed_count(capacities: &[f64]) -> usize {
    let largest = capacities.iter().copied().fold(0.0, f64::max);
    let sum: f64 = capacities.iter().sum();
    let proportional = (sum / largest - ROUNDING).ceil() as usize;
    proportional
        .clamp(MIN_LISTED_BOXES, MAX_LISTED_BOXES)
        .min(capacities.len())
}

/// Draws `count` of the candidates in `order` without replacement, with inclusion probabilities
/// proportional to their capacities, at most 1 (Madow, 1949). The order has to be random.
fn systematic_sample(
    order: &[usize],
    capacities: &[f64],
    count: usize,
    random: &mut impl Rng,
) -> Vec<usize> {
    if count >= order.len() {
        return order.to_vec();
    }
    let factor = inclusion_factor(order, capacities, count);
    let mut drawn = Vec::with_capacity(count);
    let mut next: f64 = random.random();
    let mut sum = 0.0;
    for index in order {
        sum += (capacities[*index] * factor).min(1.0);
        if next < sum {
            drawn.push(*index);
            next += 1.0;
        }
        if drawn.len() == count {
            break;
        }
    }
    // A sum that is too small by a rounding error may leave out the last box.
    for index in order.iter().rev() {
        if drawn.len() == count {
            break;
        }
        if !drawn.contains(index) {
            drawn.push(*index);
        }
    }
    drawn
}

/// Returns the factor with which the sum of `min(1, factor * capacity)` is `count`, which is less
/// than the number of candidates.
fn inclusion_factor(order: &[usize], capacities: &[f64], count: usize) -> f64 {
    let mut factor = 0.0;
    // Each pass finds more boxes that are certain to be listed, or ends.
    loop {
        let (mut certain, mut sum) = (0, 0.0);
        for index in order {
            if capacities[*index] * factor >= 1.0 {
                certain += 1;
            } else {
                sum += capacities[*index];
            }
        }
        if certain >= count || sum <= 0.0 {
            return factor;
        }
        let raised = (count - certain) as f64 / sum;
        if raised <= factor * (1.0 + ROUNDING) {
            return raised.max(factor);
        }
        factor = raised;
    }
}
