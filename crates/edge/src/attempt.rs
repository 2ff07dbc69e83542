//! One attempt to send a request to one upstream, and its outcome.

use crate::advice::CompletionGuard;
use crate::body::{AnyBody, BodyError, GuardedBody, StreamLimits, StreamedBody, buffer_body, full};
use crate::clock::Deadline;
use crate::connection_failures::FailureCause;
use crate::connections::Connection;
use crate::context::Context;
use crate::counted::BufferedBytes;
use crate::invalid_response::InvalidResponse;
use crate::request::end_to_end;
use crate::tunnel::{self, TunnelError};
use crate::upstream_limits::Grant;
use crate::upstream_request::Head;
use crate::upstream_signals::UpstreamSignals;
use brasswinch_framing::{ExpectedLength, check_response, remove_framing};
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{Choice, RegionLimits, RequestDigest, UpstreamOutcome, UpstreamPath};
use brasswinch_types::Workspace;
use bytes::Bytes;
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Responses up to this length are buffered whole before the first byte goes to the client.
pub(crate) const MAX_BUFFERED_RESPONSE_BYTES: usize = 256 * 1024;

/// Maximum length of the body of a successful response.
const MAX_RESPONSE_BYTES: u64 = 1 << 32;

/// Maximum length of the body of an unsuccessful response. A longer one is cut off: its status has
/// told the client all that it can use.
const MAX_ERROR_BYTES: u64 = 1024 * 1024;

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

/// Counts the request at its upstream until it is dropped, and then records the outcome.
pub(crate) struct ActiveAttempt {
    context: Arc<Context>,
    choice: Choice,
    grant: Grant,
    /// Reports the outcome to the coordinator that was asked where to send the request.
    completion_guard: Option<CompletionGuard>,
    digest: Option<RequestDigest>,
    request_id: Option<HeaderValue>,
    outcome: UpstreamOutcome,
}

impl ActiveAttempt {
    pub(crate) fn new(context: &Arc<Context>, chosen: Chosen, outgoing: &Outgoing<'_>) -> Self {
        let Chosen {
            choice,
            mut completion_guard,
            grant,
        } = chosen;
        let headers = &outgoing.parts.headers;
        let request_id = headers.get(&context.dialect.request_id);
        if let Some(completion_guard) = &mut completion_guard {
            completion_guard.sent_to(&choice);
        }
        Self {
            completion_guard,
            digest: outgoing.digest,
            request_id: request_id.cloned(),
            context: Arc::clone(context),
            choice,
            grant,
            outcome: UpstreamOutcome::Abandoned,
        }
    }
}

impl Drop for ActiveAttempt {
    fn drop(&mut self) {
        let now = self.context.clock.now();
        let mut placement = self.context.placement();
        placement.ended(&self.choice, self.outcome, now);
        drop(placement);
        if let Some(completion_guard) = &mut self.completion_guard {
            completion_guard.ended(self.outcome);
        }
    }
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

/// When a response that is streamed must be complete: an extension of such responses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamedUntil(pub(crate) Instant);

/// Limits of a response.
struct ResponseLimits<'a> {
    deadline: &'a Deadline,
    /// Longer bodies are streamed, in bytes.
    max_buffered: usize,
}

/// Validates the response to a request with these headers, applies its signals, and buffers or streams its body.
async fn read_response(
    request: &HeaderMap,
    response: Response<Incoming>,
    mut connection: Connection,
    mut active: ActiveAttempt,
    limits: ResponseLimits<'_>,
) -> AttemptOutcome {
    let deadline = limits.deadline;
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
    let refused = signals.is_refusal();
    if !refused && parts.status.is_success() && !signals.is_signed {
        return active.discard(&InvalidResponse::Unsigned);
    }
    // Refusals and errors are short, whatever the route's responses are.
    let (max_buffered, max_bytes) = if refused || !parts.status.is_success() {
        (MAX_BUFFERED_RESPONSE_BYTES, MAX_ERROR_BYTES)
    } else {
        (limits.max_buffered, MAX_RESPONSE_BYTES)
    };
    let mut memory = BufferedBytes::none(&context);
    let buffering = buffer_body(body, max_buffered, &mut memory);
    let buffered = match timeout_at(deadline.timer(), buffering).await {
        Ok(Ok(buffered)) => buffered,
        Ok(Err(error)) => {
            active.log_discarded(&InvalidResponse::Incomplete(error));
            return AttemptOutcome::ConnectionLost;
        }
        Err(_) => return AttemptOutcome::TimedOut,
    };
    let whole_body = buffered.is_complete().then_some(&buffered.bytes[..]);
    if !refused && let Err(reason) = expected_length.check(whole_body) {
        return active.discard(&reason.into());
    }
    active.outcome = UpstreamOutcome::Answered;
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
    let streamed_until = buffered
        .remainder
        .is_some()
        .then(|| StreamedUntil(deadline.timer()));
    let mut headers = end_to_end(&parts.headers);
    remove_framing(&mut headers);
    let body = match buffered.remainder {
        None => {
            connection.reuse();
            active.report_completed();
            full(buffered.bytes)
        }
        Some(remainder) => {
            let limits = StreamLimits {
                max_bytes,
                until: deadline.timer(),
            };
            let guard = (connection, active);
            StreamedBody::new(
                buffered.bytes,
                remainder,
                limits,
                guard,
                |(connection, active)| {
                    connection.reuse();
                    active.report_completed();
                },
            )
            .map_err(|error: BodyError| error)
            .boxed()
        }
    };
    let body = GuardedBody::new(body, memory).boxed();
    let mut client_response = Response::new(body);
    *client_response.status_mut() = parts.status;
    *client_response.headers_mut() = headers;
    if let Some(until) = streamed_until {
        client_response.extensions_mut().insert(until);
    }
    AttemptOutcome::Response(client_response)
}

impl ActiveAttempt {
    /// Reports to the quarantine that the upstream completed its response.
    fn report_completed(&self) {
        if let Some(digest) = self.digest {
            self.context.record_run_answer(digest);
        }
    }

    /// Whether the upstream still accepts the request. Its state may have changed while the
    /// connection was being established.
    fn may_send(&self) -> bool {
        let now = self.context.clock.now();
        self.context.placement().may_send(&self.choice, now)
    }

    /// Applies the signals in the upstream's response.
    fn apply_signals(&mut self, signals: &UpstreamSignals) {
        self.context
            .apply_upstream_signals(&self.choice, self.grant, signals);
        if let (Some(report), Some(completion_guard)) = (signals.load, &mut self.completion_guard) {
            completion_guard.reported(report);
        }
    }

    /// Checks that a response is one that HTTP/1.1 allows, and that it is to this request.
    fn check_head(
        &self,
        request: &HeaderMap,
        response: &Parts,
    ) -> Result<ExpectedLength, InvalidResponse> {
        let expected_length = check_response(request, response)?;
        self.check_request(&response.headers)?;
        Ok(expected_length)
    }

    /// Checks that a response is to this request.
    fn check_request(&self, headers: &HeaderMap) -> Result<(), InvalidResponse> {
        let Some(sent) = &self.request_id else {
            return Ok(());
        };
        match headers.get(&self.context.dialect.request_id) {
            Some(echoed) if echoed == sent => Ok(()),
            Some(other) => Err(InvalidResponse::OtherRequest(other.clone())),
            None => Err(InvalidResponse::NoRequest),
        }
    }

    fn discard(&self, reason: &InvalidResponse) -> AttemptOutcome {
        self.log_discarded(reason);
        AttemptOutcome::InvalidResponse
    }

    fn log_discarded(&self, reason: &InvalidResponse) {
        self.context.metrics.count_discarded(reason);
        let upstream = &self.choice.upstream;
        let id = self.request_id.as_ref().and_then(|id| id.to_str().ok());
        emit(
            Event::ResponseDiscarded,
            format_args!("upstream={upstream} id={}: {reason}", id.unwrap_or("-")),
        );
    }
}
