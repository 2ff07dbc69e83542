//! Scales the planned shares of regions by their measured load.
//!
//! A report that a region is down sets its factor to zero at once; a full region's
//! factor falls faster than it rises again. A late or wrong report can therefore
//! waste capacity for a while but can't overload a region. Admission control in
//! the region still decides what it accepts.

use crate::shift::Shares;
use brasswinch_types::{Millis, Region};
use std::collections::BTreeMap;

/// Idle fraction of a region's load below which it counts as full.
const FULL_IDLE_FRACTION: f64 = 0.05;

/// Idle fraction of a region's load above which its factor rises again.
const RECOVERED_IDLE_FRACTION: f64 = 0.15;

/// Decrease of a full region's factor per second.
const DECREASE_PER_S: f64 = 0.25;

/// Increase of a region's factor per second while it has idle capacity.
const INCREASE_PER_S: f64 = 0.05;

/// Lower bound of the factor of a region that isn't down.
const MIN_FACTOR: f64 = 0.1;

/// Longest time between two reports that one step accounts for.
const MAX_STEP_MS: Millis = 2_000;

/// The state of one region for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RegionReport {
    /// At least one box there is alive; the value is the idle fraction of the region's load.
    Idle(f64),
    /// Boxes there are alive, but there is no recent load report.
    Unmeasured,
    /// No box there can be reached, or its load is zero.
    Down,
}

/// The factors, from 0 to 1, that scale a service's planned shares.
#[derive(Clone, Debug, Default)]
pub struct RegionFactors {
    factors: BTreeMap<Region, Factor>,
}

#[derive(Clone, Copy, Debug)]
struct Factor {
    value: f64,
    updated_at: Millis,
}

impl RegionFactors {
    /// Updates the factor of `region` from a report.
    pub fn observe(&mut self, region: &Region, report: RegionReport, now: Millis) {
        let factor = self.factors.entry(region.clone()).or_insert(Factor {
            value: 1.0,
            updated_at: now,
        });
        let seconds = now.saturating_sub(factor.updated_at).min(MAX_STEP_MS) as f64 / 1_000.0;
        factor.updated_at = now;
        factor.value = match report {
            RegionReport::Down => 0.0,
            RegionReport::Unmeasured => factor.value.max(MIN_FACTOR),
            RegionReport::Idle(idle) if idle < FULL_IDLE_FRACTION => {
                (factor.value - DECREASE_PER_S * seconds).max(MIN_FACTOR)
            }
            RegionReport::Idle(idle) if idle > RECOVERED_IDLE_FRACTION => {
                (factor.value + INCREASE_PER_S * seconds).clamp(MIN_FACTOR, 1.0)
            }
            RegionReport::Idle(_) => factor.value.max(MIN_FACTOR),
        };
    }

    /// Whether the region was down at its last report.
    pub fn is_down(&self, region: &Region) -> bool {
        self.factors
            .get(region)
            .is_some_and(|factor| factor.value == 0.0)
    }

    /// Returns the planned shares scaled by the factors and normalized to a sum of 1;
    /// empty if every planned region is down.
    pub fn target(&self, planned: &Shares) -> Shares {
        let scaled: Shares = planned
            .iter()
            .map(|(region, share)| (region.clone(), share * self.factor(region)))
            .filter(|(_, share)| *share > 0.0)
            .collect();
        let sum: f64 = scaled.values().sum();
        if sum <= 0.0 {
            return Shares::new();
        }
        scaled
            .into_iter()
            .map(|(region, share)| (region, share / sum))
            .collect()
    }

    fn factor(&self, region: &Region) -> f64 {
        self.factors.get(region).map_or(1.0, |factor| factor.value)
    }
}
