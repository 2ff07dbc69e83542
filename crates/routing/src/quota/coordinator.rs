//! The coordinator's side of quotas: counts requests and grants them.

use super::loan::{LEASE_MS, ReceivedLoans};
use super::{QuotaBounds, QuotaCount, QuotaReply};
use crate::refusals::Refusals;
use crate::token_bucket::{Filling, TokenBucket};
use crate::workspace::QuotaLimit;
use brasswinch_types::{Millis, Workspace};
use std::collections::{HashMap, VecDeque};
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

/// Time until boxes have received the broadcast and their loans have arrived, in seconds: a round
/// trip of 60 ms, and an occasional lost message.
const LOAN_DELAY_S: f64 = 0.2;

/// Largest fraction of a bucket's capacity that is reserved for requests sent in that time.
const MAX_RESERVE_FRACTION: f64 = 0.25;

/// How long a grant is remembered, so that a repeated request for it isn't counted twice: two
/// reply timeouts of 60 ms, and the message's delay.
const GRANT_RETENTION_MS: Millis = 200;

/// Fraction of a bucket's capacity from which on its workspace is no longer near its limit.
const RECOVERED_FRACTION: f64 = 0.5;

/// Interval between two broadcasts that a workspace is near its limit; shorter than a loan's
/// duration, since each broadcast requests the loans again.
const REBROADCAST_INTERVAL_MS: Millis = 500;

/// Bounds of the retry time for refused clients, in milliseconds: at least the time that a request
/// takes to arrive, and no longer than the clients with the shortest deadlines wait.
const RETRY_AFTER_MS: std::ops::RangeInclusive<f64> = 100.0..=5_000.0;

/// The count of one workspace.
#[derive(Debug)]
struct QuotaCounter {
    bucket: TokenBucket,
    /// Level of the bucket when this box began to count.
    initial_level: f64,
    is_coordinator: bool,
    is_near_limit: bool,
    near_limit_since: Millis,
    broadcast_at: Millis,
    refusals: Refusals,
    loans: ReceivedLoans,
    needs_loans: bool,
    /// Recent grants; a repeated request for one takes no further token.
    granted: VecDeque<Granted>,
}

/// A granted request.
#[derive(Clone, Copy, Debug)]
struct Granted {
    id: u64,
    at: Millis,
}

/// Fractions of a quota that a coordinator may use.
#[derive(Clone, Copy, Debug)]
struct Fractions {
    rate: f64,
    capacity: f64,
}

impl Fractions {
    fn both(reachable_fraction: f64) -> Self {
        Self {
            rate: reachable_fraction,
            capacity: reachable_fraction,
        }
    }
}

/// The quotas that this box coordinates or has coordinated.
#[derive(Debug)]
pub(super) struct QuotaCoordinator {
    bounds: QuotaBounds,
    counters: HashMap<Workspace, QuotaCounter>,
    /// Fraction of all boxes that this one can reach.
    reachable_fraction: f64,
    /// Messages to broadcast.
    broadcasts: Vec<QuotaReply>,
}

impl QuotaCoordinator {
    pub(super) fn new(bounds: QuotaBounds) -> Self {
        Self {
            bounds,
            counters: HashMap::new(),
            reachable_fraction: 1.0,
            broadcasts: Vec::new(),
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
    /// it doesn't know which requests others granted meanwhile, and lowers its bucket.
    pub(super) fn set_is_coordinator(&mut self, workspace: &Workspace, is_coordinator: bool) {
        let Some(counter) = self.counters.get_mut(workspace) else {
            return;
        };
        if is_coordinator && !counter.is_coordinator {
            counter.bucket.lower_to(counter.initial_level);
        }
        counter.is_coordinator = is_coordinator;
    }

    pub(super) fn retain(&mut self, is_limited: impl Fn(&Workspace) -> bool) {
        self.counters.retain(|workspace, _| is_limited(workspace));
    }

    pub(super) fn level(&self, workspace: &Workspace) -> Option<f64> {
        let counter = self.counters.get(workspace)?;
        counter.is_coordinator.then(|| counter.bucket.level())
    }

    /// Handles a count of the box at `from`. Returns whether a request that needs a grant may be
    /// sent.
    pub(super) fn handle_count(
        &mut self,
        count: &QuotaCount,
        from: SocketAddr,
        limit: QuotaLimit,
        now: Millis,
    ) -> QuotaReply {
        let overage = self.bounds.overage(limit);
        let needs_loans = self.bounds.needs_loans(limit);
        let known = self.counters.get_mut(&count.workspace);
        let fractions = match known.filter(|_| needs_loans) {
            Some(counter) => counter.fractions(self.reachable_fraction, now),
            None => Fractions::both(self.reachable_fraction),
        };
        let capacity = (limit.burst * BURST_FRACTION).max(overage * MIN_CAPACITY_FRACTION);
        let filling = Filling {
            rate_per_s: limit.rate_per_s * fractions.rate,
            capacity: (capacity * fractions.capacity).max(1.0),
        };
        let initial_level = (overage * INITIAL_FRACTION * self.reachable_fraction)
            .clamp(MIN_INITIAL_TOKENS, filling.capacity);
        let counter = self.counters.entry(count.workspace.clone());
        let counter = counter.or_insert_with(|| QuotaCounter {
            bucket: TokenBucket::new(initial_level, now),
            initial_level,
            is_coordinator: true,
            is_near_limit: false,
            near_limit_since: 0,
            broadcast_at: 0,
            refusals: Refusals::default(),
            loans: ReceivedLoans::default(),
            granted: VecDeque::new(),
            needs_loans,
        });
        counter.bucket.fill(filling, now);
        counter.needs_loans = needs_loans;
        if let Some(loan) = count.loan {
            counter.loans.add(from, loan, now);
        }
        counter
            .refusals
            .count(f64::from(count.refused_locally), now);
        let is_granted = counter.count(count, now);
        let was_near_limit = counter.is_near_limit;
        counter.update_near_limit(filling);
        if counter.is_near_limit && !was_near_limit {
            counter.near_limit_since = now;
            counter.broadcast_at = now;
            self.broadcasts
                .push(QuotaReply::near_limit(&count.workspace, now));
        }
        QuotaReply {
            id: count.id,
            workspace: count.workspace.clone(),
            is_granted,
            is_near_limit: counter.is_near_limit,
            retry_after_ms: counter.retry_after_ms(limit),
            stamp: now,
            wait_ms: None,
        }
    }

    /// Takes the messages to broadcast.
    pub(super) fn take_broadcasts(&mut self) -> Vec<QuotaReply> {
        std::mem::take(&mut self.broadcasts)
    }

    /// Repeats broadcasts for workspaces that are still near their limits.
    pub(super) fn tick(&mut self, now: Millis) {
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
}

impl QuotaCounter {
    /// Returns the fractions by which the bucket fills, where this box reaches the fraction
    /// `reachable` of all boxes.
    fn fractions(&mut self, reachable: f64, now: Millis) -> Fractions {
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

    /// Counts a request. Returns whether it may be sent; one that needs no grant has been sent
    /// already.
    fn count(&mut self, count: &QuotaCount, now: Millis) -> bool {
        if !count.needs_grant {
            self.bucket.take(f64::from(count.runs.clamp(-1, 1)));
            return true;
        }
        let is_expired = |granted: &Granted| now.saturating_sub(granted.at) >= GRANT_RETENTION_MS;
        while self.granted.front().is_some_and(is_expired) {
            self.granted.pop_front();
        }
        // Requests of this box itself have no id.
        let is_same_request = |granted: &Granted| granted.id == count.id && count.id != 0;
        if self.granted.iter().any(is_same_request) {
            return true;
        }
        let is_granted = self.bucket.try_take();
        if is_granted {
            self.granted.push_back(Granted {
                id: count.id,
                at: now,
            });
        } else {
            self.refusals.count(1.0, now);
        }
        is_granted
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

    fn update_near_limit(&mut self, filling: Filling) {
        let level = self.bucket.level();
        if level < self.near_limit_level(filling) {
            self.is_near_limit = true;
        } else if level >= filling.capacity * RECOVERED_FRACTION {
            self.is_near_limit = false;
        }
    }

    /// Returns when a client that is refused now may retry, assuming that all clients refused
    /// recently come back in the same order.
    fn retry_after_ms(&self, limit: QuotaLimit) -> Millis {
        let debt = (1.0 - self.bucket.level()).max(0.0);
        let ahead = self.refusals.per_s() + debt;
        let ms = ahead / limit.rate_per_s.max(f64::MIN_POSITIVE) * 1_000.0;
        ms.clamp(*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end()) as Millis
    }
}
