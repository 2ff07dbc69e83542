//! Signals about its own state that an upstream sends in its responses.

use crate::Millis;
use std::fmt;
use std::str::FromStr;

/// Maximum length of a text that is parsed as a number.
const MAX_TEXT_BYTES: usize = 32;

/// Maximum rest that an upstream may request. A longer one is presumed to be a mistake and
/// cut to this, as it would leave the upstream unused until it restarts.
const MAX_REST_MS: Millis = 3_600_000;

/// Maximum time that an upstream may report to stay cold. The same maximum applies to the
/// remaining cold period in an upstream's stored entry.
const MAX_COLD_MS: Millis = 86_400_000;

/// A kind of signal. Its `Display` form is its name in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamSignal {
    /// The numbers of its running and waiting requests and of its slots.
    Load,
    /// The requests per second that it accepts from all boxes together.
    Limit,
    /// It is shutting down and accepts no new requests.
    Leaving,
    /// After it refused a request, it wants no more from the same box for some time.
    Rest,
    /// It can handle only few requests for some time.
    Cold,
}

impl UpstreamSignal {
    /// All kinds of signals.
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

/// Why a signal of an upstream can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UpstreamSignalError {
    /// The value is not a decimal number of at most 32 bytes.
    #[error("it is no decimal number")]
    NoNumber,
    /// The number is negative, infinite, NaN or larger than the signal allows.
    #[error("no such number can be meant")]
    OutOfRange,
    /// The value is not UTF-8 or not one that the signal can have.
    #[error("it is no known value")]
    UnknownValue,
    /// The response has the signal more than once.
    #[error("the answer says it more than once")]
    Repeated,
}

/// How long an upstream that refused a request wants no more requests from the same box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamRest(Millis);

impl UpstreamRest {
    /// Returns the time in milliseconds, at most one hour.
    pub fn ms(self) -> Millis {
        self.0
    }
}

impl FromStr for UpstreamRest {
    type Err = UpstreamSignalError;

    /// Parses a number of seconds, with or without a fraction.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        millis_from_seconds(text, MAX_REST_MS).map(Self)
    }
}

/// How much longer an upstream stays cold, that is, can handle only few requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdTime(Millis);

impl ColdTime {
    /// Returns the time in milliseconds, at most one day.
    pub fn ms(self) -> Millis {
        self.0
    }
}

impl FromStr for ColdTime {
    type Err = UpstreamSignalError;

    /// Parses a number of seconds, with or without a fraction.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        millis_from_seconds(text, MAX_COLD_MS).map(Self)
    }
}

/// Parses a number of seconds and returns milliseconds, rounded up and at most
/// `max_ms`.
fn millis_from_seconds(text: &str, max_ms: Millis) -> Result<Millis, UpstreamSignalError> {
    let seconds = decimal(text)?;
    if !seconds.is_finite() || seconds < 0.0 {
        return Err(UpstreamSignalError::OutOfRange);
    }
    let ms = (seconds * 1_000.0).ceil().min(max_ms as f64);
    Ok(ms as Millis)
}

/// Parses a number of at most 32 bytes. Infinities and NaN are accepted.
pub fn decimal(text: &str) -> Result<f64, UpstreamSignalError> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(UpstreamSignalError::NoNumber);
    }
    text.parse().map_err(|_| UpstreamSignalError::NoNumber)
}

/// Returns the trimmed value of a header, or `None` if it is absent. A header with more
/// than one value is an error.
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
