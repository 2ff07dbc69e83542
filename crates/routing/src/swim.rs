//! Membership by the SWIM protocol: each box probes one other at a time, asks a few
//! others to probe it where it is silent, and spreads what it learns on the probes.
//!
//! The load on a box doesn't depend on the size of the fleet. Source: Das, Gupta,
//! Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
//! Protocol", 2002, with its suspicion and round-robin probing.

use crate::change::{Revision, Scope};
use brasswinch_types::{BoxId, Millis, Zone};
use rand::seq::SliceRandom;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Most updates on one message, so that it fits a datagram.
const MOST_UPDATES: usize = 7;

/// Most members told to one that asks for all.
const MOST_SYNCED: usize = 140;

/// An update is spread this often for each doubling of the fleet.
const SPREAD_PER_DOUBLING: u32 = 2;

/// Boxes that are asked to probe a silent one.
const HELPERS: usize = 2;

/// Boxes that are told at once that there is news from the store; each of them tells as
/// many.
const HINTED: usize = 3;

/// How long a dead member is remembered and looked for now and then.
const KEEP_DEAD_MS: Millis = 60_000;

/// Time between full exchanges with a random member.
const SYNC_MS: Millis = 5_000;

/// What a box is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// It can't serve yet.
    Starting,
    /// It serves.
    Serving,
    /// It takes nothing new.
    Leaving,
}

/// A box's own word about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The box.
    #[serde(rename = "i")]
    pub id: BoxId,
    /// Goes up with each change of the record, and with each denial of a suspicion.
    #[serde(rename = "n")]
    pub incarnation: u64,
    /// Where it stands.
    #[serde(rename = "z")]
    pub zone: Zone,
    /// Where callers reach it.
    #[serde(rename = "c")]
    pub caller_address: SocketAddr,
    /// Where other boxes reach it, by datagram and by connection.
    #[serde(rename = "p")]
    pub peer_address: SocketAddr,
    /// What it is doing.
    #[serde(rename = "s")]
    pub state: MemberState,
    /// Requests a second that its callers send; `None` until it has measured them.
    #[serde(rename = "r")]
    pub requests_per_s: Option<f32>,
    /// Up to where it knows what operators wrote.
    #[serde(rename = "o")]
    pub operator_revision: Revision,
    /// Up to where it knows what targets wrote.
    #[serde(rename = "t")]
    pub target_revision: Revision,
    /// Whether the store answered it when it last asked.
    #[serde(rename = "k")]
    pub reaches_store: bool,
}

impl MemberRecord {
    /// Up to where the box knows `scope`.
    pub fn revision(&self, scope: Scope) -> Revision {
        match scope {
            Scope::Operator => self.operator_revision,
            Scope::Targets => self.target_revision,
        }
    }
}

/// Whether a box was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Liveness {
    /// It answers.
    Alive,
    /// It was silent; it may still deny that.
    Suspect,
    /// It was silent for too long.
    Dead,
}

/// News of one member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    #[serde(rename = "r")]
    record: MemberRecord,
    #[serde(rename = "l")]
    liveness: Liveness,
}

/// What boxes say to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SwimMessage {
    /// Answer me.
    Ping {
        /// Comes back in the answer.
        sequence: u32,
        /// News.
        updates: Vec<Update>,
    },
    /// Here I am, or whom you asked me to probe.
    Ack {
        /// The ping's.
        sequence: u32,
        /// News.
        updates: Vec<Update>,
    },
    /// Probe another for me.
    PingRequest {
        /// Comes back in the answer.
        sequence: u32,
        /// Whom to probe.
        target: SocketAddr,
        /// News.
        updates: Vec<Update>,
    },
    /// Here are members that I know.
    Sync {
        /// Whether to answer with those that you know.
        asks: bool,
        /// The members.
        updates: Vec<Update>,
    },
}

/// A message and where it goes.
pub type Outgoing = (SocketAddr, SwimMessage);

/// Times of the protocol, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct SwimSettings {
    /// Between two probes.
    pub period_ms: Millis,
    /// Until helpers are asked.
    pub ack_timeout_ms: Millis,
    /// From suspicion to death.
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

/// What is known of another box.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its own word.
    pub record: MemberRecord,
    /// Whether it was heard.
    pub liveness: Liveness,
    changed_at: Millis,
    spread_left: u32,
}

#[derive(Clone, Debug)]
struct Probe {
    id: BoxId,
    sequence: u32,
    sent_at: Millis,
    asked_helpers: bool,
}

#[derive(Clone, Copy, Debug)]
struct Errand {
    asker: SocketAddr,
    asker_sequence: u32,
    taken_at: Millis,
}

/// One box's side of the protocol.
#[derive(Debug)]
pub struct Swim {
    settings: SwimSettings,
    me: MemberRecord,
    seeds: Vec<SocketAddr>,
    members: BTreeMap<BoxId, Member>,
    round: Vec<BoxId>,
    probe: Option<Probe>,
    errands: BTreeMap<u32, Errand>,
    next_sequence: u32,
    next_probe_at: Millis,
    next_sync_at: Millis,
    generation: u64,
}

impl Swim {
    /// Knows nobody but the addresses of `seeds`.
    pub fn new(me: MemberRecord, seeds: Vec<SocketAddr>, settings: SwimSettings) -> Self {
        let seeds = seeds
            .into_iter()
            .filter(|seed| *seed != me.peer_address)
            .collect();
        Self {
            settings,
            me,
            seeds,
            members: BTreeMap::new(),
            round: Vec::new(),
            probe: None,
            errands: BTreeMap::new(),
            next_sequence: 1,
            next_probe_at: 0,
            next_sync_at: 0,
            generation: 0,
        }
    }

    /// This box's own word.
    pub fn me(&self) -> &MemberRecord {
        &self.me
    }

    /// All other members, the dead ones included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Goes up whenever a member comes, goes or changes what it does.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Changes what this box does.
    pub fn set_state(&mut self, state: MemberState) {
        if self.me.state != state {
            self.me.state = state;
            self.me.incarnation += 1;
            self.generation += 1;
        }
    }

    /// Changes the load that this box tells.
    pub fn set_requests_per_s(&mut self, requests_per_s: f32) {
        self.me.requests_per_s = Some(requests_per_s);
        self.me.incarnation += 1;
    }

    /// Changes up to where this box says that it knows `scope`; says whether that is
    /// further than before.
    pub fn set_revision(&mut self, scope: Scope, revision: Revision) -> bool {
        let held = match scope {
            Scope::Operator => &mut self.me.operator_revision,
            Scope::Targets => &mut self.me.target_revision,
        };
        if *held >= revision {
            return false;
        }
        *held = revision;
        self.me.incarnation += 1;
        true
    }

    /// Changes whether this box says that the store answers it.
    pub fn set_reaches_store(&mut self, reaches_store: bool) {
        if self.me.reaches_store != reaches_store {
            self.me.reaches_store = reaches_store;
            self.me.incarnation += 1;
            self.generation += 1;
        }
    }

    /// Pings to some members, so that they hear this box's newest word at once.
    pub fn hints(&mut self, random: &mut impl Rng) -> Vec<Outgoing> {
        let mut addresses = self.addresses(Liveness::Alive);
        addresses.shuffle(random);
        addresses.truncate(HINTED);
        let mut out = Vec::new();
        for address in addresses {
            let sequence = self.new_sequence();
            let updates = vec![self.my_update()];
            out.push((address, SwimMessage::Ping { sequence, updates }));
        }
        out
    }

    /// Takes new seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.seeds.retain(|seed| *seed != self.me.peer_address);
    }

    /// Regular work; the messages to send.
    pub fn tick(&mut self, now: Millis, random: &mut impl Rng) -> Vec<Outgoing> {
        let mut out = Vec::new();
        self.bury(now);
        self.check_probe(now, random, &mut out);
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.settings.period_ms;
            self.start_probe(now, random, &mut out);
        }
        if now >= self.next_sync_at {
            self.start_sync(now, random, &mut out);
        }
        out
    }

    /// Takes a message; the messages to send.
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
                let updates = self.news();
                vec![(from, SwimMessage::Ack { sequence, updates })]
            }
            SwimMessage::Ack { sequence, updates } => {
                self.merge_all(updates, now);
                self.acknowledged(sequence)
            }
            SwimMessage::PingRequest {
                sequence,
                target,
                updates,
            } => {
                self.merge_all(updates, now);
                self.run_errand(from, sequence, target, now)
            }
            SwimMessage::Sync { asks, updates } => {
                self.merge_all(updates, now);
                if asks {
                    self.sync_answers(from, random)
                } else {
                    Vec::new()
                }
            }
        }
    }

    /// The last message before this box stops: that it leaves, to some members.
    pub fn farewell(&mut self, random: &mut impl Rng) -> Vec<Outgoing> {
        let mut addresses: Vec<SocketAddr> = self.addresses(Liveness::Alive);
        addresses.shuffle(random);
        addresses.truncate(MOST_UPDATES);
        let updates = vec![self.my_update()];
        let message = |address| {
            let updates = updates.clone();
            let asks = false;
            (address, SwimMessage::Sync { asks, updates })
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

    fn my_update(&self) -> Update {
        Update {
            record: self.me.clone(),
            liveness: Liveness::Alive,
        }
    }

    /// This box's word and the least spread news.
    fn news(&mut self) -> Vec<Update> {
        let mut fresh: Vec<(u32, BoxId)> = self
            .members
            .iter()
            .filter(|(_, member)| member.spread_left > 0)
            .map(|(id, member)| (member.spread_left, id.clone()))
            .collect();
        fresh.sort_by_key(|(left, _)| std::cmp::Reverse(*left));
        fresh.truncate(MOST_UPDATES - 1);
        let mut updates = vec![self.my_update()];
        for (_, id) in fresh {
            if let Some(member) = self.members.get_mut(&id) {
                member.spread_left -= 1;
                updates.push(member.update());
            }
        }
        updates
    }

    fn spread_times(&self) -> u32 {
        let doublings = usize::BITS - (self.members.len() + 1).leading_zeros();
        doublings * SPREAD_PER_DOUBLING
    }

    fn merge_all(&mut self, updates: Vec<Update>, now: Millis) {
        for update in updates {
            self.merge(update, now);
        }
    }

    fn merge(&mut self, update: Update, now: Millis) {
        if update.record.id == self.me.id {
            self.deny(&update);
            return;
        }
        let spread_left = self.spread_times();
        let news = Member {
            record: update.record,
            liveness: update.liveness,
            changed_at: now,
            spread_left,
        };
        let Some(held) = self.members.get_mut(&news.record.id) else {
            if news.liveness != Liveness::Dead {
                self.generation += 1;
                self.members.insert(news.record.id.clone(), news);
            }
            return;
        };
        let order = |member: &Member| (member.record.incarnation, member.liveness);
        if order(&news) <= order(held) {
            return;
        }
        let is_word_of_its_own = held.liveness == news.liveness
            && held.record.state == news.record.state
            && held.record.reaches_store == news.record.reaches_store;
        if is_word_of_its_own {
            // A changed load isn't worth spreading; its box tells it with each probe.
            held.record = news.record;
            return;
        }
        *held = news;
        self.generation += 1;
    }

    /// Answers a claim about this box that isn't its own latest word.
    fn deny(&mut self, update: &Update) {
        let is_older = update.record.incarnation < self.me.incarnation;
        let is_mine = update.record == self.me && update.liveness == Liveness::Alive;
        if !is_older && !is_mine {
            self.me.incarnation = update.record.incarnation + 1;
        }
    }

    fn set_liveness(&mut self, id: &BoxId, liveness: Liveness, now: Millis) {
        let spread_left = self.spread_times();
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        member.liveness = liveness;
        member.changed_at = now;
        member.spread_left = spread_left;
        self.generation += 1;
    }

    fn bury(&mut self, now: Millis) {
        let suspicion = self.settings.suspicion_ms;
        let silent: Vec<BoxId> = self
            .members
            .iter()
            .filter(|(_, member)| member.liveness == Liveness::Suspect)
            .filter(|(_, member)| now.saturating_sub(member.changed_at) >= suspicion)
            .map(|(id, _)| id.clone())
            .collect();
        for id in silent {
            self.set_liveness(&id, Liveness::Dead, now);
        }
        self.members.retain(|_, member| {
            member.liveness != Liveness::Dead
                || now.saturating_sub(member.changed_at) < KEEP_DEAD_MS
        });
        self.errands
            .retain(|_, errand| now.saturating_sub(errand.taken_at) < suspicion);
    }

    fn check_probe(&mut self, now: Millis, random: &mut impl Rng, out: &mut Vec<Outgoing>) {
        let Some(mut probe) = self.probe.take() else {
            return;
        };
        let age = now.saturating_sub(probe.sent_at);
        if age >= self.settings.period_ms * 2 {
            let is_alive = self
                .members
                .get(&probe.id)
                .is_some_and(|member| member.liveness == Liveness::Alive);
            if is_alive {
                self.set_liveness(&probe.id, Liveness::Suspect, now);
            }
            return;
        }
        if age >= self.settings.ack_timeout_ms && !probe.asked_helpers {
            probe.asked_helpers = true;
            self.ask_helpers(&probe, random, out);
        }
        self.probe = Some(probe);
    }

    fn ask_helpers(&mut self, probe: &Probe, random: &mut impl Rng, out: &mut Vec<Outgoing>) {
        let Some(target) = self.members.get(&probe.id) else {
            return;
        };
        let target = target.record.peer_address;
        let mut helpers = self.addresses(Liveness::Alive);
        helpers.retain(|address| *address != target);
        helpers.shuffle(random);
        for helper in helpers.into_iter().take(HELPERS) {
            let updates = self.news();
            let sequence = probe.sequence;
            let message = SwimMessage::PingRequest {
                sequence,
                target,
                updates,
            };
            out.push((helper, message));
        }
    }

    fn start_probe(&mut self, now: Millis, random: &mut impl Rng, out: &mut Vec<Outgoing>) {
        if self.probe.is_some() {
            return;
        }
        let Some(id) = self.next_in_round(random) else {
            return;
        };
        let Some(member) = self.members.get(&id).cloned() else {
            return;
        };
        let address = member.record.peer_address;
        let sequence = self.new_sequence();
        let updates = match member.liveness {
            // A dead or suspect one has to hear what is said of it, to deny it.
            Liveness::Alive => self.news(),
            _ => vec![self.my_update(), member.update()],
        };
        out.push((address, SwimMessage::Ping { sequence, updates }));
        self.probe = Some(Probe {
            id,
            sequence,
            sent_at: now,
            asked_helpers: false,
        });
    }

    fn next_in_round(&mut self, random: &mut impl Rng) -> Option<BoxId> {
        if self.round.is_empty() {
            self.round = self.members.keys().cloned().collect();
            self.round.shuffle(random);
        }
        self.round.pop()
    }

    fn new_sequence(&mut self) -> u32 {
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.next_sequence
    }

    fn acknowledged(&mut self, sequence: u32) -> Vec<Outgoing> {
        if self.probe.as_ref().is_some_and(|p| p.sequence == sequence) {
            self.probe = None;
        }
        let Some(errand) = self.errands.remove(&sequence) else {
            return Vec::new();
        };
        let updates = self.news();
        let sequence = errand.asker_sequence;
        vec![(errand.asker, SwimMessage::Ack { sequence, updates })]
    }

    fn run_errand(
        &mut self,
        asker: SocketAddr,
        asker_sequence: u32,
        target: SocketAddr,
        now: Millis,
    ) -> Vec<Outgoing> {
        let sequence = self.new_sequence();
        let errand = Errand {
            asker,
            asker_sequence,
            taken_at: now,
        };
        self.errands.insert(sequence, errand);
        let updates = self.news();
        vec![(target, SwimMessage::Ping { sequence, updates })]
    }

    fn start_sync(&mut self, now: Millis, random: &mut impl Rng, out: &mut Vec<Outgoing>) {
        let alive = self.addresses(Liveness::Alive);
        let is_alone = alive.is_empty();
        let wait = if is_alone {
            self.settings.period_ms
        } else {
            SYNC_MS
        };
        self.next_sync_at = now + wait;
        let receivers: Vec<SocketAddr> = if is_alone {
            self.seeds.clone()
        } else {
            vec![alive[random.random_range(0..alive.len())]]
        };
        for receiver in receivers {
            let updates = vec![self.my_update()];
            let asks = true;
            out.push((receiver, SwimMessage::Sync { asks, updates }));
        }
    }

    fn sync_answers(&mut self, to: SocketAddr, random: &mut impl Rng) -> Vec<Outgoing> {
        let mut updates: Vec<Update> = self.members.values().map(Member::update).collect();
        updates.shuffle(random);
        updates.truncate(MOST_SYNCED);
        updates.push(self.my_update());
        let message = |updates: &[Update]| {
            let updates = updates.to_vec();
            let asks = false;
            (to, SwimMessage::Sync { asks, updates })
        };
        updates.chunks(MOST_UPDATES).map(message).collect()
    }
}

impl Member {
    fn update(&self) -> Update {
        Update {
            record: self.record.clone(),
            liveness: self.liveness,
        }
    }
}
