//! Handles a client's request from its head to its response: route, service, upstreams, attempts.
//!
//! A request is in one of three states: it has not run, it may have run, or it has a response.
//! The error that the client receives depends on this state alone.

use crate::answer::{error_answer, refusal};
use crate::asking;
use crate::attempt::{AttemptEnd, Chosen, Identity, Outgoing, OutgoingBody, attempt};
use crate::body::{AnyBody, BodyError, Held, PassLimits, Passed, hold};
use crate::clock::Deadline;
use crate::context::{Context, InForce};
use crate::counted::{HeldBytes, InFlight};
use crate::failure::{Decided, Failure, Known, Tries};
use crate::quotas::Permit;
use crate::request::{RequestFacts, request_id};
use crate::upstream_limits::Grant;
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{
    ConfigVersion, KnownWorkspace, Rank, Refusal, RegionLimits, RequestDigest, RequestIdentity,
    RequestShape, Route, Suspect, UpstreamLife, Verdict, Wanted,
};
use brasswinch_types::{ErrorKind, Ran, Service};
use http::request::Parts;
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::{Instant, timeout_at};

/// Bodies up to this length are buffered whole before an upstream is chosen, so that they can be
/// sent to another upstream if the first one fails.
const MOST_HELD_BODY: usize = 1024 * 1024;

/// Attempts per request in which nothing could be sent to the upstream.
const MOST_UNREACHABLE: u32 = 4;

/// Owners of upstream limits that are asked for one request, one after the other. Each costs a
/// round trip, and after a refusal the next requests go elsewhere without asking.
const MOST_LIMITS_ASKED: u32 = 3;

/// Handles one request and returns its response.
pub(crate) async fn answer(
    context: &Arc<Context>,
    request: Request<Incoming>,
) -> Response<AnyBody> {
    context.requests.fetch_add(1, Ordering::Relaxed);
    let _counted = InFlight::new(context);
    let arrived = Instant::now();
    let (parts, body) = request.into_parts();
    match run(context, &parts, body, arrived).await {
        Ok(answer) => answer,
        Err(failure) => {
            report_failure(context, &parts, &failure, arrived);
            match failure {
                Failure::Kind(kind) | Failure::AtUpstream { kind, .. } => error_answer(kind),
                Failure::OverQuota { retry_after_ms, .. } => {
                    refusal(ErrorKind::OverQuota, retry_after_ms)
                }
                Failure::Refused { retry_after_ms, .. } => {
                    refusal(ErrorKind::AtCapacity, retry_after_ms)
                }
                Failure::ShutOut { retry_after_ms, .. } => {
                    refusal(ErrorKind::ShutOut, retry_after_ms)
                }
            }
        }
    }
}

fn report_failure(context: &Context, parts: &Parts, failure: &Failure, arrived: Instant) {
    let kind = failure.kind();
    let event = match kind.answer().ran {
        Ran::NotRun => Event::RequestRefused,
        Ran::Unknown => Event::RequestFailed,
    };
    let id = request_id(parts, &context.dialect);
    let (path, took) = (parts.uri.path(), arrived.elapsed().as_millis());
    let config = context.in_force.load();
    let config = config.as_ref().map_or(0, |held| held.config.version.0);
    let told = format!("id={id} path={path} config={config} cause={kind} ms={took}");
    match failure {
        Failure::AtUpstream {
            decided, digest, ..
        } => {
            let digest = Known(digest.as_ref());
            emit(event, format_args!("{told} digest={digest} {decided}"));
        }
        Failure::Refused {
            retry_after_ms,
            basis,
        } => emit(
            event,
            format_args!("{told} upstream=- retry_after_ms={retry_after_ms} {basis}"),
        ),
        Failure::OverQuota {
            workspace,
            retry_after_ms,
        } => emit(
            event,
            format_args!("{told} upstream=- workspace={workspace} retry_after_ms={retry_after_ms}"),
        ),
        Failure::ShutOut {
            retry_after_ms,
            digest,
        } => emit(
            event,
            format_args!("{told} upstream=- digest={digest} retry_after_ms={retry_after_ms}"),
        ),
        Failure::Kind(_) => emit(event, format_args!("{told} upstream=-")),
    }
}

/// A request that has matched a route.
struct Routed<'a> {
    context: &'a Arc<Context>,
    route: &'a Route,
    service: Service,
    parts: &'a Parts,
    facts: RequestFacts<'a>,
    /// The client's workspace; `None` if the route needs no key.
    workspace: Option<&'a KnownWorkspace>,
    /// Whether the client's credential is meant for this system and is removed before forwarding.
    hides_credential: bool,
    /// The version of the configuration that the route comes from.
    config: ConfigVersion,
    arrived: Instant,
    answer_by: Deadline,
}

async fn run(
    context: &Arc<Context>,
    parts: &Parts,
    body: Incoming,
    arrived: Instant,
) -> Result<Response<AnyBody>, Failure> {
    let in_force = context.in_force.load_full();
    let in_force = in_force.ok_or(ErrorKind::NotConfigured)?;
    let facts = RequestFacts::read(parts, &context.dialect)?;
    let route = in_force.routes.find(facts.host, facts.path);
    let route = route.ok_or(ErrorKind::NoRoute)?;
    let workspace = workspace(context, &in_force, route, &facts)?;
    let length = facts.body_length.unwrap_or(0);
    if length > in_force.config.limits.max_body_bytes {
        return Err(ErrorKind::BodyTooLarge.into());
    }
    let service = context.pick_service(&route.name, &route.backends);
    let service = service.ok_or(ErrorKind::NoUpstream)?;
    context.count_request(&service);
    let routed = Routed {
        config: in_force.config.version,
        arrived,
        answer_by: facts.answer_by(&context.clock, route.timeout_s),
        hides_credential: in_force.keys.has_workspaces(),
        workspace: workspace.map(Arc::as_ref),
        context,
        route,
        service,
        parts,
        facts,
    };
    let ended = routed.serve(body, length, &in_force).await;
    let outcome = match &ended {
        Ok(_) => "answered",
        Err(failure) => failure.kind().code(),
    };
    context.figures.count(&routed.service, outcome);
    if ended.is_ok() {
        let (service, kind) = (&routed.service, routed.route.kind);
        context.figures.answered(service, kind, arrived.elapsed());
    }
    ended
}

/// Returns the workspace that owns the client's key; `None` if the route needs no key.
fn workspace<'a>(
    context: &Context,
    in_force: &'a InForce,
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
    found.map(Some).ok_or(ErrorKind::Unauthenticated)
}

/// Returns the bytes to reserve for buffering a body of the declared length.
fn facts_length(told: u64) -> usize {
    usize::try_from(told).map_or(MOST_HELD_BODY, |told| told.min(MOST_HELD_BODY))
}

impl Routed<'_> {
    async fn serve(
        &self,
        body: Incoming,
        length: u64,
        in_force: &InForce,
    ) -> Result<Response<AnyBody>, Failure> {
        let held_length = facts_length(length);
        let reserved = HeldBytes::reserve(self.context, held_length);
        let _reserved = reserved.ok_or(ErrorKind::AtCapacity)?;
        let mut permit = match self.workspace {
            Some(workspace) => self.context.admit(workspace).await?,
            None => None,
        };
        let held = self.read_body(body).await?;
        self.send(held, in_force, permit.as_mut()).await
    }

    async fn read_body(&self, body: Incoming) -> Result<Held, Failure> {
        match timeout_at(self.answer_by.timer(), hold(body, MOST_HELD_BODY)).await {
            Ok(Ok(held)) => Ok(held),
            Ok(Err(_)) => Err(ErrorKind::MalformedRequest.into()),
            Err(_) => Err(ErrorKind::TimeoutBeforeSend.into()),
        }
    }

    /// Sends the request to upstreams until one responds or no further attempt is allowed.
    async fn send(
        &self,
        held: Held,
        in_force: &InForce,
        mut permit: Option<&mut Permit>,
    ) -> Result<Response<AnyBody>, Failure> {
        let mut tries = Tries::new(&held);
        let mut body = Some(self.outgoing_body(held, in_force));
        loop {
            // A client repeats a crashing request at other boxes, which haven't seen it before: without
            // this check 40 repeats crashed 31 to 36 upstreams, with it 3 or 4.
            self.look_up_quarantine(&mut tries)
                .map_err(|failure| tries.truth(failure))?;
            let chosen = self
                .next_upstream(&tries)
                .await
                .map_err(|failure| tries.truth(failure))?;
            let decided = Decided::new(&chosen.choice);
            tries.begin(decided.clone());
            let outgoing = Outgoing {
                parts: self.parts,
                body: match body.take() {
                    Some(body) => body,
                    None => OutgoingBody::Whole(tries.whole.clone()),
                },
                answer_by: &self.answer_by,
                is_repeatable: self.route.kind.is_repeatable(),
                identity: Identity {
                    workspace: self.workspace.map(|workspace| &workspace.name),
                    hides_credential: self.hides_credential,
                },
                digest: tries.digest.get().copied(),
            };
            if let Some(permit) = permit.as_deref_mut() {
                permit.runs();
            }
            let life = chosen.choice.life();
            let kind = match attempt(self.context, chosen, outgoing).await {
                AttemptEnd::Answer(answer) => {
                    let count = tries.upstreams.len();
                    self.report_served(&decided, answer.status().as_u16(), count);
                    return Ok(answer);
                }
                AttemptEnd::NotSent(unsent) => {
                    if let Some(permit) = permit.as_deref_mut() {
                        permit.did_not_run();
                    }
                    body = Some(unsent);
                    tries.unreachable += 1;
                    continue;
                }
                AttemptEnd::TimeOver => ErrorKind::TimeoutAfterSend,
                AttemptEnd::Refused => {
                    if let Some(permit) = permit.as_deref_mut() {
                        permit.did_not_run();
                    }
                    ErrorKind::UpstreamRefused
                }
                AttemptEnd::Broken => {
                    self.tell_broken(&tries, &life);
                    ErrorKind::UpstreamBroken
                }
                AttemptEnd::Unusable => ErrorKind::UpstreamBroken,
            };
            tries.count_sent(kind);
            if !self.may_retry(&tries, kind) {
                return Err(tries.truth(tries.last_failure(kind)));
            }
            self.report_retry(&tries, &decided, kind);
        }
    }

    /// Reports to the quarantine that the upstream's connection closed during the last attempt.
    fn tell_broken(&self, tries: &Tries, life: &UpstreamLife) {
        let suspect = self.suspect(tries);
        let digest = self.digest(tries);
        self.context.run_broke(digest, &suspect, life, tries.began);
    }

    fn identity<'a>(&'a self, tries: &'a Tries) -> RequestIdentity<'a> {
        let path = self.parts.uri.path_and_query();
        RequestIdentity {
            workspace: self.workspace.map(|held| &held.name),
            method: self.parts.method.as_str(),
            host: self.facts.host,
            path: path.map_or("", |path| path.as_str()),
            body: &tries.whole,
        }
    }

    /// Returns the digest that identifies repeats of the request.
    fn digest(&self, tries: &Tries) -> RequestDigest {
        let of = || RequestDigest::of(&self.identity(tries));
        *tries.digest.get_or_init(of)
    }

    fn suspect(&self, tries: &Tries) -> Suspect {
        Suspect {
            workspace: self.workspace.map(|held| held.name.clone()),
            service: self.service.clone(),
            shape: RequestShape::of(&self.identity(tries)),
        }
    }

    /// Checks whether the request has been crashing upstreams, here or at other boxes.
    fn look_up_quarantine(&self, tries: &mut Tries) -> Result<(), Failure> {
        let shape = RequestShape::of(&self.identity(tries));
        if !self.context.may_be_quarantined(shape) {
            return Ok(());
        }
        let digest = self.digest(tries);
        match self.context.quarantine_verdict(digest) {
            Verdict::Unknown => Ok(()),
            Verdict::Suspect => {
                tries.placed_as = Some(digest.to_bytes());
                Ok(())
            }
            Verdict::ShutOut { for_ms } => Err(Failure::ShutOut {
                retry_after_ms: for_ms,
                digest,
            }),
        }
    }

    /// Chooses the upstream of the next attempt. Fails if the deadline has passed.
    async fn next_upstream(&self, tries: &Tries) -> Result<Chosen, Failure> {
        if self.answer_by.is_over() {
            return Err(ErrorKind::TimeoutBeforeSend.into());
        }
        if tries.unreachable >= MOST_UNREACHABLE {
            return Err(ErrorKind::NoUpstream.into());
        }
        self.choose(tries).await
    }

    /// Whether the request may be sent again after an attempt that failed with `kind`.
    fn may_retry(&self, tries: &Tries, kind: ErrorKind) -> bool {
        let may_run_again = match kind {
            ErrorKind::UpstreamRefused => true,
            ErrorKind::UpstreamBroken => self.route.kind.is_repeatable(),
            _ => false,
        };
        may_run_again
            && tries.can_repeat
            && tries.sent < self.route.max_attempts
            && !self.answer_by.is_over()
            && !self.is_shut_out(tries)
            && self.context.spend_retry(&self.service)
    }

    fn is_shut_out(&self, tries: &Tries) -> bool {
        let verdict = |digest: &RequestDigest| self.context.quarantine_verdict(*digest);
        let verdict = tries.digest.get().map(verdict);
        matches!(verdict, Some(Verdict::ShutOut { .. }))
    }

    fn report_served(&self, decided: &Decided, status: u16, tries: usize) {
        let id = request_id(self.parts, &self.context.dialect);
        let (route, service, config) = (&self.route.name, &self.service, self.config.0);
        let took = self.arrived.elapsed().as_millis();
        let workspace = self.workspace.map_or("-", |held| held.name.as_str());
        emit(
            Event::RequestServed,
            format_args!(
                "id={id} route={route} service={service} workspace={workspace} \
                 config={config} status={status} \
                 tries={tries} ms={took} {decided}"
            ),
        );
    }

    fn report_retry(&self, tries: &Tries, decided: &Decided, cause: ErrorKind) {
        let id = request_id(self.parts, &self.context.dialect);
        let (route, service, config) = (&self.route.name, &self.service, self.config.0);
        let tried_ms = tries.began.elapsed().as_millis();
        let digest = Known(tries.digest.get());
        emit(
            Event::RequestRetried,
            format_args!(
                "id={id} route={route} service={service} config={config} cause={cause} \
                 digest={digest} tried_ms={tried_ms} {decided}"
            ),
        );
    }

    /// Chooses an upstream whose request limit leaves room for the request.
    // An upstream's limit holds for all boxes together, so the box that owns the limit grants each
    // request: without grants, three boxes sent 222 requests in 4 s at a limit of 5 per second; with
    // grants, 21 or 22.
    async fn choose(&self, tries: &Tries) -> Result<Chosen, Failure> {
        let mut asked = 0;
        loop {
            let chosen = self.choose_unasked(tries).await?;
            asked += 1;
            match self.context.take_grant(chosen, self.answer_by.left()).await {
                Ok(chosen) => return Ok(chosen),
                Err(held_off) if asked == MOST_LIMITS_ASKED => return Err(held_off.into()),
                // The upstream has no room now, so the next iteration chooses the object's next home.
                Err(_) => {}
            }
        }
    }

    /// Chooses an upstream without asking for a grant of its request limit.
    async fn choose_unasked(&self, tries: &Tries) -> Result<Chosen, Failure> {
        let tried = tries.upstreams.as_slice();
        // A suspected request is placed by its digest, so that other requests for its object are
        // not on the upstream that it may crash.
        let placed_as = tries.placed_as.as_ref().map(|digest| digest.as_slice());
        let wanted = Wanted {
            service: &self.service,
            object: placed_as.or(self.facts.object),
            rank: Rank {
                workspace: self.workspace.map_or(0, |held| held.config.priority),
                route: self.route.priority,
            },
            regions: RegionLimits {
                route: &self.route.allowed_regions,
                workspace: self.workspace.map(|held| &held.config.allowed_regions),
            },
            tried,
        };
        // Later attempts are rare and go to another upstream than the one advised first, so they
        // are placed without asking.
        let (asked, advice) = if tried.is_empty() {
            asking::ask(self.context, &wanted, self.answer_by.left()).await
        } else {
            (None, None)
        };
        let now = self.context.clock.now();
        let mut placement = self.context.placement();
        let chosen = placement.choose_advised(&wanted, advice.as_ref(), rand::random(), now);
        drop(placement);
        let chosen = chosen.map(|choice| Chosen {
            choice,
            asked,
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

    fn outgoing_body(&self, held: Held, in_force: &InForce) -> OutgoingBody {
        let Some(rest) = held.rest else {
            return OutgoingBody::Whole(held.bytes);
        };
        let limits = PassLimits {
            most_bytes: in_force.config.limits.max_body_bytes,
            until: self.answer_by.timer(),
        };
        let passed = Passed::new(held.bytes, rest, limits, (), |()| {});
        OutgoingBody::Passed(passed.map_err(|error: BodyError| error).boxed())
    }
}
