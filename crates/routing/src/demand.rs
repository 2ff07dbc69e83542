//! What the callers of each region ask for, from what some boxes say of their own.
//!
//! In a large fleet a box hears the loads of others only now and then, and of some not
//! yet. What is heard is taken as a sample: a region's demand is the mean of its boxes
//! that were heard, for each of its boxes.

use brasswinch_types::{Millis, Region};
use std::collections::BTreeMap;

/// Time over which demand is averaged before region plans follow it. Each object that
/// moves costs a first run, and another when the wave has passed; worth of all answers
/// against an average of seconds: 0.006 ± 0.002 and 0.004 ± 0.002 (two loads, 12 paired
/// days each).
const AVERAGED_MS: f64 = 120_000.0;

/// Demand that has left its average by this factor is followed at once, to within the
/// factor: a region that asks for so much more won't wait for the average. Chosen above the
/// waves of up to 1.55 times the mean that were seen; not measured by itself.
const MOST_DEPARTURE: f64 = 1.8;

#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    boxes: f64,
    heard: f64,
    sum: f64,
}

/// Collects loads of boxes.
#[derive(Clone, Debug, Default)]
pub struct DemandSample {
    regions: BTreeMap<Region, Sample>,
}

impl DemandSample {
    /// Adds a box and, where it was heard, the requests a second of its callers.
    pub fn add(&mut self, region: &Region, requests_per_s: Option<f32>) {
        let sample = self.regions.entry(region.clone()).or_default();
        sample.boxes += 1.0;
        // Other boxes tell it; a number that can't be one counts as not heard.
        let heard = requests_per_s.filter(|rate| rate.is_finite() && *rate >= 0.0);
        if let Some(requests_per_s) = heard {
            sample.heard += 1.0;
            sample.sum += f64::from(requests_per_s);
        }
    }

    /// The demand of each region. One of which nothing was heard is taken to ask as much
    /// as the others do on average.
    pub fn by_region(&self) -> BTreeMap<Region, f64> {
        let estimate = |sample: &Sample| {
            (sample.heard > 0.0).then(|| sample.sum / sample.heard * sample.boxes)
        };
        let known: Vec<f64> = self.regions.values().filter_map(estimate).collect();
        let average = known.iter().sum::<f64>() / known.len().max(1) as f64;
        self.regions
            .iter()
            .map(|(region, sample)| (region.clone(), estimate(sample).unwrap_or(average)))
            .collect()
    }
}

/// Demand as region plans use it: the parts of the regions over minutes, not seconds.
/// Regions are taken to ask alike at first.
#[derive(Clone, Debug, Default)]
pub struct AveragedDemand {
    parts: BTreeMap<Region, f64>,
    averaged_at: Option<Millis>,
}

impl AveragedDemand {
    /// Takes the newest demand of each region, in any unit.
    pub fn add(&mut self, newest: &BTreeMap<Region, f64>, now: Millis) {
        let total: f64 = newest.values().sum();
        if total <= 0.0 {
            return;
        }
        let last = self.averaged_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_sub(last) as f64;
        let weight = 1.0 - (-elapsed / AVERAGED_MS).exp();
        let alike = 1.0 / newest.len() as f64;
        self.parts.retain(|region, _| newest.contains_key(region));
        for (region, demand) in newest {
            let part = self.parts.entry(region.clone()).or_insert(alike);
            *part += weight * (demand / total - *part);
        }
    }

    /// The part of each region that plans go by, given the newest demand.
    pub fn planned(&self, newest: &BTreeMap<Region, f64>) -> BTreeMap<Region, f64> {
        let total: f64 = newest.values().sum();
        let planned = |(region, average): (&Region, &f64)| {
            let part = newest.get(region).copied().unwrap_or(0.0) / total;
            let bounded = average.clamp(part / MOST_DEPARTURE, part * MOST_DEPARTURE);
            (region.clone(), bounded)
        };
        if total <= 0.0 {
            return BTreeMap::new();
        }
        self.parts.iter().map(planned).collect()
    }
}
