//! A limit declared by an upstream.

use brasswinch_types::{UpstreamSignalError, decimal};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Largest accepted limit, in requests per second. All boxes together are designed for 3.2 million
/// requests per second.
const MAX_PER_S: f64 = 1e9;

/// Requests per second that an upstream accepts from all boxes together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct UpstreamLimit(f64);

impl UpstreamLimit {
    /// Returns the limit in requests per second.
    pub fn per_s(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for UpstreamLimit {
    type Error = UpstreamSignalError;

    fn try_from(per_s: f64) -> Result<Self, Self::Error> {
        if (0.0..=MAX_PER_S).contains(&per_s) {
            Ok(Self(per_s))
        } else {
            Err(UpstreamSignalError::OutOfRange)
        }
    }
}

impl From<UpstreamLimit> for f64 {
    fn from(limit: UpstreamLimit) -> Self {
        limit.0
    }
}

impl FromStr for UpstreamLimit {
    type Err = UpstreamSignalError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::try_from(decimal(text)?)
    }
}

impl fmt::Display for UpstreamLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
