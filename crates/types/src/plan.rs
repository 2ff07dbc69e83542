//! Plans: the result of evaluating a policy program. The request path reads nothing else
//! of a policy.

use crate::{Class, Millis, Region, Service, UpstreamId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The evaluated policy of one workspace.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// One entry for each service that the policy declares.
    pub services: BTreeMap<Service, ServicePlan>,
}

/// The part of a plan that applies to one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServicePlan {
    /// The class of its requests, which decides how a failed one may be handled.
    pub class: Class,
    /// Maximum number of concurrent requests per region.
    pub loads: BTreeMap<Region, u32>,
    /// The regions that callers of each origin may be sent to. The row with the origin
    /// `None` applies to all origins without a row of their own.
    pub weights: Vec<WeightRow>,
    /// Limits how fast traffic may shift between regions.
    pub shift_cap: ShiftCap,
    /// Maximum duration of a request, in milliseconds.
    pub deadline_ms: Millis,
    /// Upstreams that are being drained and get no new requests.
    pub leaving: BTreeSet<UpstreamId>,
}

/// The regions that callers of one origin may be sent to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightRow {
    /// The callers' region; `None` for origins that no other row names.
    pub origin: Option<Region>,
    /// The share of traffic that each region gets. The shares add up to 1.
    pub shares: BTreeMap<Region, f64>,
}

/// The maximum part of an origin's traffic that may change region in any time window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShiftCap {
    /// A fraction of the origin's requests, above 0 and at most 1.
    pub fraction: f64,
    /// The window's length in milliseconds.
    pub window_ms: Millis,
}

impl Default for ShiftCap {
    /// A tenth of the traffic per ten seconds.
    fn default() -> Self {
        Self {
            fraction: 0.1,
            window_ms: 10_000,
        }
    }
}

impl ServicePlan {
    /// Returns the shares for callers of `origin`, if a row applies to them.
    pub fn shares_for(&self, origin: &Region) -> Option<&BTreeMap<Region, f64>> {
        let exact = self
            .weights
            .iter()
            .find(|row| row.origin.as_ref() == Some(origin));
        let row = exact.or_else(|| self.weights.iter().find(|row| row.origin.is_none()));
        row.map(|row| &row.shares)
    }
}
