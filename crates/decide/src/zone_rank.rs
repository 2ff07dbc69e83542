//! The order in which look-ups return the zones of a region.
//!
//! The caller's own zone comes first while it has spare capacity. The other zones are
//! drawn at random, weighted by their idle slots: load reports are a few hundred
//! milliseconds old, and always choosing the best zone would send every caller to it
//! until the next report.

/// The capacity of a candidate zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneCapacity {
    /// Whether it is the caller's own zone.
    pub is_local: bool,
    /// Idle slots, minus the callers sent there since the last load report.
    pub idle: u32,
    /// Total slots.
    pub total: u32,
}

/// A zone has spare capacity while more than 1/`SPARE_CAPACITY_DIVISOR` of its slots are idle.
const SPARE_CAPACITY_DIVISOR: u32 = 4;

impl ZoneCapacity {
    fn has_spare_capacity(&self) -> bool {
        self.idle * SPARE_CAPACITY_DIVISOR > self.total
    }

    /// Returns the zone's weight in the draw. A zone reported as full keeps some weight,
    /// because the report may be outdated.
    fn weight(&self) -> f64 {
        f64::from(self.idle) + f64::from(self.total) / f64::from(SPARE_CAPACITY_DIVISOR) + 1.0
    }
}

/// Returns the indexes of `zones`, best first. `draw` returns random numbers in (0, 1].
pub fn rank(zones: &[ZoneCapacity], mut draw: impl FnMut() -> f64) -> Vec<usize> {
    let mut order: Vec<(bool, f64, usize)> = zones
        .iter()
        .enumerate()
        .map(|(index, zone)| {
            let first = zone.is_local && zone.has_spare_capacity();
            // Weighted sampling: a zone has the smallest of the exponential variates with a
            // probability proportional to its weight.
            let variate = -draw().ln() / zone.weight();
            (!first, variate, index)
        })
        .collect();
    order.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    order.into_iter().map(|(_, _, index)| index).collect()
}
