//! Plays the start of a fleet.

use super::network::{Happening, Network, address_of, box_at, delay_ms, region_of};
use super::outcome::{StartOutcome, Traffic, kind_of};
use brasswinch_routing::{
    FleetSize, MemberRecord, MemberState, MembersRequest, Outgoing, Revision, Swim, SwimSettings,
};
use brasswinch_types::{BoxId, Millis, Zone};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
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

/// Transfers of members that a box sends at a time, as in `edge::relay`.
const MAX_TRANSFERS: u64 = 8;

/// Ways between two boxes until a request has arrived over a new connection: its set-up, the
/// upgrade to a WebSocket, and the request.
const WAYS_OF_A_REQUEST: Millis = 5;

/// Bytes that a link carries per millisecond: 20 Mbit/s.
const LINK_BYTES_PER_MS: u64 = 2_500;

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
    /// Transfers of members that it sends.
    transfers: u64,
    is_fetching: bool,
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
            known_ms: vec![None; pattern.boxes],
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
            Happening::TransferRequest { from, request } => {
                self.answer_transfer(now, number, from, &request);
                return;
            }
            Happening::TransferSent => {
                here.transfers -= 1;
                return;
            }
            Happening::TransferReply(reply) => {
                here.is_fetching = false;
                match reply {
                    Some(reply) => here.swim.merge_members(reply, now),
                    None => here.swim.record_failed_transfer(now),
                }
                Vec::new()
            }
        };
        self.send(now, number, out);
        self.fetch(now, number);
        self.publish(now, number);
    }

    /// Starts the transfer that the box needs.
    fn fetch(&mut self, now: Millis, number: usize) {
        let here = &mut self.boxes[number];
        if here.is_fetching {
            return;
        }
        let Some(needed) = here.swim.take_needed_transfer() else {
            return;
        };
        here.is_fetching = true;
        let to = box_at(needed.peer);
        let at = now + WAYS_OF_A_REQUEST * delay_ms(number, to);
        let (from, request) = (number, needed.request);
        let bytes = encoded_bytes(&request);
        self.count(now, number, "transfer-request", bytes);
        let happening = Happening::TransferRequest { from, request };
        self.network.schedule(at, to, happening);
    }

    fn answer_transfer(&mut self, now: Millis, number: usize, to: usize, request: &MembersRequest) {
        let here = &mut self.boxes[number];
        let delay = delay_ms(number, to);
        if here.transfers >= MAX_TRANSFERS {
            let busy = Happening::TransferReply(None);
            self.network.schedule(now + delay, to, busy);
            return;
        }
        here.transfers += 1;
        let reply = here.swim.members_reply(request);
        let bytes = encoded_bytes(&reply);
        let ended = now + bytes as u64 * here.transfers / LINK_BYTES_PER_MS;
        self.count(now, number, "transfer", bytes);
        self.network
            .schedule(ended, number, Happening::TransferSent);
        let reply = Happening::TransferReply(Some(reply));
        self.network.schedule(ended + delay, to, reply);
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
        let since_starts = now.saturating_sub(self.pattern.starts_within_ms);
        let swim = &self.boxes[number].swim;
        if swim.alive_boxes().count() == self.pattern.boxes {
            self.outcome.known_ms[number].get_or_insert(since_starts);
        }
        if swim.serving_boxes().count() == self.pattern.boxes {
            self.outcome.complete_ms[number].get_or_insert(since_starts);
        }
    }

    fn send(&mut self, now: Millis, from: usize, out: Vec<Outgoing>) {
        for (address, message) in out {
            let to = box_at(address);
            let bytes = encoded_bytes(&message);
            self.count(now, from, kind_of(&message), bytes);
            let message = Box::new(message);
            let at = now + delay_ms(from, to);
            self.network
                .schedule(at, to, Happening::Datagram { from, message });
        }
    }

    fn count(&mut self, now: Millis, from: usize, kind: &'static str, bytes: usize) {
        let is_start = now < self.pattern.starts_within_ms + self.pattern.start_ms;
        self.outcome.count(from, kind, bytes, is_start);
    }
}

fn replayed_box(number: usize) -> ReplayedBox {
    let seeds: Vec<SocketAddr> = (0..SEEDS).map(address_of).collect();
    ReplayedBox {
        swim: Swim::new(record_of(number), seeds, SwimSettings::default()),
        size: FleetSize::default(),
        published_generation: 0,
        published_at: 0,
        transfers: 0,
        is_fetching: false,
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
        reaches_upstreams: Some(true),
        cpu_millis: None,
        memory_mb: None,
        max_connections: None,
        utilization: None,
    }
}

fn encoded_bytes(message: &impl Serialize) -> usize {
    let mut encoded = Vec::new();
    // Writing to memory does not fail.
    let _ = ciborium::into_writer(message, &mut encoded);
    encoded.len()
}
