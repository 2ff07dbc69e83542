//! Selects the coordinator of each upstream, and answers queries on that box.

use super::advice::{Advice, Ending, Question};
use super::service_upstreams::{ServiceUpstreams, is_usable};
use super::{Placement, UpstreamOutcome, Wanted};
use crate::rendezvous::{object_hash, weighted_score};
use crate::workspace::{Rank, RegionLimits};
use brasswinch_types::{BoxId, Millis};
use std::collections::BTreeSet;

/// Largest number of requests, as a multiple of its slots, at an upstream already chosen for the
/// object; from there on another upstream of this coordinator is advised. A box queues longer at a
/// home, since its alternative is in another region; with that higher limit here there were up to
/// 28 late answers at upstreams that had served their objects, compared with 22 (45 boxes, full
/// load).
const MOST_AT_KNOWN: f64 = 1.6;

/// Cost of each assigned object, in slots: the load of its later requests, at 0.44 per second of
/// 0.34 s each. It spreads first runs, when request counts alone say little.
const OBJECT_WEIGHT: f64 = 0.15;

/// Cost of an upstream that isn't the object's home, as a multiple of its slots: a restarted
/// coordinator has forgotten where it sent each object. With 0.05, 0.4 and 0.8 the total answer
/// value was 0.847, 0.871 and 0.884 when all boxes restart, and 0.904, 0.904 and 0.900 under full
/// load (60 boxes).
const AWAY: f64 = 0.4;

/// The coordinators of a region: its serving boxes.
#[derive(Debug, Default)]
pub(super) struct Keepers {
    boxes: Vec<(BoxId, u64)>,
    me: Option<u64>,
    /// Smallest number of boxes that coordinate.
    least: usize,
}

impl Keepers {
    fn new(boxes: Vec<BoxId>, me: &BoxId, least: usize) -> Self {
        let is_keeper = boxes.contains(me);
        let hashed = |id: BoxId| {
            let hash = box_hash(&id);
            (id, hash)
        };
        Self {
            me: is_keeper.then(|| box_hash(me)),
            boxes: boxes.into_iter().map(hashed).collect(),
            least,
        }
    }

    /// Returns the coordinator of an upstream, which is the same on all boxes with the same view
    /// of the region; `None` in a small region.
    fn of(&self, upstream: u64) -> Option<&BoxId> {
        if self.boxes.len() < self.least {
            return None;
        }
        let score = |(_, hash): &&(BoxId, u64)| weighted_score(upstream, *hash, 1.0);
        let keeper = self
            .boxes
            .iter()
            .max_by(|a, b| score(a).total_cmp(&score(b)))?;
        Some(&keeper.0)
    }

    /// Whether this box is the upstream's coordinator.
    pub(super) fn is_mine(&self, upstream: u64) -> bool {
        let Some(me) = self.me else {
            return false;
        };
        let mine = weighted_score(upstream, me, 1.0);
        let mut others = self.boxes.iter().filter(|(_, hash)| *hash != me);
        others.all(|(_, other)| weighted_score(upstream, *other, 1.0) < mine)
    }
}

fn box_hash(id: &BoxId) -> u64 {
    object_hash("box", id.as_str().as_bytes())
}

impl Placement {
    /// Sets the serving boxes of the own region, including this one if it serves.
    pub fn set_keepers(&mut self, boxes: Vec<BoxId>) {
        let is_same = self.keepers.boxes.iter().map(|(id, _)| id).eq(&boxes);
        if is_same {
            return;
        }
        self.keepers = Keepers::new(boxes, &self.settings.me, self.settings.least_keepers);
        for service in self.services.values_mut() {
            for entry in &mut service.entries {
                entry.is_kept = self.keepers.is_mine(entry.hash);
            }
        }
    }

    /// Returns the query to send before the request, and the coordinator to send it to; `None` if
    /// there is none. `id` identifies the query.
    pub fn question(
        &mut self,
        wanted: &Wanted<'_>,
        id: u64,
        left_ms: Millis,
        now: Millis,
    ) -> Option<(BoxId, Question)> {
        // Without an object there is no home.
        wanted.object?;
        self.review_if_due(now);
        let service = self.services.get(wanted.service)?;
        let object = wanted.object_hash(0.0);
        let regions = service.ranked_regions(object, wanted, now);
        let region = regions.into_iter().next()?;
        let home = service.home_in(object, &region, wanted, now)?;
        let home = &service.entries[home];
        let keeper = self.keepers.of(home.hash)?.clone();
        let question = Question {
            id,
            service: wanted.service.clone(),
            region,
            object,
            home: home.record.id.clone(),
            left_ms,
        };
        Some((keeper, question))
    }

    /// Answers a query of another box or this one and counts its request; `None` if no upstream
    /// can be advised.
    pub fn advise(&mut self, question: &Question, now: Millis) -> Option<Advice> {
        let service = self.services.get_mut(&question.service)?;
        service.advise(question, now)
    }

    /// Handles the completion report of a request that this box was, or may have been, queried
    /// about.
    pub fn ended_elsewhere(&mut self, ending: &Ending, now: Millis) {
        if let Some(service) = self.services.get_mut(&ending.service) {
            service.ended_elsewhere(ending, now);
        }
    }
}

impl ServiceUpstreams {
    fn advise(&mut self, question: &Question, now: Millis) -> Option<Advice> {
        let index = self.advised_for(question, now)?;
        let entry = &mut self.entries[index];
        let advice = Advice {
            id: question.id,
            upstream: entry.record.id.clone(),
            started: entry.record.started,
            fullness: entry.shared_fullness(now) as f32,
            has_served: entry.shared.has_served(question.object),
        };
        let shared = &mut entry.shared;
        shared.begin(question.id, question.object, question.left_ms, now);
        Some(advice)
    }

    /// Returns the upstream already chosen for the object, unless it is too full; otherwise the
    /// one with the lowest cost. A full upstream keeps the object if that one has no free slot.
    fn advised_for(&mut self, question: &Question, now: Millis) -> Option<usize> {
        let candidates = self.candidates(question, now);
        for index in &candidates {
            self.entries[*index].shared.forget_overdue(now);
        }
        let fullness = |index: &usize| self.entries[*index].shared_fullness(now);
        let known = candidates.iter().copied().filter(|index| {
            let shared = &self.entries[*index].shared;
            shared.is_chosen_for(question.object)
        });
        let known = known.min_by(|a, b| fullness(a).total_cmp(&fullness(b)));
        if known.is_some_and(|index| fullness(&index) < MOST_AT_KNOWN) {
            return known;
        }
        let least = candidates.iter().copied().min_by(|a, b| {
            self.burden(*a, question, now)
                .total_cmp(&self.burden(*b, question, now))
        });
        let has_room = |index: &usize| fullness(index) < 1.0;
        match known {
            Some(known) => Some(least.filter(has_room).unwrap_or(known)),
            None => least,
        }
    }

    /// Returns the cost of sending an object to an upstream that wasn't chosen for it before.
    fn burden(&self, index: usize, question: &Question, now: Millis) -> f64 {
        let entry = &self.entries[index];
        let slots = f64::from(entry.record.slots.max(1));
        let objects = entry.shared.objects() as f64 / slots;
        let is_home = entry.record.id == question.home;
        let away = if is_home { 0.0 } else { AWAY };
        entry.shared_fullness(now) + objects * OBJECT_WEIGHT + away
    }

    /// Returns the upstreams that this box may advise: the home, and those that it coordinates in
    /// the region.
    fn candidates(&self, question: &Question, now: Millis) -> Vec<usize> {
        let anywhere = BTreeSet::new();
        let wanted = Wanted {
            service: &question.service,
            object: None,
            rank: Rank::default(),
            regions: RegionLimits {
                route: &anywhere,
                workspace: None,
            },
            tried: &[],
        };
        (0..self.entries.len())
            .filter(|index| {
                let entry = &self.entries[*index];
                (entry.is_kept || entry.record.id == question.home)
                    && entry.region == question.region
                    && is_usable(entry, &wanted, now)
                    && !entry.is_cold(now)
            })
            .collect()
    }

    fn ended_elsewhere(&mut self, ending: &Ending, now: Millis) {
        for entry in self.entries.iter_mut().filter(|entry| entry.is_counted()) {
            let is_sent_there = Some(&entry.record.id) == ending.upstream.as_ref()
                && entry.record.started == ending.started;
            if is_sent_there {
                if let Some(report) = ending.report {
                    entry.shared.reported(report, now);
                }
                if ending.outcome == UpstreamOutcome::Answered {
                    entry.shared.served(ending.object);
                }
            }
            let was_counted = entry.shared.end(ending.id);
            if was_counted && !is_sent_there {
                entry.shared.not_used(ending.object);
            }
        }
    }
}
