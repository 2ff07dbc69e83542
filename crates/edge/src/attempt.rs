//! One attempt to send a request to one upstream, and its outcome.

use crate::active_attempt::ActiveAttempt;
use crate::advice::CompletionGuard;
use crate::body::AnyBody;
use crate::clock::Deadline;
use crate::connection_failures::FailureCause;
use crate::connections::Connection;
use crate::context::Context;
use crate::invalid_response::InvalidResponse;
use crate::tunnel::{self, TunnelError};
use crate::upstream_limits::Grant;
use crate::upstream_request::Head;
use crate::upstream_response::{ResponseLimits, read_response};
use brasswinch_routing::{Choice, RegionLimits, RequestDigest, UpstreamOutcome, UpstreamPath};
use brasswinch_types::Workspace;
use bytes::Bytes;
use http::Response;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Maximum idle time of a connection that may carry a request that must not run twice. If the
/// upstream closes an idle connection while the request is sent, it is unknown whether it ran.
const MAX_IDLE_ONCE: Duration = Duration::from_secs(3);

/// Maximum idle time of a connection for repeatable requests. The pool closes idle connections
/// earlier: at its own limit, or sooner if the upstream announces a shorter one.
const MAX_IDLE_REPEATABLE: Duration = Duration::from_secs(3_600);

/// A request to be sent to an upstream.
pub(crate) struct Outgoing<'a> {
    pub(crate) parts: &'a http::request::Parts,
    pub(crate) body: OutgoingBody,
    /// When the client must have its response.
    pub(crate) deadline: &'a Deadline,
    /// Whether it may run more than once.
    pub(crate) is_repeatable: bool,
    /// Longer response bodies are streamed, in bytes.
    pub(crate) max_buffered_response: usize,
    pub(crate) identity: Identity<'a>,
    /// Regions in which the request may be handled.
    pub(crate) regions: RegionLimits<'a>,
    /// The request's digest, if it has been computed for the quarantine.
    pub(crate) digest: Option<RequestDigest>,
}

/// The client's identity, as forwarded to the upstream.
#[derive(Clone, Copy)]
pub(crate) struct Identity<'a> {
    /// The workspace that owns the client's key; `None` if the route needs no key.
    pub(crate) workspace: Option<&'a Workspace>,
    /// Whether the client's credential is meant for this system and must not be forwarded.
    pub(crate) strips_credential: bool,
}

/// The body of a request to an upstream.
pub(crate) enum OutgoingBody {
    /// Buffered whole; it can be sent again.
    Buffered(Bytes),
    /// Streamed from the client; it can't be sent again.
    Streamed(AnyBody),
}

/// The outcome of an attempt.
pub(crate) enum AttemptOutcome {
    /// The upstream responded. The body is buffered, or streamed if it is long.
    Response(Response<AnyBody>),
    /// The upstream reported that it did not run the request.
    Refused,
    /// Nothing was sent.
    NotSent(OutgoingBody),
    /// The request was sent, and the connection closed before the response was complete.
    ConnectionLost,
    /// The request was sent, and the links to the upstream or the box that carried it failed before
    /// the response was complete. The upstream may be running it.
    PathLost,
    /// The request was sent, and the response is invalid.
    InvalidResponse,
    /// The request was sent, and its deadline passed.
    TimedOut,
}

/// A chosen upstream, with the grant of its limit and the guard that reports the request's outcome
/// to the coordinator.
pub(crate) struct Chosen {
    pub(crate) choice: Choice,
    pub(crate) completion_guard: Option<CompletionGuard>,
    pub(crate) grant: Grant,
}

/// Sends a request to the chosen upstream and reads its response.
pub(crate) async fn attempt(
    context: &Arc<Context>,
    chosen: Chosen,
    outgoing: Outgoing<'_>,
) -> AttemptOutcome {
    let mut active = ActiveAttempt::new(context, chosen, &outgoing);
    let max_idle = if outgoing.is_repeatable {
        MAX_IDLE_REPEATABLE
    } else {
        MAX_IDLE_ONCE
    };
    let upstream = active.choice.upstream.clone();
    let head = Head {
        parts: outgoing.parts,
        deadline: outgoing.deadline,
        identity: outgoing.identity,
    };
    let regions = outgoing.regions;
    let mut body = outgoing.body;
    let mut pooled = context.pool.take(&upstream, max_idle);
    loop {
        let is_pooled = pooled.is_some();
        let connection = match pooled.take() {
            Some(connection) => connection,
            None => match connect(context, &mut active, regions, head.deadline).await {
                Some(connection) if active.may_send() => connection,
                _ => return AttemptOutcome::NotSent(body),
            },
        };
        let sent = Instant::now();
        let via = connection.via().cloned();
        match exchange(connection, &head, body, &active).await {
            ExchangeOutcome::Response(response, connection) => {
                let headers = &outgoing.parts.headers;
                let limits = ResponseLimits {
                    deadline: outgoing.deadline,
                    max_buffered: outgoing.max_buffered_response,
                };
                return read_response(headers, *response, connection, active, limits).await;
            }
            // The upstream closed the idle connection. A new one shows whether it still serves.
            ExchangeOutcome::NotSent(unsent) if is_pooled => body = unsent,
            ExchangeOutcome::NotSent(unsent) => {
                active.outcome = match via {
                    Some(_) => UpstreamOutcome::Abandoned,
                    None => UpstreamOutcome::Unreachable,
                };
                return AttemptOutcome::NotSent(unsent);
            }
            ExchangeOutcome::ConnectionLost(cause) => {
                context.record_connection_loss(&upstream, via.as_ref(), cause, sent.elapsed());
                if cause != FailureCause::TunnelLost {
                    active.outcome = UpstreamOutcome::Unanswered;
                }
                return match cause {
                    // An upstream that crashes closes its connections; a link that fails does not.
                    FailureCause::TunnelLost | FailureCause::TimedOut => AttemptOutcome::PathLost,
                    _ => AttemptOutcome::ConnectionLost,
                };
            }
            ExchangeOutcome::InvalidResponse(error) => {
                active.outcome = UpstreamOutcome::Unanswered;
                return active.discard(&InvalidResponse::Malformed(error));
            }
            ExchangeOutcome::TimedOut => {
                active.outcome = UpstreamOutcome::Unanswered;
                return AttemptOutcome::TimedOut;
            }
        }
    }
}

/// Connects to the chosen upstream: directly, or through another box if this one reaches no
/// upstream.
async fn connect(
    context: &Arc<Context>,
    active: &mut ActiveAttempt,
    regions: RegionLimits<'_>,
    deadline: &Deadline,
) -> Option<Connection> {
    let connecting = async {
        if context.upstream_path() == UpstreamPath::Direct {
            let connection = connect_directly(context, &active.choice).await;
            if connection.is_some() || context.settled_upstream_path().await == UpstreamPath::Direct
            {
                return connection.ok_or(UpstreamOutcome::Unreachable);
            }
        }
        connect_through_peer(context, &active.choice, regions).await
    };
    match timeout_at(deadline.timer(), connecting).await {
        Ok(Ok(connection)) => Some(connection),
        Ok(Err(outcome)) => {
            active.outcome = outcome;
            None
        }
        Err(_) => None,
    }
}

async fn connect_directly(context: &Arc<Context>, choice: &Choice) -> Option<Connection> {
    let began = Instant::now();
    let upstream = &choice.upstream;
    match context.pool.connect(upstream, choice.address).await {
        Ok(connection) => {
            context.record_connected();
            Some(connection)
        }
        Err(error) => {
            context.record_connect_failure(upstream, (&error).into(), began.elapsed());
            context.pool.close(upstream);
            None
        }
    }
}

async fn connect_through_peer(
    context: &Arc<Context>,
    choice: &Choice,
    regions: RegionLimits<'_>,
) -> Result<Connection, UpstreamOutcome> {
    let upstream = &choice.upstream;
    match tunnel::open(context, choice, regions).await {
        Ok((stream, via)) => {
            let connecting = context.pool.connect_through(upstream, stream, via);
            connecting.await.map_err(|_| UpstreamOutcome::Abandoned)
        }
        Err(TunnelError::UpstreamUnreachable) => Err(UpstreamOutcome::Unreachable),
        Err(TunnelError::NotOpened) => Err(UpstreamOutcome::Abandoned),
        // The upstreams may be down everywhere.
        Err(TunnelError::NoPeer) => connect_directly(context, choice)
            .await
            .ok_or(UpstreamOutcome::Unreachable),
    }
}

enum ExchangeOutcome {
    Response(Box<Response<Incoming>>, Connection),
    NotSent(OutgoingBody),
    ConnectionLost(FailureCause),
    InvalidResponse(hyper::Error),
    TimedOut,
}

/// Sends the request on a connection and waits for the head of the response.
async fn exchange(
    mut connection: Connection,
    head: &Head<'_>,
    body: OutgoingBody,
    active: &ActiveAttempt,
) -> ExchangeOutcome {
    let resendable = match &body {
        OutgoingBody::Buffered(bytes) => Some(bytes.clone()),
        OutgoingBody::Streamed(_) => None,
    };
    let request = head.request_to(&active.choice.upstream, body, &active.context.dialect);
    let sending = connection.sender().try_send_request(request);
    match timeout_at(head.deadline.timer(), sending).await {
        Ok(Ok(response)) => ExchangeOutcome::Response(Box::new(response), connection),
        Ok(Err(mut failure)) => match (failure.take_message(), resendable) {
            (Some(_), Some(bytes)) => ExchangeOutcome::NotSent(OutgoingBody::Buffered(bytes)),
            (Some(request), None) => {
                ExchangeOutcome::NotSent(OutgoingBody::Streamed(request.into_body()))
            }
            // An upstream that sends unparsable bytes has not crashed.
            (None, _) if failure.error().is_parse() => {
                ExchangeOutcome::InvalidResponse(failure.into_error())
            }
            (None, _) => ExchangeOutcome::ConnectionLost(failure.error().into()),
        },
        Err(_) => ExchangeOutcome::TimedOut,
    }
}
