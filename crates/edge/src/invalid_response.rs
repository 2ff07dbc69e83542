//! Responses of upstreams that are discarded.

use crate::body::BodyError;
use brasswinch_framing::InvalidHead;
use http::{HeaderValue, StatusCode};

/// Why a response isn't delivered. The request may have run.
#[derive(Debug, thiserror::Error)]
pub(crate) enum InvalidResponse {
    /// It names another request, as a surplus response to the one before on its connection does.
    #[error("it is to request {0:?}")]
    OtherRequest(HeaderValue),
    /// It names no request.
    #[error("it names no request")]
    NoRequest,
    /// It is a success without the upstream's mark.
    #[error("it is not marked as the upstream's")]
    Unsigned,
    /// Its status means that the request has not run, but it lacks the header that says so.
    #[error("status {0} without the header of requests that have not run")]
    UnfoundedPromise(StatusCode),
    /// Its body ended early.
    #[error("{0}")]
    Incomplete(BodyError),
    /// It can't be parsed.
    #[error("{0}")]
    Malformed(hyper::Error),
    /// HTTP/1.1 doesn't allow its head.
    #[error("{0}")]
    InvalidHead(#[from] InvalidHead),
}

impl InvalidResponse {
    /// Returns a short name for metrics.
    pub(crate) fn reason(&self) -> &'static str {
        match self {
            Self::OtherRequest(_) => "other_request",
            Self::NoRequest => "no_request",
            Self::Unsigned => "unsigned",
            Self::UnfoundedPromise(_) => "promise",
            Self::Incomplete(_) => "incomplete",
            Self::Malformed(_) => "malformed",
            Self::InvalidHead(head) => head.reason(),
        }
    }
}
