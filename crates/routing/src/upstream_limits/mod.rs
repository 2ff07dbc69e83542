//! Keeps the limits that upstreams name in their answers: requests a second from all boxes
//! together.
//!
//! One box counts for an upstream, its limit's keeper: by rendezvous among the boxes that serve
//! in the upstream's zone, else in its region, else anywhere. So whoever reaches the upstream
//! mostly reaches the keeper too. A box that knows of a limit asks the keeper before each request
//! that it would send there; without its grant the request goes elsewhere. A keeper that is silent
//! grants nothing.
//!
//! A box learns of a limit by an answer of the upstream or from the keeper, which tells all when
//! it hears of the limit first. It learns of the end by an answer to a request that had a grant and
//! names none: the upstream made that answer after it had named the limit. So no clock and no
//! order of messages matters. A box that missed the end asks the keeper once more, and the answer
//! to that request tells it.
//!
//! What boxes that know of the limit send in any span `W` is at most
//!
//! ```text
//! rate * W + 1 + BURST_S * rate                            the keeper's bucket
//!   + TAKEOVER_PART * (rate * W + BURST_S * rate) + 1      one that others take for the keeper
//! ```
//!
//! A box that begins to count for others that knew of the limit before counts in another's place,
//! which may still grant requests to boxes whose view of the membership differs; for `TAKEOVER_MS`
//! it sends a part. A keeper that is dead, frozen or out of reach grants nothing.

mod keeper;
mod limit;
mod message;
mod status;

use crate::refusals::spread;
use crate::rendezvous::{object_hash, weighted_score};
use crate::upstream::UpstreamLife;
use brasswinch_types::{BoxId, Millis, Region, Zone};
use keeper::LimitKeeper;
pub use limit::UpstreamLimit;
pub use message::{LimitNews, LimitQuestion, LimitWord};
pub use status::LimitStatus;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// How long a box sends nothing to an upstream whose limit's keeper did not answer: a dead one
/// is noticed in a second or two, and each question until then would cost a request its wait.
const UNHEARD_MS: Millis = 500;

/// How long after a box that has started last heard of a further one it grants itself nothing:
/// boxes that all start together know only themselves at first. Seven of them sent 313 requests in
/// 4 s without it, of 305 (the model, a limit of 50 a second).
const SETTLED_MS: Millis = 2_000;

/// Most upstreams whose limits one box knows or counts: twenty for each of the 700 sites that
/// the system is built for.
const MOST_LIMITS: usize = 14_000;

/// A box that serves, as limits see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitBox {
    /// The box.
    pub id: BoxId,
    /// Where it stands.
    pub zone: Zone,
    /// Where other boxes reach it.
    pub address: SocketAddr,
}

/// A question to the keeper of an upstream's limit.
#[derive(Clone, Debug, PartialEq)]
pub struct ToLimitKeeper {
    /// Where the keeper is.
    pub address: SocketAddr,
    /// The question.
    pub question: LimitQuestion,
}

/// Whether a request may be sent to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitAdmission {
    /// The upstream names no limit.
    Unlimited,
    /// Its limit has room, and the request is counted.
    Granted,
    /// The keeper has to be asked.
    Ask(ToLimitKeeper),
    /// It may not.
    Refused(LimitRefusal),
}

/// A request that an upstream's limit leaves no room for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitRefusal {
    /// How long this box sends nothing there, in milliseconds.
    pub hold_off_ms: Millis,
    /// When a client comes back best that nobody else serves, in milliseconds.
    pub retry_after_ms: Millis,
}

/// What an answer changes in what a box knows of an upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// It names one, or another one than before.
    Named(UpstreamLimit),
    /// It names none any more.
    Lifted,
}

/// What an answer of an upstream told.
#[derive(Clone, Copy, Debug)]
pub struct LimitAnswer<'a> {
    /// The upstream.
    pub life: &'a UpstreamLife,
    /// Where it stands.
    pub zone: &'a Zone,
    /// The limit that the answer names; `None` where it names none.
    pub limit: Option<UpstreamLimit>,
    /// Whether the request was sent with a grant of the limit's keeper.
    pub had_grant: bool,
}

/// The limits that upstreams name, as one box takes part in keeping them.
#[derive(Debug)]
pub struct UpstreamLimits {
    me: BoxId,
    /// Regions by zone.
    regions: BTreeMap<Zone, Region>,
    boxes: Vec<(LimitBox, u64)>,
    /// The most boxes that were ever known together.
    most_boxes: usize,
    /// When this box last learned, after its start, that there are more.
    grew_at: Millis,
    known: HashMap<UpstreamLife, UpstreamLimit>,
    kept: LimitKeeper,
    /// Messages to be sent.
    out: Vec<(SocketAddr, LimitNews)>,
}

impl UpstreamLimits {
    /// Takes part as `me`.
    pub fn new(me: BoxId, regions: BTreeMap<Zone, Region>) -> Self {
        Self {
            me,
            regions,
            boxes: Vec::new(),
            most_boxes: 0,
            grew_at: 0,
            known: HashMap::new(),
            kept: LimitKeeper::default(),
            out: Vec::new(),
        }
    }

    /// Takes the boxes that serve, this one included if it does.
    pub fn set_boxes(&mut self, boxes: Vec<LimitBox>, now: Millis) {
        if boxes.len() > self.most_boxes {
            self.most_boxes = boxes.len();
            self.grew_at = now;
        }
        if self.boxes.iter().map(|(held, _)| held).eq(&boxes) {
            return;
        }
        let hashed = |held: LimitBox| {
            let hash = object_hash("limit", held.id.as_str().as_bytes());
            (held, hash)
        };
        self.boxes = boxes.into_iter().map(hashed).collect();
    }

    /// Whether this box knows of no limit.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// The limit that an upstream names, as this box knows it.
    pub fn limit(&self, life: &UpstreamLife) -> Option<UpstreamLimit> {
        self.known.get(life).copied()
    }

    /// Says whether a request may be sent to an upstream in `zone`. `id` names the question, and
    /// `random` is drawn from 0 to 1.
    pub fn admit(
        &mut self,
        life: &UpstreamLife,
        zone: &Zone,
        id: u64,
        random: f64,
        now: Millis,
    ) -> LimitAdmission {
        let Some(limit) = self.limit(life) else {
            return LimitAdmission::Unlimited;
        };
        let question = LimitQuestion {
            id,
            life: life.clone(),
            limit,
        };
        match self.other_keeper(life, zone) {
            Some(address) => LimitAdmission::Ask(ToLimitKeeper { address, question }),
            None if now < self.grew_at + SETTLED_MS => {
                LimitAdmission::Refused(Self::unheard(random))
            }
            None => {
                let word = self.kept.answer(&question, now);
                Self::answered(Some(&word), random)
            }
        }
    }

    /// Says what the answer to a question means; `None` where none came in time.
    pub fn answered(word: Option<&LimitWord>, random: f64) -> LimitAdmission {
        match word {
            Some(word) if word.is_granted => LimitAdmission::Granted,
            Some(word) => LimitAdmission::Refused(LimitRefusal {
                hold_off_ms: spread(word.free_in_ms, random),
                retry_after_ms: spread(word.retry_after_ms, random),
            }),
            None => LimitAdmission::Refused(Self::unheard(random)),
        }
    }

    /// What follows from a keeper's silence.
    pub fn unheard(random: f64) -> LimitRefusal {
        LimitRefusal {
            hold_off_ms: spread(UNHEARD_MS, random),
            retry_after_ms: spread(UNHEARD_MS, random),
        }
    }

    /// Answers another box.
    pub fn hear_question(&mut self, question: &LimitQuestion, now: Millis) -> LimitWord {
        if self.limit(&question.life).is_none() {
            self.set_known(&question.life, Some(question.limit));
        }
        self.kept.answer(question, now)
    }

    /// Takes what an upstream's answer named. Says what that changes.
    pub fn named(&mut self, answer: &LimitAnswer<'_>, now: Millis) -> Option<LimitChange> {
        let is_older_answer = answer.limit.is_none() && !answer.had_grant;
        let before = self.limit(answer.life);
        if is_older_answer || before == answer.limit {
            return None;
        }
        let news = LimitNews {
            life: answer.life.clone(),
            limit: answer.limit,
            is_first: before.is_none(),
            is_from_keeper: false,
        };
        match self.other_keeper(answer.life, answer.zone) {
            Some(address) => self.out.push((address, news.clone())),
            None => self.count(&news, now),
        }
        self.set_known(&news.life, news.limit);
        Some(answer.limit.map_or(LimitChange::Lifted, LimitChange::Named))
    }

    /// Takes what another box tells of an upstream's limit. Says what that changes.
    pub fn hear_news(&mut self, news: &LimitNews, now: Millis) -> Option<LimitChange> {
        let before = self.limit(&news.life);
        if news.is_from_keeper && news.limit.is_none() {
            self.kept.named(news, now);
        } else if !news.is_from_keeper {
            self.count(news, now);
        }
        self.set_known(&news.life, news.limit);
        let is_changed = before != news.limit;
        is_changed.then(|| news.limit.map_or(LimitChange::Lifted, LimitChange::Named))
    }

    /// Messages to be sent now.
    pub fn take_news(&mut self) -> Vec<(SocketAddr, LimitNews)> {
        std::mem::take(&mut self.out)
    }

    /// What operators see, by upstream.
    pub fn status(&self, now: Millis) -> Vec<LimitStatus> {
        let status = |(life, limit): (&UpstreamLife, &UpstreamLimit)| LimitStatus {
            upstream: life.upstream.clone(),
            limit: *limit,
            refused_per_s: self.kept.refused_per_s(life, now),
        };
        let mut all: Vec<LimitStatus> = self.known.iter().map(status).collect();
        all.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        all
    }

    /// Forgets lives of upstreams that are over.
    pub fn retain(&mut self, is_held: impl Fn(&UpstreamLife) -> bool) {
        self.known.retain(|life, _| is_held(life));
        self.kept.retain(is_held);
    }

    /// Takes news as the limit's keeper, and tells all boxes where that is due.
    fn count(&mut self, news: &LimitNews, now: Millis) {
        if !self.kept.named(news, now) {
            return;
        }
        let told = LimitNews {
            is_from_keeper: true,
            ..news.clone()
        };
        let others = self.boxes.iter().filter(|(held, _)| held.id != self.me);
        let out = others.map(|(held, _)| (held.address, told.clone()));
        self.out.extend(out);
    }

    fn set_known(&mut self, life: &UpstreamLife, limit: Option<UpstreamLimit>) {
        let Some(limit) = limit else {
            self.known.remove(life);
            return;
        };
        if self.known.len() < MOST_LIMITS || self.known.contains_key(life) {
            self.known.insert(life.clone(), limit);
        }
    }

    /// Where the keeper of the upstream's limit is; `None` where this box is it, or knows no box.
    fn other_keeper(&self, life: &UpstreamLife, zone: &Zone) -> Option<SocketAddr> {
        let region = self.regions.get(zone);
        let in_zone = |held: &LimitBox| &held.zone == zone;
        let in_region = |held: &LimitBox| self.regions.get(&held.zone) == region;
        let keeper = self
            .best_of(life, in_zone)
            .or_else(|| self.best_of(life, in_region))
            .or_else(|| self.best_of(life, |_| true))?;
        (keeper.id != self.me).then_some(keeper.address)
    }

    fn best_of(
        &self,
        life: &UpstreamLife,
        is_candidate: impl Fn(&LimitBox) -> bool,
    ) -> Option<&LimitBox> {
        let upstream = object_hash("limit", life.upstream.as_str().as_bytes());
        let candidates = self.boxes.iter().filter(|(held, _)| is_candidate(held));
        let score = |hash: u64| weighted_score(upstream, hash, 1.0);
        let best = candidates.max_by(|(_, a), (_, b)| score(*a).total_cmp(&score(*b)));
        best.map(|(held, _)| held)
    }
}
