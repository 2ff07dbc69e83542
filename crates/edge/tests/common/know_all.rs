//! Simulated members that claim the newest revisions, or none.

use super::MAX_CONDITION_WAIT;
use brasswinch_edge::Datagram;
use brasswinch_routing::{MemberRecord, MemberState, Revision, Swim, SwimSettings};
use brasswinch_types::{BoxId, Zone};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

/// Maximum wait for a datagram between two checks of the protocol's timers.
const TICK: Duration = Duration::from_millis(50);

/// Runs a member that claims the newest revisions on `socket` for as long as the runtime lives,
/// with `seed` as its seed. Requests for its updates go to the TCP port of the same number.
pub async fn run_member_with_newest(socket: UdpSocket, seed: SocketAddr) {
    let record = record(&socket);
    run_membership(record, socket, seed).await;
}

/// Runs the same with a fast link, so that the member is selected to follow the store.
pub async fn run_fast_member_with_newest(socket: UdpSocket, seed: SocketAddr) {
    let mut record = record(&socket);
    record.id = BoxId::new(format!("know-all-{}", record.peer_address.port()));
    record.link_mbps = 1_000;
    run_membership(record, socket, seed).await;
}

/// Runs a member with a fast link that is selected to follow the store and never has updates.
pub async fn run_fast_member_without_updates(socket: UdpSocket, seed: SocketAddr) {
    let mut record = record(&socket);
    record.id = BoxId::new(format!("know-nothing-{}", record.peer_address.port()));
    record.link_mbps = 1_000;
    record.operator_revision = Revision(0);
    record.upstream_revision = Revision(0);
    run_membership(record, socket, seed).await;
}

/// Joins the box `id` at `seed` as a member, and returns its record when `is_expected` is true
/// for it.
pub async fn published_record(
    id: &str,
    seed: SocketAddr,
    is_expected: impl Fn(&MemberRecord) -> bool,
) -> MemberRecord {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let mut swim = Swim::new(record(&socket), vec![seed], SwimSettings::default());
    let began = Instant::now();
    let id = BoxId::new(id);
    while began.elapsed() < MAX_CONDITION_WAIT {
        exchange(&mut swim, &socket, began).await;
        let published = swim.member(&id).map(|member| &member.record);
        if let Some(record) = published.filter(|record| is_expected(record)) {
            return record.clone();
        }
    }
    panic!("{:?} is not as expected", swim.member(&id));
}

async fn run_membership(record: MemberRecord, socket: UdpSocket, seed: SocketAddr) {
    let mut swim = Swim::new(record, vec![seed], SwimSettings::default());
    let began = Instant::now();
    loop {
        exchange(&mut swim, &socket, began).await;
    }
}

/// Receives a datagram, or waits for a tick, and sends what follows from it.
async fn exchange(swim: &mut Swim, socket: &UdpSocket, began: Instant) {
    let mut buffer = vec![0; 16_384];
    let now = began.elapsed().as_millis() as u64 + 1;
    let out = match tokio::time::timeout(TICK, socket.recv_from(&mut buffer)).await {
        Ok(Ok((length, from))) => match ciborium::from_reader(&buffer[..length]).unwrap() {
            Datagram::Swim(message) => swim.receive(from, message, now, &mut rand::rng()),
            _ => Vec::new(),
        },
        _ => swim.tick(now, &mut rand::rng()),
    };
    for (to, message) in out {
        let mut datagram = Vec::new();
        ciborium::into_writer(&Datagram::Swim(message), &mut datagram).unwrap();
        let _ = socket.send_to(&datagram, to).await;
    }
}

fn record(socket: &UdpSocket) -> MemberRecord {
    let address = socket.local_addr().unwrap();
    MemberRecord {
        id: BoxId::new("know-all"),
        incarnation: 1,
        zone: Zone::new("west-a"),
        caller_address: address,
        peer_address: address,
        state: MemberState::Serving,
        requests_per_s: None,
        operator_revision: Revision(1_000_000),
        upstream_revision: Revision(1_000_000),
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
