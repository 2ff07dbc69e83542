//! How long messages take from place to place.

/// A place: one of the regions, and one of its zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Place {
    pub(super) region: usize,
    pub(super) zone: usize,
}

/// One way in a zone, in milliseconds.
const IN_ZONE_MS: f64 = 0.2;

/// One way between zones of a region.
const BETWEEN_ZONES_MS: f64 = 0.5;

/// One way between regions.
const BETWEEN_REGIONS_MS: f64 = 12.0;

/// One way between two places, in milliseconds.
pub(super) fn way_ms(from: Place, to: Place) -> f64 {
    if from == to {
        IN_ZONE_MS
    } else if from.region == to.region {
        BETWEEN_ZONES_MS
    } else {
        BETWEEN_REGIONS_MS
    }
}
