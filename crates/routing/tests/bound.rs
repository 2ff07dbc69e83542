//! Model of how store updates propagate, in simulated time: boxes crash, restart and freeze;
//! messages between them are lost or late; upstreams leave, alone or many at once, and come back;
//! now and then the store loses its history. The decision logic is the real code; a seed
//! determines everything else.
//!
//! Invariant: a box that was not disturbed recently chooses no upstream that would still get the
//! request after the limit. At the end every box knows the whole state.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_routing::{
    CatchUp, Change, ChangeKey, FleetState, Placement, Revised, Revision, Scope, Snapshot,
    StoreDuty, UpstreamOutcome, ViewLimits, Watermark,
};
use brasswinch_types::UpstreamId;
use common::{config, placement_in, revised, service, upstream, wanted, zones};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Longest time in which requests may reach an upstream after it left.
const BOUND_MS: u64 = 2_000;

/// Longest time from a choice to the arrival of the request: a new connection and one way.
const DELIVERY_MS: u64 = 385;

/// Longest duration of a store call.
const CALL_MS: u64 = 150;

/// How long after a freeze or a start a box is exempt from the check.
const EXEMPT_MS: u64 = 3_000;

const STEP_MS: u64 = 25;
const FAULTS_MS: u64 = 12_000;
const QUIET_MS: u64 = 4_000;
const BOXES: usize = 6;
const PER_ZONE: usize = 2;
const SCOPE: Scope = Scope::Upstreams;

#[derive(Default)]
struct Store {
    history: Vec<Revised>,
    entries: BTreeMap<ChangeKey, Revised>,
    /// When each upstream left that has not come back.
    left: BTreeMap<UpstreamId, u64>,
}

impl Store {
    fn at(&self) -> Revision {
        Revision(self.history.len() as u64)
    }

    fn write(&mut self, change: Change) {
        let key = change.key();
        let revised = revised(self.at().0 + 1, change);
        if matches!(revised.change, Change::Gone(_)) {
            self.entries.remove(&key);
        } else {
            self.entries.insert(key, revised.clone());
        }
        self.history.push(revised);
    }

    fn leave(&mut self, id: &UpstreamId, now: u64) {
        if !self.left.contains_key(id) {
            self.write(Change::Gone(ChangeKey::Upstream(id.clone())));
            self.left.insert(id.clone(), now);
        }
    }

    fn listing(&self) -> Snapshot {
        Snapshot {
            scope: SCOPE,
            at: self.at(),
            entries: self.entries.values().cloned().collect(),
        }
    }

    fn later_than(&self, after: Revision) -> Vec<Revised> {
        self.history[after.0 as usize..].to_vec()
    }
}

/// A message in flight to a box.
enum Message {
    Listing(Snapshot, u64),
    Changes(Vec<Revised>, Revision, u64),
    Updates(CatchUp),
    /// The revision that another box announced, and how old its view was then.
    Known {
        from: usize,
        revision: Revision,
        at: Revision,
        age_ms: u64,
    },
}

struct ModelBox {
    fleet: FleetState,
    placement: Placement,
    inbox: Vec<(u64, Message)>,
    /// The box is dead or frozen until then.
    down_until: u64,
    /// Whether the box is dead and loses its state.
    is_dead: bool,
    disturbed_at: u64,
    asked_at: Option<u64>,
    random: f64,
}

impl ModelBox {
    fn new(now: u64) -> Self {
        Self {
            fleet: FleetState::default(),
            placement: placement_in("west"),
            inbox: Vec::new(),
            down_until: 0,
            is_dead: false,
            disturbed_at: now,
            asked_at: None,
            random: 0.5,
        }
    }

    fn duty(number: usize) -> StoreDuty {
        match number {
            0 => StoreDuty::Lead,
            1 => StoreDuty::Follow,
            _ => StoreDuty::Listen,
        }
    }

    fn age_ms(&self, now: u64) -> Option<u64> {
        Some(now - self.fleet.complete_as_of(SCOPE)?)
    }

    fn claim(&mut self, at: Revision, as_of: u64) {
        let revision = self.fleet.newest(SCOPE).unwrap();
        let claim = Watermark {
            revision,
            at,
            as_of,
        };
        self.fleet.record_watermark(SCOPE, claim);
    }
}

struct World {
    now: u64,
    rng: StdRng,
    store: Store,
    boxes: Vec<ModelBox>,
    ids: Vec<UpstreamId>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut store = Store::default();
        let mut ids = Vec::new();
        let mut port = 1_000;
        for zone in zones().keys() {
            for number in 0..PER_ZONE {
                port += 1;
                let record = upstream(&format!("{zone}-{number}"), zone.as_str(), port);
                ids.push(record.id.clone());
                store.write(Change::Upstream(record));
            }
        }
        let boxes = (0..BOXES).map(|_| ModelBox::new(0)).collect();
        let rng = StdRng::seed_from_u64(seed);
        Self {
            now: 1,
            rng,
            store,
            boxes,
            ids,
        }
    }

    fn chance(&mut self, per_s: f64) -> bool {
        self.rng.random_bool(per_s * STEP_MS as f64 / 1_000.0)
    }

    fn change_upstreams(&mut self) {
        if self.chance(8.0) {
            let id = self.ids.choose(&mut self.rng).unwrap().clone();
            self.store.leave(&id, self.now);
        }
        if self.chance(0.25) {
            for id in self.ids.clone() {
                if self.rng.random_bool(0.6) {
                    self.store.leave(&id, self.now);
                }
            }
        }
        if self.chance(10.0)
            && let Some(id) = self.random_departed_upstream()
        {
            self.store.left.remove(&id);
            let number = self.ids.iter().position(|other| *other == id).unwrap();
            let zone = id.as_str().rsplit_once('-').unwrap().0;
            let record = upstream(id.as_str(), zone, 1_001 + number as u16);
            self.store.write(Change::Upstream(record));
        }
    }

    fn random_departed_upstream(&mut self) -> Option<UpstreamId> {
        let left: Vec<&UpstreamId> = self.store.left.keys().collect();
        left.choose(&mut self.rng).map(|id| (*id).clone())
    }

    fn fail_boxes(&mut self) {
        for number in 0..BOXES {
            if self.boxes[number].down_until > self.now || !self.chance(0.3) {
                continue;
            }
            let for_ms = self.rng.random_range(300..2_500);
            let is_dead = self.rng.random_bool(0.6);
            let it = &mut self.boxes[number];
            it.down_until = self.now + for_ms;
            it.is_dead = is_dead;
        }
    }

    fn run_box(&mut self, number: usize) {
        if self.boxes[number].down_until > self.now {
            self.boxes[number].disturbed_at = self.now;
            return;
        }
        if std::mem::take(&mut self.boxes[number].is_dead) {
            self.boxes[number] = ModelBox::new(self.now);
        }
        let now = self.now;
        let inbox = std::mem::take(&mut self.boxes[number].inbox);
        let (due, later) = inbox.into_iter().partition(|(at, _)| *at <= now);
        self.boxes[number].inbox = later;
        for (_, message) in due {
            self.handle(number, message);
        }
        self.query_store_if_stale(number);
        let it = &mut self.boxes[number];
        it.placement.update(&it.fleet, &config(1), now);
    }

    fn handle(&mut self, number: usize, message: Message) {
        let now = self.now;
        let it = &mut self.boxes[number];
        match message {
            Message::Listing(snapshot, as_of) => {
                let at = snapshot.at;
                it.fleet.apply_snapshot(snapshot, now);
                it.claim(at, as_of);
                it.asked_at = None;
                self.announce(number);
            }
            Message::Changes(changes, at, as_of) => {
                it.fleet.apply_changes(SCOPE, changes, now);
                it.claim(at, as_of);
                it.asked_at = None;
                self.announce(number);
            }
            Message::Updates(updates) => {
                it.fleet.catch_up(updates, now).unwrap();
            }
            Message::Known {
                from,
                revision,
                at,
                age_ms,
            } => {
                if let Some(as_of) = now.checked_sub(age_ms) {
                    let claim = Watermark {
                        revision,
                        at,
                        as_of,
                    };
                    it.fleet.record_watermark(SCOPE, claim);
                }
                if it.fleet.newest(SCOPE) < Some(revision) {
                    self.query_box(number, from);
                }
            }
        }
    }

    /// Asks another box for updates; it may be dead or reply late.
    fn query_box(&mut self, asker: usize, asked: usize) {
        let after = self.boxes[asker].fleet.newest(SCOPE);
        let other = &self.boxes[asked];
        if other.down_until > self.now {
            return;
        }
        let updates = other.fleet.missing(SCOPE, after, None);
        let arrives = self.now + self.rng.random_range(2..700);
        let updates = updates.map(|updates| (arrives, Message::Updates(updates)));
        self.boxes[asker].inbox.extend(updates);
    }

    fn announce(&mut self, from: usize) {
        let it = &self.boxes[from];
        let (Some(age_ms), Some(revision)) = (it.age_ms(self.now), it.fleet.newest(SCOPE)) else {
            return;
        };
        let at = it.fleet.resume_after(SCOPE).unwrap();
        for to in (0..BOXES).filter(|to| *to != from) {
            if self.rng.random_bool(0.4) {
                continue;
            }
            let arrives = self.now + self.rng.random_range(1..60);
            let known = Message::Known {
                from,
                revision,
                at,
                age_ms,
            };
            self.boxes[to].inbox.push((arrives, known));
        }
    }

    fn query_store_if_stale(&mut self, number: usize) {
        let it = &self.boxes[number];
        let limit_ms =
            ViewLimits::new(BOUND_MS as f64 / 1_000.0).limit_ms(ModelBox::duty(number), it.random);
        let is_stale = it.age_ms(self.now).is_none_or(|age_ms| age_ms >= limit_ms);
        // A call is repeated if the box was dead or frozen when its answer arrived.
        let is_call_pending = it
            .asked_at
            .is_some_and(|asked_at| self.now < asked_at + CALL_MS + STEP_MS);
        if !is_stale || is_call_pending {
            return;
        }
        let arrives = self.now + self.rng.random_range(5..CALL_MS);
        let is_history_gone = self.rng.random_bool(0.2);
        let answer = match it.fleet.resume_after(SCOPE) {
            Some(after) if !is_history_gone => {
                Message::Changes(self.store.later_than(after), self.store.at(), self.now)
            }
            _ => Message::Listing(self.store.listing(), self.now),
        };
        let random = self.rng.random();
        let it = &mut self.boxes[number];
        it.asked_at = Some(self.now);
        it.random = random;
        it.inbox.push((arrives, answer));
    }

    /// Lets each box that was not disturbed recently choose, and checks its choices.
    fn check(&mut self, seed: u64) {
        let (now, any_region) = (self.now, BTreeSet::new());
        for it in &mut self.boxes {
            if now < it.disturbed_at + EXEMPT_MS {
                continue;
            }
            for object in 0..6_u8 {
                let service = service();
                let wanted = wanted(&service, std::slice::from_ref(&object), &any_region, &[]);
                let Ok(choice) = it.placement.choose(&wanted, 0.5, now) else {
                    continue;
                };
                let ended = UpstreamOutcome::Answered;
                it.placement.ended(&choice, ended, now);
                let left_at = self.store.left.get(&choice.upstream).copied();
                let after_ms = left_at.map_or(0, |left_at| now - left_at);
                assert!(
                    after_ms + DELIVERY_MS <= BOUND_MS,
                    "seed {seed}: {} was chosen {after_ms} ms after it left",
                    choice.upstream
                );
            }
        }
    }

    fn run(&mut self, seed: u64) {
        while self.now < FAULTS_MS + QUIET_MS {
            if self.now < FAULTS_MS {
                self.change_upstreams();
                self.fail_boxes();
            }
            for number in 0..BOXES {
                self.run_box(number);
            }
            if self.now % 100 < STEP_MS {
                self.check(seed);
            }
            self.now += STEP_MS;
        }
        let in_store: Vec<ChangeKey> = self.store.entries.keys().cloned().collect();
        for it in &self.boxes {
            let ids = it.fleet.upstreams().map(|(record, _)| record.id.clone());
            let known: Vec<ChangeKey> = ids.map(ChangeKey::Upstream).collect();
            assert_eq!(
                known, in_store,
                "seed {seed}: a box lacks part of the state at the end"
            );
        }
    }
}

#[test]
fn no_request_reaches_an_upstream_later_than_the_bound_after_it_left() {
    const SEEDS: std::ops::Range<u64> = 0..40;
    for seed in SEEDS {
        World::new(seed).run(seed);
    }
}
