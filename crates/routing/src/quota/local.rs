//! A box's side of one workspace's quota that another box coordinates.

use super::loan::{Lending, QuotaLoan};
use super::local_class::{LocalClass, LocalClasses};
use super::{Admission, QuotaClassStatus, QuotaReply, ToCoordinator};
use crate::token_bucket::{Filling, TokenBucket};
use brasswinch_types::Millis;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Time without a reply after which a coordinator is considered unreachable: a round trip takes 25
/// ms, and the rest is for a busy processor.
const UNREACHABLE_AFTER_MS: Millis = 150;

/// Interval between two probes of an unreachable coordinator.
const PROBE_INTERVAL_MS: Millis = 300;

/// Most requests that a box sends without a grant while the coordinator hasn't acknowledged them.
/// Beyond them it asks for a grant, so that the requests sent before boxes learn that a workspace
/// is near its limit don't grow with the traffic. Simulations, where messages are never slow, show
/// no gain: the worst of six windows had 2,251 requests with this limit and 2,233 without, of 2,409
/// allowed (half of 75 boxes cut off).
const MAX_PENDING_COUNTS: usize = 2;

/// Time after which a reply counts as lost.
const REPLY_TIMEOUT_MS: Millis = 1_000;

/// Fraction of its even share that a box admits while its coordinator is unreachable.
const LOCAL_RATE_FRACTION: f64 = 0.5;

/// Requests that a box may send at once while its coordinator is unreachable.
const LOCAL_BURST: f64 = 1.0;

/// A box's local state of one workspace's quota.
#[derive(Debug, Default)]
pub(super) struct LocalQuota {
    /// Whether the coordinator allowed sending before asking. Only its reply sets this: neither
    /// its silence nor a change of coordinator does.
    may_send_without_grant: bool,
    /// When the oldest message without a reply was sent.
    waiting_since: Option<Millis>,
    /// When each count that awaits a reply was sent.
    pending_counts: VecDeque<Millis>,
    local_bucket: Option<TokenBucket>,
    /// When an unreachable coordinator was last probed.
    probed_at: Millis,
    coordinator: Option<SocketAddr>,
    lending: Lending,
    classes: LocalClasses,
}

impl LocalQuota {
    /// Whether the workspace is near its limit, so that requests need a grant.
    pub(super) fn is_near_limit(&self) -> bool {
        !self.may_send_without_grant
    }

    /// Whether the next request has to wait for the coordinator's reply.
    pub(super) fn must_ask(&mut self, now: Millis) -> bool {
        let is_expired = |sent_at: &Millis| now.saturating_sub(*sent_at) >= REPLY_TIMEOUT_MS;
        while self.pending_counts.front().is_some_and(is_expired) {
            self.pending_counts.pop_front();
        }
        !self.may_send_without_grant || self.pending_counts.len() >= MAX_PENDING_COUNTS
    }

    /// Whether the coordinator is unreachable.
    pub(super) fn is_coordinator_unreachable(&self, now: Millis) -> bool {
        let since = self.waiting_since;
        since.is_some_and(|since| now.saturating_sub(since) > UNREACHABLE_AFTER_MS)
    }

    /// Returns the state of a class.
    pub(super) fn class(&mut self, class: u64) -> &mut LocalClass {
        self.classes.get(class)
    }

    /// Returns the requests by class, ordered by class.
    pub(super) fn class_status(&self) -> Vec<QuotaClassStatus> {
        self.classes.status()
    }

    /// Records that a count was sent to the coordinator, which has to reply.
    pub(super) fn expect_reply(&mut self, now: Millis) {
        self.waiting_since.get_or_insert(now);
        if self.pending_counts.len() < MAX_PENDING_COUNTS {
            self.pending_counts.push_back(now);
        }
    }

    /// Sets the coordinator. No replies are expected from a new one.
    pub(super) fn set_coordinator(&mut self, coordinator: Option<SocketAddr>) {
        if self.coordinator != coordinator {
            self.coordinator = coordinator;
            self.waiting_since = None;
            self.pending_counts.clear();
            self.may_send_without_grant = false;
        }
    }

    /// Returns the loan to attach to a message to the coordinator.
    pub(super) fn lend(&mut self, to: SocketAddr, boxes: usize, now: Millis) -> Option<QuotaLoan> {
        self.lending.lend(to, boxes, now)
    }

    /// Whether a coordinator may be using this box's share.
    pub(super) fn is_lent(&self, now: Millis) -> bool {
        self.lending.is_lent(now)
    }

    /// Handles a reply or broadcast of the box at `from`; ignores it unless that is the
    /// coordinator.
    pub(super) fn handle_reply(&mut self, reply: &QuotaReply, from: SocketAddr, now: Millis) {
        if self.coordinator != Some(from) {
            return;
        }
        self.lending.record_reply(from, reply.stamp, now);
        self.waiting_since = None;
        // A request that waits gets a second reply.
        if reply.id != 0 && reply.wait_ms.is_none() {
            self.pending_counts.pop_front();
        }
        self.may_send_without_grant = !reply.is_near_limit;
    }

    /// Admits requests at a fraction of the even share `even_rate`, in requests per second, while
    /// the coordinator is unreachable. Still sends it the counts, and probes it from time to time
    /// with a request that finds no token, since it may be back.
    pub(super) fn admit_unreachable(
        &mut self,
        even_rate: f64,
        outgoing: ToCoordinator,
        now: Millis,
    ) -> Admission {
        let class = outgoing.count.class;
        if self.try_take_local(class, even_rate, now) {
            return Admission::Send(Some(outgoing));
        }
        let is_due = now.saturating_sub(self.probed_at) >= PROBE_INTERVAL_MS;
        if !is_due {
            return self.refuse_without_reply(class, even_rate, now);
        }
        self.probed_at = now;
        let mut probe = outgoing;
        probe.count.needs_grant = true;
        self.class(class).count_asked();
        Admission::Ask(probe)
    }

    /// Decides about a request without a reply of the coordinator.
    pub(super) fn admit_without_reply(
        &mut self,
        class: u64,
        even_rate: f64,
        now: Millis,
    ) -> Admission {
        if self.try_take_local(class, even_rate, now) {
            return Admission::Send(None);
        }
        self.refuse_without_reply(class, even_rate, now)
    }

    fn try_take_local(&mut self, class: u64, even_rate: f64, now: Millis) -> bool {
        if self.lending.is_lent(now) {
            return false;
        }
        let filling = Filling {
            rate_per_s: even_rate * LOCAL_RATE_FRACTION,
            capacity: LOCAL_BURST,
        };
        let bucket = self
            .local_bucket
            .get_or_insert_with(|| TokenBucket::new(LOCAL_BURST, now));
        bucket.fill(filling, now);
        let is_taken = bucket.try_take();
        if is_taken {
            self.class(class).count_granted();
        }
        is_taken
    }

    fn refuse_without_reply(&mut self, class: u64, even_rate: f64, now: Millis) -> Admission {
        self.class(class).count_refused();
        let seconds = 1.0 / (even_rate * LOCAL_RATE_FRACTION).max(f64::MIN_POSITIVE);
        let loan_ends_in_ms = self.lending.lent_until().saturating_sub(now);
        Admission::Refuse {
            retry_after_ms: loan_ends_in_ms
                .max((seconds * 1_000.0).min(MAX_LOCAL_RETRY_AFTER_MS) as Millis),
        }
    }
}

/// Longest retry time given by a box that can't reach the coordinator, in milliseconds: another
/// box may reach it.
const MAX_LOCAL_RETRY_AFTER_MS: f64 = 1_000.0;
