//! What an upstream says of itself in its answers.

use crate::Millis;
use std::fmt;
use std::str::FromStr;

/// Longest text that is read as a number, in bytes.
const MOST_TEXT_BYTES: usize = 32;

/// Longest rest that is granted, in milliseconds. A longer one is taken for a mistake, which
/// would leave the upstream unused until it starts again.
const LONGEST_REST_MS: Millis = 3_600_000;

/// Longest time that an upstream is taken for cold, in milliseconds: as long as entries may say.
const LONGEST_COLD_MS: Millis = 86_400_000;

/// Something that an upstream can say of itself, as log lines name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamSignal {
    /// Requests that it works on, that wait, and its slots.
    Load,
    /// Requests a second that it takes from all boxes together.
    Limit,
    /// It takes nothing new.
    Leaving,
    /// It wants nothing from the box that it refused for a time.
    Rest,
    /// It bears few requests for a time.
    Cold,
}

impl UpstreamSignal {
    /// All of them.
    pub const ALL: [Self; 5] = [
        Self::Load,
        Self::Limit,
        Self::Leaving,
        Self::Rest,
        Self::Cold,
    ];
}

impl fmt::Display for UpstreamSignal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Load => "load",
            Self::Limit => "limit",
            Self::Leaving => "leaving",
            Self::Rest => "rest",
            Self::Cold => "cold",
        })
    }
}

/// Why something that an upstream says can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UpstreamSignalError {
    /// It is no decimal number of at most 32 bytes.
    #[error("it is no decimal number")]
    NoNumber,
    /// It is negative, endless or beyond what can be.
    #[error("no such number can be meant")]
    OutOfRange,
    /// It is not among the values that the signal has.
    #[error("it is no known value")]
    UnknownValue,
    /// One answer says it more than once.
    #[error("the answer says it more than once")]
    Repeated,
}

/// How long an upstream that refused a request wants nothing more from the same box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamRest(Millis);

impl UpstreamRest {
    /// The time in milliseconds, an hour at most.
    pub fn ms(self) -> Millis {
        self.0
    }
}

impl FromStr for UpstreamRest {
    type Err = UpstreamSignalError;

    /// Reads seconds, with or without a fraction.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        seconds(text, LONGEST_REST_MS).map(Self)
    }
}

/// How much longer an upstream stays cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdTime(Millis);

impl ColdTime {
    /// The time in milliseconds, a day at most.
    pub fn ms(self) -> Millis {
        self.0
    }
}

impl FromStr for ColdTime {
    type Err = UpstreamSignalError;

    /// Reads seconds, with or without a fraction.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        seconds(text, LONGEST_COLD_MS).map(Self)
    }
}

/// Reads seconds as milliseconds, cut to `longest_ms`.
fn seconds(text: &str, longest_ms: Millis) -> Result<Millis, UpstreamSignalError> {
    let seconds = decimal(text)?;
    if !seconds.is_finite() || seconds < 0.0 {
        return Err(UpstreamSignalError::OutOfRange);
    }
    let ms = (seconds * 1_000.0).ceil().min(longest_ms as f64);
    Ok(ms as Millis)
}

/// Reads a number of at most 32 bytes.
pub fn decimal(text: &str) -> Result<f64, UpstreamSignalError> {
    if text.len() > MOST_TEXT_BYTES {
        return Err(UpstreamSignalError::NoNumber);
    }
    text.parse().map_err(|_| UpstreamSignalError::NoNumber)
}

/// The only one of a header's values, if there is one.
pub fn only_value<'a>(
    mut values: impl Iterator<Item = &'a [u8]>,
) -> Result<Option<&'a str>, UpstreamSignalError> {
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(UpstreamSignalError::Repeated);
    }
    let text = std::str::from_utf8(value).map_err(|_| UpstreamSignalError::UnknownValue)?;
    Ok(Some(text.trim()))
}
