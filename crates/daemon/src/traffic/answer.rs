//! Answers that the system itself gives.

use super::body::{AnswerBody, full};
use super::{ERROR_HEADER, RAN_HEADER, RETRY_AFTER_MS_HEADER};
use brasswinch_types::{ErrorKind, RetryHint};
use http::{Response, StatusCode, header};
use serde::Serialize;

/// Refused callers retry after T to 2 T, so that they don't return together.
const JITTER_PART: f64 = 1.0;

#[derive(Serialize)]
struct ErrorBody {
    error: &'static str,
    ran: brasswinch_types::Ran,
    text: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// The answer for an error kind, from the closed table.
pub(crate) fn error_answer(kind: ErrorKind) -> Response<AnswerBody> {
    let row = kind.answer();
    let retry_after_ms = match row.retry {
        RetryHint::Never => None,
        RetryHint::After(ms) => Some(jittered(ms)),
    };
    let body = ErrorBody {
        error: kind.code(),
        ran: row.ran,
        text: row.text,
        retry_after_ms,
    };
    let bytes = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = Response::new(full(bytes));
    *response.status_mut() =
        StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, "application/json".parse_static());
    headers.insert(ERROR_HEADER, kind.code().parse_static());
    headers.insert(RAN_HEADER, row.ran.name().parse_static());
    if let Some(ms) = retry_after_ms {
        headers.insert(RETRY_AFTER_MS_HEADER, ms.into());
        headers.insert(header::RETRY_AFTER, ms.div_ceil(1_000).into());
    }
    response
}

/// A JSON answer.
pub(crate) fn json_answer<T: Serialize>(value: &T) -> Response<AnswerBody> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(bytes));
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, "application/json".parse_static());
    response
}

fn jittered(ms: u64) -> u64 {
    let spread = rand::random::<f64>() * JITTER_PART;
    (ms as f64 * (1.0 + spread)) as u64
}

/// Header values from static text, which is known to be valid.
trait ParseStatic {
    fn parse_static(&self) -> header::HeaderValue;
}

impl ParseStatic for &'static str {
    fn parse_static(&self) -> header::HeaderValue {
        header::HeaderValue::from_static(self)
    }
}
