//! Responses that the box itself creates.

use crate::body::{AnyBody, full};
use brasswinch_types::{ErrorKind, RetryHint};
use http::{HeaderValue, Response, StatusCode, header};

/// Returns the response for an error kind, from the table of errors. The retry time is
/// randomized between one and two times the table's, so that clients refused together don't
/// return together.
pub(crate) fn error_response(kind: ErrorKind) -> Response<AnyBody> {
    let row = kind.answer();
    let retry_after_ms = match row.retry {
        RetryHint::Never => None,
        RetryHint::After(ms) => Some((ms as f64 * (1.0 + rand::random::<f64>())) as u64),
    };
    answer(kind, retry_after_ms)
}

/// Returns the response for an error kind with a retry time other than the table's.
pub(crate) fn refusal_response(kind: ErrorKind, retry_after_ms: u64) -> Response<AnyBody> {
    answer(kind, Some(retry_after_ms))
}

fn answer(kind: ErrorKind, retry_after_ms: Option<u64>) -> Response<AnyBody> {
    let row = kind.answer();
    let mut response = Response::new(full(kind.code()));
    *response.status_mut() =
        StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(ms) = retry_after_ms {
        let seconds = format!("{}.{:03}", ms / 1_000, ms % 1_000);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}
