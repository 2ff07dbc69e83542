//! What operators see of an upstream's limit at one box.

use super::UpstreamLimit;
use brasswinch_types::UpstreamId;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A limit that an upstream names, as one box knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitStatus {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Requests a second that it takes from all boxes together.
    pub limit: UpstreamLimit,
    /// Requests a second that this box lately refused for it; `None` where it never counted for
    /// it.
    pub refused_per_s: Option<f64>,
}

impl fmt::Display for LimitStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} a second", self.upstream, self.limit)?;
        match self.refused_per_s {
            Some(refused) => write!(f, ", counted here: {refused:.1} a second refused"),
            None => Ok(()),
        }
    }
}
