//! Answers that the box itself gives.

use crate::body::{AnyBody, full};
use brasswinch_types::{ErrorKind, RetryHint};
use http::{HeaderValue, Response, StatusCode, header};

/// The answer for an error kind, from the closed table. Callers that are refused
/// together are told times that are spread over once to twice the table's.
pub(crate) fn error_answer(kind: ErrorKind) -> Response<AnyBody> {
    let row = kind.answer();
    let retry_after_ms = match row.retry {
        RetryHint::Never => None,
        RetryHint::After(ms) => Some((ms as f64 * (1.0 + rand::random::<f64>())) as u64),
    };
    answer(kind, retry_after_ms)
}

/// The same with a time to come back that is known better than the table's.
pub(crate) fn refusal(kind: ErrorKind, retry_after_ms: u64) -> Response<AnyBody> {
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
