//! The coordinator's side of quotas: counts requests and grants them.

use super::class::QuotaClass;
use super::counter::{Decision, Fractions, QuotaCounter};
use super::grants::RequestKey;
use super::waiting::{MAX_WAITING, WaitingRequest};
use super::{QueuedReply, QuotaBounds, QuotaCount, QuotaReply};
use crate::token_bucket::Filling;
use crate::workspace::QuotaLimit;
use brasswinch_types::{Millis, Workspace};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Fraction of the overage that a new coordinator's bucket holds at first: it doesn't know which
/// requests ran before.
const INITIAL_FRACTION: f64 = 0.1;

/// Minimum level of a new coordinator's bucket, so that the first request of a workspace with a
/// small quota needn't wait for the bucket to fill.
const MIN_INITIAL_TOKENS: f64 = 1.0;

/// Fraction of the burst that a bucket holds. The rest is reserved for a coordinator that is cut
/// off for less time than others need to notice, and whose bucket fills up meanwhile. In 400
/// simulations with such cuts and 7.5 times the usual requests, one exceeded the bound with the
/// whole burst, none with this fraction.
const BURST_FRACTION: f64 = 0.8;

/// Minimum capacity of a bucket, as a fraction of the overage, for quotas without a burst:
/// requests arrive in clumps.
const MIN_CAPACITY_FRACTION: f64 = 0.25;

/// Interval between two broadcasts that a workspace is near its limit; shorter than a loan's
/// duration, since each broadcast requests the loans again.
const REBROADCAST_INTERVAL_MS: Millis = 500;

/// The quotas that this box coordinates or has coordinated.
#[derive(Debug)]
pub(super) struct QuotaCoordinator {
    bounds: QuotaBounds,
    counters: HashMap<Workspace, QuotaCounter>,
    /// Fraction of all boxes that this one can reach.
    reachable_fraction: f64,
    /// Messages to broadcast.
    broadcasts: Vec<QuotaReply>,
    /// Replies to requests that waited.
    replies: Vec<QueuedReply>,
    /// Requests that wait, of all workspaces.
    waiting: usize,
    /// Whether a request was refused since as many wait as may.
    was_full: bool,
}

impl QuotaCoordinator {
    pub(super) fn new(bounds: QuotaBounds) -> Self {
        Self {
            bounds,
            counters: HashMap::new(),
            reachable_fraction: 1.0,
            broadcasts: Vec::new(),
            replies: Vec::new(),
            waiting: 0,
            was_full: false,
        }
    }

    /// Sets the fraction of all boxes that this one can reach.
    pub(super) fn set_reachable_fraction(&mut self, reachable_fraction: f64) {
        self.reachable_fraction = reachable_fraction.clamp(0.0, 1.0);
    }

    pub(super) fn workspaces(&self) -> impl Iterator<Item = &Workspace> {
        self.counters.keys()
    }

    /// Sets whether this box is the workspace's coordinator. If it becomes the coordinator again,
    /// it doesn't know which requests others granted meanwhile, and lowers its bucket. If it stops
    /// being the coordinator, it refuses the requests that wait.
    pub(super) fn set_is_coordinator(
        &mut self,
        workspace: &Workspace,
        is_coordinator: bool,
        now: Millis,
    ) {
        let Some(counter) = self.counters.get_mut(workspace) else {
            return;
        };
        if is_coordinator && !counter.is_coordinator {
            counter.bucket.lower_to(counter.initial_level);
        }
        counter.is_coordinator = is_coordinator;
        if is_coordinator {
            return;
        }
        let waited = counter.waiting.drain();
        self.waiting -= waited.len();
        for request in waited {
            let reply = counter.reply(workspace, request, Decision::Refused, now);
            self.replies.push(reply);
        }
    }

    /// Removes the counts of other workspaces than those that have a quota. Their boxes decide
    /// about the requests that waited.
    pub(super) fn retain(&mut self, is_limited: impl Fn(&Workspace) -> bool) {
        self.counters.retain(|workspace, _| is_limited(workspace));
        let waiting = self.counters.values().map(|counter| counter.waiting.len());
        self.waiting = waiting.sum();
    }

    pub(super) fn level(&self, workspace: &Workspace) -> Option<f64> {
        let counter = self.counters.get(workspace)?;
        counter.is_coordinator.then(|| counter.bucket.level())
    }

    /// Returns how the bucket of a quota fills now.
    fn filling(&mut self, workspace: &Workspace, limit: QuotaLimit, now: Millis) -> Filling {
        let overage = self.bounds.overage(limit);
        let needs_loans = self.bounds.needs_loans(limit);
        let known = self.counters.get_mut(workspace);
        let fractions = match known.filter(|_| needs_loans) {
            Some(counter) => counter.fractions(self.reachable_fraction, now),
            None => Fractions::both(self.reachable_fraction),
        };
        let capacity = (limit.burst * BURST_FRACTION).max(overage * MIN_CAPACITY_FRACTION);
        Filling {
            rate_per_s: limit.rate_per_s * fractions.rate,
            capacity: (capacity * fractions.capacity).max(1.0),
        }
    }

    /// Handles a count of the box at `from`. Returns the reply, which tells whether a request that
    /// needs a grant may be sent, or waits; `None` for a withdrawal.
    pub(super) fn handle_count(
        &mut self,
        count: &QuotaCount,
        from: SocketAddr,
        limit: QuotaLimit,
        now: Millis,
    ) -> Option<QuotaReply> {
        let workspace = &count.workspace;
        if count.withdraw {
            self.withdraw(workspace, RequestKey { from, id: count.id }, now);
            return None;
        }
        let filling = self.filling(workspace, limit, now);
        let initial_level =
            (self.bounds.overage(limit) * INITIAL_FRACTION * self.reachable_fraction)
                .clamp(MIN_INITIAL_TOKENS, filling.capacity);
        let needs_loans = self.bounds.needs_loans(limit);
        let counter = self.counters.entry(workspace.clone());
        let counter = counter.or_insert_with(|| QuotaCounter::new(initial_level, limit, now));
        let waiting_before = counter.waiting.len();
        counter.bucket.fill(filling, now);
        counter.needs_loans = needs_loans;
        counter.limit = limit;
        if let Some(loan) = count.loan {
            counter.loans.add(from, loan, now);
        }
        let class = QuotaClass::of_count(count);
        counter.count_refused(class, f64::from(count.refused_locally), now);
        counter.serve(workspace, filling.capacity, now, &mut self.replies);
        let other_waiting = self.waiting - waiting_before;
        let may_queue = other_waiting + counter.waiting.len() < MAX_WAITING;
        let rate_per_s = filling.rate_per_s;
        let decision = counter.count(count, from, rate_per_s, may_queue, now);
        self.waiting = other_waiting + counter.waiting.len();
        let is_refused = matches!(decision, Decision::Refused);
        self.was_full |= is_refused && !may_queue && class.max_wait_ms > 0;
        let was_near_limit = counter.is_near_limit;
        counter.update_near_limit(filling);
        if counter.is_near_limit && !was_near_limit {
            counter.near_limit_since = now;
            counter.broadcast_at = now;
            self.broadcasts.push(QuotaReply::near_limit(workspace, now));
        }
        let key = RequestKey { from, id: count.id };
        let request = WaitingRequest { key, class };
        Some(counter.reply(workspace, request, decision, now).reply)
    }

    /// Withdraws a request: it no longer waits, or gives back its grant if it has one.
    pub(super) fn withdraw(&mut self, workspace: &Workspace, key: RequestKey, now: Millis) {
        let Some(counter) = self.counters.get_mut(workspace) else {
            return;
        };
        if counter.waiting.remove(key) {
            self.waiting -= 1;
        } else if counter.granted.remove(key, now) {
            counter.bucket.take(-1.0);
        }
    }

    /// Returns whether requests wait, of any workspace.
    pub(super) fn has_waiting(&self) -> bool {
        self.waiting > 0
    }

    /// Takes the replies to requests that waited.
    pub(super) fn take_replies(&mut self) -> Vec<QueuedReply> {
        std::mem::take(&mut self.replies)
    }

    /// Returns whether requests were refused since the last call because too many wait.
    pub(super) fn take_was_full(&mut self) -> bool {
        std::mem::take(&mut self.was_full)
    }

    /// Takes the messages to broadcast.
    pub(super) fn take_broadcasts(&mut self) -> Vec<QuotaReply> {
        std::mem::take(&mut self.broadcasts)
    }

    /// Grants requests that wait, ends expired waits, and repeats broadcasts for workspaces that
    /// are still near their limits.
    pub(super) fn tick(&mut self, now: Millis) {
        self.serve_all(now);
        for (workspace, counter) in &mut self.counters {
            let is_due = now.saturating_sub(counter.broadcast_at) >= REBROADCAST_INTERVAL_MS;
            // The bucket fills at the rate of the loans, and each broadcast asks boxes for them.
            let needs_broadcast = counter.needs_loans || counter.refusals.is_recent(now);
            if counter.is_near_limit && counter.is_coordinator && is_due && needs_broadcast {
                counter.broadcast_at = now;
                self.broadcasts.push(QuotaReply::near_limit(workspace, now));
            }
        }
    }

    /// Grants requests that wait in any workspace, as far as there are tokens.
    fn serve_all(&mut self, now: Millis) {
        if self.waiting == 0 {
            return;
        }
        let has_waiting = |(workspace, counter): (&Workspace, &QuotaCounter)| {
            (!counter.waiting.is_empty()).then(|| (workspace.clone(), counter.limit))
        };
        let due: Vec<_> = self.counters.iter().filter_map(has_waiting).collect();
        for (workspace, limit) in due {
            let filling = self.filling(&workspace, limit, now);
            if let Some(counter) = self.counters.get_mut(&workspace) {
                counter.bucket.fill(filling, now);
                self.waiting -= counter.serve(&workspace, filling.capacity, now, &mut self.replies);
            }
        }
    }
}
