//! Moves an origin's traffic between regions no faster than the policy's cap.
//!
//! The distance between two share vectors is half the sum of the absolute
//! differences, which is the fraction of requests that would go elsewhere. In any
//! window of the policy's length the shares move at most by the cap. Every daemon
//! enforces the cap on its own, so it also holds for the traffic-weighted mean of
//! any set of daemons.

use brasswinch_types::{Millis, Region, ShiftCap};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The share of each region. The shares add up to 1.
pub type Shares = BTreeMap<Region, f64>;

/// Longest time that one step accounts for. A daemon resuming from a pause doesn't jump
/// ahead, because the time of the pause isn't credited.
const MAX_STEP_MS: Millis = 500;

/// Tolerance below which shares count as equal.
const EPSILON: f64 = 1e-9;

/// The shares in use for one service and origin, and when they last moved.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShiftState {
    shares: Shares,
    stepped_at: Millis,
}

impl ShiftState {
    /// Starts at `shares`: those that peers use now, or the planned ones if no peer has any.
    pub fn new(shares: Shares, now: Millis) -> Self {
        Self {
            shares,
            stepped_at: now,
        }
    }

    /// Returns the shares in use.
    pub fn shares(&self) -> &Shares {
        &self.shares
    }

    /// Moves towards `target` as far as the cap allows by `now`.
    ///
    /// `cached_ms` is how long callers may cache a look-up response. Their requests
    /// follow that much later, so it lengthens the window that the cap applies to.
    pub fn step(&mut self, target: &Shares, cap: ShiftCap, cached_ms: Millis, now: Millis) {
        let elapsed = now.saturating_sub(self.stepped_at).min(MAX_STEP_MS);
        self.stepped_at = now;
        let distance = distance(&self.shares, target);
        if distance < EPSILON {
            self.shares.clone_from(target);
            return;
        }
        let window = (cap.window_ms + cached_ms).max(1);
        let allowed = cap.fraction * elapsed as f64 / window as f64;
        let fraction = (allowed / distance).min(1.0);
        self.shares = blend(&self.shares, target, fraction);
    }
}

/// Returns the fraction of requests that go to another region under `b` than under `a`.
pub fn distance(a: &Shares, b: &Shares) -> f64 {
    let mut sum = 0.0;
    for (region, share) in a {
        sum += (share - b.get(region).copied().unwrap_or(0.0)).abs();
    }
    for (region, share) in b {
        if !a.contains_key(region) {
            sum += share.abs();
        }
    }
    sum / 2.0
}

/// Interpolates linearly between `from` and `to`; `fraction` is the position between
/// them, from 0 to 1.
fn blend(from: &Shares, to: &Shares, fraction: f64) -> Shares {
    let mut blended = Shares::new();
    for region in from.keys().chain(to.keys()) {
        let a = from.get(region).copied().unwrap_or(0.0);
        let b = to.get(region).copied().unwrap_or(0.0);
        let share = a + (b - a) * fraction;
        if share > EPSILON {
            blended.insert(region.clone(), share);
        }
    }
    blended
}
