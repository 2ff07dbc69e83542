//! What the callers of each region ask for, from what some boxes say of their own.
//!
//! In a large fleet a box hears the loads of others only now and then, and of some not
//! yet. What is heard is taken as a sample: a region's demand is the mean of its boxes
//! that were heard, for each of its boxes.

use brasswinch_types::Region;
use std::collections::BTreeMap;

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
        if let Some(requests_per_s) = requests_per_s {
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
