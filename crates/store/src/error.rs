//! What can go wrong with a call to the platform.

/// A failed call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The call was not sent; it took no effect.
    #[error("the platform can't be reached: {0}")]
    Unreachable(String),
    /// The platform refused the call under its rate limit; it took no effect.
    #[error("the platform's rate limit refused the call")]
    Throttled,
    /// The answer was lost; the call may have taken effect.
    #[error("the platform's answer was lost: {0}")]
    AnswerLost(String),
    /// The platform answered something that can't be read.
    #[error("the platform's answer can't be read: {0}")]
    Malformed(String),
}

impl StoreError {
    /// Whether a write may have taken effect in spite of this error.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::AnswerLost(_) | Self::Malformed(_))
    }
}
