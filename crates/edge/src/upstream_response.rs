//! Reads the response of an upstream, and passes it on or discards it.

use crate::active_attempt::ActiveAttempt;
use crate::attempt::AttemptOutcome;
use crate::body::{
    AnyBody, BodyError, BufferedBody, GuardedBody, StreamLimits, StreamedBody, buffer_body, full,
};
use crate::clock::Deadline;
use crate::connections::Connection;
use crate::counted::BufferedBytes;
use crate::invalid_response::InvalidResponse;
use crate::request::end_to_end;
use crate::upstream_signals::UpstreamSignals;
use brasswinch_framing::remove_framing;
use brasswinch_routing::UpstreamOutcome;
use http::response::Parts;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use tokio::time::{Instant, timeout_at};

/// Responses up to this length are buffered whole before the first byte goes to the client.
pub(crate) const MAX_BUFFERED_RESPONSE_BYTES: usize = 256 * 1024;

/// Maximum length of the body of a successful response.
const MAX_RESPONSE_BYTES: u64 = 1 << 32;

/// Maximum length of the body of an unsuccessful response. A longer one is cut off: clients act
/// on its status alone.
const MAX_ERROR_BYTES: u64 = 1024 * 1024;

/// Statuses that mean to clients that their request has not run and never will.
const PROMISES: [StatusCode; 3] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// When a response that is streamed must be complete: an extension of such responses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamedUntil(pub(crate) Instant);

/// Limits of a response.
#[derive(Clone, Copy)]
pub(crate) struct ResponseLimits<'a> {
    pub(crate) deadline: &'a Deadline,
    /// Longer bodies are streamed, in bytes.
    pub(crate) max_buffered: usize,
}

/// Validates the response to a request with these headers, applies its signals, and buffers or
/// streams its body.
pub(crate) async fn read_response(
    request: &HeaderMap,
    response: Response<Incoming>,
    mut connection: Connection,
    mut active: ActiveAttempt,
    limits: ResponseLimits<'_>,
) -> AttemptOutcome {
    active.outcome = UpstreamOutcome::Unanswered;
    let context = Arc::clone(&active.context);
    let (parts, body) = response.into_parts();
    let expected_length = match active.check_head(request, &parts) {
        Ok(expected_length) => expected_length,
        Err(reason) => return active.discard(&reason),
    };
    let signals = UpstreamSignals::read(&parts, &context.dialect);
    active.apply_signals(&signals);
    if let Some(seconds) = signals.idle_limit_s {
        connection.set_idle_limit(seconds);
    }
    if let Err(reason) = check_claims(&parts, &signals) {
        return active.discard(&reason);
    }
    let refused = signals.is_refusal();
    // Refusals and errors are short, whatever the route's responses are.
    let max_buffered = if refused || !parts.status.is_success() {
        MAX_BUFFERED_RESPONSE_BYTES
    } else {
        limits.max_buffered
    };
    let mut memory = BufferedBytes::none(&context);
    let buffering = buffer_body(body, max_buffered, &mut memory);
    let buffered = match timeout_at(limits.deadline.timer(), buffering).await {
        Ok(Ok(buffered)) => buffered,
        Ok(Err(error)) => {
            active.log_discarded(&InvalidResponse::Incomplete(error));
            return AttemptOutcome::ConnectionLost;
        }
        Err(_) => return AttemptOutcome::TimedOut,
    };
    if refused {
        active.outcome = if signals.is_misdirected {
            UpstreamOutcome::Replaced
        } else {
            UpstreamOutcome::Shed
        };
        if buffered.is_complete() {
            connection.reuse();
        }
        return AttemptOutcome::Refused;
    }
    let whole_body = buffered.is_complete().then_some(&buffered.bytes[..]);
    if let Err(reason) = expected_length.check(whole_body) {
        return active.discard(&reason.into());
    }
    active.outcome = UpstreamOutcome::Answered;
    let response = client_response(parts, buffered, connection, active, limits.deadline);
    let response = response.map(|body| GuardedBody::new(body, memory).boxed());
    AttemptOutcome::Response(response)
}

/// Checks that the status of a response agrees with the upstream's own headers.
fn check_claims(parts: &Parts, signals: &UpstreamSignals) -> Result<(), InvalidResponse> {
    if signals.is_refusal() {
        return Ok(());
    }
    if parts.status.is_success() && !signals.is_signed {
        return Err(InvalidResponse::Unsigned);
    }
    if PROMISES.contains(&parts.status) {
        return Err(InvalidResponse::UnfoundedPromise(parts.status));
    }
    Ok(())
}

/// Returns the response for the client. The rest of a body that is not buffered whole is streamed
/// until the deadline.
fn client_response(
    parts: Parts,
    buffered: BufferedBody,
    connection: Connection,
    active: ActiveAttempt,
    deadline: &Deadline,
) -> Response<AnyBody> {
    let mut headers = end_to_end(&parts.headers);
    remove_framing(&mut headers);
    let mut response = Response::new(());
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers;
    let Some(remainder) = buffered.remainder else {
        connection.reuse();
        active.report_completed();
        return response.map(|()| full(buffered.bytes));
    };
    let until = deadline.timer();
    response.extensions_mut().insert(StreamedUntil(until));
    let max_bytes = if parts.status.is_success() {
        MAX_RESPONSE_BYTES
    } else {
        MAX_ERROR_BYTES
    };
    let limits = StreamLimits { max_bytes, until };
    let guard = (connection, active);
    let body = StreamedBody::new(
        buffered.bytes,
        remainder,
        limits,
        guard,
        |(connection, active)| {
            connection.reuse();
            active.report_completed();
        },
    );
    response.map(|()| body.map_err(|error: BodyError| error).boxed())
}
