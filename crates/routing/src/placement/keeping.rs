//! Which box keeps an upstream's count, and what it answers.

use super::advice::{Advice, Ending, Question};
use super::service_upstreams::{ServiceUpstreams, is_usable};
use super::{Placement, UpstreamOutcome, Wanted};
use crate::rendezvous::{object_hash, weighted_score};
use crate::workspace::{Rank, RegionLimits};
use brasswinch_types::{BoxId, Millis};
use std::collections::BTreeSet;

/// Requests at an upstream that knows the object, in multiples of its slots, above which
/// another one that is kept here is advised. A box waits longer, for what it would use instead
/// stands in another region; with its limit here, late answers at upstreams that know their
/// objects are 28 for 22 at most (replay, 45 boxes, full load).
const MOST_AT_KNOWN: f64 = 1.6;

/// What an object adds to an upstream's burden, in slots: what its requests take once it is
/// known, at 0.44 a second of 0.34 s each. It spreads first runs, when requests alone tell
/// little; not measured by itself.
const OBJECT_WEIGHT: f64 = 0.15;

/// What speaks against an upstream that isn't the object's home, in multiples of slots: a
/// keeper that starts again has forgotten what it sent there. Worth of all answers where all
/// boxes start again, at 0.05, 0.4 and 0.8: 0.847, 0.871, 0.884; under full load 0.904,
/// 0.904, 0.900 (replay, 60 boxes, two seeds).
const AWAY: f64 = 0.4;

/// The boxes that keep counts for a region: those of the region that serve.
#[derive(Debug, Default)]
pub(super) struct Keepers {
    boxes: Vec<(BoxId, u64)>,
    me: Option<u64>,
    /// Fewest boxes that ask each other.
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

    /// The keeper of an upstream; the same on all boxes that know the same boxes. There is
    /// none in a small region.
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

    /// Whether this box is the upstream's keeper.
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
    /// Takes the boxes of the own region that serve, this one included if it does.
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

    /// What to ask before the request is sent, and which box; `None` where nobody can be
    /// asked. `id` names the question.
    pub fn question(
        &mut self,
        wanted: &Wanted<'_>,
        id: u64,
        left_ms: Millis,
        now: Millis,
    ) -> Option<(BoxId, Question)> {
        // What names no object has no home to ask for.
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

    /// Answers another box, or this one, and counts its request; `None` where no upstream
    /// can be advised.
    pub fn advise(&mut self, question: &Question, now: Millis) -> Option<Advice> {
        let service = self.services.get_mut(&question.service)?;
        service.advise(question, now)
    }

    /// A request ended that this box was asked about, or may have been.
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

    /// The upstream that knows the object, unless it is too full; else the home, unless
    /// another one has more room.
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

    /// What speaks against sending an object there that it doesn't know.
    fn burden(&self, index: usize, question: &Question, now: Millis) -> f64 {
        let entry = &self.entries[index];
        let slots = f64::from(entry.record.slots.max(1));
        let objects = entry.shared.objects() as f64 / slots;
        let is_home = entry.record.id == question.home;
        let away = if is_home { 0.0 } else { AWAY };
        entry.shared_fullness(now) + objects * OBJECT_WEIGHT + away
    }

    /// Upstreams that this box may advise: the home, and those that it keeps in its region.
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
