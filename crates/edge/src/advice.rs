//! Requests advice from an object's coordinator before a request is routed, and reports to it
//! how the request ended.
//!
//! One datagram each way, and one at the end. Requests wait for a coordinator only briefly and
//! none is refused for lack of a reply: without one, a box decides by its own state.

use crate::context::Context;
use crate::datagram::Datagram;
use crate::peer_traffic::Direction;
use crate::pending_replies::PendingReplies;
use crate::recent_failures::RecentFailures;
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{
    Advice, AdviceQuery, Choice, CompletionReport, LoadReport, UpstreamOutcome, UpstreamRequest,
};
use brasswinch_types::{BoxId, Millis};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// How long a coordinator is skipped after a missed reply. It may be dead, which the membership
/// detects in a second or two.
const UNREACHABLE_FOR: Duration = Duration::from_millis(500);

/// Maximum plausible fullness of an upstream, in multiples of its slots.
const MAX_FULLNESS: f32 = 1_000.0;

/// Pending requests for advice, and coordinators that did not reply.
#[derive(Debug)]
pub(crate) struct AdviceRequests {
    socket: Arc<UdpSocket>,
    pending_replies: PendingReplies<Advice>,
    /// Coordinators that did not reply.
    unreachable: RecentFailures,
}

impl AdviceRequests {
    /// Sends from `socket`, whose incoming datagrams the membership task reads.
    pub(crate) fn new(socket: Arc<UdpSocket>) -> Self {
        Self {
            socket,
            pending_replies: PendingReplies::default(),
            unreachable: RecentFailures::new(UNREACHABLE_FOR),
        }
    }
}

/// Reports to the coordinator how the request ended when it is dropped.
pub(crate) struct CompletionGuard {
    context: Arc<Context>,
    /// The coordinator's address; `None` if it is this box.
    coordinator: Option<SocketAddr>,
    completion: CompletionReport,
}

impl CompletionGuard {
    /// Records that the request is sent to the upstream of `choice`.
    pub(crate) fn sent_to(&mut self, choice: &Choice) {
        self.completion.upstream = Some(choice.upstream.clone());
        self.completion.started = choice.started;
    }

    /// Records the upstream's load report.
    pub(crate) fn reported(&mut self, report: LoadReport) {
        self.completion.report = Some(report);
    }

    /// Records the outcome of the request.
    pub(crate) fn ended(&mut self, outcome: UpstreamOutcome) {
        self.completion.outcome = outcome;
    }
}

impl Drop for CompletionGuard {
    fn drop(&mut self) {
        match self.coordinator {
            None => self.context.handle_completion(&self.completion),
            Some(coordinator) => {
                let completion = Datagram::CompletionReport(self.completion.clone());
                self.context.send_datagram(&completion, coordinator);
            }
        }
    }
}

/// Requests advice from the coordinator of the object in `wanted`. Returns the guard that
/// reports the request's end, and the advice if it came in time.
pub(crate) async fn request_advice(
    context: &Arc<Context>,
    wanted: &UpstreamRequest<'_>,
    left: Duration,
) -> (Option<CompletionGuard>, Option<Advice>) {
    let now = context.clock.now();
    let left_ms = left.as_millis() as Millis;
    let advice_query = context
        .placement()
        .advice_query(wanted, rand::random(), left_ms, now);
    let Some((coordinator, advice_query)) = advice_query else {
        return (None, None);
    };
    let guard_for = |coordinator| CompletionGuard {
        context: Arc::clone(context),
        coordinator,
        completion: CompletionReport {
            id: advice_query.id,
            service: advice_query.service.clone(),
            object: advice_query.object,
            upstream: None,
            started: None,
            outcome: UpstreamOutcome::Abandoned,
            report: None,
        },
    };
    if coordinator == context.settings.id {
        let advice = context.placement().advise(&advice_query, now);
        return (Some(guard_for(None)), advice);
    }
    let Some(address) = context.peer_address(&coordinator) else {
        return (None, None);
    };
    if context.advice_requests.unreachable.contains(&coordinator) {
        // It may still receive the report, and needs it to track its upstreams' objects.
        return (Some(guard_for(Some(address))), None);
    }
    let guard = guard_for(Some(address));
    let advice = context
        .query_peer(&coordinator, address, advice_query)
        .await;
    (Some(guard), advice)
}

impl Context {
    async fn query_peer(
        &self,
        coordinator: &BoxId,
        address: SocketAddr,
        advice_query: AdviceQuery,
    ) -> Option<Advice> {
        let waiting = self.advice_requests.pending_replies.wait(advice_query.id);
        self.send_datagram(&Datagram::AdviceQuery(advice_query), address);
        let advice = waiting
            .within(self.settings.coordinator_reply_timeout)
            .await;
        match advice {
            Some(_) => self.advice_requests.unreachable.remove(coordinator),
            None => self.advice_requests.unreachable.insert(coordinator),
        }
        advice
    }

    /// Replies to another box's query.
    pub(crate) fn handle_advice_query(&self, advice_query: &AdviceQuery, from: SocketAddr) {
        let now = self.clock.now();
        let advice = self.placement().advise(advice_query, now);
        if let Some(advice) = advice {
            self.send_datagram(&Datagram::Advice(advice), from);
        }
    }

    /// Handles a coordinator's reply.
    pub(crate) fn handle_advice(&self, advice: Advice, from: SocketAddr) {
        if !(0.0..=MAX_FULLNESS).contains(&advice.fullness) {
            emit(
                Event::PeerMalformed,
                format_args!(
                    "{from}: advice with implausible fullness {}",
                    advice.fullness
                ),
            );
            return;
        }
        // Late replies are dropped: no request waits for them any more.
        let _ = self
            .advice_requests
            .pending_replies
            .answered(advice.id, advice);
    }

    /// Handles the completion report of a request that this box coordinates.
    pub(crate) fn handle_completion(&self, completion: &CompletionReport) {
        let now = self.clock.now();
        self.placement().record_completion(completion, now);
    }

    /// Sends one datagram; drops it if the socket is not ready.
    pub(crate) fn send_datagram(&self, datagram: &Datagram, to: SocketAddr) {
        let mut bytes = Vec::with_capacity(192);
        if let Err(error) = ciborium::into_writer(datagram, &mut bytes) {
            emit(
                Event::PeerMalformed,
                format_args!("cannot encode a message: {error}"),
            );
            return;
        }
        self.peer_traffic
            .count(datagram.into(), Direction::Sent, bytes.len());
        // A lost query costs only a short timeout, and lost completion reports expire.
        let _ = self.advice_requests.socket.try_send_to(&bytes, to);
    }

    fn peer_address(&self, id: &BoxId) -> Option<SocketAddr> {
        let swim = self.swim();
        swim.member(id).map(|member| member.record.peer_address)
    }
}
