//! Picks regions so that the counts follow the shares within one request.
//!
//! Smooth weighted round robin: every pick credits each region with its share
//! and takes the region with the most credit. Random picks would scatter around
//! the shares and could look like a shift over the cap.

use crate::shift::Shares;
use brasswinch_types::Region;
use std::collections::BTreeMap;

/// Credits of the regions of one service and origin.
#[derive(Clone, Debug, Default)]
pub struct Selector {
    credits: BTreeMap<Region, f64>,
}

impl Selector {
    /// The next region, or `None` where no region has a share.
    pub fn pick(&mut self, shares: &Shares) -> Option<Region> {
        self.credits.retain(|region, _| shares.contains_key(region));
        let mut best: Option<(&Region, f64)> = None;
        for (region, share) in shares {
            let credit = self.credits.entry(region.clone()).or_insert(0.0);
            *credit += share;
            if best.is_none_or(|(_, most)| *credit > most) {
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
