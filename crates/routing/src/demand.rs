//! Estimates the demand of each region from the load reports of some of its boxes.
//!
//! In a large fleet a box receives the load of other boxes only now and then, and that of some not
//! yet. The received reports are treated as a sample: a region's demand is the mean over its boxes
//! with a report, times its number of boxes.

use brasswinch_types::{Millis, Region};
use std::collections::BTreeMap;

/// Averaging time of demand for region plans. Each object that moves costs a first run, and
/// another when the wave has passed; compared with an average over seconds, this raised the total
/// answer value by 0.006 ± 0.002 and 0.004 ± 0.002 (two loads, 12 paired days each).
const AVERAGING_TIME_MS: f64 = 120_000.0;

/// Largest ratio between current and averaged demand; beyond it the plan follows at once, to
/// within this factor, so that a region with a sharp rise doesn't wait for the average. It is
/// above the demand waves seen, of up to 1.55 times the mean.
const MAX_DEVIATION_RATIO: f64 = 1.8;

#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    boxes: f64,
    reported: f64,
    sum: f64,
}

/// Load reports of boxes, by region.
#[derive(Clone, Debug, Default)]
pub struct DemandSample {
    regions: BTreeMap<Region, Sample>,
}

impl DemandSample {
    /// Adds a box and, if it has reported one, the request rate of its callers.
    pub fn add(&mut self, region: &Region, requests_per_s: Option<f32>) {
        let sample = self.regions.entry(region.clone()).or_default();
        sample.boxes += 1.0;
        // The rate comes from other boxes; an invalid one counts as missing.
        let reported = requests_per_s.filter(|rate| rate.is_finite() && *rate >= 0.0);
        if let Some(requests_per_s) = reported {
            sample.reported += 1.0;
            sample.sum += f64::from(requests_per_s);
        }
    }

    /// Returns the demand of each region. A region without reports is assumed to have the average
    /// demand of the others.
    pub fn by_region(&self) -> BTreeMap<Region, f64> {
        let estimate = |sample: &Sample| {
            (sample.reported > 0.0).then(|| sample.sum / sample.reported * sample.boxes)
        };
        let known: Vec<f64> = self.regions.values().filter_map(estimate).collect();
        let average = known.iter().sum::<f64>() / known.len().max(1) as f64;
        self.regions
            .iter()
            .map(|(region, sample)| (region.clone(), estimate(sample).unwrap_or(average)))
            .collect()
    }
}

/// Demand as region plans use it: each region's share, averaged over minutes. Shares are equal at
/// first.
#[derive(Clone, Debug, Default)]
pub struct AveragedDemand {
    shares: BTreeMap<Region, f64>,
    averaged_at: Option<Millis>,
}

impl AveragedDemand {
    /// Adds the newest demand of each region, in any unit.
    pub fn add(&mut self, newest: &BTreeMap<Region, f64>, now: Millis) {
        let total: f64 = newest.values().sum();
        if total <= 0.0 {
            return;
        }
        let last = self.averaged_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_sub(last) as f64;
        let weight = 1.0 - (-elapsed / AVERAGING_TIME_MS).exp();
        let equal_share = 1.0 / newest.len() as f64;
        self.shares.retain(|region, _| newest.contains_key(region));
        for (region, demand) in newest {
            let share = self.shares.entry(region.clone()).or_insert(equal_share);
            *share += weight * (demand / total - *share);
        }
    }

    /// Returns the share of each region for planning, given the newest demand.
    pub fn planned(&self, newest: &BTreeMap<Region, f64>) -> BTreeMap<Region, f64> {
        let total: f64 = newest.values().sum();
        let planned = |(region, average): (&Region, &f64)| {
            let share = newest.get(region).copied().unwrap_or(0.0) / total;
            let bounded = average.clamp(share / MAX_DEVIATION_RATIO, share * MAX_DEVIATION_RATIO);
            (region.clone(), bounded)
        };
        if total <= 0.0 {
            return BTreeMap::new();
        }
        self.shares.iter().map(planned).collect()
    }
}
