//! Handles a client's request from its head to its response: route, service, upstreams, attempts.
//!
//! A request is in one of three states: it has not run, it may have run, or it has a response.
//! The error that the client receives depends on this state alone.

use crate::advice;
use crate::attempt::{AttemptOutcome, Chosen, Identity, Outgoing, OutgoingBody, attempt};
use crate::body::{
    AnyBody, BodyError, BufferedBody, ClientBody, GuardedBody, StreamLimits, StreamedBody,
    buffer_body,
};
use crate::clock::Deadline;
use crate::context::{ActiveConfig, Context};
use crate::counted::{BufferedBytes, InFlight};
use crate::failure::{Attempts, Failure, LoggedChoice, OptionalDigest};
use crate::failure_report::{failure_response, log_failure};
use crate::quota_admission::{Permit, quota_class};
use crate::request::{RequestFacts, request_id};
use crate::upstream_limits::Grant;
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{
    ConfigVersion, ExpectedTime, KnownWorkspace, Rank, Refusal, RegionLimits, RequestDigest,
    RequestIdentity, RequestShape, Route, RouteKind, Suspect, UpstreamIncarnation, UpstreamOutcome,
    UpstreamRequest, Verdict,
};
use brasswinch_types::{ErrorKind, Service};
use http::request::Parts;
use http::{Request, Response};
use http_body_util::BodyExt;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::{Instant, timeout_at};

/// Bodies up to this length are buffered whole before an upstream is chosen, so that they can be
/// sent to another upstream if the first one fails.
const MAX_BUFFERED_BODY_BYTES: usize = 1024 * 1024;

/// Memory that is counted for a streamed response, in bytes. Full buffers take up to four times as
/// much, and streamed responses may count for at most a quarter of the memory.
const STREAMED_RESPONSE_BYTES: usize = 24 * 1024;

/// Maximum attempts per request in which nothing can be sent to the upstream.
const MAX_UNREACHABLE_ATTEMPTS: u32 = 4;

/// Maximum coordinators of upstreams' limits that are asked to grant one request, one after the
/// other. Each costs a round trip, and after a refusal the next requests go elsewhere without
/// asking.
const MAX_GRANT_REQUESTS: u32 = 3;

/// Handles one request and returns its response. Longer response bodies than
/// `max_buffered_response` bytes are streamed.
pub(crate) async fn handle_request(
    context: &Arc<Context>,
    request: Request<ClientBody>,
    max_buffered_response: usize,
) -> Response<AnyBody> {
    context.requests.fetch_add(1, Ordering::Relaxed);
    let in_flight = InFlight::new(context);
    let arrived = Instant::now();
    let (parts, body) = request.into_parts();
    let incoming = IncomingRequest {
        parts: &parts,
        arrived,
        max_buffered_response,
    };
    let response = match route_request(context, &incoming, body).await {
        Ok(response) => response,
        Err(failure) => {
            log_failure(context, &parts, &failure, arrived);
            failure_response(&failure)
        }
    };
    response.map(|body| GuardedBody::new(body, in_flight).boxed())
}

/// A request before it is routed.
struct IncomingRequest<'a> {
    parts: &'a Parts,
    arrived: Instant,
    max_buffered_response: usize,
}

impl IncomingRequest<'_> {
    /// Returns how many bytes of a response are buffered on a route of this kind.
    fn max_buffered_for(&self, kind: RouteKind) -> usize {
        if kind.streams_responses() {
            return 0;
        }
        self.max_buffered_response
    }
}

/// A request that has matched a route.
struct RoutedRequest<'a> {
    context: &'a Arc<Context>,
    route: &'a Route,
    service: Service,
    parts: &'a Parts,
    facts: RequestFacts<'a>,
    /// The client's workspace; `None` if the route needs no key.
    workspace: Option<&'a KnownWorkspace>,
    /// Whether the client's credential is meant for this system and is removed before forwarding.
    strips_credential: bool,
    /// The version of the configuration that the route comes from.
    config: ConfigVersion,
    arrived: Instant,
    deadline: Deadline,
    /// Longer response bodies are streamed, in bytes.
    max_buffered_response: usize,
}

/// Returns whether a request without a body may run before a client's earlier requests have been
/// answered.
pub(crate) fn may_run_early(context: &Context, parts: &Parts) -> bool {
    let in_force = context.in_force.load();
    let Some(in_force) = in_force.as_ref() else {
        return false;
    };
    let Ok(facts) = RequestFacts::read(parts, &context.dialect) else {
        return false;
    };
    let route = in_force.routes.find(facts.host, facts.path);
    route.is_some_and(|route| route.kind == RouteKind::Repeatable)
}

async fn route_request(
    context: &Arc<Context>,
    incoming: &IncomingRequest<'_>,
    body: ClientBody,
) -> Result<Response<AnyBody>, Failure> {
    let (parts, arrived) = (incoming.parts, incoming.arrived);
    let in_force = context.in_force.load_full();
    let in_force = in_force.ok_or(ErrorKind::NotConfigured)?;
    let facts = RequestFacts::read(parts, &context.dialect)?;
    let route = in_force.routes.find(facts.host, facts.path);
    let route = route.ok_or_else(|| unmatched(&in_force))?;
    let workspace = workspace(context, &in_force, route, &facts)?;
    let deadline = facts.deadline(&context.clock, route.timeout_s);
    let length = facts.body_length.unwrap_or(0);
    if length > in_force.config.limits.max_body_bytes {
        return Err(ErrorKind::BodyTooLarge.into());
    }
    let service = context.pick_service(&route.name, &route.backends);
    let service = service.ok_or(ErrorKind::ConfigIncomplete)?;
    context.count_request(&service);
    let routed = RoutedRequest {
        config: in_force.config.version,
        max_buffered_response: incoming.max_buffered_for(route.kind),
        arrived,
        deadline,
        strips_credential: in_force.keys.has_workspaces(),
        workspace: workspace.map(Arc::as_ref),
        context,
        route,
        service,
        parts,
        facts,
    };
    let result = routed.serve(body, length, &in_force).await;
    let outcome = match &result {
        Ok(_) => "answered",
        Err(failure) => failure.kind().code(),
    };
    context.metrics.count(&routed.service, outcome);
    if result.is_ok() {
        let (service, kind) = (&routed.service, routed.route.kind);
        context
            .metrics
            .record_latency(service, kind, arrived.elapsed());
    }
    result
}

/// Returns the workspace that owns the client's key; `None` if the route needs no key.
fn workspace<'a>(
    context: &Context,
    in_force: &'a ActiveConfig,
    route: &Route,
    facts: &RequestFacts<'_>,
) -> Result<Option<&'a Arc<KnownWorkspace>>, ErrorKind> {
    if route.is_public || !in_force.keys.has_workspaces() {
        return Ok(None);
    }
    if !context.may_trust_keys() {
        return Err(ErrorKind::KeysUnconfirmed);
    }
    let key = facts.key.ok_or(ErrorKind::Unauthenticated)?;
    let found = in_force.keys.find(key);
    found.map(Some).ok_or_else(|| unknown_key(in_force))
}

/// Returns the error of a request that matches no route.
fn unmatched(in_force: &ActiveConfig) -> ErrorKind {
    if in_force.config.gaps.lacks_routes() {
        ErrorKind::ConfigIncomplete
    } else {
        ErrorKind::NoRoute
    }
}

/// Returns the error of a request with a key that no known workspace holds.
fn unknown_key(in_force: &ActiveConfig) -> ErrorKind {
    if in_force.config.gaps.lacks_workspaces() {
        ErrorKind::ConfigIncomplete
    } else {
        ErrorKind::Unauthenticated
    }
}

/// Returns the bytes to reserve for buffering a body of the declared length. The reservation of a
/// body that declares none grows as the body arrives.
fn reservation_bytes(declared: u64) -> usize {
    usize::try_from(declared).map_or(MAX_BUFFERED_BODY_BYTES, |length| {
        length.min(MAX_BUFFERED_BODY_BYTES)
    })
}

impl RoutedRequest<'_> {
    async fn serve(
        &self,
        body: ClientBody,
        length: u64,
        in_force: &ActiveConfig,
    ) -> Result<Response<AnyBody>, Failure> {
        self.check_process_end()?;
        // Memory is reserved after the wait for a grant, so that waiting requests of one workspace
        // leave it to the others. A permit that is dropped unused gives its token back.
        let mut permit = match self.workspace {
            Some(workspace) => {
                let class = quota_class(self.route, &self.deadline);
                self.context.admit(workspace, class).await?
            }
            None => None,
        };
        let reserved_bytes = reservation_bytes(length);
        let reserved = BufferedBytes::reserve(self.context, reserved_bytes);
        let mut reserved = reserved.ok_or(ErrorKind::AtCapacity)?;
        let stream_reservation = self.reserve_stream()?;
        let buffered = self.read_body(body, &mut reserved).await?;
        let response = self.send(buffered, in_force, permit.as_mut()).await?;
        Ok(match stream_reservation {
            Some(reserved) => response.map(|body| GuardedBody::new(body, reserved).boxed()),
            None => response,
        })
    }

    /// Reserves the memory of a streamed response; `None` if responses of the route are buffered.
    fn reserve_stream(&self) -> Result<Option<BufferedBytes>, ErrorKind> {
        if !self.route.kind.streams_responses() {
            return Ok(None);
        }
        let reserved = BufferedBytes::reserve(self.context, STREAMED_RESPONSE_BYTES);
        reserved.map(Some).ok_or(ErrorKind::AtCapacity)
    }

    async fn read_body(
        &self,
        body: ClientBody,
        memory: &mut BufferedBytes,
    ) -> Result<BufferedBody, Failure> {
        let ClientBody::Incoming(body) = body else {
            return Ok(BufferedBody::empty());
        };
        let buffering = buffer_body(body, MAX_BUFFERED_BODY_BYTES, memory);
        match timeout_at(self.deadline.timer(), buffering).await {
            Ok(Ok(buffered)) if buffered.lacks_memory => Err(ErrorKind::AtCapacity.into()),
            Ok(Ok(buffered)) => Ok(buffered),
            Ok(Err(_)) => Err(ErrorKind::MalformedRequest.into()),
            Err(_) => Err(ErrorKind::TimeoutBeforeSend.into()),
        }
    }

    /// Sends the request to upstreams until one responds or no further attempt is allowed.
    async fn send(
        &self,
        buffered: BufferedBody,
        in_force: &ActiveConfig,
        mut permit: Option<&mut Permit>,
    ) -> Result<Response<AnyBody>, Failure> {
        let mut attempts = Attempts::new(&buffered);
        let mut body = Some(self.outgoing_body(buffered, in_force));
        loop {
            // A client repeats a crashing request at other boxes, which haven't seen it before, so
            // each repeat would reach two upstreams: without this check 40 repeats crashed 31 to 36
            // upstreams, with it 3 or 4.
            self.check_quarantine(&mut attempts)
                .map_err(|failure| attempts.corrected_failure(failure))?;
            let chosen = self
                .next_upstream(&attempts)
                .await
                .map_err(|failure| attempts.corrected_failure(failure))?;
            let logged_choice = LoggedChoice::new(&chosen.choice);
            attempts.begin(logged_choice.clone());
            let outgoing = Outgoing {
                parts: self.parts,
                body: match body.take() {
                    Some(body) => body,
                    None => OutgoingBody::Buffered(attempts.buffered_body.clone()),
                },
                deadline: &self.deadline,
                is_repeatable: self.route.kind.is_repeatable(),
                max_buffered_response: self.max_buffered_response,
                identity: Identity {
                    workspace: self.workspace.map(|workspace| &workspace.name),
                    strips_credential: self.strips_credential,
                },
                regions: self.regions(),
                digest: attempts.digest.get().copied(),
            };
            if let Some(permit) = permit.as_deref_mut() {
                permit.runs();
            }
            let incarnation = chosen.choice.incarnation();
            let kind = match attempt(self.context, chosen, outgoing).await {
                AttemptOutcome::Response(response) => {
                    let count = attempts.upstreams.len();
                    self.log_served(&logged_choice, response.status().as_u16(), count);
                    return Ok(response);
                }
                AttemptOutcome::NotSent(unsent) => {
                    if let Some(permit) = permit.as_deref_mut() {
                        permit.did_not_run();
                    }
                    body = Some(unsent);
                    attempts.unreachable += 1;
                    continue;
                }
                AttemptOutcome::TimedOut => ErrorKind::TimeoutAfterSend,
                AttemptOutcome::Refused => {
                    if let Some(permit) = permit.as_deref_mut() {
                        permit.did_not_run();
                    }
                    ErrorKind::UpstreamRefused
                }
                AttemptOutcome::ConnectionLost => {
                    self.report_connection_lost(&attempts, &incarnation);
                    ErrorKind::UpstreamBroken
                }
                AttemptOutcome::PathLost | AttemptOutcome::InvalidResponse => {
                    ErrorKind::UpstreamBroken
                }
            };
            attempts.count_sent(kind);
            if !self.may_retry(&attempts, kind) {
                return Err(attempts.corrected_failure(attempts.last_failure(kind)));
            }
            self.log_retry(&attempts, &logged_choice, kind);
        }
    }

    /// Reports to the quarantine that the upstream's connection closed during the last attempt.
    fn report_connection_lost(&self, attempts: &Attempts, incarnation: &UpstreamIncarnation) {
        let suspect = self.suspect(attempts);
        let digest = self.digest(attempts);
        self.context
            .record_run_crash(digest, &suspect, incarnation, attempts.began);
    }

    fn identity<'a>(&'a self, attempts: &'a Attempts) -> RequestIdentity<'a> {
        let path = self.parts.uri.path_and_query();
        RequestIdentity {
            workspace: self.workspace.map(|workspace| &workspace.name),
            method: self.parts.method.as_str(),
            host: self.facts.host,
            path: path.map_or("", |path| path.as_str()),
            body: &attempts.buffered_body,
        }
    }

    /// Returns the digest that identifies repeats of the request.
    fn digest(&self, attempts: &Attempts) -> RequestDigest {
        let of = || RequestDigest::of(&self.identity(attempts));
        *attempts.digest.get_or_init(of)
    }

    fn suspect(&self, attempts: &Attempts) -> Suspect {
        Suspect {
            workspace: self.workspace.map(|workspace| workspace.name.clone()),
            service: self.service.clone(),
            shape: RequestShape::of(&self.identity(attempts)),
        }
    }

    /// Checks whether the request has been crashing upstreams, here or at other boxes.
    fn check_quarantine(&self, attempts: &mut Attempts) -> Result<(), Failure> {
        let shape = RequestShape::of(&self.identity(attempts));
        if !self.context.may_be_quarantined(shape) {
            return Ok(());
        }
        let digest = self.digest(attempts);
        match self.context.quarantine_verdict(digest) {
            Verdict::Unknown => Ok(()),
            Verdict::Suspect => {
                attempts.placement_key = Some(digest.to_bytes());
                Ok(())
            }
            Verdict::Quarantined { for_ms } => Err(Failure::Quarantined {
                retry_after_ms: for_ms,
                digest,
            }),
        }
    }

    /// Chooses the upstream of the next attempt. Fails if the deadline has passed, or if too many
    /// attempts could not reach their upstream.
    async fn next_upstream(&self, attempts: &Attempts) -> Result<Chosen, Failure> {
        if self.deadline.has_passed() {
            return Err(ErrorKind::TimeoutBeforeSend.into());
        }
        if attempts.unreachable >= MAX_UNREACHABLE_ATTEMPTS {
            return Err(ErrorKind::NoUpstream.into());
        }
        self.choose(attempts).await
    }

    /// Whether the request may be sent again after an attempt that failed with `kind`.
    fn may_retry(&self, attempts: &Attempts, kind: ErrorKind) -> bool {
        let may_run_again = match kind {
            ErrorKind::UpstreamRefused => true,
            ErrorKind::UpstreamBroken => self.route.kind.is_repeatable(),
            _ => false,
        };
        may_run_again
            && attempts.can_resend
            && attempts.sent < self.route.max_attempts
            && self.route.kind.allows_retries()
            && !self.deadline.has_passed()
            && !self.is_quarantined(attempts)
            && self.context.spend_retry(&self.service)
    }

    fn is_quarantined(&self, attempts: &Attempts) -> bool {
        let verdict = |digest: &RequestDigest| self.context.quarantine_verdict(*digest);
        let verdict = attempts.digest.get().map(verdict);
        matches!(verdict, Some(Verdict::Quarantined { .. }))
    }

    fn log_served(&self, logged_choice: &LoggedChoice, status: u16, attempts: usize) {
        let id = request_id(self.parts, &self.context.dialect);
        let (route, service, config) = (&self.route.name, &self.service, self.config.0);
        let took = self.arrived.elapsed().as_millis();
        let workspace = self
            .workspace
            .map_or("-", |workspace| workspace.name.as_str());
        emit(
            Event::RequestServed,
            format_args!(
                "id={id} route={route} service={service} workspace={workspace} \
                 config={config} status={status} \
                 tries={attempts} ms={took} {logged_choice}"
            ),
        );
    }

    fn log_retry(&self, attempts: &Attempts, logged_choice: &LoggedChoice, cause: ErrorKind) {
        let id = request_id(self.parts, &self.context.dialect);
        let (route, service, config) = (&self.route.name, &self.service, self.config.0);
        let tried_ms = attempts.began.elapsed().as_millis();
        let digest = OptionalDigest(attempts.digest.get());
        emit(
            Event::RequestRetried,
            format_args!(
                "id={id} route={route} service={service} config={config} cause={cause} \
                 digest={digest} tried_ms={tried_ms} {logged_choice}"
            ),
        );
    }

    /// Chooses an upstream whose request limit leaves room for the request.
    // An upstream's limit holds for all boxes together, and only its coordinator can count all
    // requests, so it grants each of them: at a limit of 5 per second three boxes sent 222 requests
    // in 4 s without grants, and 21 or 22 with them.
    async fn choose(&self, attempts: &Attempts) -> Result<Chosen, Failure> {
        let mut grant_requests = 0;
        loop {
            let chosen = self.choose_without_grant(attempts).await?;
            self.check_wait(&chosen)?;
            grant_requests += 1;
            match self.context.take_grant(chosen, self.deadline.left()).await {
                Ok(chosen) => return Ok(chosen),
                Err(held_off) if grant_requests == MAX_GRANT_REQUESTS => {
                    return Err(held_off.into());
                }
                // The upstream has no room, so the next iteration chooses the object's next home.
                Err(_) => {}
            }
        }
    }

    /// Refuses a request that the end of the process would cut wherever it is sent.
    fn check_process_end(&self) -> Result<(), ErrorKind> {
        let may_wait = false;
        self.check_expected_end(may_wait)
    }

    /// Refuses a request that the end of the process would cut at the chosen upstream.
    fn check_wait(&self, chosen: &Chosen) -> Result<(), ErrorKind> {
        let may_wait = !chosen.choice.has_idle_slot;
        let check = self.check_expected_end(may_wait);
        if check.is_err() {
            let now = self.context.clock.now();
            let mut placement = self.context.placement();
            placement.ended(&chosen.choice, UpstreamOutcome::Abandoned, now);
        }
        check
    }

    /// Refuses a request whose response isn't expected before the process ends. `may_wait`: it may
    /// have to wait for a slot.
    // A stop may begin after the request has arrived: while it is read, waits for its quota, or is
    // at an upstream that refuses it. So each attempt is checked anew.
    fn check_expected_end(&self, may_wait: bool) -> Result<(), ErrorKind> {
        let context = self.context;
        let (service, kind) = (&self.service, self.route.kind);
        let expected = || ExpectedTime {
            limit: self.deadline.left(),
            longest_work: context.metrics.longest_latency(service, kind),
            may_wait,
        };
        if context.shutdown.admits(&context.clock, expected) {
            return Ok(());
        }
        Err(ErrorKind::BoxLeaving)
    }

    /// Chooses an upstream without asking for a grant of its request limit.
    async fn choose_without_grant(&self, attempts: &Attempts) -> Result<Chosen, Failure> {
        let tried = attempts.upstreams.as_slice();
        // A suspected request is placed by its digest, so that other requests for its object are
        // not on the upstream that it may crash.
        let placement_key = attempts
            .placement_key
            .as_ref()
            .map(|digest| digest.as_slice());
        let wanted = UpstreamRequest {
            service: &self.service,
            object: placement_key.or(self.facts.object),
            workspace: self.workspace.map(|workspace| &workspace.name),
            rank: Rank {
                workspace: self
                    .workspace
                    .map_or(0, |workspace| workspace.config.priority),
                route: self.route.priority,
            },
            regions: self.regions(),
            tried,
        };
        // Later attempts are rare and go to another upstream than the one advised first, so they
        // are placed without asking the coordinator.
        let (completion_guard, advice) = if tried.is_empty() {
            advice::request_advice(self.context, &wanted, self.deadline.left()).await
        } else {
            (None, None)
        };
        let now = self.context.clock.now();
        let mut placement = self.context.placement();
        let chosen = placement.choose_advised(&wanted, advice.as_ref(), rand::random(), now);
        drop(placement);
        let chosen = chosen.map(|choice| Chosen {
            choice,
            completion_guard,
            grant: Grant::NotNeeded,
        });
        chosen.map_err(|refusal| match refusal {
            Refusal::NoUpstream => ErrorKind::NoUpstream.into(),
            Refusal::Busy {
                retry_after_ms,
                basis,
            } => Failure::Refused {
                retry_after_ms,
                basis: Box::new(basis),
            },
        })
    }

    /// Returns the regions in which the request may be handled.
    fn regions(&self) -> RegionLimits<'_> {
        RegionLimits {
            route: &self.route.allowed_regions,
            workspace: self
                .workspace
                .map(|workspace| &workspace.config.allowed_regions),
        }
    }

    fn outgoing_body(&self, buffered: BufferedBody, in_force: &ActiveConfig) -> OutgoingBody {
        let Some(remainder) = buffered.remainder else {
            return OutgoingBody::Buffered(buffered.bytes);
        };
        let limits = StreamLimits {
            max_bytes: in_force.config.limits.max_body_bytes,
            until: self.deadline.timer(),
        };
        let streamed = StreamedBody::new(buffered.bytes, remainder, limits, (), |()| {});
        OutgoingBody::Streamed(streamed.map_err(|error: BodyError| error).boxed())
    }
}
