//! Membership by the SWIM protocol: each box probes one member at a time, asks a few others to
//! probe it if it doesn't respond, and piggybacks membership updates on these messages.
//!
//! The load on a box doesn't depend on the size of the fleet. Source: Das, Gupta,
//! Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
//! Protocol", 2002, with its suspicion and round-robin probing.

mod digest;
mod member;
mod message;
mod probing;
mod spreading;
mod sync;

pub use digest::MembersDigest;
pub use member::{Liveness, Member, MemberRecord, MemberState};
pub use message::{KnownView, Outgoing, SwimMessage};
pub use sync::{MembersReply, MembersRequest, NeededTransfer};

use crate::change::{Revision, Scope};
use brasswinch_types::{BoxId, Millis};
use message::Update;
use probing::{IndirectProbe, Probe};
use rand::Rng;
use rand::seq::SliceRandom;
use spreading::MAX_UPDATES_PER_MESSAGE;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use sync::SyncSchedule;

/// Members to which a box announces its changed record at once; each of those that learn
/// something new from it announces that to as many.
const ANNOUNCE_FANOUT: usize = 3;

/// Smallest change of the utilization that is published, in percent.
const MIN_UTILIZATION_CHANGE: u32 = 10;

/// How long a dead member is kept and still probed now and then.
const DEAD_RETENTION_MS: Millis = 60_000;

/// Timing of the protocol, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct SwimSettings {
    /// Interval between two probes.
    pub period_ms: Millis,
    /// Time without an acknowledgement after which others are asked to probe the member.
    pub ack_timeout_ms: Millis,
    /// Time after which a suspect member is considered dead.
    pub suspicion_ms: Millis,
}

impl Default for SwimSettings {
    fn default() -> Self {
        Self {
            period_ms: 300,
            ack_timeout_ms: 150,
            suspicion_ms: 1_200,
        }
    }
}

/// The protocol state of one box.
#[derive(Debug)]
pub struct Swim {
    settings: SwimSettings,
    me: MemberRecord,
    seeds: Vec<SocketAddr>,
    /// Addresses of boxes that were found elsewhere and are no members yet.
    contacts: Vec<SocketAddr>,
    members: BTreeMap<BoxId, Member>,
    probe_order: Vec<BoxId>,
    /// Members in the probe order when it was last renewed.
    probe_order_members: usize,
    probe: Option<Probe>,
    indirect_probes: BTreeMap<u32, IndirectProbe>,
    next_sequence: u32,
    next_probe_at: Millis,
    sync: SyncSchedule,
    generation: u64,
    /// The latest revision of each scope that any box ever reported.
    reported_revisions: BTreeMap<Scope, Revision>,
}

impl Swim {
    /// Starts without members; the first ones are found through `seeds`.
    pub fn new(me: MemberRecord, seeds: Vec<SocketAddr>, settings: SwimSettings) -> Self {
        let seeds = seeds
            .into_iter()
            .filter(|seed| *seed != me.peer_address)
            .collect();
        Self {
            settings,
            me,
            seeds,
            contacts: Vec::new(),
            members: BTreeMap::new(),
            probe_order: Vec::new(),
            probe_order_members: 0,
            probe: None,
            indirect_probes: BTreeMap::new(),
            next_sequence: 1,
            next_probe_at: 0,
            sync: SyncSchedule::default(),
            generation: 0,
            reported_revisions: BTreeMap::new(),
        }
    }

    /// Returns this box's own record.
    pub fn me(&self) -> &MemberRecord {
        &self.me
    }

    /// Returns a member, dead or alive.
    pub fn member(&self, id: &BoxId) -> Option<&Member> {
        self.members.get(id)
    }

    /// Returns all other members, including dead ones.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the records of all boxes that are alive, including this one.
    pub fn alive_boxes(&self) -> impl Iterator<Item = &MemberRecord> {
        let alive = |member: &&Member| member.liveness == Liveness::Alive;
        let others = self.members().filter(alive);
        others.map(|member| &member.record).chain([&self.me])
    }

    /// Returns the records of all live boxes that serve requests.
    pub fn serving_boxes(&self) -> impl Iterator<Item = &MemberRecord> {
        self.alive_boxes()
            .filter(|record| record.state == MemberState::Serving)
    }

    /// Returns the latest revision of `scope` that any box ever reported.
    pub fn newest_reported(&self, scope: Scope) -> Revision {
        self.reported_revisions
            .get(&scope)
            .copied()
            .unwrap_or_default()
    }

    /// Returns a counter that is incremented when a box joins or when its liveness or published
    /// state changes, but not for a changed load or revision.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Sets this box's state.
    pub fn set_state(&mut self, state: MemberState) {
        if self.me.state != state {
            self.me.state = state;
            self.me.incarnation += 1;
            self.generation += 1;
        }
    }

    /// Sets the load that this box publishes.
    pub fn set_requests_per_s(&mut self, requests_per_s: f32) {
        self.me.requests_per_s = Some(requests_per_s);
        self.me.incarnation += 1;
    }

    /// Sets the utilization that this box publishes, in percent. Small changes aren't published,
    /// so that records don't change with each measurement.
    pub fn set_utilization(&mut self, percent: u32) {
        let published = self.me.utilization.unwrap_or(0);
        if percent.abs_diff(published) >= MIN_UTILIZATION_CHANGE {
            self.me.utilization = Some(percent);
            self.me.incarnation += 1;
        }
    }

    /// Raises the revision up to which this box publishes that it knows `scope`. Returns whether
    /// it was lower before.
    pub fn set_revision(&mut self, scope: Scope, revision: Revision) -> bool {
        if self.me.revision(scope) >= revision {
            return false;
        }
        self.me.raise_revision(scope, revision);
        self.me.incarnation += 1;
        true
    }

    /// Sets whether this box publishes that it reaches the store.
    pub fn set_reaches_store(&mut self, reaches_store: bool) {
        if self.me.reaches_store != reaches_store {
            self.me.reaches_store = reaches_store;
            self.me.incarnation += 1;
            self.generation += 1;
        }
    }

    /// Sets whether this box publishes that it reaches upstreams.
    pub fn set_reaches_upstreams(&mut self, reaches_upstreams: bool) {
        if self.me.reaches_upstreams != Some(reaches_upstreams) {
            self.me.reaches_upstreams = Some(reaches_upstreams);
            self.me.incarnation += 1;
            self.generation += 1;
        }
    }

    /// Sets the fleet size that this box publishes. Returns whether it changed.
    pub fn set_fleet_size(&mut self, fleet_size: u32) -> bool {
        if self.me.fleet_size == fleet_size {
            return false;
        }
        self.me.fleet_size = fleet_size;
        self.me.incarnation += 1;
        true
    }

    /// Returns pings to a few members that announce this box's current record at once.
    pub fn announce_update(&mut self, random: &mut impl Rng) -> Vec<Outgoing> {
        let mut addresses = self.addresses(Liveness::Alive);
        addresses.shuffle(random);
        addresses.truncate(ANNOUNCE_FANOUT);
        let mut out = Vec::new();
        for address in addresses {
            let sequence = self.new_sequence();
            let updates = vec![self.own_update()];
            out.push((address, SwimMessage::Ping { sequence, updates }));
        }
        out
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.seeds.retain(|seed| *seed != self.me.peer_address);
    }

    /// Sets the addresses of boxes found elsewhere. Some of those that belong to no live member
    /// are sent a sync request at the next tick. Returns how many belong to none.
    pub fn set_contacts(&mut self, addresses: impl Iterator<Item = SocketAddr>) -> usize {
        let alive = self.addresses(Liveness::Alive);
        let is_contact =
            |address: &SocketAddr| *address != self.me.peer_address && !alive.contains(address);
        self.contacts = addresses.filter(is_contact).collect();
        if !self.contacts.is_empty() {
            self.sync.next_at = 0;
        }
        self.contacts.len()
    }

    /// Runs the periodic work and returns the messages to send.
    pub fn tick(&mut self, now: Millis, random: &mut impl Rng) -> Vec<Outgoing> {
        let mut out = Vec::new();
        self.expire_members(now);
        self.check_probe(now, random, &mut out);
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.settings.period_ms;
            self.start_probe(now, random, &mut out);
        }
        if now >= self.sync.next_at {
            self.start_sync(now, random, &mut out);
        }
        out
    }

    /// Handles a message and returns the messages to send.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        message: SwimMessage,
        now: Millis,
        random: &mut impl Rng,
    ) -> Vec<Outgoing> {
        match message {
            SwimMessage::Ping { sequence, updates } => {
                self.merge_all(updates, now);
                let updates = self.updates_to_send();
                vec![(from, SwimMessage::Ack { sequence, updates })]
            }
            SwimMessage::Ack { sequence, updates } => {
                self.merge_all(updates, now);
                self.handle_ack(sequence)
            }
            SwimMessage::PingRequest {
                sequence,
                peer,
                updates,
            } => {
                self.merge_all(updates, now);
                self.start_indirect_probe(from, sequence, peer, now)
            }
            SwimMessage::Sync {
                wants_reply,
                updates,
                digest,
                withheld,
            } => {
                if wants_reply {
                    let newer = self.newer_than(&updates);
                    self.merge_all(updates, now);
                    return self.sync_replies(from, digest.as_ref(), newer, random);
                }
                self.merge_all(updates, now);
                self.handle_sync_reply(from, withheld);
                Vec::new()
            }
            SwimMessage::Known { id, views, .. } => {
                self.record_views(&id, &views);
                Vec::new()
            }
        }
    }

    /// Returns the messages that announce to some members that this box is leaving. They are the
    /// last ones before it stops.
    pub fn announce_leave(&mut self, random: &mut impl Rng) -> Vec<Outgoing> {
        let mut addresses: Vec<SocketAddr> = self.addresses(Liveness::Alive);
        addresses.shuffle(random);
        addresses.truncate(MAX_UPDATES_PER_MESSAGE);
        let updates = vec![self.own_update()];
        let message = |address| {
            let updates = updates.clone();
            (
                address,
                SwimMessage::Sync {
                    wants_reply: false,
                    updates,
                    digest: None,
                    withheld: 0,
                },
            )
        };
        addresses.into_iter().map(message).collect()
    }

    fn addresses(&self, liveness: Liveness) -> Vec<SocketAddr> {
        self.members
            .values()
            .filter(|member| member.liveness == liveness)
            .map(|member| member.record.peer_address)
            .collect()
    }

    fn own_update(&self) -> Update {
        Update {
            record: self.me.clone(),
            liveness: Liveness::Alive,
        }
    }

    fn set_liveness(&mut self, id: &BoxId, liveness: Liveness, now: Millis) {
        let transmissions_left = self.max_transmissions();
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        member.liveness = liveness;
        member.changed_at = now;
        member.transmissions_left = transmissions_left;
        self.generation += 1;
    }

    fn expire_members(&mut self, now: Millis) {
        let suspicion = self.settings.suspicion_ms;
        let expired: Vec<BoxId> = self
            .members
            .iter()
            .filter(|(_, member)| member.liveness == Liveness::Suspect)
            .filter(|(_, member)| now.saturating_sub(member.changed_at) >= suspicion)
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.set_liveness(&id, Liveness::Dead, now);
        }
        self.members.retain(|_, member| {
            member.liveness != Liveness::Dead
                || now.saturating_sub(member.changed_at) < DEAD_RETENTION_MS
        });
        self.indirect_probes
            .retain(|_, indirect_probe| now.saturating_sub(indirect_probe.started_at) < suspicion);
    }

    fn new_sequence(&mut self) -> u32 {
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.next_sequence
    }
}
