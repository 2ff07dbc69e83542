//! The view age at which a box asks the store again.
//!
//! A change older than the maximum view age is either known, or the store is being asked for
//! it. It takes effect within its bound as long as
//!
//! `MAX_AGE_FRACTION × bound + call + delivery ≤ bound`,
//!
//! where `call` is the longest duration of a store call without faults and `delivery` the
//! longest time that a request takes to reach its upstream. A box that can't reach the store
//! keeps serving with what it knows.

use crate::store_probing::min_round_ms;
use crate::watchers::StoreDuty;
use brasswinch_types::Millis;

/// Fraction of the shortest bound after which a box asks the store. With a bound of 2 s this
/// leaves 0.8 s for the store call (two trips and the response on a new connection, 0.15 s at
/// 35 ms of latency) and for a request on its way to an upstream (0.35 s until a new
/// connection is up, and one trip).
const MAX_AGE_FRACTION: f64 = 0.6;

/// Lower limit of the maximum view age, in milliseconds. It keeps boxes from asking the store
/// continuously when the bounds are short.
const MIN_MAX_AGE_MS: f64 = 500.0;

/// Fraction of the maximum view age after which the leading follower asks again. Its result
/// reaches all boxes 0.1 s later, which is 0.08 of a maximum age of 1.2 s.
const LEADER_FRACTION: f64 = 0.6;

/// Fraction for the other followers and the relays, if no confirmation reached them.
const FOLLOWER_FRACTION: f64 = 0.8;

/// Lowest fraction for all other boxes. Each draws one between this and 1, so that one box
/// asks first and informs the others.
const LISTENER_FRACTION: f64 = 0.9;

/// The view ages at which a box asks the store.
#[derive(Clone, Copy, Debug)]
pub struct ViewLimits {
    max_age_ms: f64,
}

impl ViewLimits {
    /// Creates the limits; `bound_s` is the shortest time, in seconds, within which any change
    /// must take effect.
    pub fn new(bound_s: f64) -> Self {
        let max_age_ms = bound_s * 1_000.0 * MAX_AGE_FRACTION;
        Self {
            max_age_ms: max_age_ms.max(MIN_MAX_AGE_MS),
        }
    }

    /// Returns the view age, in milliseconds, from which on a box considers the store
    /// unreachable: by then the followers have asked it and confirmed nothing.
    pub fn unreachable_ms(&self) -> Millis {
        (self.max_age_ms * LISTENER_FRACTION) as Millis
    }

    /// Returns the view age, in milliseconds, at which a box with this duty asks the store;
    /// `random` is drawn from 0 to 1.
    pub fn limit_ms(&self, duty: StoreDuty, random: f64) -> Millis {
        let fraction = match duty {
            StoreDuty::Lead => LEADER_FRACTION,
            StoreDuty::Follow | StoreDuty::Relay => FOLLOWER_FRACTION,
            StoreDuty::Listen => LISTENER_FRACTION + (1.0 - LISTENER_FRACTION) * random,
        };
        (self.max_age_ms * fraction) as Millis
    }

    /// Returns the view age, in milliseconds, at which a box that doesn't follow the store asks it
    /// while the followers report that it fails them. `boxes` share the rate of such calls; `random`
    /// is drawn from 0 to 1.
    pub fn substitute_limit_ms(&self, boxes: usize, random: f64) -> Millis {
        let first_ms = self.max_age_ms * FOLLOWER_FRACTION;
        let spread_ms = (self.max_age_ms - first_ms).max(min_round_ms(boxes));
        (first_ms + spread_ms * random) as Millis
    }
}
