//! The status of upstreams' limits, for operators.

use super::UpstreamLimit;
use brasswinch_types::UpstreamId;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The limit of an upstream, as known to one box.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitStatus {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Requests per second that the upstream accepts from all boxes together.
    pub limit: UpstreamLimit,
    /// Requests per second that this box recently refused as the coordinator; `None` where it has
    /// never coordinated the limit.
    pub refused_per_s: Option<f64>,
}

impl fmt::Display for LimitStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} requests per second", self.upstream, self.limit)?;
        match self.refused_per_s {
            Some(refused) => write!(f, ", coordinated here: {refused:.1} refused per second"),
            None => Ok(()),
        }
    }
}
