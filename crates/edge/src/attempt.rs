//! One try of a request at one upstream, and what is known of its end.

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

/// Answers up to this length are held whole before a byte goes to the client.
const MOST_HELD_ANSWER: usize = 256 * 1024;

/// Longest answer.
const MOST_ANSWER_BYTES: u64 = 1 << 32;

/// Longest rest of a connection that may carry a request that must not run twice: if
/// the upstream closes it at that moment, nobody knows whether the request ran.
const FRESH_REST: Duration = Duration::from_secs(3);

/// Longest rest of any other connection; the pool ends it sooner where the upstream says.
const ANY_REST: Duration = Duration::from_secs(3_600);

/// What a request is sent with.
pub(crate) struct Outgoing<'a> {
    pub(crate) parts: &'a http::request::Parts,
    pub(crate) body: OutgoingBody,
    /// When the client must have its answer.
    pub(crate) answer_by: &'a Deadline,
    /// Whether it may run more than once.
    pub(crate) is_repeatable: bool,
    pub(crate) identity: Identity<'a>,
    /// What it is known by, where an upstream has ended under it.
    pub(crate) digest: Option<RequestDigest>,
}

/// Whose request it is, as its upstream is told.
#[derive(Clone, Copy)]
pub(crate) struct Identity<'a> {
    /// The workspace that holds the client's key; `None` where no key is needed.
    pub(crate) workspace: Option<&'a Workspace>,
    /// Whether the client's credential is for this system, and nobody else may see it.
    pub(crate) hides_credential: bool,
}

/// The body that is sent.
pub(crate) enum OutgoingBody {
    /// It is held whole.
    Whole(Bytes),
    /// It is passed on and can't be sent again.
    Passed(AnyBody),
}

/// How a try ended.
pub(crate) enum AttemptEnd {
    /// A whole answer, or one that is on its way.
    Answer(Response<AnyBody>),
    /// The upstream said that it did not run it.
    Refused,
    /// Nothing was sent.
    NotSent(OutgoingBody),
    /// It was sent, and the upstream's connection ended under it.
    Broken,
    /// It was sent, and there is an answer that can't be used.
    Unusable,
    /// The time is over; it was sent.
    TimeOver,
}

/// An upstream, and the question that it was chosen with.
pub(crate) struct Chosen {
    pub(crate) choice: Choice,
    pub(crate) asked: Option<Asked>,
    pub(crate) grant: Grant,
}

/// Counts the request at its upstream until it ends, whatever the way.
pub(crate) struct Placed {
    context: Arc<Context>,
    choice: Choice,
    grant: Grant,
    /// The question that it was chosen with, to be ended with it.
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

/// Sends a request to the chosen upstream and reads its answer.
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
            // The upstream closed it while it rested; a new one tells whether it serves.
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

/// Sends the request on a connection and waits for the head of the answer.
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
            // An upstream that sends something, whatever it is, has not ended.
            (None, _) if failure.error().is_parse() => Exchanged::Unusable,
            (None, _) => Exchanged::Broken,
        },
        Err(_) => Exchanged::TimeOver,
    }
}

/// The request as the upstream gets it: the client's, with the time that is left, the
/// incarnation that it is meant for and the workspace's name, and without the key.
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

/// A workspace's name as a header. Names that can't be one aren't configured.
fn header_text(workspace: &Workspace) -> HeaderValue {
    HeaderValue::from_str(workspace.as_str()).unwrap_or(HeaderValue::from_static(""))
}

/// Checks that the answer belongs to the request and brings it to its end.
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
    /// The upstream brought its answer to the end.
    fn survived(&self) {
        if let Some(digest) = self.digest {
            self.context.run_answered(digest);
        }
    }

    /// Whether the upstream still wants the request. It may have said otherwise while a connection
    /// to it came up.
    fn may_send(&self) -> bool {
        let now = self.context.clock.now();
        self.context.placement().may_send(&self.choice, now)
    }

    /// Takes what the upstream says of itself.
    fn hear(&mut self, signals: &UpstreamSignals) {
        self.context.hear_signals(&self.choice, self.grant, signals);
        if let (Some(report), Some(asked)) = (signals.load, &mut self.asked) {
            asked.reported(report);
        }
    }

    /// Whether an answer is to this request: it repeats the request's id.
    fn belongs(&self, headers: &HeaderMap) -> bool {
        let dialect = &self.context.dialect;
        match (&self.request_id, headers.get(&dialect.request_id)) {
            (Some(sent), Some(answered)) => sent == answered,
            (Some(_), None) => false,
            (None, _) => true,
        }
    }
}
