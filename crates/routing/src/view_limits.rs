//! How old a box lets its view of the store become.
//!
//! What was written longer ago than the oldest view allowed is known, or the store is being
//! asked. With the longest that a call takes where nothing is wrong, and the longest way of
//! a request to its upstream, it is in force in time while
//!
//! `OLDEST_PART × bound + call + way ≤ bound`.
//!
//! A box that can't ask serves on by what it knows.

use crate::watchers::StoreDuty;
use brasswinch_types::Millis;

/// Part of the shortest bound that a view may be old before its box asks the store. What is
/// left has to do for the call (two ways and an answer on a new connection, 0.15 s over 35
/// ms), and for a request on its way to an upstream (0.35 s until a new connection is up, and
/// one way): 0.8 s of 2.
const OLDEST_PART: f64 = 0.6;

/// Shortest age, in milliseconds, at which a box asks, however short the bounds: the store
/// is not to be asked without a pause.
const LEAST_OLDEST_MS: f64 = 500.0;

/// Of the oldest, the part after which the box that confirms for all asks again. Everybody
/// has what it learns a tenth of a second later: 0.08 of the whole at 1.2 s.
const CONFIRM_PART: f64 = 0.6;

/// The same for the others that follow the store or pass news on, where nothing was
/// confirmed to them.
const FOLLOWERS_PART: f64 = 0.8;

/// The same for all others: drawn from here to the whole, so that one of them asks first
/// and tells the others.
const OTHERS_PART: f64 = 0.9;

/// The ages at which a box asks the store.
#[derive(Clone, Copy, Debug)]
pub struct ViewLimits {
    oldest_ms: f64,
}

impl ViewLimits {
    /// `bound_s` is the shortest time in which anything written has to be in force.
    pub fn new(bound_s: f64) -> Self {
        let oldest_ms = bound_s * 1_000.0 * OLDEST_PART;
        Self {
            oldest_ms: oldest_ms.max(LEAST_OLDEST_MS),
        }
    }

    /// The age, in milliseconds, from which on a box takes the store for silent: those that
    /// follow it have asked, and confirmed nothing.
    pub fn silent_ms(&self) -> Millis {
        (self.oldest_ms * OTHERS_PART) as Millis
    }

    /// The age, in milliseconds, at which a box with this duty asks the store; `random` is
    /// drawn from 0 to 1.
    pub fn limit_ms(&self, duty: StoreDuty, random: f64) -> Millis {
        let part = match duty {
            StoreDuty::Confirms => CONFIRM_PART,
            StoreDuty::Follows | StoreDuty::PassesOn => FOLLOWERS_PART,
            StoreDuty::Hears => OTHERS_PART + (1.0 - OTHERS_PART) * random,
        };
        (self.oldest_ms * part) as Millis
    }
}
