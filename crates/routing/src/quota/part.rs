//! What a box knows of one workspace's quota that another box keeps.

use super::loan::{Lending, QuotaLoan};
use super::{Admission, QuotaWord, ToKeeper};
use crate::refusals::spread;
use crate::token_bucket::{Filling, TokenBucket};
use brasswinch_types::Millis;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// How long a box refuses by itself after the keeper refused: with as many boxes as there
/// are, each asks three to five times a second, whatever comes.
const CLOSED_MS: Millis = 200;

/// A keeper that hasn't answered for longer is out of reach: a way there and back is 25 ms,
/// and the rest is for a busy processor.
const SILENT_MS: Millis = 150;

/// Between two questions to a keeper that is out of reach.
const TRY_AGAIN_MS: Millis = 300;

/// Requests of which the keeper has not said anything yet that a box sends unasked; beyond
/// them it asks, so that what runs before boxes hear that a workspace is tight doesn't grow with
/// what comes. No gain shown in the model, whose messages are never slow: the worst of six
/// windows had 2,251 runs with it and 2,233 without, of 2,409 (half of 75 boxes cut off).
const MOST_UNANSWERED: usize = 2;

/// How long an answer is waited for before it counts as lost.
const LOST_MS: Millis = 1_000;

/// Part of an even share that a box admits while its keeper is out of reach.
const ALONE_PART: f64 = 0.5;

/// Requests that a box out of reach may send at once.
const ALONE_BURST: f64 = 1.0;

/// One box's part in one workspace's quota.
#[derive(Debug, Default)]
pub(super) struct QuotaPart {
    /// The keeper said that a request may be sent before it is asked. Nothing else says so: not
    /// that it is silent, not that another box is the keeper now.
    is_loose: bool,
    closed_until: Millis,
    /// Since when the keeper owes an answer.
    unanswered_since: Option<Millis>,
    /// When each request was told that it has not answered yet.
    unanswered: VecDeque<Millis>,
    alone: Option<TokenBucket>,
    /// When a keeper that is out of reach was last asked whether it is back.
    tried_at: Millis,
    keeper: Option<SocketAddr>,
    lending: Lending,
    /// What the keeper last told refused clients, in milliseconds.
    retry_after_ms: Millis,
    turned_away: u32,
    sent: u64,
    refused: u64,
}

impl QuotaPart {
    /// Whether the keeper has to be asked first.
    pub(super) fn is_tight(&self) -> bool {
        !self.is_loose
    }

    /// Whether the next request has to wait for the keeper's answer.
    pub(super) fn has_to_ask(&mut self, now: Millis) -> bool {
        let is_lost = |told_at: &Millis| now.saturating_sub(*told_at) >= LOST_MS;
        while self.unanswered.front().is_some_and(is_lost) {
            self.unanswered.pop_front();
        }
        !self.is_loose || self.unanswered.len() >= MOST_UNANSWERED
    }

    /// Whether the keeper is out of reach.
    pub(super) fn is_alone(&self, now: Millis) -> bool {
        let since = self.unanswered_since;
        since.is_some_and(|since| now.saturating_sub(since) > SILENT_MS)
    }

    /// When to come back, while this box refuses by itself.
    pub(super) fn closed_for(&mut self, random: f64, now: Millis) -> Option<Millis> {
        if now >= self.closed_until {
            return None;
        }
        self.turned_away = self.turned_away.saturating_add(1);
        self.refused += 1;
        let opens_in = self.closed_until - now;
        Some(spread(self.retry_after_ms.max(opens_in), random))
    }

    /// Refuses by itself for a while.
    pub(super) fn close(&mut self, random: f64, now: Millis) {
        self.closed_until = now + spread(CLOSED_MS, random);
    }

    pub(super) fn take_turned_away(&mut self) -> u32 {
        std::mem::take(&mut self.turned_away)
    }

    /// The keeper is told something and has to answer.
    pub(super) fn told(&mut self, now: Millis) {
        self.unanswered_since.get_or_insert(now);
        if self.unanswered.len() < MOST_UNANSWERED {
            self.unanswered.push_back(now);
        }
    }

    pub(super) fn sent(&mut self) {
        self.sent += 1;
    }

    pub(super) fn refused(&mut self) {
        self.refused += 1;
    }

    pub(super) fn sent_total(&self) -> u64 {
        self.sent
    }

    pub(super) fn refused_total(&self) -> u64 {
        self.refused
    }

    /// Takes which box is the keeper. A new one owes nothing.
    pub(super) fn set_keeper(&mut self, keeper: Option<SocketAddr>) {
        if self.keeper != keeper {
            self.keeper = keeper;
            self.unanswered_since = None;
            self.unanswered.clear();
            self.is_loose = false;
        }
    }

    /// The loan that goes with a message to the keeper.
    pub(super) fn lend(&mut self, to: SocketAddr, boxes: usize, now: Millis) -> Option<QuotaLoan> {
        self.lending.lend(to, boxes, now)
    }

    /// Whether a keeper may be using this box's part.
    pub(super) fn is_lent(&self, now: Millis) -> bool {
        self.lending.is_lent(now)
    }

    /// Takes a word of the box at `from`. Only the keeper's counts.
    pub(super) fn hear(&mut self, word: &QuotaWord, from: SocketAddr, now: Millis) {
        if self.keeper != Some(from) {
            return;
        }
        self.lending.hear(from, word.stamp, now);
        self.unanswered_since = None;
        if word.id != 0 {
            self.unanswered.pop_front();
        }
        if word.retry_after_ms > 0 {
            self.retry_after_ms = word.retry_after_ms;
        }
        self.is_loose = !word.is_tight;
    }

    /// Admits a part of the even share `even_rate`, in requests a second, while the keeper is
    /// out of reach. It is told all the same, and asked now and then where there is no room:
    /// it may be back.
    pub(super) fn alone(
        &mut self,
        even_rate: f64,
        to_keeper: Option<ToKeeper>,
        now: Millis,
    ) -> Admission {
        if self.take_alone(even_rate, now) {
            return Admission::Send(to_keeper);
        }
        let is_due = now.saturating_sub(self.tried_at) >= TRY_AGAIN_MS;
        if let Some(mut asked) = to_keeper.filter(|_| is_due) {
            self.tried_at = now;
            asked.count.asks = true;
            return Admission::Ask(asked);
        }
        self.refuse_alone(even_rate, now)
    }

    /// Decides about a request whose question got no answer.
    pub(super) fn unheard(&mut self, even_rate: f64, now: Millis) -> Admission {
        if self.take_alone(even_rate, now) {
            return Admission::Send(None);
        }
        self.refuse_alone(even_rate, now)
    }

    fn take_alone(&mut self, even_rate: f64, now: Millis) -> bool {
        if self.lending.is_lent(now) {
            return false;
        }
        let filling = Filling {
            rate_per_s: even_rate * ALONE_PART,
            capacity: ALONE_BURST,
        };
        let bucket = self
            .alone
            .get_or_insert_with(|| TokenBucket::new(ALONE_BURST, now));
        bucket.fill(filling, now);
        let is_taken = bucket.try_take();
        if is_taken {
            self.sent += 1;
        }
        is_taken
    }

    fn refuse_alone(&mut self, even_rate: f64, now: Millis) -> Admission {
        self.refused += 1;
        let seconds = 1.0 / (even_rate * ALONE_PART).max(f64::MIN_POSITIVE);
        let lent_for_ms = self.lending.lent_until().saturating_sub(now);
        Admission::Refuse {
            retry_after_ms: lent_for_ms.max((seconds * 1_000.0).min(LONGEST_ALONE_MS) as Millis),
        }
    }
}

/// Longest time that a client is told by a box out of its keeper's reach: another box may
/// reach it.
const LONGEST_ALONE_MS: f64 = 1_000.0;
