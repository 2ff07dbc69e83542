//! The order in which the zones of a region are handed out.
//!
//! The caller's own zone comes first while it has clear room. Beyond that zones are
//! drawn at random by their room: load reports are some hundred milliseconds old, and
//! always taking the best would send everyone to one zone until the next report.

/// A zone that could be handed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneRoom {
    /// Whether it is the caller's own.
    pub near: bool,
    /// Idle slots, less callers sent there since the report.
    pub idle: u32,
    /// All slots.
    pub total: u32,
}

/// The own zone has clear room above this part of its slots, as one over it.
const CLEAR_ROOM_PART: u32 = 4;

impl ZoneRoom {
    fn has_clear_room(&self) -> bool {
        self.idle * CLEAR_ROOM_PART > self.total
    }

    /// A zone that seems full keeps some weight: the report may be old.
    fn weight(&self) -> f64 {
        f64::from(self.idle) + f64::from(self.total) / f64::from(CLEAR_ROOM_PART) + 1.0
    }
}

/// The indexes of `zones`, best first. `draw` gives numbers above 0 and at most 1.
pub fn rank(zones: &[ZoneRoom], mut draw: impl FnMut() -> f64) -> Vec<usize> {
    let mut order: Vec<(bool, f64, usize)> = zones
        .iter()
        .enumerate()
        .map(|(index, zone)| {
            let first = zone.near && zone.has_clear_room();
            // The least of exponential draws is each zone's with its part of the weight.
            let arrival = -draw().ln() / zone.weight();
            (!first, arrival, index)
        })
        .collect();
    order.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    order.into_iter().map(|(_, _, index)| index).collect()
}
