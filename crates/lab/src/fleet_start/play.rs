//! Plays the start of a fleet.

use super::network::{Happening, Network, address_of, box_at, delay_ms, region_of};
use super::outcome::{StartOutcome, Traffic, kind_of};
use brasswinch_routing::{
    FleetSize, MemberRecord, MemberState, Outgoing, Revision, Swim, SwimMessage, SwimSettings,
};
use brasswinch_types::{BoxId, Millis, Zone};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::time::Instant;

/// Regions of the fleet, each of [`ZONES_PER_REGION`] zones.
pub(super) const REGIONS: usize = 3;

/// Zones of a region.
const ZONES_PER_REGION: usize = 3;

/// Boxes, one of each region, that the others find each other through.
const SEEDS: usize = 3;

/// Interval of the protocol's timer, in milliseconds, as in `edge::gossip`.
const TICK_MS: Millis = 75;

/// Least interval between two publications of the members, in milliseconds, as in `edge::gossip`.
const PUBLISH_MS: Millis = 150;

/// A fleet that starts.
#[derive(Clone, Debug)]
pub struct StartPattern {
    /// Boxes.
    pub boxes: usize,
    /// Time within which their processes start, in milliseconds.
    pub starts_within_ms: Millis,
    /// Time from a process's start until it serves, in milliseconds: least and most.
    pub serves_after_ms: (Millis, Millis),
    /// Length of the start, in milliseconds; what is sent in the 5 s after it counts apart.
    pub start_ms: Millis,
}

/// Time after the start for which messages are counted, in milliseconds.
const STEADY_MS: Millis = 5_000;

impl StartPattern {
    /// All boxes start within a quarter of a second.
    pub fn all_at_once(boxes: usize) -> Self {
        Self {
            boxes,
            starts_within_ms: 250,
            serves_after_ms: (1_000, 2_000),
            start_ms: 6_000,
        }
    }
}

/// One box of the replay.
struct ReplayedBox {
    swim: Swim,
    size: FleetSize,
    published_generation: u64,
    published_at: Millis,
}

/// Plays `pattern` with random numbers from `seed`.
pub fn play(pattern: &StartPattern, seed: u64) -> StartOutcome {
    let began = Instant::now();
    let mut replay = Replay::new(pattern, seed);
    replay.run();
    replay.outcome.processor_ms = began.elapsed().as_millis() as u64;
    replay.outcome
}

struct Replay<'a> {
    pattern: &'a StartPattern,
    boxes: Vec<ReplayedBox>,
    network: Network,
    random: StdRng,
    outcome: StartOutcome,
}

impl<'a> Replay<'a> {
    fn new(pattern: &'a StartPattern, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut network = Network::default();
        for number in 0..pattern.boxes {
            let start = 1 + random.random_range(0..=pattern.starts_within_ms);
            let (least, most) = pattern.serves_after_ms;
            let serve = start + random.random_range(least..=most);
            network.schedule(start, number, Happening::Start);
            network.schedule(serve, number, Happening::Serve);
        }
        let outcome = StartOutcome {
            complete_ms: vec![None; pattern.boxes],
            start: vec![Traffic::default(); pattern.boxes],
            steady: vec![Traffic::default(); pattern.boxes],
            ..StartOutcome::default()
        };
        Self {
            pattern,
            boxes: (0..pattern.boxes).map(replayed_box).collect(),
            network,
            random,
            outcome,
        }
    }

    fn run(&mut self) {
        let end = self.pattern.starts_within_ms + self.pattern.start_ms + STEADY_MS;
        let mut is_started = vec![false; self.pattern.boxes];
        while let Some((now, number, happening)) = self.network.next(end) {
            if let Happening::Start = happening {
                is_started[number] = true;
                self.network.schedule(now, number, Happening::Tick);
            } else if is_started[number] {
                self.handle(now, number, happening);
            }
        }
    }

    fn handle(&mut self, now: Millis, number: usize, happening: Happening) {
        let here = &mut self.boxes[number];
        let out = match happening {
            Happening::Start => Vec::new(),
            Happening::Tick => {
                self.network
                    .schedule(now + TICK_MS, number, Happening::Tick);
                here.swim.tick(now, &mut self.random)
            }
            Happening::Serve => {
                here.swim.set_state(MemberState::Serving);
                here.size.set_stored(0);
                here.swim.announce_update(&mut self.random)
            }
            Happening::Datagram { from, message } => {
                here.swim
                    .receive(address_of(from), *message, now, &mut self.random)
            }
        };
        self.send(now, number, out);
        self.publish(now, number);
    }

    /// Publishes the members as `edge::gossip` does.
    fn publish(&mut self, now: Millis, number: usize) {
        let here = &mut self.boxes[number];
        let generation = here.swim.generation();
        if generation == here.published_generation || now < here.published_at + PUBLISH_MS {
            return;
        }
        here.published_generation = generation;
        here.published_at = now;
        if here.size.observe_members(&mut here.swim, now) {
            let out = here.swim.announce_update(&mut self.random);
            self.send(now, number, out);
        }
        let knows_all = self.boxes[number].swim.serving_boxes().count() == self.pattern.boxes;
        if knows_all && self.outcome.complete_ms[number].is_none() {
            let since_starts = now.saturating_sub(self.pattern.starts_within_ms);
            self.outcome.complete_ms[number] = Some(since_starts);
        }
    }

    fn send(&mut self, now: Millis, from: usize, out: Vec<Outgoing>) {
        let is_start = now < self.pattern.starts_within_ms + self.pattern.start_ms;
        for (address, message) in out {
            let to = box_at(address);
            let bytes = encoded_bytes(&message);
            self.outcome.count(from, kind_of(&message), bytes, is_start);
            let message = Box::new(message);
            let at = now + delay_ms(from, to);
            self.network
                .schedule(at, to, Happening::Datagram { from, message });
        }
    }
}

fn replayed_box(number: usize) -> ReplayedBox {
    let seeds: Vec<SocketAddr> = (0..SEEDS).map(address_of).collect();
    ReplayedBox {
        swim: Swim::new(record_of(number), seeds, SwimSettings::default()),
        size: FleetSize::default(),
        published_generation: 0,
        published_at: 0,
    }
}

fn record_of(number: usize) -> MemberRecord {
    let zone = (number / REGIONS) % ZONES_PER_REGION;
    MemberRecord {
        id: BoxId::new(format!("box-{number:04}")),
        incarnation: 1_700_000_000_000,
        zone: Zone::new(format!("region-{}-{zone}", region_of(number))),
        caller_address: address_of(number),
        peer_address: address_of(number),
        state: MemberState::Starting,
        requests_per_s: None,
        operator_revision: Revision::default(),
        upstream_revision: Revision::default(),
        reaches_store: true,
        link_mbps: 20,
        fleet_size: 0,
    }
}

fn encoded_bytes(message: &SwimMessage) -> usize {
    let mut encoded = Vec::new();
    // Writing to memory does not fail.
    let _ = ciborium::into_writer(message, &mut encoded);
    encoded.len()
}
