//! Sizes and capacities of boxes, relative to the other candidates of an answer.

use super::CandidateBox;

/// Sizes above these are taken for mistakes, for example a number in another unit.
const MAX_LINK_MBPS: u32 = 10_000_000;
const MAX_CPU_MILLIS: u32 = 4_096_000;
const MAX_MEMORY_MB: u32 = 64_000_000;
const MAX_CONNECTIONS: u32 = 100_000_000;

/// Ratio to the median of the candidates above which a size is taken for a mistake.
const MAX_MEDIAN_RATIO: u32 = 1_000;

/// Smallest capacity relative to the largest: every box still gets callers, so that faults in it
/// are noticed before it is needed.
const MIN_RELATIVE_CAPACITY: f64 = 1.0 / 32.0;

/// Utilization in percent above which a box's capacity is reduced.
const BUSY_UTILIZATION: u32 = 70;

/// Utilization in percent of a box without any capacity left.
const FULL_UTILIZATION: u32 = 100;

/// Smallest factor by which utilization reduces a capacity.
const MIN_IDLE_FACTOR: f64 = 1.0 / 8.0;

/// Ratio of the largest size to the mean from which boxes are unevenly sized.
const UNEVEN_RATIO: f64 = 2.0;

/// Part of the largest size above which a box counts as large.
const LARGE_PART: f64 = 0.5;

/// The sizes of a box as it published them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BoxResources {
    /// Bandwidth of its link in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
    /// CPU share in thousandths of a core; `None` if not published.
    pub cpu_millis: Option<u32>,
    /// Memory in MB; `None` if not published.
    pub memory_mb: Option<u32>,
    /// Maximum number of connections; `None` if not published.
    pub max_connections: Option<u32>,
}

impl BoxResources {
    /// Whether a published size is zero or absurd.
    pub fn has_invalid(&self) -> bool {
        let published = [
            (self.link_mbps(), MAX_LINK_MBPS),
            (self.cpu_millis, MAX_CPU_MILLIS),
            (self.memory_mb, MAX_MEMORY_MB),
            (self.max_connections, MAX_CONNECTIONS),
        ];
        let mut known = published
            .iter()
            .filter_map(|(value, max)| Some(((*value)?, *max)));
        known.any(|(value, max)| !is_valid(value, max))
    }

    /// Returns the bandwidth of the link in Mbit/s, or `None` if it is unknown.
    fn link_mbps(&self) -> Option<u32> {
        Some(self.link_mbps).filter(|mbps| *mbps > 0)
    }
}

fn is_valid(value: u32, max: u32) -> bool {
    (1..=max).contains(&value)
}

/// The sizes of candidates: for each the minimum of (own value / largest value) over the resources
/// that all of them published. All are positive and finite.
#[derive(Debug)]
pub(super) struct Sizes {
    by_candidate: Vec<f64>,
    largest: f64,
}

impl Sizes {
    pub(super) fn of(candidates: &[&CandidateBox]) -> Self {
        let mut by_candidate = vec![f64::INFINITY; candidates.len()];
        let sizes = &mut by_candidate;
        limit(sizes, candidates, MAX_LINK_MBPS, BoxResources::link_mbps);
        limit(sizes, candidates, MAX_CPU_MILLIS, |own| own.cpu_millis);
        limit(sizes, candidates, MAX_MEMORY_MB, |own| own.memory_mb);
        limit(sizes, candidates, MAX_CONNECTIONS, |own| {
            own.max_connections
        });
        // A box without any valid size counts as the smallest: it isn't overloaded if it is
        // small, and still serves if it is large.
        let smallest = by_candidate.iter().copied().fold(f64::INFINITY, f64::min);
        let unknown = if smallest.is_finite() { smallest } else { 1.0 };
        for size in &mut by_candidate {
            if !size.is_finite() {
                *size = unknown;
            }
        }
        let largest = raise_to_minimum(&mut by_candidate);
        Self {
            by_candidate,
            largest,
        }
    }

    /// Whether all boxes are about as large as the mean. Utilization has no part in this, so that
    /// fleets of equal boxes are served the same at any load.
    pub(super) fn are_even(&self) -> bool {
        let sum: f64 = self.by_candidate.iter().sum();
        self.largest * (self.by_candidate.len() as f64) < UNEVEN_RATIO * sum
    }

    /// Whether the candidate is one of the largest. Utilization has no part in this: the boxes
    /// that are likely to fail together are those of the same kind.
    pub(super) fn is_large(&self, index: usize) -> bool {
        self.by_candidate[index] > self.largest * LARGE_PART
    }

    /// Returns the sizes in the order of the candidates.
    pub(super) fn into_values(self) -> Vec<f64> {
        self.by_candidate
    }

    /// Returns the weights for selection: the sizes, reduced for boxes that report to be busy.
    pub(super) fn capacities(&self, candidates: &[&CandidateBox]) -> Vec<f64> {
        let sizes = self.by_candidate.iter().zip(candidates);
        let mut capacities: Vec<f64> = sizes
            .map(|(size, candidate)| size * idle_factor(candidate.utilization))
            .collect();
        raise_to_minimum(&mut capacities);
        capacities
    }
}

/// Returns the bandwidths as weights for evenly sized boxes. Boxes with unknown bandwidth count as
/// equal; one with an absurd bandwidth counts as the slowest valid one.
pub(super) fn link_weights(candidates: &[&CandidateBox]) -> Vec<f64> {
    let published = candidates
        .iter()
        .map(|candidate| candidate.resources.link_mbps);
    let max = max_plausible(&mut published.clone().collect(), MAX_LINK_MBPS);
    let slowest = published.clone().filter(|mbps| *mbps <= max).min();
    let slowest = slowest.unwrap_or(1);
    let sane = published.map(|mbps| if mbps <= max { mbps } else { slowest });
    sane.map(|mbps| f64::from(mbps.max(1))).collect()
}

/// Limits the candidates' sizes to their part of a resource's largest valid value, unless a
/// candidate didn't publish the resource, as older builds don't. `max` is the largest valid value.
fn limit(
    sizes: &mut [f64],
    candidates: &[&CandidateBox],
    max: u32,
    published: impl Fn(&BoxResources) -> Option<u32>,
) {
    let mut values = Vec::with_capacity(candidates.len());
    for candidate in candidates {
        let Some(value) = published(&candidate.resources) else {
            return;
        };
        values.push(value);
    }
    let max = max_plausible(&mut values, max);
    let valid = values.iter().filter(|value| is_valid(**value, max));
    let largest = valid.max().copied().unwrap_or(1);
    for (size, candidate) in sizes.iter_mut().zip(candidates) {
        let value = published(&candidate.resources);
        if let Some(value) = value.filter(|value| is_valid(*value, max)) {
            *size = size.min(f64::from(value) / f64::from(largest));
        }
    }
}

/// Returns the largest valid value, which is at most `max`: with a larger one in a mistaken unit, one
/// box would get most of the callers. The values are reordered.
fn max_plausible(values: &mut Vec<u32>, max: u32) -> u32 {
    values.retain(|value| is_valid(*value, max));
    if values.is_empty() {
        return max;
    }
    let middle = (values.len() - 1) / 2;
    let (_, median, _) = values.select_nth_unstable(middle);
    median.saturating_mul(MAX_MEDIAN_RATIO).min(max)
}

/// Raises values to the minimum relative to the largest, which is returned.
fn raise_to_minimum(values: &mut [f64]) -> f64 {
    let largest = values.iter().copied().fold(0.0, f64::max);
    for value in values {
        *value = value.max(largest * MIN_RELATIVE_CAPACITY);
    }
    largest
}

/// Returns the factor for a utilization in percent; an unknown or impossible one has no effect.
fn idle_factor(utilization: Option<u32>) -> f64 {
    match utilization {
        Some(percent) if (BUSY_UTILIZATION..=FULL_UTILIZATION).contains(&percent) => {
            let idle = f64::from(FULL_UTILIZATION - percent);
            (idle / f64::from(FULL_UTILIZATION - BUSY_UTILIZATION)).max(MIN_IDLE_FACTOR)
        }
        _ => 1.0,
    }
}
