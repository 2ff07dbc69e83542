//! The coordinator's side of an upstream's limit: counts requests and grants them.

use super::{LimitQuery, LimitReply, LimitUpdate, MAX_LIMITS, UpstreamLimit};
use crate::refusals::Refusals;
use crate::token_bucket::{Filling, TokenBucket};
use crate::upstream::UpstreamIncarnation;
use brasswinch_types::Millis;
use std::collections::HashMap;

/// Minimum rate, whatever the limit: only a response shows that a limit has ended. In 4 s these
/// are two requests, of the five that are allowed under a limit of 0.
const MIN_RATE_PER_S: f64 = 0.5;

/// Capacity of a bucket, in seconds of the limit's rate, since requests arrive in clumps. In 4 s
/// it adds a sixteenth of the limit, of the half by which the limit may be exceeded.
const BURST_S: f64 = 0.25;

/// Fraction of the limit that a box grants when it takes over as coordinator: the previous one may
/// still grant requests to boxes that don't know of the change. Both together stay below one and a
/// half times the limit, bursts included.
const TAKEOVER_FRACTION: f64 = 0.4;

/// Duration of that period. Views of the membership have been seen to differ for 4 s (75 boxes,
/// one of them with more datagrams than it could handle).
const TAKEOVER_MS: Millis = 10_000;

/// Time without queries after which a box is assumed to have been replaced as coordinator: refused
/// boxes ask again within 3 s. Without it, a coordinator that others considered dead twice, 15 s
/// apart, and its substitute sent 41 requests in 4 s, of 40.4 allowed (in simulation, with a limit
/// of 5.9 per second).
const COORDINATOR_IDLE_MS: Millis = 5_000;

/// Bounds of the time until the next request may be granted, as sent to boxes, in milliseconds: a
/// round trip, and the interval at `MIN_RATE_PER_S`.
const NEXT_GRANT_IN_MS: std::ops::RangeInclusive<f64> = 50.0..=2_000.0;

/// Number of requests of other boxes that a refused box lets go first.
const YIELDED_REQUESTS: f64 = 2.0;

/// Bounds of the retry time for refused clients, in milliseconds: at least the time that a request
/// takes to arrive, and no longer than the clients with the shortest deadlines wait.
const RETRY_AFTER_MS: std::ops::RangeInclusive<f64> = 100.0..=5_000.0;

/// The count of one upstream.
#[derive(Debug)]
struct LimitCounter {
    limit: UpstreamLimit,
    bucket: TokenBucket,
    refusals: Refusals,
    /// Whether the limit was broadcast to all boxes.
    is_broadcast: bool,
    /// Until when another box may coordinate the limit as well.
    takeover_until: Millis,
    /// When the last query arrived, or when counting began.
    queried_at: Millis,
}

impl LimitCounter {
    /// Returns how the bucket fills.
    fn filling(&self, now: Millis) -> Filling {
        let fraction = if now < self.takeover_until {
            TAKEOVER_FRACTION
        } else {
            1.0
        };
        let rate_per_s = self.limit.per_s().max(MIN_RATE_PER_S) * fraction;
        Filling {
            rate_per_s,
            capacity: 1.0 + rate_per_s * BURST_S,
        }
    }
}

/// The limits that this box coordinates or has coordinated.
#[derive(Debug, Default)]
pub(super) struct LimitCoordinator {
    counters: HashMap<UpstreamIncarnation, LimitCounter>,
}

impl LimitCoordinator {
    /// Records a declared limit or its end. Returns whether it has to be broadcast.
    pub(super) fn record(&mut self, update: &LimitUpdate, now: Millis) -> bool {
        let Some(limit) = update.limit else {
            return self.counters.remove(&update.incarnation).is_some();
        };
        let takeover_ms = if update.is_first { 0 } else { TAKEOVER_MS };
        let Some(counter) = self.get_or_insert(&update.incarnation, limit, takeover_ms, now) else {
            return false;
        };
        counter.limit = limit;
        !std::mem::replace(&mut counter.is_broadcast, true)
    }

    /// Decides about a query, and counts the request if it is granted.
    pub(super) fn answer(&mut self, query: &LimitQuery, now: Millis) -> LimitReply {
        let counter = self.get_or_insert(&query.incarnation, query.limit, TAKEOVER_MS, now);
        let Some(counter) = counter else {
            return LimitReply {
                id: query.id,
                is_granted: false,
                next_grant_in_ms: *NEXT_GRANT_IN_MS.end() as Millis,
                retry_after_ms: *NEXT_GRANT_IN_MS.end() as Millis,
            };
        };
        if now.saturating_sub(counter.queried_at) >= COORDINATOR_IDLE_MS {
            counter.takeover_until = now + TAKEOVER_MS;
        }
        counter.queried_at = now;
        let filling = counter.filling(now);
        let rate_per_s = filling.rate_per_s;
        counter.bucket.fill(filling, now);
        let is_granted = counter.bucket.try_take();
        if !is_granted {
            counter.refusals.count(1.0, now);
        }
        let tokens_missing = (YIELDED_REQUESTS - counter.bucket.level()).max(0.0);
        let requests_ahead = counter.refusals.per_s() + tokens_missing;
        LimitReply {
            id: query.id,
            is_granted,
            next_grant_in_ms: bounded_ms(tokens_missing / rate_per_s, NEXT_GRANT_IN_MS),
            retry_after_ms: bounded_ms(requests_ahead / rate_per_s, RETRY_AFTER_MS),
        }
    }

    /// Returns the recent refusals per second; `None` where this box doesn't coordinate the limit.
    pub(super) fn refused_per_s(
        &self,
        incarnation: &UpstreamIncarnation,
        now: Millis,
    ) -> Option<f64> {
        let refusals = self.counters.get(incarnation)?.refusals;
        let is_recent = refusals.is_recent(now);
        Some(if is_recent { refusals.per_s() } else { 0.0 })
    }

    /// Removes limits of upstream instances that are gone.
    pub(super) fn retain(&mut self, is_live: impl Fn(&UpstreamIncarnation) -> bool) {
        self.counters.retain(|incarnation, _| is_live(incarnation));
    }

    /// Returns the upstream's count, or starts one with an empty bucket, since the number of
    /// recent requests is unknown. Returns `None` where there are too many limits.
    fn get_or_insert(
        &mut self,
        incarnation: &UpstreamIncarnation,
        limit: UpstreamLimit,
        takeover_ms: Millis,
        now: Millis,
    ) -> Option<&mut LimitCounter> {
        if self.counters.len() >= MAX_LIMITS && !self.counters.contains_key(incarnation) {
            return None;
        }
        let counter = self
            .counters
            .entry(incarnation.clone())
            .or_insert_with(|| LimitCounter {
                limit,
                bucket: TokenBucket::new(0.0, now),
                refusals: Refusals::default(),
                is_broadcast: false,
                takeover_until: now + takeover_ms,
                queried_at: now,
            });
        Some(counter)
    }
}

fn bounded_ms(seconds: f64, bounds: std::ops::RangeInclusive<f64>) -> Millis {
    (seconds * 1_000.0).clamp(*bounds.start(), *bounds.end()) as Millis
}
