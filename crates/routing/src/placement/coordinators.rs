//! Selects the coordinator of each upstream, and answers queries on that box.

use super::advice::{Advice, AdviceQuery, CompletionReport};
use super::service_upstreams::{ServiceUpstreams, is_usable};
use super::{Placement, UpstreamOutcome, UpstreamRequest};
use crate::rendezvous::{object_hash, weighted_score};
use crate::workspace::{Rank, RegionLimits};
use brasswinch_types::{BoxId, Millis};
use std::collections::BTreeSet;

/// Largest number of requests, as a multiple of its slots, at an upstream already chosen for the
/// object; from there on another upstream of this coordinator is advised. A box queues longer at a
/// home, since its alternative is in another region; with that higher limit here there were 28 late
/// answers at upstreams that had served their objects, of 22 allowed (in simulation, with 45 boxes
/// under full load).
const MAX_FULLNESS_AT_CHOSEN: f64 = 1.6;

/// Cost of each assigned object, in slots: the load of its later requests, at 0.44 per second of
/// 0.34 s each. It spreads first runs, when request counts alone say little.
const OBJECT_COST_SLOTS: f64 = 0.15;

/// Cost of an upstream that isn't the object's home, as a multiple of its slots: a restarted
/// coordinator has forgotten where it sent each object. With 0.05, 0.4 and 0.8 the total answer
/// value was 0.847, 0.871 and 0.884 when all boxes restart, and 0.904, 0.904 and 0.900 under full
/// load (in simulation, with 60 boxes and two seeds).
const NON_HOME_COST: f64 = 0.4;

/// The coordinators of a region: its serving boxes.
#[derive(Debug, Default)]
pub(super) struct Coordinators {
    boxes: Vec<(BoxId, u64)>,
    me: Option<u64>,
    /// Smallest number of boxes that coordinate.
    min_boxes: usize,
}

impl Coordinators {
    fn new(boxes: Vec<BoxId>, me: &BoxId, min_boxes: usize) -> Self {
        let is_member = boxes.contains(me);
        let hashed = |id: BoxId| {
            let hash = box_hash(&id);
            (id, hash)
        };
        Self {
            me: is_member.then(|| box_hash(me)),
            boxes: boxes.into_iter().map(hashed).collect(),
            min_boxes,
        }
    }

    /// Returns the coordinator of an upstream, which is the same on all boxes with the same view
    /// of the region; `None` in a small region.
    fn of(&self, upstream: u64) -> Option<&BoxId> {
        if self.boxes.len() < self.min_boxes {
            return None;
        }
        let score = |(_, hash): &&(BoxId, u64)| weighted_score(upstream, *hash, 1.0);
        let coordinator = self
            .boxes
            .iter()
            .max_by(|a, b| score(a).total_cmp(&score(b)))?;
        Some(&coordinator.0)
    }

    /// Whether this box is the upstream's coordinator.
    pub(super) fn is_coordinator(&self, upstream: u64) -> bool {
        let Some(me) = self.me else {
            return false;
        };
        let own_score = weighted_score(upstream, me, 1.0);
        let mut others = self.boxes.iter().filter(|(_, hash)| *hash != me);
        others.all(|(_, other)| weighted_score(upstream, *other, 1.0) < own_score)
    }
}

fn box_hash(id: &BoxId) -> u64 {
    object_hash("box", id.as_str().as_bytes())
}

impl Placement {
    /// Sets the serving boxes of the own region, including this one if it serves.
    pub fn set_coordinators(&mut self, boxes: Vec<BoxId>) {
        let is_same = self.coordinators.boxes.iter().map(|(id, _)| id).eq(&boxes);
        if is_same {
            return;
        }
        self.coordinators =
            Coordinators::new(boxes, &self.settings.me, self.settings.min_coordinators);
        for service in self.services.values_mut() {
            for entry in &mut service.entries {
                entry.is_coordinated_here = self.coordinators.is_coordinator(entry.hash);
            }
        }
    }

    /// Returns the query to send before the request, and the coordinator to send it to; `None` if
    /// there is none. `id` identifies the query.
    pub fn advice_query(
        &mut self,
        request: &UpstreamRequest<'_>,
        id: u64,
        left_ms: Millis,
        now: Millis,
    ) -> Option<(BoxId, AdviceQuery)> {
        // Without an object there is no home.
        request.object?;
        self.review_if_due(now);
        let service = self.services.get(request.service)?;
        let object = request.object_hash(0.0);
        let regions = service.ranked_regions(object, request, now);
        let region = regions.into_iter().next()?;
        let home = service.home_in(object, &region, request, now)?;
        let home = &service.entries[home];
        let coordinator = self.coordinators.of(home.hash)?.clone();
        let query = AdviceQuery {
            id,
            service: request.service.clone(),
            region,
            object,
            home: home.record.id.clone(),
            left_ms,
        };
        Some((coordinator, query))
    }

    /// Answers a query of another box or this one and counts its request; `None` if no upstream
    /// can be advised.
    pub fn advise(&mut self, query: &AdviceQuery, now: Millis) -> Option<Advice> {
        let service = self.services.get_mut(&query.service)?;
        service.advise(query, now)
    }

    /// Handles the completion report of a request that this box was, or may have been, queried
    /// about.
    pub fn record_completion(&mut self, completion: &CompletionReport, now: Millis) {
        if let Some(service) = self.services.get_mut(&completion.service) {
            service.record_completion(completion, now);
        }
    }
}

impl ServiceUpstreams {
    fn advise(&mut self, query: &AdviceQuery, now: Millis) -> Option<Advice> {
        let index = self.advised_for(query, now)?;
        let entry = &mut self.entries[index];
        let advice = Advice {
            id: query.id,
            upstream: entry.record.id.clone(),
            started: entry.record.started,
            fullness: entry.shared_fullness(now) as f32,
            has_served: entry.shared.has_served(query.object),
        };
        let shared = &mut entry.shared;
        shared.begin(query.id, query.object, query.left_ms, now);
        Some(advice)
    }

    /// Returns the upstream already chosen for the object, unless it is too full; otherwise the
    /// one with the lowest cost. A full upstream keeps the object if that one has no free slot.
    fn advised_for(&mut self, query: &AdviceQuery, now: Millis) -> Option<usize> {
        let candidates = self.candidates(query, now);
        for index in &candidates {
            self.entries[*index].shared.remove_expired(now);
        }
        let fullness = |index: &usize| self.entries[*index].shared_fullness(now);
        let chosen = candidates.iter().copied().filter(|index| {
            let shared = &self.entries[*index].shared;
            shared.is_chosen_for(query.object)
        });
        let chosen = chosen.min_by(|a, b| fullness(a).total_cmp(&fullness(b)));
        if chosen.is_some_and(|index| fullness(&index) < MAX_FULLNESS_AT_CHOSEN) {
            return chosen;
        }
        let cheapest = candidates.iter().copied().min_by(|a, b| {
            self.cost(*a, query, now)
                .total_cmp(&self.cost(*b, query, now))
        });
        let has_free_slot = |index: &usize| fullness(index) < 1.0;
        match chosen {
            Some(chosen) => Some(cheapest.filter(has_free_slot).unwrap_or(chosen)),
            None => cheapest,
        }
    }

    /// Returns the cost of sending an object to an upstream that wasn't chosen for it before.
    fn cost(&self, index: usize, query: &AdviceQuery, now: Millis) -> f64 {
        let entry = &self.entries[index];
        let slots = f64::from(entry.record.slots.max(1));
        let objects = entry.shared.objects() as f64 / slots;
        let is_home = entry.record.id == query.home;
        let non_home_cost = if is_home { 0.0 } else { NON_HOME_COST };
        entry.shared_fullness(now) + objects * OBJECT_COST_SLOTS + non_home_cost
    }

    /// Returns the upstreams that this box may advise: the home, and those that it coordinates in
    /// the region.
    fn candidates(&self, query: &AdviceQuery, now: Millis) -> Vec<usize> {
        let any_region = BTreeSet::new();
        let request = UpstreamRequest {
            service: &query.service,
            object: None,
            workspace: None,
            rank: Rank::default(),
            regions: RegionLimits {
                route: &any_region,
                workspace: None,
            },
            tried: &[],
        };
        (0..self.entries.len())
            .filter(|index| {
                let entry = &self.entries[*index];
                (entry.is_coordinated_here || entry.record.id == query.home)
                    && entry.region == query.region
                    && is_usable(entry, &request, now)
                    && !entry.is_cold(now)
            })
            .collect()
    }

    fn record_completion(&mut self, completion: &CompletionReport, now: Millis) {
        for entry in self.entries.iter_mut().filter(|entry| entry.is_counted()) {
            let is_sent_there = Some(&entry.record.id) == completion.upstream.as_ref()
                && entry.record.started == completion.started;
            if is_sent_there {
                if let Some(report) = completion.report {
                    entry.shared.reported(report, now);
                }
                if completion.outcome == UpstreamOutcome::Answered {
                    entry.shared.served(completion.object);
                }
            }
            let was_counted = entry.shared.end(completion.id);
            if was_counted && !is_sent_there {
                entry.shared.not_sent(completion.object);
            }
        }
    }
}
