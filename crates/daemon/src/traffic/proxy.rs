//! Carries one request to an upstream and its answer back.
//!
//! A request is `queued`, then `connecting`, then `may have run`. Only before the
//! last is it truthfully `not_run`: the library hands back a request of which not a
//! byte was written.

use super::answer::error_answer;
use super::body::{AnswerBody, BodyLimits, DownloadBody, Held, Progress, UploadBody};
use super::claim::Claims;
use super::connections::Connection;
use super::request;
use super::ticket;
use super::{DEADLINE_HEADER, LOAD_HEADER, REFUSED_HEADER, REQUEST_ID_HEADER, TICKET_HEADER};
use crate::context::{Context, WorkspaceRuntime};
use crate::gate::Permit;
use crate::service::ServiceRuntime;
use brasswinch_decide::health::UpstreamReport;
use brasswinch_decide::members::BoxState;
use brasswinch_framing::{check_request, check_response, frame_request, remove_framing};
use brasswinch_observe::{Event, emit, emit_about};
use brasswinch_types::{
    Class, ErrorKind, Millis, OnceProof, Ran, UpstreamRest, UpstreamSignal, only_value,
};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// How much sooner than this box an upstream may see a deadline pass.
const DEADLINE_GRAIN: Duration = Duration::from_millis(5);

/// Tries of one repeatable request, the first included.
const MOST_TRIES: u32 = 3;

/// Forwards a caller's `request` and returns its outcome.
pub(crate) async fn proxy(
    context: &Arc<Context>,
    claims: &Claims,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let began = Instant::now();
    let path = request.uri().path().to_owned();
    let mut parts = path.trim_start_matches('/').splitn(3, '/');
    let (workspace, service) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
    let rest = format!("/{}", parts.next().unwrap_or(""));
    let checked = check(context, request.headers(), workspace, service);
    let (workspace, service) = match checked {
        Ok(checked) => checked,
        Err(kind) => return error_answer(kind),
    };
    let counted = match Counted::enter(context, &workspace) {
        Ok(counted) => counted,
        Err(kind) => {
            count(context, &service, kind.code());
            return error_answer(kind);
        }
    };
    match carry(context, claims, &service, request, &rest, began, counted).await {
        Ok(response) => response,
        Err(kind) => {
            count(context, &service, kind.code());
            error_answer(kind)
        }
    }
}

fn check(
    context: &Context,
    headers: &HeaderMap,
    workspace: &str,
    service: &str,
) -> Result<(Arc<WorkspaceRuntime>, Arc<ServiceRuntime>), ErrorKind> {
    let caller = request::caller_workspace(context, headers)?;
    if caller.name.as_str() != workspace {
        return Err(ErrorKind::Forbidden);
    }
    let service = request::service_of(context, &caller, service)?;
    match context.snapshot.load().state {
        BoxState::Starting => Err(ErrorKind::BoxStarting),
        BoxState::Leaving => Err(ErrorKind::BoxLeaving),
        BoxState::Serving => Ok((caller, service)),
    }
}

/// A request while it counts against its workspace's limit.
struct Counted {
    context: Arc<Context>,
    workspace: Arc<WorkspaceRuntime>,
}

impl Counted {
    fn enter(context: &Arc<Context>, workspace: &Arc<WorkspaceRuntime>) -> Result<Self, ErrorKind> {
        let most = context.settings.this_box.limits.requests_per_workspace;
        context.in_flight.fetch_add(1, Ordering::SeqCst);
        let before = workspace.requests.fetch_add(1, Ordering::SeqCst);
        let counted = Self {
            context: Arc::clone(context),
            workspace: Arc::clone(workspace),
        };
        if before >= most {
            return Err(ErrorKind::WorkspaceLimit);
        }
        Ok(counted)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let leave = |counter: &AtomicUsize| counter.fetch_sub(1, Ordering::SeqCst);
        leave(&self.workspace.requests);
        leave(&self.context.in_flight);
    }
}

async fn carry(
    context: &Arc<Context>,
    claims: &Claims,
    service: &Arc<ServiceRuntime>,
    request: Request<Incoming>,
    rest: &str,
    began: Instant,
    counted: Counted,
) -> Result<Response<AnswerBody>, ErrorKind> {
    let plan = service.plan.load_full().ok_or(ErrorKind::NoPolicy)?;
    let deadline_ms = request::deadline_ms(request.headers(), plan.deadline_ms)?;
    let deadline = began + Duration::from_millis(deadline_ms);
    let until = context.clock.now() + deadline_ms;
    let key = request::key(request.headers())?.map(str::to_owned);
    check_request(request.headers()).map_err(|_| ErrorKind::MalformedRequest)?;
    let mut ticket = match plan.class {
        Class::Once(_) => Some(ticket::use_ticket(context, service, request.headers()).await?),
        _ => None,
    };
    let mut exchange = Exchange {
        context,
        service,
        class: plan.class,
        deadline,
        until,
        request_id: format!("{:016x}", rand::random::<u64>()),
        request_headers: request.headers().clone(),
    };
    let mut permit = service.gate.acquire(service, until).await?;
    let mut claim = None;
    if plan.class == Class::Once(OnceProof::Claim) {
        let key = key.ok_or(ErrorKind::MalformedRequest)?;
        claim = Some(claims.claim(&service.key, &key).await?);
    }
    let head_method = request.method() == Method::HEAD;
    let mut pending = exchange.outgoing(request, rest, deadline_ms);
    let mut tries = Tries::default();
    loop {
        let failure = match exchange.send(permit, pending).await {
            Ok(answer) => {
                if let Some(ticket) = &mut ticket {
                    ticket.keep();
                }
                return exchange.answer(answer, began, counted, head_method);
            }
            Err(failure) => failure,
        };
        tries.failed(failure.kind);
        if failure.kind.answer().ran == Ran::Unknown
            && let Some(ticket) = &mut ticket
        {
            ticket.keep();
        }
        if failure.kind.answer().ran == Ran::NotRun
            && let Some(claim) = claim.take()
        {
            claims.release(claim).await;
        }
        let (Some(request), true) = (failure.unsent, plan.class.may_repeat()) else {
            return Err(tries.verdict(failure.kind));
        };
        if tries.count >= MOST_TRIES || !service.gate.may_retry() {
            return Err(tries.verdict(failure.kind));
        }
        pending = request;
        permit = match service.gate.acquire(service, until).await {
            Ok(permit) => permit,
            Err(kind) => return Err(tries.verdict(kind)),
        };
    }
}

/// The tries of one request so far.
#[derive(Default)]
struct Tries {
    count: u32,
    may_have_run: Option<ErrorKind>,
}

impl Tries {
    fn failed(&mut self, kind: ErrorKind) {
        self.count += 1;
        if kind.answer().ran == Ran::Unknown {
            self.may_have_run.get_or_insert(kind);
        }
    }

    /// The outcome reported to the caller. Once a try may have run, no later one makes it `not_run`.
    fn verdict(&self, last: ErrorKind) -> ErrorKind {
        self.may_have_run.unwrap_or(last)
    }
}

/// One request on its way.
struct Exchange<'a> {
    context: &'a Arc<Context>,
    service: &'a Arc<ServiceRuntime>,
    class: Class,
    deadline: Instant,
    until: Millis,
    request_id: String,
    /// As the caller sent them.
    request_headers: HeaderMap,
}

/// A request ready to be sent.
struct Outgoing {
    request: Request<UploadBody>,
    progress: Arc<Progress>,
}

/// An upstream's answer, with what it holds.
struct Answered {
    response: Response<Incoming>,
    permit: Permit,
    connection: Connection,
    progress: Arc<Progress>,
}

/// A try that failed.
struct Failure {
    kind: ErrorKind,
    /// The request, where it can be sent again.
    unsent: Option<Outgoing>,
}

impl From<ErrorKind> for Failure {
    fn from(kind: ErrorKind) -> Self {
        Self { kind, unsent: None }
    }
}

impl Exchange<'_> {
    fn limits(&self) -> BodyLimits {
        let idle_ms = self.context.settings.this_box.limits.idle_body_ms;
        BodyLimits {
            idle: Duration::from_millis(idle_ms),
            deadline: self.deadline,
        }
    }

    /// The request as the upstream gets it.
    fn outgoing(&self, request: Request<Incoming>, rest: &str, deadline_ms: Millis) -> Outgoing {
        let query = request.uri().query().map(|query| format!("?{query}"));
        let target = format!("{rest}{}", query.unwrap_or_default());
        let (mut parts, body) = request.into_parts();
        parts.version = http::Version::HTTP_11;
        parts.uri = target.parse().unwrap_or_default();
        strip_hop_by_hop(&mut parts.headers);
        let length = body.size_hint().exact();
        frame_request(&self.request_headers, &mut parts.headers, length);
        parts.headers.remove(header::AUTHORIZATION);
        parts.headers.remove(TICKET_HEADER);
        parts.headers.insert(DEADLINE_HEADER, deadline_ms.into());
        insert_text(&mut parts.headers, REQUEST_ID_HEADER, &self.request_id);
        insert_text(
            &mut parts.headers,
            header::HOST.as_str(),
            self.service.key.service.as_str(),
        );
        let progress = Arc::new(Progress::default());
        let body = UploadBody::new(body, self.limits(), Arc::clone(&progress));
        Outgoing {
            request: Request::from_parts(parts, body),
            progress,
        }
    }

    /// Sends the request on the permit's upstream and waits for the answer's head.
    async fn send(&mut self, permit: Permit, mut outgoing: Outgoing) -> Result<Answered, Failure> {
        let index = permit.upstream;
        let Some(mut connection) = self.connect(index).await else {
            self.upstream_failed(index, "no connection");
            return Err(Failure {
                kind: ErrorKind::UpstreamConnect,
                unsent: Some(outgoing),
            });
        };
        let now = self.context.clock.now();
        if now >= self.until {
            return Err(ErrorKind::DeadlineBeforeSend.into());
        }
        if !permit.may_send(now) {
            let service = &self.service.key;
            emit_about(
                Event::SlotMissing,
                service,
                format_args!("service={service} borrowed slot given back before it was used"),
            );
            return Err(Failure {
                kind: ErrorKind::AtCapacity,
                unsent: Some(outgoing),
            });
        }
        outgoing
            .request
            .headers_mut()
            .insert(DEADLINE_HEADER, (self.until - now).into());
        let repeatable = outgoing.progress.is_complete() && self.class.may_repeat();
        let spare = repeatable.then(|| again(&outgoing.request));
        let progress = outgoing.progress;
        let Some(sender) = connection.sender() else {
            return Err(ErrorKind::UpstreamConnect.into());
        };
        let sending = sender.try_send_request(outgoing.request);
        let response = match tokio::time::timeout_at(self.deadline, sending).await {
            Err(_) => return Err(ErrorKind::DeadlineAfterSend.into()),
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => {
                if let Some(request) = error.take_message() {
                    return Err(Failure {
                        kind: ErrorKind::UpstreamConnect,
                        unsent: Some(Outgoing { request, progress }),
                    });
                }
                if self.is_deadline_over() {
                    return Err(ErrorKind::DeadlineAfterSend.into());
                }
                if !progress.has_failed() {
                    self.upstream_failed(index, "broke off before its answer");
                }
                return Err(Failure {
                    kind: ErrorKind::UpstreamBroken,
                    unsent: spare,
                });
            }
        };
        self.note_answer(index, &response);
        if response.headers().contains_key(REFUSED_HEADER) {
            let rest = self.rest(index, response.headers());
            self.service
                .gate
                .update_health(index, |health, now| health.refused(rest, now));
            return Err(Failure {
                kind: ErrorKind::UpstreamRefused,
                unsent: spare,
            });
        }
        Ok(Answered {
            response,
            permit,
            connection,
            progress,
        })
    }

    /// Whether the deadline is over for an upstream that keeps to it: it is told whole
    /// milliseconds, and may end its work a moment before this box's own timer.
    fn is_deadline_over(&self) -> bool {
        Instant::now() + DEADLINE_GRAIN >= self.deadline
    }

    async fn connect(&self, index: usize) -> Option<Connection> {
        let upstream = self.service.upstreams.get(index)?;
        let settings = &self.context.settings.this_box;
        let timeout = Duration::from_millis(settings.limits.connect_timeout_ms);
        let left = self.deadline.saturating_duration_since(Instant::now());
        let local = settings.caller_address.ip();
        upstream
            .connections
            .connect(upstream.address, local, timeout.min(left))
            .await
    }

    /// Passes the answer on, once it is sure to be the answer to this request and
    /// to show where it ends.
    fn answer(
        &self,
        answered: Answered,
        began: Instant,
        counted: Counted,
        head_method: bool,
    ) -> Result<Response<AnswerBody>, ErrorKind> {
        let Answered {
            response,
            permit,
            connection,
            progress,
        } = answered;
        let is_framed = head_method || shows_its_end(&response);
        let (mut parts, body) = response.into_parts();
        let echoed = parts.headers.get(REQUEST_ID_HEADER);
        let crossed = echoed.is_some_and(|id| id.as_bytes() != self.request_id.as_bytes());
        if crossed || !is_framed {
            emit(
                Event::CallerCut,
                format_args!("{}: crossed or endless answer", self.service.key),
            );
            return Err(ErrorKind::UpstreamBroken);
        }
        // The body isn't read before its beginning is passed on.
        let checked =
            check_response(&self.request_headers, &parts).and_then(|length| length.check(None));
        if let Err(reason) = checked {
            emit(
                Event::CallerCut,
                format_args!("{}: {reason}", self.service.key),
            );
            return Err(ErrorKind::UpstreamBroken);
        }
        strip_hop_by_hop(&mut parts.headers);
        if !head_method {
            remove_framing(&mut parts.headers);
        }
        parts.headers.remove(LOAD_HEADER);
        parts.version = http::Version::default();
        let on_end = self.on_end(began, counted);
        let held = Held {
            permit,
            connection,
            upload: progress,
            on_end,
        };
        let body = DownloadBody::new(body, self.limits(), held);
        Ok(Response::from_parts(parts, body.boxed()))
    }

    fn on_end(&self, began: Instant, counted: Counted) -> super::body::OnEnd {
        let context = Arc::clone(self.context);
        let service = Arc::clone(self.service);
        let class = self.class;
        Box::new(move |whole| {
            let took = began.elapsed();
            let workspace = &service.key.workspace;
            let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
            context.latency.record(workspace, class, micros);
            context
                .metrics
                .time_request(workspace.as_str(), class.name(), took);
            count(&context, &service, if whole { "whole" } else { "cut" });
            if !whole {
                emit(Event::CallerCut, format_args!("{}", service.key));
            }
            drop(counted);
        })
    }

    /// The pause that an upstream requests when it refuses a request.
    fn rest(&self, index: usize, headers: &HeaderMap) -> Option<UpstreamRest> {
        let values = headers.get_all(header::RETRY_AFTER).iter();
        let value = only_value(values.map(HeaderValue::as_bytes));
        let rest = value.and_then(|text| text.map(str::parse::<UpstreamRest>).transpose());
        let upstream = &self.service.upstreams.get(index)?.id;
        let key = &self.service.key;
        match rest {
            Ok(rest) => {
                if let Some(rest) = rest {
                    let for_ms = rest.ms();
                    let told = format_args!("{key} upstream={upstream} for_ms={for_ms}");
                    emit(Event::UpstreamResting, told);
                }
                rest
            }
            Err(error) => {
                let signal = UpstreamSignal::Rest;
                let told = format_args!("{key} upstream={upstream} signal={signal}: {error}");
                emit(Event::SignalUnreadable, told);
                None
            }
        }
    }

    fn note_answer(&self, index: usize, response: &Response<Incoming>) {
        let report = response
            .headers()
            .get(LOAD_HEADER)
            .and_then(|value| value.to_str().ok())
            .and_then(parse_report);
        self.service
            .gate
            .update_health(index, |health, _| health.succeeded());
        if let Some(report) = report {
            crate::probe::take_report(self.context, self.service, index, report);
        }
    }

    fn upstream_failed(&self, index: usize, what: &str) {
        self.service
            .gate
            .update_health(index, |health, now| health.failed(now));
        if let Some(upstream) = self.service.upstreams.get(index) {
            emit(
                Event::UpstreamFailed,
                format_args!("{} {}: {what}", self.service.key, upstream.id),
            );
        }
    }
}

fn count(context: &Context, service: &ServiceRuntime, outcome: &str) {
    let key = &service.key;
    context
        .metrics
        .count_request(key.workspace.as_str(), key.service.as_str(), outcome);
}

/// The same request again, for one that had no body.
fn again(request: &Request<UploadBody>) -> Outgoing {
    let progress = Arc::new(Progress::default());
    let mut copy = Request::new(UploadBody::empty(&progress));
    *copy.method_mut() = request.method().clone();
    *copy.uri_mut() = request.uri().clone();
    *copy.headers_mut() = request.headers().clone();
    Outgoing {
        request: copy,
        progress,
    }
}

/// Whether the end of an answer can be distinguished from a broken connection.
fn shows_its_end(response: &Response<Incoming>) -> bool {
    let status = response.status();
    let bodiless = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    let headers = response.headers();
    bodiless
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
        || response.body().is_end_stream()
}

/// A load report as answers carry it: `sequence leaving in_use`, for example `17 0 3`.
pub(crate) fn parse_report(text: &str) -> Option<UpstreamReport> {
    let mut fields = text.split(' ');
    let sequence = fields.next()?.parse().ok()?;
    let leaving = fields.next()? == "1";
    let in_use = fields.next()?.parse().ok()?;
    Some(UpstreamReport {
        sequence,
        leaving,
        in_use,
    })
}

fn insert_text(headers: &mut HeaderMap, name: &str, value: &str) {
    let name = header::HeaderName::from_bytes(name.as_bytes());
    let value = header::HeaderValue::from_str(value);
    if let (Ok(name), Ok(value)) = (name, value) {
        headers.insert(name, value);
    }
}

fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in [
        header::CONNECTION,
        header::EXPECT,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}
