//! Limits the rate of requests that all boxes together send to a cold upstream.
//!
//! A few boxes, chosen by rendezvous hashing among the members, each send at most one request per
//! fixed interval. Boxes that can't reach each other choose independently: a group with at least
//! half of the fleet sends at the full rate, and smaller groups at their fraction of the fleet.

use brasswinch_types::Millis;

/// Most boxes that warm one upstream at the same time.
const MAX_WARMERS: usize = 4;

/// Fraction of the tolerable rate that is used. It keeps two groups that are cut off from each
/// other below the limit together.
const RATE_FRACTION: f64 = 0.7;

/// Fraction of the fleet from which on a group sends at the full rate: there are at most two such
/// groups, which the limit tolerates.
const FULL_RATE_MIN_FRACTION: f64 = 0.5;

/// The pacing of one cold upstream on one box.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdPacing {
    next_at: Option<Millis>,
}

impl ColdPacing {
    /// Returns the number of boxes that warm an upstream in a fleet of `boxes`.
    pub fn warmers(boxes: usize) -> usize {
        boxes.clamp(1, MAX_WARMERS)
    }

    /// Returns the fraction of the rate for a group of `reachable` boxes that reach each other, in
    /// a fleet of `boxes`. Over all groups the fractions add up to at most 2.
    pub fn group_fraction(reachable: usize, boxes: usize) -> f64 {
        let fraction = reachable as f64 / boxes.max(1) as f64;
        if fraction >= FULL_RATE_MIN_FRACTION {
            1.0
        } else {
            fraction
        }
    }

    /// Whether a request may go to the cold upstream now; counts it if so. The first request waits
    /// a random part of the interval (`random` from 0 to 1), since all boxes learn of a cold
    /// upstream at the same moment.
    pub fn admit(&mut self, cold_per_s: f64, boxes: usize, random: f64, now: Millis) -> bool {
        if cold_per_s <= 0.0 {
            return false;
        }
        let interval_ms = 1_000.0 * Self::warmers(boxes) as f64 / (cold_per_s * RATE_FRACTION);
        let next = *self
            .next_at
            .get_or_insert(now + (random * interval_ms) as Millis);
        if now < next {
            return false;
        }
        self.next_at = Some(now + interval_ms.ceil() as Millis);
        true
    }

    /// Whether a request would be admitted now.
    pub fn is_due(&self, now: Millis) -> bool {
        self.next_at.is_none_or(|next| now >= next)
    }
}
