//! Tests of the membership protocol in a small simulated network, and of the boxes' duties.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_routing::{
    Liveness, MemberRecord, MemberState, Revision, Scope, StoreDuty, Swim, SwimMessage,
    SwimSettings, Watchers,
};
use brasswinch_types::{BoxId, Zone};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

const STEP_MS: u64 = 25;
const DELAY_MS: u64 = 20;

fn address(number: usize) -> SocketAddr {
    ([10, 0, 0, 1], 1_000 + number as u16).into()
}

fn record(number: usize, incarnation: u64) -> MemberRecord {
    MemberRecord {
        id: BoxId::new(format!("box-{number}")),
        incarnation,
        zone: Zone::new(format!("zone-{}", number % 3)),
        caller_address: address(number),
        peer_address: address(number),
        state: MemberState::Serving,
        requests_per_s: Some(1.0),
        operator_revision: Revision(0),
        upstream_revision: Revision(0),
        reaches_store: true,
        link_mbps: 0,
        fleet_size: 0,
        reaches_upstreams: Some(true),
        cpu_millis: None,
        memory_mb: None,
        max_connections: None,
        utilization: None,
    }
}

struct Network {
    boxes: Vec<Option<Swim>>,
    /// Boxes that are partitioned from all others.
    partitioned: BTreeSet<usize>,
    in_flight: VecDeque<(u64, usize, SocketAddr, SwimMessage)>,
    random: StdRng,
    drop_every: usize,
    sent: usize,
    now: u64,
}

impl Network {
    fn new(count: usize) -> Self {
        Self::with_links(count, |_| 0)
    }

    /// Creates boxes whose bandwidth is `link_mbps` of their number.
    fn with_links(count: usize, link_mbps: fn(usize) -> u32) -> Self {
        let mut network = Self {
            boxes: Vec::new(),
            partitioned: BTreeSet::new(),
            in_flight: VecDeque::new(),
            random: StdRng::seed_from_u64(7),
            drop_every: usize::MAX,
            sent: 0,
            now: 1,
        };
        for number in 0..count {
            let mut record = record(number, 1_000);
            record.link_mbps = link_mbps(number);
            network.boxes.push(Some(Self::swim_of(record)));
        }
        network
    }

    fn swim(number: usize, incarnation: u64) -> Swim {
        Self::swim_of(record(number, incarnation))
    }

    fn swim_of(record: MemberRecord) -> Swim {
        let seeds = vec![address(0), address(1)];
        Swim::new(record, seeds, SwimSettings::default())
    }

    fn send(&mut self, from: usize, out: Vec<(SocketAddr, SwimMessage)>) {
        for (to, message) in out {
            self.sent += 1;
            let to = usize::from(to.port() - 1_000);
            let is_partitioned = self.partitioned.contains(&from) != self.partitioned.contains(&to);
            if is_partitioned || self.sent.is_multiple_of(self.drop_every) {
                continue;
            }
            let due = self.now + DELAY_MS;
            self.in_flight.push_back((due, to, address(from), message));
        }
    }

    fn run(&mut self, time_ms: u64) {
        let end = self.now + time_ms;
        while self.now < end {
            self.now += STEP_MS;
            while self
                .in_flight
                .front()
                .is_some_and(|(due, ..)| *due <= self.now)
            {
                let (_, to, from, message) = self.in_flight.pop_front().unwrap();
                let now = self.now;
                let Some(Some(swim)) = self.boxes.get_mut(to) else {
                    continue;
                };
                let out = swim.receive(from, message, now, &mut self.random);
                self.send(to, out);
            }
            for number in 0..self.boxes.len() {
                let now = self.now;
                if let Some(swim) = &mut self.boxes[number] {
                    let out = swim.tick(now, &mut self.random);
                    self.send(number, out);
                }
            }
        }
    }

    fn alive(&self, of: usize) -> BTreeSet<String> {
        let swim = self.boxes[of].as_ref().unwrap();
        swim.members()
            .filter(|member| member.liveness == Liveness::Alive)
            .map(|member| member.record.id.to_string())
            .collect()
    }
}

#[test]
fn all_boxes_join_through_two_seeds() {
    let mut network = Network::new(12);
    network.run(3_000);
    for number in 0..12 {
        assert_eq!(network.alive(number).len(), 11, "box-{number}");
    }
}

#[test]
fn a_dead_box_is_known_dead_everywhere_within_seconds() {
    let mut network = Network::new(12);
    network.run(3_000);
    network.boxes[5] = None;
    network.run(4_500);
    for number in (0..12).filter(|number| *number != 5) {
        assert!(!network.alive(number).contains("box-5"), "box-{number}");
    }
}

#[test]
fn lost_datagrams_make_no_box_dead() {
    let mut network = Network::new(12);
    network.drop_every = 20;
    network.run(5_000);
    let mut wrong = 0;
    for _ in 0..40 {
        network.run(500);
        let missing: usize = (0..12).map(|n| 11 - network.alive(n).len()).sum();
        wrong += usize::from(missing > 0);
    }
    assert!(wrong <= 4, "a box was missing in {wrong} of 40 samples");
}

#[test]
fn two_halves_rejoin_after_a_partition() {
    let mut network = Network::new(12);
    network.run(3_000);
    network.partitioned = (0..6).collect();
    network.run(8_000);
    assert_eq!(network.alive(0).len(), 5);
    assert_eq!(network.alive(11).len(), 5);
    network.partitioned.clear();
    network.run(6_000);
    for number in 0..12 {
        assert_eq!(network.alive(number).len(), 11, "box-{number}");
    }
}

#[test]
fn a_box_that_restarts_with_a_lower_incarnation_is_alive() {
    let mut network = Network::new(8);
    network.run(3_000);
    network.boxes[3] = Some(Network::swim(3, 1));
    network.run(4_000);
    let swim = network.boxes[0].as_ref().unwrap();
    let member = swim
        .members()
        .find(|member| member.record.id.as_str() == "box-3")
        .unwrap();
    assert_eq!(member.liveness, Liveness::Alive);
    assert!(member.record.incarnation > 1_000);
}

#[test]
fn a_leaving_box_announces_it() {
    let mut network = Network::new(12);
    network.run(3_000);
    let leaving = network.boxes[4].as_mut().unwrap();
    leaving.set_state(MemberState::Leaving);
    let out = leaving.announce_leave(&mut StdRng::seed_from_u64(1));
    network.send(4, out);
    network.run(1_000);
    for number in (0..12).filter(|number| *number != 4) {
        let swim = network.boxes[number].as_ref().unwrap();
        let mut members = swim.members();
        let member = members.find(|m| m.record.id.as_str() == "box-4").unwrap();
        assert_eq!(member.record.state, MemberState::Leaving, "box-{number}");
    }
}

/// Returns the boxes whose duty satisfies `is_wanted`.
fn with_duty(network: &Network, is_wanted: fn(StoreDuty) -> bool) -> Vec<usize> {
    let duty = |swim: &Swim| Watchers::of(swim).duty;
    let has = |number: &usize| {
        let swim = network.boxes[*number].as_ref();
        swim.is_some_and(|swim| is_wanted(duty(swim)))
    };
    (0..network.boxes.len()).filter(has).collect()
}

/// Returns the boxes that follow the store.
fn followers(network: &Network) -> Vec<usize> {
    with_duty(network, StoreDuty::follows_store)
}

/// Returns the followers and relays.
fn watchers(network: &Network) -> Vec<usize> {
    with_duty(network, |duty| duty != StoreDuty::Listen)
}

#[test]
fn two_boxes_follow_the_store_and_each_zone_has_a_follower_or_relay() {
    for boxes in [12, 30, 90] {
        let mut network = Network::new(boxes);
        network.run(6_000);
        let watching = watchers(&network);
        let zones: BTreeSet<usize> = watching.iter().map(|number| number % 3).collect();
        assert_eq!(zones.len(), 3);
        assert_eq!(followers(&network).len(), 2, "of {boxes}");
        assert!((3..=4).contains(&watching.len()), "{watching:?}");
    }
}

#[test]
fn exactly_one_box_leads_and_knows_all_followers_and_relays() {
    let mut network = Network::new(30);
    network.run(4_000);
    let confirms = with_duty(&network, |duty| duty == StoreDuty::Lead);
    assert_eq!(confirms.len(), 1, "{confirms:?}");
    let swim = network.boxes[confirms[0]].as_ref().unwrap();
    let listed_peers: BTreeSet<SocketAddr> = Watchers::of(swim).others.into_iter().collect();
    let watching = watchers(&network).into_iter();
    let others = watching.filter(|number| *number != confirms[0]);
    assert_eq!(listed_peers, others.map(address).collect());
}

#[test]
fn followers_that_lose_the_store_are_replaced() {
    let mut network = Network::new(30);
    network.run(4_000);
    let unserved = followers(&network);
    for number in &unserved {
        let swim = network.boxes[*number].as_mut().unwrap();
        swim.set_reaches_store(false);
    }
    network.run(3_000);
    let following = followers(&network);
    assert_eq!(following.len(), 2, "{following:?}");
    assert!(
        following.iter().all(|number| !unserved.contains(number)),
        "{following:?}"
    );
}

#[test]
fn boxes_with_fast_links_follow_the_store_where_there_are_some() {
    // Two of ten boxes of each zone are fast.
    let link_mbps = |number| if number < 6 { 200 } else { 10 };
    let mut network = Network::with_links(30, link_mbps);
    network.run(4_000);
    let watching = watchers(&network);
    assert!(watching.iter().all(|number| *number < 6), "{watching:?}");
    let zones: BTreeSet<usize> = watching.iter().map(|number| number % 3).collect();
    assert_eq!(zones.len(), 3);
    // Without them, slow boxes take over.
    for number in 0..6 {
        network.boxes[number] = None;
    }
    network.run(20_000);
    let watching = watchers(&network);
    let zones: BTreeSet<usize> = watching.iter().map(|number| number % 3).collect();
    assert_eq!(zones.len(), 3, "{watching:?}");
}

#[test]
fn a_new_revision_is_announced_at_once() {
    let mut network = Network::new(12);
    network.run(3_000);
    let announcer = network.boxes[2].as_mut().unwrap();
    assert!(announcer.set_revision(Scope::Upstreams, Revision(9)));
    assert!(
        !announcer.set_revision(Scope::Upstreams, Revision(8)),
        "never lowered"
    );
    let out = announcer.announce_update(&mut StdRng::seed_from_u64(1));
    network.send(2, out);
    network.run(3 * STEP_MS);
    let informed = (0..12).filter(|number| {
        let swim = network.boxes[*number].as_ref().unwrap();
        swim.members()
            .any(|member| member.record.revision(Scope::Upstreams) == Revision(9))
    });
    assert!(informed.count() >= 3);
}

#[test]
fn separate_groups_join_when_one_box_gets_a_contact() {
    let mut network = Network::new(6);
    for number in 0..6 {
        let first_of_group = number / 3 * 3;
        let seeds = vec![address(first_of_group)];
        let swim = Swim::new(record(number, 1_000), seeds, SwimSettings::default());
        network.boxes[number] = Some(swim);
    }
    network.run(5_000);
    assert_eq!(network.alive(0).len(), 2);
    let swim = network.boxes[0].as_mut().unwrap();
    let listed = [address(0), address(1), address(4)];
    assert_eq!(swim.set_contacts(listed.into_iter()), 1, "only one is new");
    network.run(5_000);
    for number in 0..6 {
        assert_eq!(network.alive(number).len(), 5, "box {number}");
    }
}

/// Guards against a record that changes with every measurement, and against one that hides load.
#[test]
fn utilization_is_published_only_if_it_changed_much() {
    let mut swim = Network::swim(0, 1_000);
    swim.set_utilization(9);
    assert_eq!(
        (swim.me().utilization, swim.me().incarnation),
        (None, 1_000)
    );
    swim.set_utilization(75);
    assert_eq!(swim.me().utilization, Some(75));
    assert_eq!(swim.me().incarnation, 1_001);
    for small_change in [66, 84, 75] {
        swim.set_utilization(small_change);
        assert_eq!(swim.me().utilization, Some(75));
        assert_eq!(swim.me().incarnation, 1_001);
    }
    swim.set_utilization(0);
    assert_eq!(
        (swim.me().utilization, swim.me().incarnation),
        (Some(0), 1_002)
    );
}
