//! Exchanges messages with the coordinators of limits that upstreams set; [`UpstreamLimits`]
//! decides.

use crate::attempt::Chosen;
use crate::context::Context;
use crate::datagram::Datagram;
use crate::failure::Failure;
use crate::pending_replies::PendingReplies;
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{
    Basis, Choice, LimitAdmission, LimitBox, LimitChange, LimitQuery, LimitRefusal, LimitReply,
    LimitStatus, LimitUpdate, MemberRecord, ObservedLimit, ToLimitCoordinator, UpstreamIncarnation,
    UpstreamLimit, UpstreamLimits, UpstreamOutcome,
};
use brasswinch_types::{BoxId, Millis, Region, Zone};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Timeout for a coordinator's reply. A round trip between the two most distant regions takes
/// 70 ms; the rest allows for a busy processor.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);

/// This box's state of upstreams' limits.
#[derive(Debug)]
pub(crate) struct UpstreamLimitTasks {
    limits: Mutex<UpstreamLimits>,
    pending_replies: PendingReplies<LimitReply>,
}

impl UpstreamLimitTasks {
    pub(crate) fn new(me: BoxId, zones: BTreeMap<Zone, Region>) -> Self {
        Self {
            limits: Mutex::new(UpstreamLimits::new(me, zones)),
            pending_replies: PendingReplies::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, UpstreamLimits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a request has been granted of its upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Grant {
    /// The upstream sets no limit.
    NotNeeded,
    /// The limit has capacity for the request.
    Given,
}

/// A request that is not sent to the chosen upstream because its limit has no capacity.
pub(crate) struct HeldOff {
    /// When to retry if no other upstream takes the request, in milliseconds.
    pub(crate) retry_after_ms: Millis,
    /// The state on which the upstream was chosen.
    pub(crate) basis: Basis,
}

impl From<HeldOff> for Failure {
    fn from(held_off: HeldOff) -> Self {
        Self::Refused {
            retry_after_ms: held_off.retry_after_ms,
            basis: Box::new(held_off.basis),
        }
    }
}

/// Ends the count of a request at its upstream if the client disconnects while the limit's
/// coordinator is queried.
struct PendingGrant<'a> {
    context: &'a Context,
    choice: &'a Choice,
    is_decided: bool,
}

impl Drop for PendingGrant<'_> {
    fn drop(&mut self) {
        if !self.is_decided {
            let now = self.context.clock.now();
            let mut placement = self.context.placement();
            placement.ended(self.choice, UpstreamOutcome::Abandoned, now);
        }
    }
}

impl Context {
    /// Requests a grant from the limit of the chosen upstream. Without capacity, the upstream
    /// gets no requests from this box for a while.
    pub(crate) async fn take_grant(
        &self,
        mut chosen: Chosen,
        left: Duration,
    ) -> Result<Chosen, HeldOff> {
        if self.upstream_limits.lock().is_empty() {
            return Ok(chosen);
        }
        let mut pending = PendingGrant {
            context: self,
            choice: &chosen.choice,
            is_decided: false,
        };
        let grant = self.request_grant(&chosen.choice, left).await;
        pending.is_decided = true;
        drop(pending);
        let now = self.clock.now();
        let refusal = match grant {
            Ok(Grant::NotNeeded) => return Ok(chosen),
            Ok(Grant::Given) => {
                // The upstream may have left, or requested a backoff, while its limit's
                // coordinator was queried.
                if self.placement().may_send(&chosen.choice, now) {
                    self.metrics.count_limited(&chosen.choice.service, true);
                    chosen.grant = Grant::Given;
                    return Ok(chosen);
                }
                UpstreamLimits::no_reply_refusal(rand::random())
            }
            Err(refusal) => refusal,
        };
        self.metrics.count_limited(&chosen.choice.service, false);
        let until = now + refusal.hold_off_ms;
        self.placement().hold_off(&chosen.choice, until, now);
        Err(HeldOff {
            retry_after_ms: refusal.retry_after_ms,
            basis: chosen.choice.basis,
        })
    }

    /// Returns whether a request may be sent to the chosen upstream now; queries the
    /// coordinator of the upstream's limit if it sets one.
    async fn request_grant(&self, choice: &Choice, left: Duration) -> Result<Grant, LimitRefusal> {
        let (id, random, now) = (rand::random(), rand::random(), self.clock.now());
        let admission =
            self.upstream_limits
                .lock()
                .admit(&choice.incarnation(), &choice.zone, id, random, now);
        let decided = match admission {
            LimitAdmission::Ask(message) => self.query_limit(message, left, random).await,
            decided => decided,
        };
        match decided {
            LimitAdmission::Unlimited => Ok(Grant::NotNeeded),
            LimitAdmission::Granted => Ok(Grant::Given),
            LimitAdmission::Refused(refusal) => Err(refusal),
            // A query is not retried; a missing reply refuses the request.
            LimitAdmission::Ask(_) => Err(UpstreamLimits::no_reply_refusal(random)),
        }
    }

    async fn query_limit(
        &self,
        message: ToLimitCoordinator,
        left: Duration,
        random: f64,
    ) -> LimitAdmission {
        let ToLimitCoordinator { address, query } = message;
        let waiting = self.upstream_limits.pending_replies.wait(query.id);
        self.send_datagram(&Datagram::LimitQuery(query), address);
        let reply = waiting.within(REPLY_TIMEOUT.min(left)).await;
        UpstreamLimits::admission_from_reply(reply.as_ref(), random)
    }

    /// Replies to another box's query.
    pub(crate) fn handle_limit_query(&self, query: &LimitQuery, from: SocketAddr) {
        let now = self.clock.now();
        let reply = self.upstream_limits.lock().handle_query(query, now);
        self.send_datagram(&Datagram::LimitReply(reply), from);
    }

    /// Handles a coordinator's reply.
    pub(crate) fn handle_limit_reply(&self, reply: LimitReply) {
        // Late replies are dropped: no request waits for them any more.
        let _ = self
            .upstream_limits
            .pending_replies
            .answered(reply.id, reply);
    }

    /// Handles another box's update on an upstream's limit.
    pub(crate) fn handle_limit_update(&self, update: &LimitUpdate) {
        let now = self.clock.now();
        let change = self.upstream_limits.lock().handle_update(update, now);
        self.send_limit_updates();
        report_change(&update.incarnation, change, "peer");
    }

    /// Records the limit that the chosen upstream's answer carries, or that it carries none.
    pub(crate) fn handle_observed_limit(
        &self,
        choice: &Choice,
        grant: Grant,
        limit: Option<UpstreamLimit>,
    ) {
        if limit.is_none() && self.upstream_limits.lock().is_empty() {
            return;
        }
        let incarnation = choice.incarnation();
        let answer = ObservedLimit {
            incarnation: &incarnation,
            zone: &choice.zone,
            limit,
            had_grant: grant == Grant::Given,
        };
        let now = self.clock.now();
        let change = self.upstream_limits.lock().record_observed(&answer, now);
        if change.is_some() {
            self.send_limit_updates();
            report_change(&incarnation, change, "answer");
        }
    }

    fn send_limit_updates(&self) {
        let updates = self.upstream_limits.lock().take_updates();
        for (to, update) in updates {
            self.send_datagram(&Datagram::LimitUpdate(update), to);
        }
    }

    /// Sets the serving boxes.
    pub(crate) fn set_limit_boxes(&self) {
        let swim = self.swim();
        let boxes = swim.serving_boxes().map(limit_box).collect();
        drop(swim);
        let now = self.clock.now();
        self.upstream_limits.lock().set_boxes(boxes, now);
    }

    /// Returns the status of upstreams' limits for operators.
    pub(crate) fn limit_status(&self) -> Vec<LimitStatus> {
        let now = self.clock.now();
        self.upstream_limits.lock().status(now)
    }

    /// Drops limits of upstreams that are gone.
    pub(crate) fn retain_limits(&self) {
        let placement = self.placement();
        let mut limits = self.upstream_limits.lock();
        limits.retain(|incarnation| placement.contains(incarnation));
    }
}

fn limit_box(record: &MemberRecord) -> LimitBox {
    LimitBox {
        id: record.id.clone(),
        zone: record.zone.clone(),
        address: record.peer_address,
    }
}

fn report_change(incarnation: &UpstreamIncarnation, change: Option<LimitChange>, source: &str) {
    let upstream = &incarnation.upstream;
    match change {
        Some(LimitChange::Named(limit)) => emit(
            Event::UpstreamLimited,
            format_args!("upstream={upstream} limit_per_s={limit} from={source}"),
        ),
        Some(LimitChange::Lifted) => {
            emit(
                Event::UpstreamUnlimited,
                format_args!("upstream={upstream} from={source}"),
            );
        }
        None => {}
    }
}
