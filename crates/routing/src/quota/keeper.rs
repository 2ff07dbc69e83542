//! What the keeper of a workspace counts and answers.

use super::{QuotaBounds, QuotaCount, QuotaWord};
use crate::refusals::Refusals;
use crate::token_bucket::{Filling, TokenBucket};
use crate::workspace::QuotaLimit;
use brasswinch_types::{Millis, Workspace};
use std::collections::HashMap;

/// Part of the overage that a new keeper's bucket holds: nobody knows what ran before.
const START_PART: f64 = 0.1;

/// Part of the burst that a bucket holds. The rest is for a keeper that is cut off for less
/// time than others need to notice: it fills up meanwhile. Of 400 replays with 7.5 times the usual
/// requests and such cuts one passed the bound with the whole burst, none with this part.
const BURST_PART: f64 = 0.8;

/// Least that a bucket holds at most, as a part of the overage, where operators allow no
/// burst: requests come in clumps.
const CAPACITY_PART: f64 = 0.25;

/// Part of a bucket's capacity from which on a tight workspace is tight no more.
const LOOSE_PART: f64 = 0.5;

/// Between two words to all boxes that a workspace is tight. A box believes one for three
/// times as long, so two may be lost.
const TELL_AGAIN_MS: Millis = 500;

/// Bounds of the time that refused clients are told, in milliseconds: a request's way at
/// least, and no longer than clients of the shortest deadlines wait.
const RETRY_AFTER_MS: std::ops::RangeInclusive<f64> = 100.0..=5_000.0;

/// One workspace's count.
#[derive(Debug)]
struct Kept {
    bucket: TokenBucket,
    /// What it held when this box began to count.
    start: f64,
    is_mine: bool,
    is_tight: bool,
    told_all_at: Millis,
    refusals: Refusals,
}

/// The counts that this box keeps for all.
#[derive(Debug)]
pub(super) struct QuotaKeeper {
    bounds: QuotaBounds,
    kept: HashMap<Workspace, Kept>,
    /// Part of all boxes that this one reaches.
    share: f64,
    /// Words that all boxes have to be told.
    for_all: Vec<QuotaWord>,
}

impl QuotaKeeper {
    pub(super) fn new(bounds: QuotaBounds) -> Self {
        Self {
            bounds,
            kept: HashMap::new(),
            share: 1.0,
            for_all: Vec::new(),
        }
    }

    /// Takes the part of all boxes that this one reaches.
    pub(super) fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
    }

    pub(super) fn workspaces(&self) -> impl Iterator<Item = &Workspace> {
        self.kept.keys()
    }

    /// Takes whether this box is the keeper now. One that is again doesn't know what the
    /// others let run meanwhile.
    pub(super) fn set_mine(&mut self, workspace: &Workspace, is_mine: bool) {
        let Some(kept) = self.kept.get_mut(workspace) else {
            return;
        };
        if is_mine && !kept.is_mine {
            kept.bucket.lower_to(kept.start);
        }
        kept.is_mine = is_mine;
    }

    pub(super) fn retain(&mut self, is_limited: impl Fn(&Workspace) -> bool) {
        self.kept.retain(|workspace, _| is_limited(workspace));
    }

    pub(super) fn level(&self, workspace: &Workspace) -> Option<f64> {
        let kept = self.kept.get(workspace)?;
        kept.is_mine.then(|| kept.bucket.level())
    }

    /// Counts requests, and says whether one that asks may be sent.
    pub(super) fn count(
        &mut self,
        count: &QuotaCount,
        limit: QuotaLimit,
        now: Millis,
    ) -> QuotaWord {
        let overage = self.bounds.overage(limit);
        let filling = Filling {
            rate_per_s: limit.rate_per_s * self.share,
            capacity: ((limit.burst * BURST_PART).max(overage * CAPACITY_PART) * self.share)
                .max(1.0),
        };
        let start = (overage * START_PART * self.share).min(filling.capacity);
        let kept = self.kept.entry(count.workspace.clone());
        let kept = kept.or_insert_with(|| Kept {
            bucket: TokenBucket::new(start, now),
            start,
            is_mine: true,
            is_tight: false,
            told_all_at: 0,
            refusals: Refusals::default(),
        });
        kept.bucket.fill(filling, now);
        kept.refusals.count(f64::from(count.turned_away), now);
        let is_granted = kept.count(count, now);
        let was_tight = kept.is_tight;
        kept.review(filling);
        if kept.is_tight && !was_tight {
            kept.told_all_at = now;
            self.for_all.push(QuotaWord::tight(&count.workspace));
        }
        QuotaWord {
            id: count.id,
            workspace: count.workspace.clone(),
            is_granted,
            is_tight: kept.is_tight,
            retry_after_ms: kept.retry_after_ms(limit),
        }
    }

    /// Words that all boxes have to be told now.
    pub(super) fn take_words_for_all(&mut self) -> Vec<QuotaWord> {
        std::mem::take(&mut self.for_all)
    }

    /// Looks which tight workspaces all boxes have to be told of again.
    pub(super) fn tick(&mut self, now: Millis) {
        for (workspace, kept) in &mut self.kept {
            let is_due = now.saturating_sub(kept.told_all_at) >= TELL_AGAIN_MS;
            let is_pressed = kept.refusals.is_recent(now);
            if kept.is_tight && kept.is_mine && is_due && is_pressed {
                kept.told_all_at = now;
                self.for_all.push(QuotaWord::tight(workspace));
            }
        }
    }
}

impl Kept {
    /// Counts; says whether a request that asks may be sent. One that doesn't ask is sent
    /// already.
    fn count(&mut self, count: &QuotaCount, now: Millis) -> bool {
        if !count.asks {
            self.bucket.take(f64::from(count.runs.clamp(-1, 1)));
            return true;
        }
        let is_granted = self.bucket.try_take();
        if !is_granted {
            self.refusals.count(1.0, now);
        }
        is_granted
    }

    fn review(&mut self, filling: Filling) {
        let level = self.bucket.level();
        if level < 1.0 {
            self.is_tight = true;
        } else if level >= filling.capacity * LOOSE_PART {
            self.is_tight = false;
        }
    }

    /// When a client that is refused now has its turn, if all that were refused lately come
    /// back in the same order.
    fn retry_after_ms(&self, limit: QuotaLimit) -> Millis {
        let debt = (1.0 - self.bucket.level()).max(0.0);
        let ahead = self.refusals.per_s() + debt;
        let ms = ahead / limit.rate_per_s.max(f64::MIN_POSITIVE) * 1_000.0;
        ms.clamp(*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end()) as Millis
    }
}
