//! The view age at which a box asks the store again.
//!
//! A change older than the maximum view age is either known, or the store is being asked for
//! it. It takes effect within its bound as long as
//!
//! `OLDEST_PART × bound + call + delivery ≤ bound`,
//!
//! where `call` is the longest duration of a store call without faults and `delivery` the
//! longest time that a request takes to reach its upstream. A box that can't reach the store
//! keeps serving with what it knows.

use crate::watchers::StoreDuty;
use brasswinch_types::Millis;

/// Fraction of the shortest bound after which a box asks the store. With a bound of 2 s this
/// leaves 0.8 s for the store call (two trips and the response on a new connection, 0.15 s at
/// 35 ms of latency) and for a request on its way to an upstream (0.35 s until a new
/// connection is up, and one trip).
const OLDEST_PART: f64 = 0.6;

/// Lower limit of the maximum view age, in milliseconds. It keeps boxes from asking the store
/// continuously when the bounds are short.
const LEAST_OLDEST_MS: f64 = 500.0;

/// Fraction of the maximum view age after which the leading follower asks again. Its result
/// reaches all boxes 0.1 s later, which is 0.08 of a maximum age of 1.2 s.
const CONFIRM_PART: f64 = 0.6;

/// Fraction for the other followers and the relays, if no confirmation reached them.
const FOLLOWERS_PART: f64 = 0.8;

/// Lowest fraction for all other boxes. Each draws one between this and 1, so that one box
/// asks first and informs the others.
const OTHERS_PART: f64 = 0.9;

/// The view ages at which a box asks the store.
#[derive(Clone, Copy, Debug)]
pub struct ViewLimits {
    oldest_ms: f64,
}

impl ViewLimits {
    /// Creates the limits; `bound_s` is the shortest time, in seconds, within which any change
    /// must take effect.
    pub fn new(bound_s: f64) -> Self {
        let oldest_ms = bound_s * 1_000.0 * OLDEST_PART;
        Self {
            oldest_ms: oldest_ms.max(LEAST_OLDEST_MS),
        }
    }

    /// Returns the view age, in milliseconds, from which on a box considers the store
    /// unreachable: by then the followers have asked it and confirmed nothing.
    pub fn silent_ms(&self) -> Millis {
        (self.oldest_ms * OTHERS_PART) as Millis
    }

    /// Returns the view age, in milliseconds, at which a box with this duty asks the store;
    /// `random` is drawn from 0 to 1.
    pub fn limit_ms(&self, duty: StoreDuty, random: f64) -> Millis {
        let part = match duty {
            StoreDuty::Confirms => CONFIRM_PART,
            StoreDuty::Follows | StoreDuty::PassesOn => FOLLOWERS_PART,
            StoreDuty::Hears => OTHERS_PART + (1.0 - OTHERS_PART) * random,
        };
        (self.oldest_ms * part) as Millis
    }
}
