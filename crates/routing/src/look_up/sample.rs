//! Draws the boxes of an answer from unevenly sized boxes.

use super::MAX_LISTED_BOXES;
use super::capacity::Sizes;
use rand::seq::SliceRandom;
use rand::{Rng, RngExt};

/// Fewest boxes in an answer from unevenly sized boxes, unless there are fewer candidates. With two
/// or three, callers have too few alternatives when listed boxes fail.
pub(super) const MIN_LISTED_BOXES: usize = 4;

/// Tolerance for rounding errors in sums of capacities.
const ROUNDING: f64 = 1e-9;

/// Returns the indices of the listed boxes, in random order. At most half of them are large, as
/// far as there are others: if all large boxes fail together, half of the answer still serves.
pub(super) fn draw_by_capacity(
    sizes: &Sizes,
    capacities: &[f64],
    random: &mut impl Rng,
) -> Vec<usize> {
    let count = listed_count(capacities);
    let mut order: Vec<usize> = (0..capacities.len()).collect();
    order.shuffle(random);
    let drawn = systematic_sample(&order, capacities, count, random);
    let (mut large, others): (Vec<usize>, Vec<usize>) =
        drawn.iter().partition(|index| sizes.is_large(**index));
    if large.len() <= count / 2 {
        return drawn;
    }
    let mut is_candidate: Vec<bool> = (0..capacities.len())
        .map(|index| !sizes.is_large(index))
        .collect();
    for index in &others {
        is_candidate[*index] = false;
    }
    order.retain(|index| is_candidate[*index]);
    let replaced = (large.len() - count / 2).min(order.len());
    // The drawn boxes are in random order.
    large.truncate(large.len() - replaced);
    let mut listed = others;
    listed.extend(systematic_sample(&order, capacities, replaced, random));
    listed.extend(large);
    listed.shuffle(random);
    listed
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
