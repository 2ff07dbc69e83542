//! The count of one workspace at its coordinator: its bucket, and the requests that wait.

use super::class::QuotaClass;
use super::grants::{Grants, RequestKey};
use super::loan::{LEASE_MS, ReceivedLoans};
use super::waiting::{Waiting, WaitingRequest};
use super::{QueuedReply, QuotaCount, QuotaReply};
use crate::refusals::Refusals;
use crate::token_bucket::{Filling, TokenBucket};
use crate::workspace::QuotaLimit;
use brasswinch_types::{Millis, Workspace};
use std::net::SocketAddr;

/// Time until boxes have received the broadcast and their loans have arrived, in seconds: a round
/// trip of 60 ms, and an occasional lost message.
const LOAN_DELAY_S: f64 = 0.2;

/// Largest fraction of a bucket's capacity that is reserved for requests sent in that time.
const MAX_RESERVE_FRACTION: f64 = 0.25;

/// Fraction of a bucket's capacity from which on its workspace is no longer near its limit.
const RECOVERED_FRACTION: f64 = 0.5;

/// The count of one workspace.
#[derive(Debug)]
pub(super) struct QuotaCounter {
    pub(super) bucket: TokenBucket,
    /// Level of the bucket when this box began to count.
    pub(super) initial_level: f64,
    pub(super) is_coordinator: bool,
    pub(super) is_near_limit: bool,
    pub(super) near_limit_since: Millis,
    pub(super) broadcast_at: Millis,
    pub(super) loans: ReceivedLoans,
    pub(super) needs_loans: bool,
    pub(super) limit: QuotaLimit,
    pub(super) granted: Grants,
    pub(super) waiting: Waiting,
    /// Refusals of all classes.
    pub(super) refusals: Refusals,
}

/// The decision about a count.
#[derive(Clone, Copy, Debug)]
pub(super) enum Decision {
    Granted,
    Refused,
    /// The request waits for a grant, which is expected after that many milliseconds.
    Waits(Millis),
}

/// Fractions of a quota that a coordinator may use.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fractions {
    pub(super) rate: f64,
    pub(super) capacity: f64,
}

impl Fractions {
    pub(super) fn both(reachable_fraction: f64) -> Self {
        Self {
            rate: reachable_fraction,
            capacity: reachable_fraction,
        }
    }
}

impl QuotaCounter {
    pub(super) fn new(initial_level: f64, limit: QuotaLimit, now: Millis) -> Self {
        Self {
            bucket: TokenBucket::new(initial_level, now),
            initial_level,
            is_coordinator: true,
            is_near_limit: false,
            near_limit_since: 0,
            broadcast_at: 0,
            loans: ReceivedLoans::default(),
            needs_loans: false,
            limit,
            granted: Grants::default(),
            waiting: Waiting::default(),
            refusals: Refusals::default(),
        }
    }

    /// Counts `refused` requests of `class`.
    pub(super) fn count_refused(&mut self, class: QuotaClass, refused: f64, now: Millis) {
        self.refusals.count(refused, now);
        self.waiting.count_refused(class, refused, now);
    }

    /// Returns the fractions by which the bucket fills, where this box reaches the fraction
    /// `reachable` of all boxes.
    pub(super) fn fractions(&mut self, reachable: f64, now: Millis) -> Fractions {
        let lent = self.loans.total(now);
        if !self.is_near_limit {
            // Boxes lend nothing while the workspace is below its limit.
            return Fractions::both(reachable);
        }
        // Keeps the bucket's level while loans are under way.
        let loans_are_due = now.saturating_sub(self.near_limit_since) < LEASE_MS;
        Fractions {
            rate: lent,
            capacity: if loans_are_due { reachable } else { lent },
        }
    }

    /// Grants requests that wait, as far as the bucket of `capacity` has tokens, and refuses those
    /// whose wait has ended. Returns how many no longer wait.
    pub(super) fn serve(
        &mut self,
        workspace: &Workspace,
        capacity: f64,
        now: Millis,
        replies: &mut Vec<QueuedReply>,
    ) -> usize {
        let replies_before = replies.len();
        for request in self.waiting.remove_expired(now) {
            self.count_refused(request.class, 1.0, now);
            replies.push(self.reply(workspace, request, Decision::Refused, now));
        }
        while self.bucket.level() >= self.waiting.granting_level(capacity, now) {
            let Some(request) = self.waiting.pop(now) else {
                break;
            };
            self.bucket.take(1.0);
            self.granted.insert(request.key, now);
            replies.push(self.reply(workspace, request, Decision::Granted, now));
        }
        replies.len() - replies_before
    }

    /// Counts a request of the box at `from`. One that needs no grant has been sent already.
    pub(super) fn count(
        &mut self,
        count: &QuotaCount,
        from: SocketAddr,
        rate_per_s: f64,
        may_queue: bool,
        now: Millis,
    ) -> Decision {
        if !count.needs_grant {
            self.bucket.take(f64::from(count.runs.clamp(-1, 1)));
            return Decision::Granted;
        }
        let key = RequestKey { from, id: count.id };
        let class = QuotaClass::of_count(count);
        if self.granted.contains(key, now) {
            return Decision::Granted;
        }
        if self.waiting.contains(key) {
            if class.max_wait_ms > 0 {
                return Decision::Waits(self.waiting.wait_ms(class, rate_per_s, now));
            }
            // The last query about a request that waits: it is decided now.
            self.waiting.remove(key);
        }
        let can_wait = class.max_wait_ms > 0;
        // Requests that wait come first, except for the token kept for those that can't.
        let may_take = self.waiting.is_empty() || !can_wait;
        if may_take && self.bucket.try_take() {
            self.granted.insert(key, now);
            if !can_wait {
                self.waiting.use_reserve();
            }
            return Decision::Granted;
        }
        let wait_ms = self.waiting.wait_ms(class, rate_per_s, now);
        let is_known = key.id != 0 && self.is_coordinator;
        if may_queue && is_known && wait_ms <= class.max_wait_ms {
            self.waiting.push(key, class, now);
            return Decision::Waits(wait_ms);
        }
        self.count_refused(class, 1.0, now);
        if !can_wait {
            self.waiting.refuse_unqueued(now);
        }
        Decision::Refused
    }

    /// Returns the reply to a request.
    pub(super) fn reply(
        &mut self,
        workspace: &Workspace,
        request: WaitingRequest,
        decision: Decision,
        now: Millis,
    ) -> QueuedReply {
        let debt = (1.0 - self.bucket.level()).max(0.0);
        let rate_per_s = self.limit.rate_per_s;
        let class = request.class;
        let reply = QuotaReply {
            id: request.key.id,
            workspace: workspace.clone(),
            is_granted: matches!(decision, Decision::Granted),
            is_near_limit: self.is_near_limit,
            retry_after_ms: self.waiting.retry_after_ms(class, debt, rate_per_s, now),
            stamp: now,
            wait_ms: match decision {
                Decision::Waits(wait_ms) => Some(wait_ms),
                Decision::Granted | Decision::Refused => None,
            },
        };
        QueuedReply {
            address: request.key.from,
            reply,
        }
    }

    /// Returns the bucket's level below which the workspace is near its limit. Loans are requested
    /// while the bucket still covers what is sent until they arrive.
    fn near_limit_level(&self, filling: Filling) -> f64 {
        if !self.needs_loans {
            return 1.0;
        }
        let sent_until_loans = filling.rate_per_s * LOAN_DELAY_S;
        1.0 + sent_until_loans.min(filling.capacity * MAX_RESERVE_FRACTION)
    }

    pub(super) fn update_near_limit(&mut self, filling: Filling) {
        let level = self.bucket.level();
        if level < self.near_limit_level(filling) {
            self.is_near_limit = true;
        } else if level >= filling.capacity * RECOVERED_FRACTION {
            self.is_near_limit = false;
        }
    }
}
