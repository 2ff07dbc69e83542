//! Which regions can take traffic now, and the shares to aim at.
//!
//! A measurement may lower a region's factor at once and raises it only slowly:
//! a report that lags or lies can then cost headroom for a while but can't send
//! a flood. Admission in the region stays the judge of what it really takes.

use crate::shift::Shares;
use brasswinch_types::{Millis, Region};
use std::collections::BTreeMap;

/// Idle part of a region's load below which it counts as full.
const FULL_BELOW: f64 = 0.05;

/// Idle part of a region's load above which it is given more again.
const EASY_ABOVE: f64 = 0.15;

/// How far a full region's factor falls in a second.
const FALL_PER_SECOND: f64 = 0.25;

/// How far a region's factor rises in a second.
const RISE_PER_SECOND: f64 = 0.05;

/// A full region keeps at least this part of its planned share.
const LEAST_FACTOR: f64 = 0.1;

/// Longest time between two measurements that is accounted for.
const MAX_STEP_MS: Millis = 2_000;

/// What is known of one region for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RegionReport {
    /// At least one box there is heard; this part of its load is idle.
    Idle(f64),
    /// Boxes are heard, but no recent load report is at hand.
    Unmeasured,
    /// No box there can be reached, or its load is zero.
    Down,
}

/// The factors that scale a service's planned shares.
#[derive(Clone, Debug, Default)]
pub struct RegionFactors {
    factors: BTreeMap<Region, Factor>,
}

#[derive(Clone, Copy, Debug)]
struct Factor {
    value: f64,
    at: Millis,
}

impl RegionFactors {
    /// Takes one report of one region.
    pub fn observe(&mut self, region: &Region, report: RegionReport, now: Millis) {
        let factor = self.factors.entry(region.clone()).or_insert(Factor {
            value: 1.0,
            at: now,
        });
        let seconds = now.saturating_sub(factor.at).min(MAX_STEP_MS) as f64 / 1_000.0;
        factor.at = now;
        factor.value = match report {
            RegionReport::Down => 0.0,
            RegionReport::Unmeasured => factor.value.max(LEAST_FACTOR),
            RegionReport::Idle(idle) if idle < FULL_BELOW => {
                (factor.value - FALL_PER_SECOND * seconds).max(LEAST_FACTOR)
            }
            RegionReport::Idle(idle) if idle > EASY_ABOVE => {
                (factor.value + RISE_PER_SECOND * seconds).clamp(LEAST_FACTOR, 1.0)
            }
            RegionReport::Idle(_) => factor.value.max(LEAST_FACTOR),
        };
    }

    /// Whether the region was down at its last report.
    pub fn is_down(&self, region: &Region) -> bool {
        self.factors
            .get(region)
            .is_some_and(|factor| factor.value == 0.0)
    }

    /// The planned shares scaled by the factors; empty where every region is down.
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
