//! What the keeper of an upstream's limit counts and answers.

use super::{LimitNews, LimitQuestion, LimitWord, MOST_LIMITS, UpstreamLimit};
use crate::refusals::Refusals;
use crate::token_bucket::{Filling, TokenBucket};
use crate::upstream::UpstreamLife;
use brasswinch_types::Millis;
use std::collections::HashMap;

/// Requests a second that are sent whatever the limit: nothing but an answer tells that it has
/// ended. In 4 s it is two, of the five that are allowed under a limit of 0.
const LEAST_PER_S: f64 = 0.5;

/// Seconds of the limit that a bucket holds: requests come in clumps. In 4 s it is a sixteenth
/// of what is allowed, of the third that may be over.
const BURST_S: f64 = 0.25;

/// Part of a limit that a box sends which counts in another's place: that one may still grant
/// requests to boxes that don't know of the change. Both together stay under half as many again, bursts
/// included.
const TAKEOVER_PART: f64 = 0.4;

/// How long: views of the membership have been seen to differ for 4 s (75 boxes, one of them with
/// more datagrams than it can handle).
const TAKEOVER_MS: Millis = 10_000;

/// How long after it was last asked a box is taken to have counted for nobody: refused boxes ask
/// again within 3 s. Without it a keeper that others took for dead twice, 15 s apart, and its
/// substitute sent 41 requests in 4 s, of 40.4 (the model, a limit of 5.9 a second).
const NOT_ASKED_MS: Millis = 5_000;

/// Bounds of the time until the next request may be sent, as boxes are told it, in
/// milliseconds: a way there and back, and what a limit of `LEAST_PER_S` takes.
const FREE_IN_MS: std::ops::RangeInclusive<f64> = 50.0..=2_000.0;

/// Requests by which a box that was refused lets others go first.
const TURNS: f64 = 2.0;

/// Bounds of the time that refused clients are told, in milliseconds: a request's way at
/// least, and no longer than clients of the shortest deadlines wait.
const RETRY_AFTER_MS: std::ops::RangeInclusive<f64> = 100.0..=5_000.0;

/// One upstream's count.
#[derive(Debug)]
struct Kept {
    limit: UpstreamLimit,
    bucket: TokenBucket,
    refusals: Refusals,
    /// All boxes were told of the limit.
    has_told_all: bool,
    /// Until when another box may count as well.
    takeover_until: Millis,
    /// When it was last asked, or began to count.
    asked_at: Millis,
}

impl Kept {
    /// How the bucket fills.
    fn filling(&self, now: Millis) -> Filling {
        let part = if now < self.takeover_until {
            TAKEOVER_PART
        } else {
            1.0
        };
        let rate_per_s = self.limit.per_s().max(LEAST_PER_S) * part;
        Filling {
            rate_per_s,
            capacity: 1.0 + rate_per_s * BURST_S,
        }
    }
}

/// The counts that this box keeps for all.
#[derive(Debug, Default)]
pub(super) struct LimitKeeper {
    kept: HashMap<UpstreamLife, Kept>,
}

impl LimitKeeper {
    /// Takes what an answer named. Says whether all boxes have to be told.
    pub(super) fn named(&mut self, news: &LimitNews, now: Millis) -> bool {
        let Some(limit) = news.limit else {
            return self.kept.remove(&news.life).is_some();
        };
        let takeover_ms = if news.is_first { 0 } else { TAKEOVER_MS };
        let Some(kept) = self.begin(&news.life, limit, takeover_ms, now) else {
            return false;
        };
        kept.limit = limit;
        !std::mem::replace(&mut kept.has_told_all, true)
    }

    /// Says whether a request may be sent, and counts it then.
    pub(super) fn answer(&mut self, question: &LimitQuestion, now: Millis) -> LimitWord {
        let begun = self.begin(&question.life, question.limit, TAKEOVER_MS, now);
        let Some(kept) = begun else {
            return LimitWord {
                id: question.id,
                is_granted: false,
                free_in_ms: *FREE_IN_MS.end() as Millis,
                retry_after_ms: *FREE_IN_MS.end() as Millis,
            };
        };
        if now.saturating_sub(kept.asked_at) >= NOT_ASKED_MS {
            kept.takeover_until = now + TAKEOVER_MS;
        }
        kept.asked_at = now;
        let filling = kept.filling(now);
        let rate_per_s = filling.rate_per_s;
        kept.bucket.fill(filling, now);
        let is_granted = kept.bucket.try_take();
        if !is_granted {
            kept.refusals.count(1.0, now);
        }
        let missing = (TURNS - kept.bucket.level()).max(0.0);
        let ahead = kept.refusals.per_s() + missing;
        LimitWord {
            id: question.id,
            is_granted,
            free_in_ms: bounded_ms(missing / rate_per_s, FREE_IN_MS),
            retry_after_ms: bounded_ms(ahead / rate_per_s, RETRY_AFTER_MS),
        }
    }

    /// Requests a second that were lately refused; `None` where this box doesn't count.
    pub(super) fn refused_per_s(&self, life: &UpstreamLife, now: Millis) -> Option<f64> {
        let refusals = self.kept.get(life)?.refusals;
        let is_recent = refusals.is_recent(now);
        Some(if is_recent { refusals.per_s() } else { 0.0 })
    }

    /// Forgets lives of upstreams that are over.
    pub(super) fn retain(&mut self, is_held: impl Fn(&UpstreamLife) -> bool) {
        self.kept.retain(|life, _| is_held(life));
    }

    /// Begins to count with nothing to give: nobody knows what was sent just now.
    fn begin(
        &mut self,
        life: &UpstreamLife,
        limit: UpstreamLimit,
        takeover_ms: Millis,
        now: Millis,
    ) -> Option<&mut Kept> {
        if self.kept.len() >= MOST_LIMITS && !self.kept.contains_key(life) {
            return None;
        }
        let kept = self.kept.entry(life.clone()).or_insert_with(|| Kept {
            limit,
            bucket: TokenBucket::new(0.0, now),
            refusals: Refusals::default(),
            has_told_all: false,
            takeover_until: now + takeover_ms,
            asked_at: now,
        });
        Some(kept)
    }
}

fn bounded_ms(seconds: f64, bounds: std::ops::RangeInclusive<f64>) -> Millis {
    (seconds * 1_000.0).clamp(*bounds.start(), *bounds.end()) as Millis
}
