//! A plan: what a policy program evaluates to, and all that the request path reads of it.

use crate::{Class, Millis, Region, Service, UpstreamId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The evaluated policy of one workspace.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// One entry for each service that the policy declares.
    pub services: BTreeMap<Service, ServicePlan>,
}

/// What the policy says of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServicePlan {
    /// How its requests may be treated.
    pub class: Class,
    /// Most concurrent requests each region may be given.
    pub loads: BTreeMap<Region, u32>,
    /// Where callers of each origin region may go; `None` keys every other origin.
    pub weights: Vec<WeightRow>,
    /// How fast shares may move.
    pub shift_cap: ShiftCap,
    /// Longest time a request may take, in milliseconds.
    pub deadline_ms: Millis,
    /// Upstreams that get no new work.
    pub leaving: BTreeSet<UpstreamId>,
}

/// The regions that callers of one origin may be sent to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightRow {
    /// The callers' region; `None` for origins that no other row names.
    pub origin: Option<Region>,
    /// Share of each region; they add up to 1.
    pub shares: BTreeMap<Region, f64>,
}

/// Most of an origin's traffic that may change region in any window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShiftCap {
    /// A fraction of the origin's requests, above 0 and at most 1.
    pub fraction: f64,
    /// The window's length in milliseconds.
    pub window_ms: Millis,
}

impl Default for ShiftCap {
    /// A tenth of the traffic in ten seconds.
    fn default() -> Self {
        Self {
            fraction: 0.1,
            window_ms: 10_000,
        }
    }
}

impl ServicePlan {
    /// The shares for callers of `origin`, if any row covers them.
    pub fn shares_for(&self, origin: &Region) -> Option<&BTreeMap<Region, f64>> {
        let exact = self
            .weights
            .iter()
            .find(|row| row.origin.as_ref() == Some(origin));
        let row = exact.or_else(|| self.weights.iter().find(|row| row.origin.is_none()));
        row.map(|row| &row.shares)
    }
}
