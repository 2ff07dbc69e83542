//! Enforces the rate limits that upstreams declare in their responses: requests per second from
//! all boxes together.
//!
//! One box, the limit's coordinator, counts the requests to an upstream. It is chosen by
//! rendezvous hashing among the serving boxes in the upstream's zone, else in its region, else
//! anywhere. So a box that reaches the upstream usually reaches the coordinator too. A box that
//! knows of a limit asks the coordinator for a grant before each request to that upstream; without
//! a grant the request goes elsewhere. A coordinator that doesn't reply grants nothing.
//!
//! A box learns of a limit from a response of the upstream or from the coordinator, which
//! broadcasts the limit when it first learns of it. A box learns of the limit's end from a
//! response that names no limit, to a request that had a grant: the upstream made that response
//! after it had declared the limit. So neither clocks nor the order of messages matter. A box that
//! missed the end asks the coordinator once more, and learns of the end from the response to that
//! request.
//!
//! In any time span `W`, the requests sent by boxes that know of the limit are at most
//!
//! ```text
//! rate * W + 1 + BURST_S * rate                                the coordinator's bucket
//!   + TAKEOVER_FRACTION * (rate * W + BURST_S * rate) + 1      a second box taken for coordinator
//! ```
//!
//! A box that begins to coordinate a limit that others knew before may take over from a
//! coordinator that still grants requests to boxes with a different view of the membership. For
//! `TAKEOVER_MS` it grants only a fraction of the limit. A coordinator that is dead, frozen or
//! unreachable grants nothing.

mod coordinator;
mod limit;
mod message;
mod status;

use crate::refusals::with_jitter;
use crate::rendezvous::{object_hash, weighted_score};
use crate::upstream::UpstreamIncarnation;
use brasswinch_types::{BoxId, Millis, Region, Zone};
use coordinator::LimitCoordinator;
pub use limit::UpstreamLimit;
pub use message::{LimitQuery, LimitReply, LimitUpdate};
pub use status::LimitStatus;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// How long a box sends nothing to an upstream whose coordinator didn't reply. A dead coordinator
/// is detected within a second or two, and until then each request to it would wait for the full
/// timeout.
const NO_REPLY_HOLD_OFF_MS: Millis = 500;

/// Time after the last discovery of a further box during which a started box grants itself
/// nothing: boxes that all start together know only themselves at first. Without it, seven boxes
/// sent 313 requests in 4 s, of 305 allowed (in simulation, with a limit of 50 per second).
const SETTLE_MS: Millis = 2_000;

/// Most upstreams whose limits one box knows or coordinates: twenty for each of the 700 sites that
/// the system is built for.
const MAX_LIMITS: usize = 14_000;

/// A serving box, as seen by limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitBox {
    /// The box.
    pub id: BoxId,
    /// The box's zone.
    pub zone: Zone,
    /// Address for messages of other boxes.
    pub address: SocketAddr,
}

/// A query to the coordinator of an upstream's limit.
#[derive(Clone, Debug, PartialEq)]
pub struct ToLimitCoordinator {
    /// The coordinator's address.
    pub address: SocketAddr,
    /// The query.
    pub query: LimitQuery,
}

/// The decision about a request to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitAdmission {
    /// The upstream has no limit.
    Unlimited,
    /// The request is granted and counted.
    Granted,
    /// The coordinator must grant the request first.
    Ask(ToLimitCoordinator),
    /// The request must not be sent.
    Refused(LimitRefusal),
}

/// A refusal because of an upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitRefusal {
    /// How long this box sends nothing to the upstream, in milliseconds.
    pub hold_off_ms: Millis,
    /// Retry time for a client that no other upstream serves, in milliseconds.
    pub retry_after_ms: Millis,
}

/// A change of an upstream's limit, as known to a box.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The upstream declared a limit, or a different one.
    Named(UpstreamLimit),
    /// The upstream no longer declares a limit.
    Lifted,
}

/// The limit observed in a response of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct ObservedLimit<'a> {
    /// The upstream.
    pub incarnation: &'a UpstreamIncarnation,
    /// The upstream's zone.
    pub zone: &'a Zone,
    /// The limit that the response names, if any.
    pub limit: Option<UpstreamLimit>,
    /// Whether the request had a grant of the coordinator.
    pub had_grant: bool,
}

/// One box's state of the limits that upstreams declare.
#[derive(Debug)]
pub struct UpstreamLimits {
    me: BoxId,
    /// Regions by zone.
    regions: BTreeMap<Zone, Region>,
    boxes: Vec<(LimitBox, u64)>,
    /// Most boxes ever known at once.
    max_known_boxes: usize,
    /// When the number of known boxes last grew.
    grew_at: Millis,
    known: HashMap<UpstreamIncarnation, UpstreamLimit>,
    coordinated: LimitCoordinator,
    /// Outgoing messages.
    outgoing: Vec<(SocketAddr, LimitUpdate)>,
}

impl UpstreamLimits {
    /// Creates the state of the box `me`.
    pub fn new(me: BoxId, regions: BTreeMap<Zone, Region>) -> Self {
        Self {
            me,
            regions,
            boxes: Vec::new(),
            max_known_boxes: 0,
            grew_at: 0,
            known: HashMap::new(),
            coordinated: LimitCoordinator::default(),
            outgoing: Vec::new(),
        }
    }

    /// Sets the serving boxes, including this one if it serves.
    pub fn set_boxes(&mut self, boxes: Vec<LimitBox>, now: Millis) {
        if boxes.len() > self.max_known_boxes {
            self.max_known_boxes = boxes.len();
            self.grew_at = now;
        }
        if self.boxes.iter().map(|(limit_box, _)| limit_box).eq(&boxes) {
            return;
        }
        let hashed = |limit_box: LimitBox| {
            let hash = object_hash("limit", limit_box.id.as_str().as_bytes());
            (limit_box, hash)
        };
        self.boxes = boxes.into_iter().map(hashed).collect();
    }

    /// Whether this box knows of no limit.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the upstream's limit, as known to this box.
    pub fn limit(&self, incarnation: &UpstreamIncarnation) -> Option<UpstreamLimit> {
        self.known.get(incarnation).copied()
    }

    /// Decides whether a request may be sent to an upstream in `zone`. `id` identifies the query,
    /// and `random` is drawn from 0 to 1.
    pub fn admit(
        &mut self,
        incarnation: &UpstreamIncarnation,
        zone: &Zone,
        id: u64,
        random: f64,
        now: Millis,
    ) -> LimitAdmission {
        let Some(limit) = self.limit(incarnation) else {
            return LimitAdmission::Unlimited;
        };
        let query = LimitQuery {
            id,
            incarnation: incarnation.clone(),
            limit,
        };
        match self.remote_coordinator(incarnation, zone) {
            Some(address) => LimitAdmission::Ask(ToLimitCoordinator { address, query }),
            None if now < self.grew_at + SETTLE_MS => {
                LimitAdmission::Refused(Self::no_reply_refusal(random))
            }
            None => {
                let reply = self.coordinated.answer(&query, now);
                Self::admission_from_reply(Some(&reply), random)
            }
        }
    }

    /// Converts the reply to a query into a decision; `None` if no reply arrived in time.
    pub fn admission_from_reply(reply: Option<&LimitReply>, random: f64) -> LimitAdmission {
        match reply {
            Some(reply) if reply.is_granted => LimitAdmission::Granted,
            Some(reply) => LimitAdmission::Refused(LimitRefusal {
                hold_off_ms: with_jitter(reply.next_grant_in_ms, random),
                retry_after_ms: with_jitter(reply.retry_after_ms, random),
            }),
            None => LimitAdmission::Refused(Self::no_reply_refusal(random)),
        }
    }

    /// Returns the refusal that follows when the coordinator doesn't reply.
    pub fn no_reply_refusal(random: f64) -> LimitRefusal {
        LimitRefusal {
            hold_off_ms: with_jitter(NO_REPLY_HOLD_OFF_MS, random),
            retry_after_ms: with_jitter(NO_REPLY_HOLD_OFF_MS, random),
        }
    }

    /// Handles a query of another box.
    pub fn handle_query(&mut self, query: &LimitQuery, now: Millis) -> LimitReply {
        if self.limit(&query.incarnation).is_none() {
            self.set_known(&query.incarnation, Some(query.limit));
        }
        self.coordinated.answer(query, now)
    }

    /// Handles a response of an upstream. Returns the change of the known limit, if any.
    pub fn record_observed(
        &mut self,
        answer: &ObservedLimit<'_>,
        now: Millis,
    ) -> Option<LimitChange> {
        let may_be_outdated = answer.limit.is_none() && !answer.had_grant;
        let before = self.limit(answer.incarnation);
        if may_be_outdated || before == answer.limit {
            return None;
        }
        let update = LimitUpdate {
            incarnation: answer.incarnation.clone(),
            limit: answer.limit,
            is_first: before.is_none(),
            is_from_coordinator: false,
        };
        match self.remote_coordinator(answer.incarnation, answer.zone) {
            Some(address) => self.outgoing.push((address, update.clone())),
            None => self.coordinate(&update, now),
        }
        self.set_known(&update.incarnation, update.limit);
        Some(answer.limit.map_or(LimitChange::Lifted, LimitChange::Named))
    }

    /// Handles an update from another box. Returns the change of the known limit, if any.
    pub fn handle_update(&mut self, update: &LimitUpdate, now: Millis) -> Option<LimitChange> {
        let before = self.limit(&update.incarnation);
        if update.is_from_coordinator && update.limit.is_none() {
            self.coordinated.record(update, now);
        } else if !update.is_from_coordinator {
            self.coordinate(update, now);
        }
        self.set_known(&update.incarnation, update.limit);
        let is_changed = before != update.limit;
        is_changed.then(|| update.limit.map_or(LimitChange::Lifted, LimitChange::Named))
    }

    /// Takes the outgoing messages.
    pub fn take_updates(&mut self) -> Vec<(SocketAddr, LimitUpdate)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Returns the status of the limits, ordered by upstream.
    pub fn status(&self, now: Millis) -> Vec<LimitStatus> {
        let status = |(incarnation, limit): (&UpstreamIncarnation, &UpstreamLimit)| LimitStatus {
            upstream: incarnation.upstream.clone(),
            limit: *limit,
            refused_per_s: self.coordinated.refused_per_s(incarnation, now),
        };
        let mut all: Vec<LimitStatus> = self.known.iter().map(status).collect();
        all.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        all
    }

    /// Removes limits of upstream instances that are gone.
    pub fn retain(&mut self, is_live: impl Fn(&UpstreamIncarnation) -> bool) {
        self.known.retain(|incarnation, _| is_live(incarnation));
        self.coordinated.retain(is_live);
    }

    /// Handles an update as the limit's coordinator, and broadcasts it where necessary.
    fn coordinate(&mut self, update: &LimitUpdate, now: Millis) {
        if !self.coordinated.record(update, now) {
            return;
        }
        let update = LimitUpdate {
            is_from_coordinator: true,
            ..update.clone()
        };
        let others = self
            .boxes
            .iter()
            .filter(|(limit_box, _)| limit_box.id != self.me);
        let outgoing = others.map(|(limit_box, _)| (limit_box.address, update.clone()));
        self.outgoing.extend(outgoing);
    }

    fn set_known(&mut self, incarnation: &UpstreamIncarnation, limit: Option<UpstreamLimit>) {
        let Some(limit) = limit else {
            self.known.remove(incarnation);
            return;
        };
        if self.known.len() < MAX_LIMITS || self.known.contains_key(incarnation) {
            self.known.insert(incarnation.clone(), limit);
        }
    }

    /// Returns the address of the limit's coordinator; `None` where that is this box, or no box is
    /// known.
    fn remote_coordinator(
        &self,
        incarnation: &UpstreamIncarnation,
        zone: &Zone,
    ) -> Option<SocketAddr> {
        let region = self.regions.get(zone);
        let in_zone = |limit_box: &LimitBox| &limit_box.zone == zone;
        let in_region = |limit_box: &LimitBox| self.regions.get(&limit_box.zone) == region;
        let coordinator = self
            .highest_ranked(incarnation, in_zone)
            .or_else(|| self.highest_ranked(incarnation, in_region))
            .or_else(|| self.highest_ranked(incarnation, |_| true))?;
        (coordinator.id != self.me).then_some(coordinator.address)
    }

    fn highest_ranked(
        &self,
        incarnation: &UpstreamIncarnation,
        is_candidate: impl Fn(&LimitBox) -> bool,
    ) -> Option<&LimitBox> {
        let upstream = object_hash("limit", incarnation.upstream.as_str().as_bytes());
        let candidates = self
            .boxes
            .iter()
            .filter(|(limit_box, _)| is_candidate(limit_box));
        let score = |hash: u64| weighted_score(upstream, hash, 1.0);
        let highest = candidates.max_by(|(_, a), (_, b)| score(*a).total_cmp(&score(*b)));
        highest.map(|(limit_box, _)| limit_box)
    }
}
