//! One attempt to send a request to one upstream, and its outcome.

use crate::asking::Asked;
use crate::body::{AnyBody, BodyError, PassLimits, Passed, full, hold};
use crate::clock::Deadline;
use crate::connections::Connection;
use crate::context::Context;
use crate::request::end_to_end;
use crate::upstream_limits::Grant;
use crate::upstream_signals::UpstreamSignals;
use brasswinch_routing::{Choice, RequestDigest, UpstreamOutcome};
use brasswinch_types::Workspace;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout_at;

/// Responses up to this length are buffered whole before the first byte goes to the client.
const MOST_HELD_ANSWER: usize = 256 * 1024;

/// Maximum length of a response body.
const MOST_ANSWER_BYTES: u64 = 1 << 32;

/// Maximum idle time of a connection that may carry a request that must not run twice. If the
/// upstream closes an idle connection while the request is sent, it is unknown whether it ran.
const FRESH_REST: Duration = Duration::from_secs(3);

/// Maximum idle time of a connection for repeatable requests. The pool applies a shorter limit
/// of its own.
const ANY_REST: Duration = Duration::from_secs(3_600);

/// A request to be sent to an upstream.
pub(crate) struct Outgoing<'a> {
    pub(crate) parts: &'a http::request::Parts,
    pub(crate) body: OutgoingBody,
    /// When the client must have its response.
    pub(crate) answer_by: &'a Deadline,
    /// Whether it may run more than once.
    pub(crate) is_repeatable: bool,
    pub(crate) identity: Identity<'a>,
    /// The request's digest, if it has been computed for the quarantine.
    pub(crate) digest: Option<RequestDigest>,
}

/// The client's identity, as forwarded to the upstream.
#[derive(Clone, Copy)]
pub(crate) struct Identity<'a> {
    /// The workspace that owns the client's key; `None` if the route needs no key.
    pub(crate) workspace: Option<&'a Workspace>,
    /// Whether the client's credential is meant for this system and must not be forwarded.
    pub(crate) hides_credential: bool,
}

/// The body of a request to an upstream.
pub(crate) enum OutgoingBody {
    /// Buffered whole; it can be sent again.
    Whole(Bytes),
    /// Streamed from the client; it can't be sent again.
    Passed(AnyBody),
}

/// The outcome of an attempt.
pub(crate) enum AttemptEnd {
    /// The upstream responded. The body is buffered, or streamed if it is long.
    Answer(Response<AnyBody>),
    /// The upstream reported that it did not run the request.
    Refused,
    /// Nothing was sent.
    NotSent(OutgoingBody),
    /// The request was sent, and the connection closed before the response was complete.
    Broken,
    /// The request was sent, and the response is invalid.
    Unusable,
    /// The request was sent, and its deadline passed.
    TimeOver,
}

/// A chosen upstream, with the placement request and the limit's grant that go with it.
pub(crate) struct Chosen {
    pub(crate) choice: Choice,
    pub(crate) asked: Option<Asked>,
    pub(crate) grant: Grant,
}

/// Counts the request at its upstream until it is dropped, and then records the outcome.
pub(crate) struct Placed {
    context: Arc<Context>,
    choice: Choice,
    grant: Grant,
    /// The placement request that it was chosen by; completed when this is dropped.
    asked: Option<Asked>,
    digest: Option<RequestDigest>,
    request_id: Option<HeaderValue>,
    outcome: UpstreamOutcome,
}

impl Placed {
    pub(crate) fn new(context: &Arc<Context>, chosen: Chosen, outgoing: &Outgoing<'_>) -> Self {
        let Chosen {
            choice,
            mut asked,
            grant,
        } = chosen;
        let headers = &outgoing.parts.headers;
        let request_id = headers.get(&context.dialect.request_id);
        if let Some(asked) = &mut asked {
            asked.sent_to(&choice);
        }
        Self {
            asked,
            digest: outgoing.digest,
            request_id: request_id.cloned(),
            context: Arc::clone(context),
            choice,
            grant,
            outcome: UpstreamOutcome::Abandoned,
        }
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        let now = self.context.clock.now();
        let mut placement = self.context.placement();
        placement.ended(&self.choice, self.outcome, now);
        drop(placement);
        if let Some(asked) = &mut self.asked {
            asked.ended(self.outcome);
        }
    }
}

/// Sends a request to the chosen upstream and reads its response.
pub(crate) async fn attempt(
    context: &Arc<Context>,
    chosen: Chosen,
    outgoing: Outgoing<'_>,
) -> AttemptEnd {
    let mut placed = Placed::new(context, chosen, &outgoing);
    let longest_rest = if outgoing.is_repeatable {
        ANY_REST
    } else {
        FRESH_REST
    };
    let upstream = placed.choice.upstream.clone();
    let head = Head {
        parts: outgoing.parts,
        answer_by: outgoing.answer_by,
        identity: outgoing.identity,
    };
    let mut body = outgoing.body;
    let mut rested = context.pool.take(&upstream, longest_rest);
    loop {
        let is_rested = rested.is_some();
        let connection = match rested.take() {
            Some(connection) => connection,
            None => match connect(context, &mut placed, outgoing.answer_by).await {
                Some(connection) if placed.may_send() => connection,
                _ => return AttemptEnd::NotSent(body),
            },
        };
        match exchange(connection, &head, body, &placed).await {
            Exchanged::Answer(answer, connection) => {
                return finish(answer, connection, placed, outgoing.answer_by).await;
            }
            // The upstream closed the idle connection. Connecting anew shows whether it still serves.
            Exchanged::NotSent(unsent) if is_rested => body = unsent,
            Exchanged::NotSent(unsent) => {
                placed.outcome = UpstreamOutcome::Unreachable;
                return AttemptEnd::NotSent(unsent);
            }
            Exchanged::Broken => {
                placed.outcome = UpstreamOutcome::Unanswered;
                return AttemptEnd::Broken;
            }
            Exchanged::Unusable => {
                placed.outcome = UpstreamOutcome::Unanswered;
                return AttemptEnd::Unusable;
            }
            Exchanged::TimeOver => {
                placed.outcome = UpstreamOutcome::Unanswered;
                return AttemptEnd::TimeOver;
            }
        }
    }
}

async fn connect(
    context: &Arc<Context>,
    placed: &mut Placed,
    answer_by: &Deadline,
) -> Option<Connection> {
    let choice = &placed.choice;
    let connecting = context.pool.connect(&choice.upstream, choice.address);
    let connection = timeout_at(answer_by.timer(), connecting).await.ok()?;
    if connection.is_err() {
        placed.outcome = UpstreamOutcome::Unreachable;
        context.pool.close(&placed.choice.upstream);
    }
    connection.ok()
}

struct Head<'a> {
    parts: &'a http::request::Parts,
    answer_by: &'a Deadline,
    identity: Identity<'a>,
}

enum Exchanged {
    Answer(Response<Incoming>, Connection),
    NotSent(OutgoingBody),
    Broken,
    Unusable,
    TimeOver,
}

/// Sends the request on a connection and waits for the head of the response.
async fn exchange(
    mut connection: Connection,
    head: &Head<'_>,
    body: OutgoingBody,
    placed: &Placed,
) -> Exchanged {
    let whole = match &body {
        OutgoingBody::Whole(bytes) => Some(bytes.clone()),
        OutgoingBody::Passed(_) => None,
    };
    let request = upstream_request(head, body, placed);
    let sending = connection.sender().try_send_request(request);
    match timeout_at(head.answer_by.timer(), sending).await {
        Ok(Ok(answer)) => Exchanged::Answer(answer, connection),
        Ok(Err(mut failure)) => match (failure.take_message(), whole) {
            (Some(_), Some(bytes)) => Exchanged::NotSent(OutgoingBody::Whole(bytes)),
            (Some(request), None) => Exchanged::NotSent(OutgoingBody::Passed(request.into_body())),
            // An upstream that sends unparsable bytes has not crashed.
            (None, _) if failure.error().is_parse() => Exchanged::Unusable,
            (None, _) => Exchanged::Broken,
        },
        Err(_) => Exchanged::TimeOver,
    }
}

/// Builds the upstream's request from the client's: adds the remaining time, the intended
/// upstream and the workspace's name, and removes the key where it is meant for this system.
fn upstream_request(head: &Head<'_>, body: OutgoingBody, placed: &Placed) -> Request<AnyBody> {
    let dialect = &placed.context.dialect;
    let mut headers = end_to_end(&head.parts.headers);
    headers.remove(&dialect.workspace);
    if head.identity.hides_credential {
        headers.remove(header::AUTHORIZATION);
    }
    if let Some(workspace) = head.identity.workspace {
        headers.insert(&dialect.workspace, header_text(workspace));
    }
    let left = head.answer_by.left().as_millis() as u64;
    headers.insert(&dialect.deadline_ms, HeaderValue::from(left));
    if let Ok(id) = HeaderValue::from_str(placed.choice.upstream.as_str()) {
        headers.insert(&dialect.intended_upstream, id);
    }
    let body = match body {
        OutgoingBody::Whole(bytes) => {
            let has_framing = head.parts.headers.contains_key(header::TRANSFER_ENCODING);
            if has_framing {
                headers.insert(header::CONTENT_LENGTH, HeaderValue::from(bytes.len()));
            }
            full(bytes)
        }
        OutgoingBody::Passed(body) => body,
    };
    let mut request = Request::new(body);
    *request.method_mut() = head.parts.method.clone();
    let place = head.parts.uri.path_and_query();
    if let Some(place) = place {
        *request.uri_mut() = http::Uri::from(place.clone());
    }
    *request.headers_mut() = headers;
    request
}

/// Returns a workspace's name as a header value. The configuration allows only names that are
/// valid header values.
fn header_text(workspace: &Workspace) -> HeaderValue {
    HeaderValue::from_str(workspace.as_str()).unwrap_or(HeaderValue::from_static(""))
}

/// Validates the response, applies its signals, and buffers or streams its body.
async fn finish(
    answer: Response<Incoming>,
    mut connection: Connection,
    mut placed: Placed,
    answer_by: &Deadline,
) -> AttemptEnd {
    placed.outcome = UpstreamOutcome::Unanswered;
    let context = Arc::clone(&placed.context);
    let (parts, body) = answer.into_parts();
    if !placed.belongs(&parts.headers) {
        return AttemptEnd::Unusable;
    }
    let signals = UpstreamSignals::read(&parts, &context.dialect);
    placed.hear(&signals);
    if let Some(seconds) = signals.idle_limit_s {
        connection.set_idle_limit(seconds);
    }
    let refused = signals.is_refusal();
    if !refused && parts.status.is_success() && !signals.is_signed {
        return AttemptEnd::Unusable;
    }
    let held = match timeout_at(answer_by.timer(), hold(body, MOST_HELD_ANSWER)).await {
        Ok(Ok(held)) => held,
        Ok(Err(_)) => return AttemptEnd::Broken,
        Err(_) => return AttemptEnd::TimeOver,
    };
    placed.outcome = UpstreamOutcome::Answered;
    if refused {
        placed.outcome = if signals.is_misdirected {
            UpstreamOutcome::Replaced
        } else {
            UpstreamOutcome::Shed
        };
        if held.is_whole() {
            connection.reuse();
        }
        return AttemptEnd::Refused;
    }
    let mut headers = end_to_end(&parts.headers);
    let body = match held.rest {
        None => {
            connection.reuse();
            placed.survived();
            headers.remove(header::CONTENT_LENGTH);
            full(held.bytes)
        }
        Some(rest) => {
            let limits = PassLimits {
                most_bytes: MOST_ANSWER_BYTES,
                until: answer_by.timer(),
            };
            let guard = (connection, placed);
            Passed::new(held.bytes, rest, limits, guard, |(connection, placed)| {
                connection.reuse();
                placed.survived();
            })
            .map_err(|error: BodyError| error)
            .boxed()
        }
    };
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers;
    AttemptEnd::Answer(response)
}

impl Placed {
    /// Reports to the quarantine that the upstream completed its response.
    fn survived(&self) {
        if let Some(digest) = self.digest {
            self.context.run_answered(digest);
        }
    }

    /// Whether the upstream still accepts the request. Its state may have changed while the
    /// connection was being established.
    fn may_send(&self) -> bool {
        let now = self.context.clock.now();
        self.context.placement().may_send(&self.choice, now)
    }

    /// Applies the signals in the upstream's response.
    fn hear(&mut self, signals: &UpstreamSignals) {
        self.context.hear_signals(&self.choice, self.grant, signals);
        if let (Some(report), Some(asked)) = (signals.load, &mut self.asked) {
            asked.reported(report);
        }
    }

    /// Whether a response belongs to this request: it must repeat the request's id, if there is one.
    fn belongs(&self, headers: &HeaderMap) -> bool {
        let dialect = &self.context.dialect;
        match (&self.request_id, headers.get(&dialect.request_id)) {
            (Some(sent), Some(answered)) => sent == answered,
            (Some(_), None) => false,
            (None, _) => true,
        }
    }
}
