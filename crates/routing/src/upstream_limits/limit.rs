//! A limit as an upstream names it.

use brasswinch_types::{UpstreamSignalError, decimal};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// The most that is taken for a limit, in requests a second. What all boxes are built to look
/// up together is 3.2 million a second.
const MOST_PER_S: f64 = 1e9;

/// Requests a second that an upstream takes from all boxes together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct UpstreamLimit(f64);

impl UpstreamLimit {
    /// Requests a second.
    pub fn per_s(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for UpstreamLimit {
    type Error = UpstreamSignalError;

    fn try_from(per_s: f64) -> Result<Self, Self::Error> {
        if (0.0..=MOST_PER_S).contains(&per_s) {
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
