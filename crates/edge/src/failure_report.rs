//! The response and the log line of a request that failed.

use crate::answer::{error_response, refusal_response};
use crate::body::AnyBody;
use crate::context::Context;
use crate::failure::{Failure, OptionalDigest};
use crate::request::request_id;
use brasswinch_observe::{Event, emit};
use brasswinch_types::{ErrorKind, Ran};
use http::Response;
use http::request::Parts;
use tokio::time::Instant;

/// Returns the response to a request that failed.
pub(crate) fn failure_response(failure: &Failure) -> Response<AnyBody> {
    match *failure {
        Failure::Kind(kind) | Failure::AtUpstream { kind, .. } => error_response(kind),
        Failure::OverQuota { retry_after_ms, .. } => {
            refusal_response(ErrorKind::OverQuota, retry_after_ms)
        }
        Failure::Refused { retry_after_ms, .. } => {
            refusal_response(ErrorKind::AtCapacity, retry_after_ms)
        }
        Failure::Quarantined { retry_after_ms, .. } => {
            refusal_response(ErrorKind::ShutOut, retry_after_ms)
        }
    }
}

/// Logs a request that failed: as refused if it has not run, else as failed.
pub(crate) fn log_failure(context: &Context, parts: &Parts, failure: &Failure, arrived: Instant) {
    let kind = failure.kind();
    let event = match kind.answer().ran {
        Ran::NotRun => Event::RequestRefused,
        Ran::Unknown => Event::RequestFailed,
    };
    let id = request_id(parts, &context.dialect);
    let (path, took) = (parts.uri.path(), arrived.elapsed().as_millis());
    let config = context.in_force.load();
    let config = config
        .as_ref()
        .map_or(0, |in_force| in_force.config.version.0);
    let detail = format!("id={id} path={path} config={config} cause={kind} ms={took}");
    match failure {
        Failure::AtUpstream {
            logged_choice,
            digest,
            ..
        } => {
            let digest = OptionalDigest(digest.as_ref());
            emit(
                event,
                format_args!("{detail} digest={digest} {logged_choice}"),
            );
        }
        Failure::Refused {
            retry_after_ms,
            basis,
        } => emit(
            event,
            format_args!("{detail} upstream=- retry_after_ms={retry_after_ms} {basis}"),
        ),
        Failure::OverQuota {
            workspace,
            retry_after_ms,
        } => emit(
            event,
            format_args!(
                "{detail} upstream=- workspace={workspace} retry_after_ms={retry_after_ms}"
            ),
        ),
        Failure::Quarantined {
            retry_after_ms,
            digest,
        } => emit(
            event,
            format_args!("{detail} upstream=- digest={digest} retry_after_ms={retry_after_ms}"),
        ),
        Failure::Kind(_) => emit(event, format_args!("{detail} upstream=-")),
    }
}
