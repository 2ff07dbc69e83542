//! A digest of the members that a box knows, so that two boxes exchange only what differs.

use super::{Liveness, Member, MemberRecord, MemberState};
use serde::{Deserialize, Serialize};
use std::hash::Hasher;
use std::net::IpAddr;
use xxhash_rust::xxh3::Xxh3;

/// Parts of a digest. With 1,000 members a part covers 16 of them, so one changed member costs two
/// datagrams.
const PARTS: usize = 64;

/// A digest of members: a hash of each part of them. A member's id decides to which part it
/// belongs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MembersDigest(Vec<u32>);

impl MembersDigest {
    /// Returns the digest of the members that aren't dead, and of the box itself.
    pub(super) fn of<'a>(
        me: &MemberRecord,
        members: impl Iterator<Item = &'a Member>,
    ) -> MembersDigest {
        let mut parts = vec![0; PARTS];
        let present = members.filter(|member| member.liveness != Liveness::Dead);
        for record in present.map(|member| &member.record).chain([me]) {
            // The order of the members doesn't matter.
            parts[part_of(record)] ^= hash_of(record);
        }
        Self(parts)
    }

    /// Whether the part of `record` differs from that in `other`. All parts of a digest of another
    /// length differ.
    pub(super) fn differs_at(&self, other: &MembersDigest, record: &MemberRecord) -> bool {
        let part = part_of(record);
        self.0.len() != other.0.len() || self.0.get(part) != other.0.get(part)
    }
}

/// The hash of each member that a box knows, in ascending order. It tells exactly which members
/// another box lacks, at four bytes each.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownMembers(Vec<u32>);

impl KnownMembers {
    /// Returns the hashes of the members that aren't dead, and of the box itself.
    pub(super) fn of<'a>(
        me: &MemberRecord,
        members: impl Iterator<Item = &'a Member>,
    ) -> KnownMembers {
        let present = members.filter(|member| member.liveness != Liveness::Dead);
        let records = present.map(|member| &member.record).chain([me]);
        let mut hashes: Vec<u32> = records.map(hash_of).collect();
        hashes.sort_unstable();
        Self(hashes)
    }

    /// Whether the box knows `record` in this state.
    pub(super) fn contains(&self, record: &MemberRecord) -> bool {
        self.0.binary_search(&hash_of(record)).is_ok()
    }
}

fn part_of(record: &MemberRecord) -> usize {
    let id = xxhash_rust::xxh3::xxh3_64(record.id.as_str().as_bytes());
    id as usize % PARTS
}

/// Hashes what other boxes need to know of a member; its load and revisions change too often.
fn hash_of(record: &MemberRecord) -> u32 {
    let mut hasher = Xxh3::new();
    hasher.write(record.id.as_str().as_bytes());
    match record.peer_address.ip() {
        IpAddr::V4(ip) => hasher.write(&ip.octets()),
        IpAddr::V6(ip) => hasher.write(&ip.octets()),
    }
    hasher.write(&record.peer_address.port().to_be_bytes());
    let state = match record.state {
        MemberState::Starting => 0,
        MemberState::Serving => 1,
        MemberState::Leaving => 2,
    };
    hasher.write(&[state, u8::from(record.reaches_store)]);
    // Builds that don't know the field have the same hash of all boxes that aren't cut off.
    if record.is_cut_off() {
        hasher.write(&[1]);
    }
    hasher.finish() as u32
}
