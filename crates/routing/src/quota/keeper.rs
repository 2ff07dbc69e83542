//! What the keeper of a workspace counts and answers.

use super::loan::{HeldParts, LEASE_MS};
use super::{QuotaBounds, QuotaCount, QuotaWord};
use crate::refusals::Refusals;
use crate::token_bucket::{Filling, TokenBucket};
use crate::workspace::QuotaLimit;
use brasswinch_types::{Millis, Workspace};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// Part of the overage that a new keeper's bucket holds: nobody knows what ran before.
const START_PART: f64 = 0.1;

/// Requests that it holds at least: one of a workspace that asks for little is not to wait until
/// some part of a second's rate has come.
const LEAST_START: f64 = 1.0;

/// Part of the burst that a bucket holds. The rest is for a keeper that is cut off for less
/// time than others need to notice: it fills up meanwhile. Of 400 replays with 7.5 times the usual
/// requests and such cuts one passed the bound with the whole burst, none with this part.
const BURST_PART: f64 = 0.8;

/// Least that a bucket holds at most, as a part of the overage, where operators allow no
/// burst: requests come in clumps.
const CAPACITY_PART: f64 = 0.25;

/// Until boxes have heard that a workspace is tight and their loans have come, in seconds: a way
/// there and back of 60 ms, and a lost message now and then.
const LENT_WITHIN_S: f64 = 0.2;

/// Most of a bucket's capacity that is left for that.
const TIGHT_PART: f64 = 0.25;

/// Within which a question that got no answer comes again: two waits of 60 ms, and its way.
const ASKED_AGAIN_MS: Millis = 200;

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
    tight_since: Millis,
    told_all_at: Millis,
    refusals: Refusals,
    held: HeldParts,
    needs_loans: bool,
    /// Requests that were granted lately: one that is asked for again takes nothing more.
    granted: VecDeque<Granted>,
}

/// A request that was granted.
#[derive(Clone, Copy, Debug)]
struct Granted {
    id: u64,
    at: Millis,
}

/// Parts of a quota that a keeper may let run.
#[derive(Clone, Copy, Debug)]
struct Shares {
    of_rate: f64,
    of_capacity: f64,
}

impl Shares {
    fn all(share: f64) -> Self {
        Self {
            of_rate: share,
            of_capacity: share,
        }
    }
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

    /// Counts requests of the box at `from`, and says whether one that asks may be sent.
    pub(super) fn count(
        &mut self,
        count: &QuotaCount,
        from: SocketAddr,
        limit: QuotaLimit,
        now: Millis,
    ) -> QuotaWord {
        let overage = self.bounds.overage(limit);
        let needs_loans = self.bounds.needs_loans(limit);
        let known = self.kept.get_mut(&count.workspace);
        let shares = match known.filter(|_| needs_loans) {
            Some(kept) => kept.shares(self.share, now),
            None => Shares::all(self.share),
        };
        let capacity = (limit.burst * BURST_PART).max(overage * CAPACITY_PART);
        let filling = Filling {
            rate_per_s: limit.rate_per_s * shares.of_rate,
            capacity: (capacity * shares.of_capacity).max(1.0),
        };
        let start = (overage * START_PART * self.share).clamp(LEAST_START, filling.capacity);
        let kept = self.kept.entry(count.workspace.clone());
        let kept = kept.or_insert_with(|| Kept {
            bucket: TokenBucket::new(start, now),
            start,
            is_mine: true,
            is_tight: false,
            tight_since: 0,
            told_all_at: 0,
            refusals: Refusals::default(),
            held: HeldParts::default(),
            granted: VecDeque::new(),
            needs_loans,
        });
        kept.bucket.fill(filling, now);
        kept.needs_loans = needs_loans;
        if let Some(loan) = count.loan {
            kept.held.take(from, loan, now);
        }
        kept.refusals.count(f64::from(count.turned_away), now);
        let is_granted = kept.count(count, now);
        let was_tight = kept.is_tight;
        kept.review(filling);
        if kept.is_tight && !was_tight {
            kept.tight_since = now;
            kept.told_all_at = now;
            self.for_all.push(QuotaWord::tight(&count.workspace, now));
        }
        QuotaWord {
            id: count.id,
            workspace: count.workspace.clone(),
            is_granted,
            is_tight: kept.is_tight,
            retry_after_ms: kept.retry_after_ms(limit),
            stamp: now,
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
            // Its bucket fills by what boxes lend, and each word asks them for it.
            let is_pressed = kept.needs_loans || kept.refusals.is_recent(now);
            if kept.is_tight && kept.is_mine && is_due && is_pressed {
                kept.told_all_at = now;
                self.for_all.push(QuotaWord::tight(workspace, now));
            }
        }
    }
}

impl Kept {
    /// The parts by which the bucket fills, where this box reaches `reached` of all boxes.
    fn shares(&mut self, reached: f64, now: Millis) -> Shares {
        let lent = self.held.sum(now);
        if !self.is_tight {
            // Boxes that send little lend nothing now.
            return Shares::all(reached);
        }
        // What it held before is not lost while loans are on their way.
        let is_asked_for = now.saturating_sub(self.tight_since) < LEASE_MS;
        Shares {
            of_rate: lent,
            of_capacity: if is_asked_for { reached } else { lent },
        }
    }

    /// Counts; says whether a request that asks may be sent. One that doesn't ask is sent
    /// already.
    fn count(&mut self, count: &QuotaCount, now: Millis) -> bool {
        if !count.asks {
            self.bucket.take(f64::from(count.runs.clamp(-1, 1)));
            return true;
        }
        let is_old = |granted: &Granted| now.saturating_sub(granted.at) >= ASKED_AGAIN_MS;
        while self.granted.front().is_some_and(is_old) {
            self.granted.pop_front();
        }
        // The box's own requests have no number.
        let is_known = |granted: &Granted| granted.id == count.id && count.id != 0;
        if self.granted.iter().any(is_known) {
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

    /// The level below which the workspace is tight. Loans are asked for while the bucket still
    /// holds what is sent until they come.
    fn least(&self, filling: Filling) -> f64 {
        if !self.needs_loans {
            return 1.0;
        }
        let until_lent = filling.rate_per_s * LENT_WITHIN_S;
        1.0 + until_lent.min(filling.capacity * TIGHT_PART)
    }

    fn review(&mut self, filling: Filling) {
        let level = self.bucket.level();
        if level < self.least(filling) {
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
