//! Picks regions by smooth weighted round robin.
//!
//! Every pick credits each region with its share and takes the region with the
//! highest credit, so the counts stay within about one request of the shares.
//! Random picks would deviate further, which could look like a shift over the cap.

use crate::shift::Shares;
use brasswinch_types::Region;
use std::collections::BTreeMap;

/// The regions' credits for one service and origin.
#[derive(Clone, Debug, Default)]
pub struct Selector {
    credits: BTreeMap<Region, f64>,
}

impl Selector {
    /// Returns the next region, or `None` if no region has a share.
    pub fn pick(&mut self, shares: &Shares) -> Option<Region> {
        self.credits.retain(|region, _| shares.contains_key(region));
        let mut best: Option<(&Region, f64)> = None;
        for (region, share) in shares {
            let credit = self.credits.entry(region.clone()).or_insert(0.0);
            *credit += share;
            if best.is_none_or(|(_, highest)| *credit > highest) {
                best = Some((region, *credit));
            }
        }
        let (region, _) = best?;
        let total: f64 = shares.values().sum();
        if let Some(credit) = self.credits.get_mut(region) {
            *credit -= total;
        }
        Some(region.clone())
    }
}
