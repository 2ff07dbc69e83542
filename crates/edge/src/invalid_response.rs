//! Responses of upstreams that are discarded.

use crate::body::BodyError;
use http::HeaderValue;

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
    /// Its body ended early.
    #[error("{0}")]
    Incomplete(BodyError),
    /// It can't be parsed.
    #[error("{0}")]
    Malformed(hyper::Error),
}
