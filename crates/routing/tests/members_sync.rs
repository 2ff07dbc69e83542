//! Tests of what a sync and a transfer of members contain.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_routing::{
    MemberRecord, MemberState, Outgoing, Revision, Swim, SwimMessage, SwimSettings,
};
use brasswinch_types::{BoxId, Zone};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::net::SocketAddr;

/// Boxes that the informed box knows.
const MEMBERS: usize = 200;

/// The informed box, which is the seed of all others.
const INFORMED: usize = 0;

fn address(number: usize) -> SocketAddr {
    ([10, 0, 0, 1], 1_000 + number as u16).into()
}

fn swim(number: usize) -> Swim {
    let record = MemberRecord {
        id: BoxId::new(format!("box-{number}")),
        incarnation: 1_000,
        zone: Zone::new("west-a"),
        caller_address: address(number),
        peer_address: address(number),
        state: MemberState::Serving,
        requests_per_s: None,
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
    };
    Swim::new(record, vec![address(INFORMED)], SwimSettings::default())
}

fn random() -> StdRng {
    StdRng::seed_from_u64(7)
}

/// Returns the request that a box syncs with.
fn sync_request(swim: &mut Swim, now: u64) -> SwimMessage {
    let out = swim.tick(now, &mut random());
    let is_sync = |(_, message): &Outgoing| matches!(message, SwimMessage::Sync { .. });
    out.into_iter().find(is_sync).unwrap().1
}

/// Returns a box that `MEMBERS` others have joined, and those.
fn informed() -> (Swim, Vec<Swim>) {
    let mut informed = swim(INFORMED);
    let mut others: Vec<Swim> = (1..=MEMBERS).map(swim).collect();
    for (number, other) in others.iter_mut().enumerate() {
        let request = sync_request(other, 1);
        informed.receive(address(number + 1), request, 1, &mut random());
    }
    assert_eq!(informed.members().count(), MEMBERS);
    (informed, others)
}

/// Lets `asking` sync with `informed`; returns the number of messages in reply.
fn sync(asking: &mut Swim, informed: &mut Swim, now: u64) -> usize {
    let from = asking.me().peer_address;
    let request = sync_request(asking, now);
    let replies = informed.receive(from, request, now, &mut random());
    let count = replies.len();
    for (_, reply) in replies {
        asking.receive(address(INFORMED), reply, now, &mut random());
    }
    count
}

/// Fetches what `asking` lacks; returns the number of members that it was sent.
fn fetch(asking: &mut Swim, informed: &Swim, now: u64) -> usize {
    let needed = asking.take_needed_transfer().unwrap();
    assert_eq!(needed.peer, address(INFORMED));
    let reply = informed.members_reply(&needed.request);
    let count = reply.count();
    asking.merge_members(reply, now);
    count
}

#[test]
fn a_joining_box_is_sent_datagram_after_datagram() {
    let (mut informed, _) = informed();
    let mut joining = swim(MEMBERS + 1);
    assert_eq!(sync(&mut joining, &mut informed, 2), 1);
    fetch(&mut joining, &informed, 3);
    assert_eq!(joining.members().count(), MEMBERS + 1);
}

#[test]
fn a_box_is_sent_members_that_it_knows() {
    let (mut informed, _) = informed();
    let mut joining = swim(MEMBERS + 1);
    sync(&mut joining, &mut informed, 2);
    let known = joining.members().count();
    // The informed box itself and some members came with the reply to the sync.
    assert!(known > 1);
    let lacking = MEMBERS + 1 - known;
    assert_eq!(fetch(&mut joining, &informed, 3), lacking);
    assert_eq!(sync(&mut joining, &mut informed, 6_000), 1);
    assert_eq!(joining.take_needed_transfer(), None);
}

#[test]
fn one_changed_member_costs_a_transfer_of_all() {
    /// Datagrams for the changed member and the others of its part of the digest.
    const MAX_DATAGRAMS: usize = 4;
    let (mut informed, mut others) = informed();
    let mut joining = swim(MEMBERS + 1);
    sync(&mut joining, &mut informed, 2);
    fetch(&mut joining, &informed, 3);
    let changed = &mut others[10];
    changed.set_state(MemberState::Leaving);
    let request = sync_request(changed, 6_000);
    informed.receive(changed.me().peer_address, request, 6_000, &mut random());
    assert!(sync(&mut joining, &mut informed, 6_000) <= MAX_DATAGRAMS);
    assert_eq!(joining.take_needed_transfer(), None);
    let seen = joining.member(&changed.me().id).unwrap();
    assert_eq!(seen.record.state, MemberState::Leaving);
}

/// A box of an older build sends no digest and can't request a transfer.
#[test]
fn a_box_of_an_older_build_is_referred_to_a_transfer() {
    const LEAST_DATAGRAMS: usize = 20;
    let (mut informed, _) = informed();
    let request = SwimMessage::Sync {
        wants_reply: true,
        updates: Vec::new(),
        digest: None,
        withheld: 0,
    };
    let replies = informed.receive(address(MEMBERS + 1), request, 2, &mut random());
    assert!(replies.len() >= LEAST_DATAGRAMS, "{}", replies.len());
    let refers = |(_, message): &Outgoing| matches!(message, SwimMessage::Sync { withheld, .. } if *withheld > 0);
    assert!(!replies.iter().any(refers));
}
