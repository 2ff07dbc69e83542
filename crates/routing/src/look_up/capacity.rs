//! Sizes and capacities of boxes, relative to the other candidates of an answer.

use super::CandidateBox;

/// Sizes above these are taken for mistakes, for example a number in another unit.
const MAX_LINK_MBPS: u32 = 10_000_000;
const MAX_CPU_MILLIS: u32 = 4_096_000;
const MAX_MEMORY_MB: u32 = 64_000_000;
const MAX_CONNECTIONS: u32 = 100_000_000;

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
        self.readings().contains(&Reading::Invalid)
    }

    fn readings(&self) -> [Reading; 4] {
        let link = Some(self.link_mbps).filter(|mbps| *mbps > 0);
        [
            Reading::new(link, MAX_LINK_MBPS),
            Reading::new(self.cpu_millis, MAX_CPU_MILLIS),
            Reading::new(self.memory_mb, MAX_MEMORY_MB),
            Reading::new(self.max_connections, MAX_CONNECTIONS),
        ]
    }
}

/// One size of a box.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Reading {
    /// Not published, for example by an older build.
    Missing,
    /// Published, but zero or absurd.
    Invalid,
    Valid(f64),
}

impl Reading {
    fn new(published: Option<u32>, max: u32) -> Self {
        match published {
            None => Self::Missing,
            Some(value) if value == 0 || value > max => Self::Invalid,
            Some(value) => Self::Valid(f64::from(value)),
        }
    }
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
        let readings: Vec<[Reading; 4]> = candidates
            .iter()
            .map(|candidate| candidate.resources.readings())
            .collect();
        let scales = std::array::from_fn(|resource| scale(&readings, resource));
        let mut by_candidate: Vec<f64> = readings
            .iter()
            .map(|readings| relative_size(readings, &scales))
            .collect();
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

    pub(super) fn of_candidate(&self, index: usize) -> f64 {
        self.by_candidate[index]
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

/// Returns the largest valid value of a resource, or `None` if the resource can't be compared.
fn scale(readings: &[[Reading; 4]], resource: usize) -> Option<f64> {
    let mut largest = None;
    for readings in readings {
        match readings[resource] {
            Reading::Missing => return None,
            Reading::Invalid => {}
            Reading::Valid(value) => largest = Some(value.max(largest.unwrap_or(0.0))),
        }
    }
    largest
}

/// Returns the minimum over the valid resources; infinite if there are none.
fn relative_size(readings: &[Reading; 4], scales: &[Option<f64>; 4]) -> f64 {
    let mut size = f64::INFINITY;
    for (reading, scale) in readings.iter().zip(scales) {
        if let (Reading::Valid(value), Some(largest)) = (reading, scale) {
            size = size.min(value / largest);
        }
    }
    size
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
