//! A limit as an upstream names it.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// The most that is taken for a limit, in requests a second. What all boxes are built to look
/// up together is 3.2 million a second.
const MOST_PER_S: f64 = 1e9;

/// Longest text that is read as a limit, in bytes.
const MOST_TEXT_BYTES: usize = 32;

/// Requests a second that an upstream takes from all boxes together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct UpstreamLimit(f64);

/// Why something is no limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UpstreamLimitError {
    /// It is no decimal number of at most 32 bytes.
    #[error("it is no decimal number")]
    NoNumber,
    /// It is negative, endless or beyond what can be.
    #[error("no upstream takes that many requests a second")]
    OutOfRange,
    /// One answer names several.
    #[error("the answer names more than one")]
    Repeated,
}

impl UpstreamLimit {
    /// Requests a second.
    pub fn per_s(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for UpstreamLimit {
    type Error = UpstreamLimitError;

    fn try_from(per_s: f64) -> Result<Self, Self::Error> {
        if (0.0..=MOST_PER_S).contains(&per_s) {
            Ok(Self(per_s))
        } else {
            Err(UpstreamLimitError::OutOfRange)
        }
    }
}

impl From<UpstreamLimit> for f64 {
    fn from(limit: UpstreamLimit) -> Self {
        limit.0
    }
}

impl FromStr for UpstreamLimit {
    type Err = UpstreamLimitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() > MOST_TEXT_BYTES {
            return Err(UpstreamLimitError::NoNumber);
        }
        let number: f64 = text.parse().map_err(|_| UpstreamLimitError::NoNumber)?;
        Self::try_from(number)
    }
}

impl fmt::Display for UpstreamLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
