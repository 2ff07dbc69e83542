//! Records of boxes pass between builds with and without published sizes.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_routing::{MemberRecord, MemberState, Revision};
use brasswinch_types::{BoxId, Zone};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The record of builds without published sizes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct FormerRecord {
    #[serde(rename = "i")]
    id: BoxId,
    #[serde(rename = "n")]
    incarnation: u64,
    #[serde(rename = "z")]
    zone: Zone,
    #[serde(rename = "c")]
    caller_address: SocketAddr,
    #[serde(rename = "p")]
    peer_address: SocketAddr,
    #[serde(rename = "s")]
    state: MemberState,
    #[serde(rename = "r")]
    requests_per_s: Option<f32>,
    #[serde(rename = "o")]
    operator_revision: Revision,
    #[serde(rename = "t")]
    upstream_revision: Revision,
    #[serde(rename = "k")]
    reaches_store: bool,
    #[serde(rename = "b", default)]
    link_mbps: u32,
    #[serde(rename = "f", default)]
    fleet_size: u32,
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    reaches_upstreams: Option<bool>,
}

fn former() -> FormerRecord {
    FormerRecord {
        id: BoxId::new("box-1"),
        incarnation: 1_700_000_000_000,
        zone: Zone::new("west-a"),
        caller_address: "10.0.0.1:8548".parse().unwrap(),
        peer_address: "10.0.0.1:7540".parse().unwrap(),
        state: MemberState::Serving,
        requests_per_s: Some(12.5),
        operator_revision: Revision(7),
        upstream_revision: Revision(9),
        reaches_store: true,
        link_mbps: 200,
        fleet_size: 75,
        reaches_upstreams: Some(true),
    }
}

fn current() -> MemberRecord {
    let former = former();
    MemberRecord {
        id: former.id,
        incarnation: former.incarnation,
        zone: former.zone,
        caller_address: former.caller_address,
        peer_address: former.peer_address,
        state: former.state,
        requests_per_s: former.requests_per_s,
        operator_revision: former.operator_revision,
        upstream_revision: former.upstream_revision,
        reaches_store: former.reaches_store,
        link_mbps: former.link_mbps,
        fleet_size: former.fleet_size,
        reaches_upstreams: former.reaches_upstreams,
        cpu_millis: None,
        memory_mb: None,
        max_connections: None,
        utilization: None,
    }
}

fn encoded(record: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(record, &mut bytes).unwrap();
    bytes
}

fn decoded<T: DeserializeOwned>(bytes: &[u8]) -> T {
    ciborium::from_reader(bytes).unwrap()
}

/// Guards against newer boxes that can't read the records of older ones.
#[test]
fn a_record_of_a_former_build_is_read_with_unknown_sizes() {
    assert_eq!(decoded::<MemberRecord>(&encoded(&former())), current());
}

/// Guards against larger datagrams of boxes that have nothing to publish.
#[test]
fn a_record_without_sizes_is_encoded_as_before() {
    assert_eq!(encoded(&current()), encoded(&former()));
}

/// Guards against older boxes that lose newer ones, because they can't read their records.
#[test]
fn a_former_build_reads_a_record_with_sizes() {
    let record = MemberRecord {
        cpu_millis: Some(500),
        memory_mb: Some(512),
        max_connections: Some(8_192),
        utilization: Some(85),
        ..current()
    };
    let bytes = encoded(&record);
    println!(
        "{} bytes, {} without sizes",
        bytes.len(),
        encoded(&former()).len()
    );
    assert_eq!(decoded::<MemberRecord>(&bytes), record);
    assert_eq!(decoded::<FormerRecord>(&bytes), former());
}
