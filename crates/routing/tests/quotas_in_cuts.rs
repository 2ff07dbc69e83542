//! A simulation of boxes that all start while zones are cut off from each other, in simulated
//! time. The decisions are made by the real code; a seed determines delays, losses and which boxes
//! get requests.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_routing::{
    Admission, FleetSize, QuotaBounds, QuotaBox, QuotaClass, QuotaCount, QuotaLimit, QuotaReply,
    Quotas, ToCoordinator,
};
use brasswinch_types::{BoxId, Workspace};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;

const ZONES: usize = 6;

const BOXES: usize = ZONES * 12;

/// Number of zones that are each cut off from all others; the rest can reach each other.
const CUT_ZONES: usize = 3;

/// One in this many boxes reads the fleet's size from the store; the others learn it from them.
const BOXES_PER_STORE_READER: usize = 6;

const BOUNDS: QuotaBounds = QuotaBounds {
    window_s: 5.0,
    overage: 0.1,
    slack: 20.0,
};

const LIMIT: QuotaLimit = QuotaLimit {
    rate_per_s: 362.0,
    burst: 362.0,
};

const STEP_MS: u64 = 5;

/// When the cut ends, in milliseconds.
const HEALS_AT_MS: u64 = 6_000;

/// Time until boxes that can reach each other have discovered each other, in milliseconds.
const DISCOVERY_MS: std::ops::Range<u64> = 30..400;

/// Time until a zone that was cut off discovers the others, in milliseconds: boxes look for each
/// other only from time to time.
const ZONE_DISCOVERY_MS: std::ops::Range<u64> = 1_500..2_500;

const END_MS: u64 = 14_000;

/// How long a box waits for the reply to a request for a grant, in milliseconds.
const REPLY_TIMEOUT_MS: u64 = 60;

/// Which boxes can reach the store while the zones are cut off.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Store {
    /// All boxes, so that all serve.
    Reachable,
    /// None in the cut zones; these boxes serve only when the cut has ended.
    CutOff,
}

enum Message {
    Count(QuotaCount),
    Reply(QuotaReply),
}

struct PendingGrant {
    question: ToCoordinator,
    until: u64,
    is_last: bool,
}

struct ModelBox {
    quotas: Quotas,
    fleet_size: FleetSize,
    serves_at: u64,
    /// When each other box is discovered.
    discovered_at: Vec<u64>,
    pending: Vec<PendingGrant>,
}

struct Model {
    random: StdRng,
    now: u64,
    boxes: Vec<ModelBox>,
    in_flight: Vec<(u64, usize, usize, Message)>,
    runs: Vec<u64>,
    requested: u64,
}

fn zone(index: usize) -> usize {
    index % ZONES
}

fn is_cut_off(index: usize) -> bool {
    zone(index) < CUT_ZONES
}

fn reach_each_other(one: usize, other: usize) -> bool {
    zone(one) == zone(other) || !(is_cut_off(one) || is_cut_off(other))
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + index as u16))
}

fn index_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1_000
}

fn quota_box(index: usize) -> QuotaBox {
    QuotaBox {
        id: BoxId::new(format!("box-{index}")),
        address: address(index),
    }
}

fn workspace() -> Workspace {
    Workspace::new("alpha")
}

impl ModelBox {
    fn new(index: usize, store: Store, zone_discovery_ms: &[u64], random: &mut StdRng) -> Self {
        let waits = is_cut_off(index) && store == Store::CutOff;
        let store_reachable_at = if waits { HEALS_AT_MS } else { 0 };
        let discovers = |other: usize, random: &mut StdRng| {
            let discovery_ms = random.random_range(DISCOVERY_MS);
            if reach_each_other(index, other) {
                return discovery_ms;
            }
            HEALS_AT_MS
                + discovery_ms
                + zone_discovery_ms[zone(index)].max(zone_discovery_ms[zone(other)])
        };
        Self {
            quotas: Quotas::new(quota_box(index).id, BOUNDS),
            fleet_size: FleetSize::default(),
            serves_at: store_reachable_at + random.random_range(50..400),
            discovered_at: (0..BOXES).map(|other| discovers(other, random)).collect(),
            pending: Vec::new(),
        }
    }
}

impl Model {
    /// Simulates boxes that start in a cut; the store holds `recorded` as the fleet's size.
    fn run(store: Store, recorded: u32, pressure: f64, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let zone_discovery_ms: Vec<u64> = (0..ZONES)
            .map(|_| random.random_range(ZONE_DISCOVERY_MS))
            .collect();
        let boxes =
            (0..BOXES).map(|index| ModelBox::new(index, store, &zone_discovery_ms, &mut random));
        let mut model = Self {
            boxes: boxes.collect(),
            random,
            now: 0,
            in_flight: Vec::new(),
            runs: Vec::new(),
            requested: 0,
        };
        while model.now < END_MS {
            model.now += STEP_MS;
            model.step(recorded, pressure);
        }
        model
    }

    fn step(&mut self, recorded: u32, pressure: f64) {
        if self.now.is_multiple_of(50) {
            (0..BOXES).for_each(|index| self.update_membership(index, recorded));
        }
        self.deliver();
        self.expire_pending();
        self.generate_requests(pressure);
        for index in 0..BOXES {
            if self.now.is_multiple_of(75) {
                self.boxes[index].quotas.tick(self.now);
            }
            self.send_broadcasts(index);
        }
    }

    fn serves(&self, index: usize) -> bool {
        self.now >= self.boxes[index].serves_at
    }

    fn update_membership(&mut self, index: usize, recorded: u32) {
        let discovered_at = &self.boxes[index].discovered_at;
        let discovers = |other: &usize| *other != index && self.now >= discovered_at[*other];
        let others: Vec<usize> = (0..BOXES).filter(discovers).collect();
        let sizes = others.iter().map(|other| &self.boxes[*other].fleet_size);
        let reported = sizes
            .map(|size| size.to_report(0, self.now))
            .max()
            .unwrap_or(0);
        let serving = others.iter().copied().filter(|other| self.serves(*other));
        let serving: Vec<usize> = serving.chain([index]).collect();
        let (serves, now) = (self.serves(index), self.now);
        let model_box = &mut self.boxes[index];
        model_box
            .fleet_size
            .observe(others.len() + 1, reported, now);
        if !serves {
            return;
        }
        if (index / ZONES).is_multiple_of(BOXES_PER_STORE_READER) {
            model_box.fleet_size.set_stored(recorded);
        }
        model_box
            .quotas
            .set_fleet_size(model_box.fleet_size.known(now));
        let boxes = serving.into_iter().map(quota_box).collect();
        model_box.quotas.set_boxes(boxes, others.len() + 1, now);
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_open = reach_each_other(from, to) || self.now >= HEALS_AT_MS;
        if is_open && self.random.random::<f64>() > 0.01 {
            let arrives = self.now + self.random.random_range(1..14);
            self.in_flight.push((arrives, to, from, message));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due = self.in_flight.extract_if(.., |message| message.0 <= now);
        for (_, to, from, message) in due.collect::<Vec<_>>() {
            match message {
                Message::Count(count) => self.handle_count(to, from, &count),
                Message::Reply(reply) => self.handle_reply(to, from, &reply),
            }
        }
    }

    fn handle_count(&mut self, index: usize, from: usize, count: &QuotaCount) {
        let quotas = &mut self.boxes[index].quotas;
        let reply = quotas.handle_count(count, address(from), LIMIT, self.now);
        if let Some(reply) = reply.filter(|_| count.id != 0) {
            self.send(index, from, Message::Reply(reply));
        }
    }

    fn handle_reply(&mut self, index: usize, from: usize, reply: &QuotaReply) {
        let model_box = &mut self.boxes[index];
        let mut pending = model_box.pending.iter();
        let place = pending.position(|pending| pending.question.count.id == reply.id);
        let Some(place) = place else {
            let outgoing = model_box
                .quotas
                .handle_reply(reply, address(from), LIMIT, self.now);
            self.send_count(index, outgoing);
            return;
        };
        model_box.pending.remove(place);
        let random = self.random.random();
        let admission = model_box.quotas.handle_grant_reply(
            reply,
            address(from),
            QuotaClass::default(),
            random,
            self.now,
        );
        self.apply(index, admission, true);
    }

    fn expire_pending(&mut self) {
        for index in 0..BOXES {
            let now = self.now;
            let model_box = &mut self.boxes[index];
            let over = model_box
                .pending
                .extract_if(.., |pending| pending.until <= now);
            for pending in over.collect::<Vec<_>>() {
                let quotas = &mut self.boxes[index].quotas;
                let admission =
                    quotas.handle_timeout(pending.question, LIMIT, pending.is_last, now);
                self.apply(index, admission, true);
            }
        }
    }

    fn generate_requests(&mut self, pressure: f64) {
        let mut left = LIMIT.rate_per_s * pressure * STEP_MS as f64 / 1_000.0;
        while left > 0.0 {
            if self.random.random::<f64>() < left {
                let index = self.random.random_range(0..BOXES);
                if self.serves(index) {
                    self.request(index);
                }
            }
            left -= 1.0;
        }
    }

    fn request(&mut self, index: usize) {
        self.requested += 1;
        let (id, random) = (self.random.random(), self.random.random());
        let quotas = &mut self.boxes[index].quotas;
        let admission = quotas.admit(
            &workspace(),
            LIMIT,
            QuotaClass::default(),
            id,
            random,
            self.now,
        );
        self.apply(index, admission, false);
    }

    fn apply(&mut self, index: usize, admission: Admission, is_last: bool) {
        match admission {
            Admission::Send(outgoing) => {
                self.runs.push(self.now);
                self.send_count(index, outgoing);
            }
            Admission::Wait(queued) => panic!("{queued:?}: it has no class"),
            Admission::Ask(question) => {
                self.boxes[index].pending.push(PendingGrant {
                    question: question.clone(),
                    until: self.now + REPLY_TIMEOUT_MS,
                    is_last,
                });
                self.send_count(index, Some(question));
            }
            Admission::Refuse { .. } => {}
        }
    }

    fn send_count(&mut self, from: usize, outgoing: Option<ToCoordinator>) {
        if let Some(ToCoordinator { address, count }) = outgoing {
            self.send(from, index_of(address), Message::Count(count));
        }
    }

    fn send_broadcasts(&mut self, index: usize) {
        let words = self.boxes[index].quotas.take_broadcasts();
        let others: Vec<SocketAddr> = self.boxes[index].quotas.others().collect();
        for reply in words {
            for other in &others {
                self.send(index, index_of(*other), Message::Reply(reply.clone()));
            }
        }
    }

    /// Returns the largest number of requests in any span of the window's length.
    fn max_in_window(&self) -> usize {
        let window_ms = (BOUNDS.window_s * 1_000.0) as u64;
        let runs_from = |first: usize| {
            let until = self.runs[first] + window_ms;
            self.runs.partition_point(|ran_at| *ran_at <= until) - first
        };
        (0..self.runs.len()).map(runs_from).max().unwrap_or(0)
    }
}

fn assert_within_bound(store: Store, seeds: std::ops::Range<u64>) {
    let allowed = LIMIT.rate_per_s * BOUNDS.window_s + LIMIT.burst + BOUNDS.overage(LIMIT);
    for seed in seeds {
        for pressure in [2.0, 6.0, 20.0] {
            let max_runs = Model::run(store, BOXES as u32, pressure, seed).max_in_window();
            assert!(
                max_runs as f64 <= allowed,
                "{store:?} x{pressure} seed {seed}: {max_runs} requests, of {allowed} allowed"
            );
        }
    }
}

/// Guards against boxes that start in a cut-off zone and take it for the whole fleet, so that each
/// zone uses the whole quota. The cut-off zones don't reach the store and serve when the cut ends.
#[test]
fn zones_that_start_cut_off_each_spend_the_whole_quota() {
    assert_within_bound(Store::CutOff, 0..4);
}

/// Guards against the same in zones that reach the store, so that their boxes serve while the zones
/// are still cut off from each other.
#[test]
fn zones_that_are_cut_off_from_each_other_each_spend_the_whole_quota() {
    assert_within_bound(Store::Reachable, 0..4);
}

/// Guards against refusing a workspace below its quota after zones reconnect.
#[test]
fn a_workspace_under_its_quota_is_refused_after_zones_reconnect() {
    /// Traffic, as a fraction of the limit.
    const USUAL_FRACTION: f64 = 0.5;
    /// Time from which all boxes know each other and a bucket has filled.
    const SETTLED_MS: u64 = HEALS_AT_MS + 4_000;
    let model = Model::run(Store::CutOff, BOXES as u32, USUAL_FRACTION, 1);
    let served = model.runs.iter().filter(|at| **at >= SETTLED_MS).count() as f64;
    let seconds = (END_MS - SETTLED_MS) as f64 / 1_000.0;
    let requested = LIMIT.rate_per_s * USUAL_FRACTION * seconds;
    assert!(
        served >= 0.9 * requested,
        "{served} of {requested} requests served"
    );
}
