//! Anti-entropy: compares digests with another member, and fetches what differs.
//!
//! A few different members fit into datagrams. A starting box lacks nearly all of a large fleet
//! and fetches them in one transfer instead: see [`MembersRequest`]. Where a whole fleet starts at
//! once, each box soon syncs with others again, for as long as it learns many members; what it
//! knows about doubles each time.

use super::digest::{KnownMembers, MembersDigest};
use super::message::Update;
use super::spreading::MAX_UPDATES_PER_MESSAGE;
use super::{Liveness, Member, Outgoing, Swim, SwimMessage};
use brasswinch_types::Millis;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Boxes found elsewhere that are sent a sync request at a time.
const MAX_CONTACTS_PER_SYNC: usize = 4;

/// Most members that are sent as datagrams in reply to one sync request.
const MAX_SYNCED_MEMBERS: usize = 4 * (MAX_UPDATES_PER_MESSAGE - 1);

/// Most members that are sent in reply to a box of a build that sends no digest.
const MAX_MEMBERS_WITHOUT_DIGEST: usize = 140;

/// Interval between syncs while the last one brought many members.
const MIN_SYNC_INTERVAL_MS: Millis = 200;

/// Interval between syncs with a random member in a fleet that doesn't change.
const MAX_SYNC_INTERVAL_MS: Millis = 5_000;

/// Pause before another box is asked after a transfer failed.
const FAILED_TRANSFER_PAUSE_MS: Millis = 50;

/// Share of the known members that a sync has to bring for the next one to follow soon.
const MANY_MEMBERS_SHARE: usize = 64;

/// Share of the syncs that go to a member of the own zone: bytes between zones and regions cost.
const OWN_ZONE_SHARE: f64 = 0.5;

/// Asks another box for the members that the asking box lacks or knows in another state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersRequest {
    /// What the asking box knows.
    #[serde(rename = "members")]
    known: KnownMembers,
}

/// The members that the asking box lacks or knows in another state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MembersReply {
    #[serde(rename = "u")]
    updates: Vec<Update>,
}

impl MembersReply {
    /// Returns the number of members in the reply.
    pub fn count(&self) -> usize {
        self.updates.len()
    }
}

/// A transfer of members that this box needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NeededTransfer {
    /// The box to ask.
    pub peer: SocketAddr,
    /// The request to send to it.
    pub request: MembersRequest,
}

/// When to sync next, and what the last sync brought.
#[derive(Debug, Default)]
pub(super) struct SyncSchedule {
    pub(super) next_at: Millis,
    interval_ms: Millis,
    /// Members that were new or changed since the last sync.
    learned: usize,
    /// A box that knows many members that this one lacks.
    transfer_from: Option<SocketAddr>,
}

impl SyncSchedule {
    /// Records that a member is new or has changed.
    pub(super) fn record_learned(&mut self) {
        self.learned += 1;
    }

    /// Returns the interval until the next sync of a box that knows `members`.
    fn next_interval(&mut self, members: usize) -> Millis {
        let learned = std::mem::take(&mut self.learned);
        let is_many = learned * MANY_MEMBERS_SHARE > members;
        self.interval_ms = if is_many {
            MIN_SYNC_INTERVAL_MS
        } else {
            (self.interval_ms * 2).clamp(MIN_SYNC_INTERVAL_MS, MAX_SYNC_INTERVAL_MS)
        };
        self.interval_ms
    }
}

impl Swim {
    /// Returns the transfer that this box needs, once.
    pub fn take_needed_transfer(&mut self) -> Option<NeededTransfer> {
        let peer = self.sync.transfer_from.take()?;
        let known = KnownMembers::of(&self.me, self.members.values());
        Some(NeededTransfer {
            peer,
            request: MembersRequest { known },
        })
    }

    /// Returns the reply to another box's request.
    pub fn members_reply(&self, request: &MembersRequest) -> MembersReply {
        let present = self.members.values();
        let updates = present
            .filter(|member| member.liveness != Liveness::Dead)
            .filter(|member| !request.known.contains(&member.record))
            .map(Member::update)
            .collect();
        MembersReply { updates }
    }

    /// Merges the reply to this box's request.
    pub fn merge_members(&mut self, reply: MembersReply, now: Millis) {
        self.merge_all(reply.updates, now);
    }

    /// Records that a transfer failed; another box is asked soon.
    pub fn record_failed_transfer(&mut self, now: Millis) {
        self.sync.next_at = self.sync.next_at.min(now + FAILED_TRANSFER_PAUSE_MS);
    }

    pub(super) fn start_sync(
        &mut self,
        now: Millis,
        random: &mut impl Rng,
        out: &mut Vec<Outgoing>,
    ) {
        let interval = self.sync.next_interval(self.members.len());
        let mut receivers = match self.sync_partner(random) {
            Some(partner) => vec![partner],
            None => self.seeds.clone(),
        };
        let wait = if self.members.is_empty() {
            self.settings.period_ms
        } else {
            interval
        };
        self.sync.next_at = now + wait;
        // One of these boxes that replies knows the other members of its group.
        let mut contacts = std::mem::take(&mut self.contacts);
        contacts.shuffle(random);
        receivers.extend(contacts.into_iter().take(MAX_CONTACTS_PER_SYNC));
        let message = SwimMessage::Sync {
            wants_reply: true,
            updates: vec![self.own_update()],
            digest: Some(self.digest()),
            withheld: 0,
        };
        let to_each = receivers.into_iter().map(|to| (to, message.clone()));
        out.extend(to_each);
    }

    /// Chooses a live member to sync with, mostly of the own zone.
    fn sync_partner(&self, random: &mut impl Rng) -> Option<SocketAddr> {
        let alive = self.members.values();
        let alive: Vec<&Member> = alive
            .filter(|member| member.liveness == Liveness::Alive)
            .collect();
        let neighbours: Vec<&Member> = alive
            .iter()
            .copied()
            .filter(|member| member.record.zone == self.me.zone)
            .collect();
        let prefers_zone = random.random_bool(OWN_ZONE_SHARE);
        let candidates = if prefers_zone && !neighbours.is_empty() {
            neighbours
        } else {
            alive
        };
        let chosen = candidates.choose(random)?;
        Some(chosen.record.peer_address)
    }

    /// Returns the members that this box knows with a higher incarnation than `updates` claim. A
    /// box that restarted with a lower incarnation learns of it that way.
    pub(super) fn newer_than(&self, updates: &[Update]) -> Vec<Update> {
        let held = updates.iter().filter_map(|update| {
            let member = self.members.get(&update.record.id)?;
            (member.record.incarnation > update.record.incarnation).then(|| member.update())
        });
        held.collect()
    }

    /// Returns the messages with `newer` and the members that differ from those in `digest`, or only with some
    /// of them if there are too many for datagrams.
    pub(super) fn sync_replies(
        &self,
        to: SocketAddr,
        digest: Option<&MembersDigest>,
        newer: Vec<Update>,
        random: &mut impl Rng,
    ) -> Vec<Outgoing> {
        let mut differing = match digest {
            Some(digest) => self.differing(digest),
            None => self.members.values().map(Member::update).collect(),
        };
        differing.shuffle(random);
        let mut withheld = 0;
        if digest.is_none() {
            differing.truncate(MAX_MEMBERS_WITHOUT_DIGEST);
        } else if differing.len() > MAX_SYNCED_MEMBERS {
            withheld = differing.len() as u32;
            differing.truncate(MAX_UPDATES_PER_MESSAGE - 1);
        }
        let message = |updates: &[Update]| SwimMessage::Sync {
            wants_reply: false,
            updates: [&[self.own_update()], updates].concat(),
            digest: None,
            withheld,
        };
        differing.extend(newer);
        if differing.is_empty() {
            return vec![(to, message(&[]))];
        }
        differing
            .chunks(MAX_UPDATES_PER_MESSAGE - 1)
            .map(|updates| (to, message(updates)))
            .collect()
    }

    /// Handles the reply of the box at `from`, which withheld this many differing members.
    pub(super) fn handle_sync_reply(&mut self, from: SocketAddr, withheld: u32) {
        if withheld > 0 {
            self.sync.transfer_from = Some(from);
        }
    }

    fn digest(&self) -> MembersDigest {
        MembersDigest::of(&self.me, self.members.values())
    }

    /// Returns the members whose part of the digest differs from that in `digest`.
    fn differing(&self, digest: &MembersDigest) -> Vec<Update> {
        let own = self.digest();
        let present = self.members.values();
        present
            .filter(|member| member.liveness != Liveness::Dead)
            .filter(|member| own.differs_at(digest, &member.record))
            .map(Member::update)
            .collect()
    }
}
