//! Links to other boxes: which to keep, what is said on them.

use super::state::Control;
use crate::context::Context;
use crate::steering::Steering;
use brasswinch_decide::links::LinkChoice;
use brasswinch_decide::load_reports::{LoadReporter, ServiceLoad};
use brasswinch_decide::members::{BoxRecord, BoxState, RecordMerge};
use brasswinch_observe::{Event, emit};
use brasswinch_peer::{
    Heartbeat, Hello, LinkEvent, LinkId, LinkLimits, LinkSender, Message, NearReport, OriginShares,
    PROTOCOL_VERSION, TicketAnswer, ZoneReport, dial, encode,
};
use brasswinch_types::{BoxId, Incarnation, Millis, Region, ServiceKey, ServiceTag, Zone};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::PoisonError;
use tokio::sync::oneshot;

/// A box that was dialled in vain is left alone this long.
const REDIAL_AFTER_MS: Millis = 1_000;

/// A link on which nothing was heard for this many intervals is dropped.
const DEAD_AFTER_INTERVALS: u64 = 8;

/// A link that is no longer wanted is kept this long, for what still moves over it.
const KEEP_UNWANTED_MS: Millis = 10_000;

/// Each neighbour lengthens the time between heartbeats inside the zone to at least this
/// many milliseconds times the neighbours, so that what a box hears stays bounded.
const NEAR_SPACING_MS: Millis = 100;

/// The same for heartbeats between zones and far links.
const FAR_SPACING_MS: Millis = 200;

/// What boxes of a covered zone reported.
struct Covered {
    silent: Vec<BoxId>,
    loads: BTreeMap<ServiceTag, ServiceLoad>,
    until: Millis,
    /// Chooses what the neighbours are told of it.
    reporter: LoadReporter,
}

/// Configuration is compared with one peer at most this often.
const COMPARE_EVERY_MS: Millis = 1_000;

struct Link {
    sender: LinkSender,
    /// The peer, once it has said hello.
    peer: Option<(BoxId, Zone)>,
    /// Whether this box dialled.
    dialled: bool,
    up_since: Millis,
    heard_at: Millis,
    interval_ms: Millis,
    compared_at: Millis,
}

/// The links that are up and the addresses being dialled.
#[derive(Default)]
pub(super) struct LinkTable {
    links: HashMap<LinkId, Link>,
    dialling: BTreeSet<SocketAddr>,
    failed_at: HashMap<SocketAddr, Millis>,
    covered: BTreeMap<Zone, Covered>,
    near_sent_at: Millis,
    far_sent_at: Millis,
    near_reporter: LoadReporter,
    far_reporter: LoadReporter,
}

impl LinkTable {
    /// A new link has heard nothing yet: the next heartbeats tell everything.
    fn report_all_next(&mut self) {
        self.near_reporter.send_all_next();
        self.far_reporter.send_all_next();
        for covered in self.covered.values_mut() {
            covered.reporter.send_all_next();
        }
    }
}

impl LinkTable {
    /// The newest link to `id`.
    fn to(&self, id: &BoxId) -> Option<LinkId> {
        self.links
            .iter()
            .filter(|(_, link)| link.peer.as_ref().is_some_and(|(peer, _)| peer == id))
            .map(|(link, _)| *link)
            .max()
    }

    /// The boxes linked to.
    pub(super) fn peers(&self) -> BTreeSet<BoxId> {
        self.links
            .values()
            .filter_map(|link| link.peer.as_ref().map(|(id, _)| id.clone()))
            .collect()
    }
}

/// The bounds of links, from the settings.
pub(super) fn limits(context: &Context) -> LinkLimits {
    let peers = &context.settings.this_box.peers;
    LinkLimits {
        queue_messages: peers.queue_messages,
        message_bytes: peers.message_bytes,
    }
}

impl Control {
    pub(super) fn on_link(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up {
                link,
                sender,
                dialled,
            } => self.on_up(link, sender, dialled),
            LinkEvent::Message { link, message } => self.on_message(link, message),
            LinkEvent::Malformed { link, error } => {
                emit(Event::PeerMalformed, format_args!("{error}"));
                self.links.links.remove(&link);
            }
            LinkEvent::Down { link, dialled } => self.on_down(link, dialled),
        }
    }

    fn on_up(&mut self, link: LinkId, sender: LinkSender, dialled: Option<SocketAddr>) {
        if let Some(address) = dialled {
            self.links.dialling.remove(&address);
            self.links.failed_at.remove(&address);
        }
        let now = self.now();
        sender.send(&Message::Hello(Hello {
            version: PROTOCOL_VERSION,
            record: self.record.clone(),
            interval_ms: self.near_interval_ms().max(self.far_interval_ms()),
        }));
        let link_state = Link {
            sender,
            peer: None,
            dialled: dialled.is_some(),
            up_since: now,
            heard_at: now,
            interval_ms: self.far_interval_ms(),
            compared_at: now,
        };
        self.links.links.insert(link, link_state);
    }

    fn on_down(&mut self, link: Option<LinkId>, dialled: Option<SocketAddr>) {
        let now = self.now();
        if let Some(address) = dialled {
            self.links.dialling.remove(&address);
            self.links.failed_at.insert(address, now);
        }
        let removed = link.and_then(|link| self.links.links.remove(&link));
        if let Some((peer, zone)) = removed.and_then(|link| link.peer) {
            emit(Event::PeerDown, format_args!("{peer} in {zone}"));
            self.note_lost(&peer, &zone);
        }
    }

    /// Without a link to `peer`, and without any to its zone, nothing is heard of them.
    fn note_lost(&mut self, peer: &BoxId, zone: &Zone) {
        if self.links.to(peer).is_some() {
            return;
        }
        self.members.lost(peer);
        if self.links_where(|linked| linked == zone) == 0 {
            self.links.covered.remove(zone);
        }
        self.publish();
    }

    fn on_message(&mut self, link: LinkId, message: Message) {
        let now = self.now();
        if let Some(state) = self.links.links.get_mut(&link) {
            state.heard_at = now;
        }
        if let Message::Hello(hello) = message {
            self.on_hello(link, hello);
            return;
        }
        let Some((peer, zone)) = self.links.links.get(&link).and_then(|l| l.peer.clone()) else {
            return;
        };
        match message {
            Message::Hello(_) => {}
            Message::Heartbeat(heartbeat) => self.on_heartbeat_of(link, &peer, &zone, heartbeat),
            Message::Records(records) => self.on_records(records, Some(link)),
            Message::ConfigHeld(held) => {
                let missing = self.config.keeper.missing_from(&held);
                self.config.known = true;
                self.send(link, &Message::Config(missing));
            }
            Message::ConfigNews(news) => self.on_config_news(link, &news),
            Message::ConfigWanted(keys) => self.on_config_wanted(link, &keys),
            Message::Config(entries) => {
                self.config.known = true;
                self.merge_config(entries, Some(link));
            }
            Message::Units(table) if zone == self.context.zone => self.adopt_units(table),
            Message::Units(_) => {}
            Message::LoanAsk(ask) => self.on_loan_ask(link, &peer, &zone, ask),
            Message::LoanGrant(grant) => self.on_loan_grant(&peer, grant),
            Message::LoanReturn(returned) => self.on_loan_return(&peer, returned),
            Message::HoldingsAsk => self.on_holdings_ask(link, &peer),
            Message::Holdings(holdings) => self.on_holdings(&peer, holdings),
            Message::SharesAsk => {
                let shares = self.shares_in_use();
                self.send(link, &Message::Shares(shares));
            }
            Message::Shares(shares) => self.on_shares(&peer, shares),
            Message::TicketQuestion(question) => {
                let voided = self.void_ticket(&question.ticket);
                let answer = TicketAnswer {
                    question: question.question,
                    voided,
                };
                self.send(link, &Message::TicketAnswer(answer));
            }
            Message::TicketAnswer(answer) => {
                if let Some(waiting) = self.questions.remove(&answer.question) {
                    let _ = waiting.send(answer.voided);
                }
            }
        }
    }

    fn on_hello(&mut self, link: LinkId, hello: Hello) {
        if hello.version != PROTOCOL_VERSION {
            emit(
                Event::PeerVersion,
                format_args!("{} speaks {}", hello.record.id, hello.version),
            );
            self.links.links.remove(&link);
            return;
        }
        let record = hello.record;
        let (id, zone, incarnation) = (record.id.clone(), record.zone.clone(), record.incarnation);
        if id == self.context.id {
            self.links.links.remove(&link);
            return;
        }
        let before = self.members.record(&id).map(|record| record.incarnation);
        if before.is_some_and(|before| before != incarnation) {
            self.drop_loans_from(&id);
        }
        if let Some(state) = self.links.links.get_mut(&link) {
            state.peer = Some((id.clone(), zone.clone()));
            state.interval_ms = hello.interval_ms;
        }
        let now = self.now();
        self.on_records(vec![record], Some(link));
        self.members.heard(&id, incarnation, hello.interval_ms, now);
        emit(Event::PeerUp, format_args!("{id} in {zone}"));
        self.links.report_all_next();
        let mut known: Vec<BoxRecord> = self.members.records().cloned().collect();
        known.push(self.record.clone());
        self.send(link, &Message::Records(known));
        self.send(link, &Message::ConfigHeld(self.config.keeper.held()));
        if zone == self.context.zone {
            self.send(link, &Message::Units(self.units.table.clone()));
            if self.units.is_holding_back() {
                self.send(link, &Message::HoldingsAsk);
            }
        }
        if self.record.state == BoxState::Starting {
            self.send(link, &Message::SharesAsk);
        }
    }

    fn on_records(&mut self, records: Vec<BoxRecord>, from: Option<LinkId>) {
        let mut newer = Vec::new();
        for record in records {
            if self.members.merge(record.clone()) == RecordMerge::Newer {
                newer.push(record);
            }
        }
        if newer.is_empty() {
            return;
        }
        self.publish();
        let leavers = newer.iter().filter(|r| r.state == BoxState::Leaving);
        let leavers: Vec<BoxId> = leavers.map(|record| record.id.clone()).collect();
        for leaver in leavers {
            self.return_loans_of_leaver(&leaver);
        }
        self.broadcast_except(&Message::Records(newer), from);
    }

    fn on_heartbeat_of(&mut self, link: LinkId, peer: &BoxId, zone: &Zone, heartbeat: Heartbeat) {
        let now = self.now();
        let interval_ms = heartbeat.interval_ms;
        self.members
            .heard(peer, heartbeat.incarnation, interval_ms, now);
        if let Some(state) = self.links.links.get_mut(&link) {
            state.interval_ms = interval_ms;
        }
        let near = *zone == self.context.zone;
        let loads = match heartbeat.near {
            Some(report) if near => self.take_near_report(link, report),
            _ => Vec::new(),
        };
        self.members.report(peer, heartbeat.config_digest, loads);
        for report in heartbeat.zones {
            let about_sender = report.zone == *zone;
            if report.zone == self.context.zone || near == about_sender {
                continue;
            }
            self.take_zone_report(&report, interval_ms);
            if about_sender {
                self.cover(report, now + interval_ms * DEAD_AFTER_INTERVALS / 2);
            }
        }
        self.compare_config(link, heartbeat.config_digest);
    }

    /// Keeps what a box says of its own zone, for the neighbours.
    fn cover(&mut self, report: ZoneReport, until: Millis) {
        let covered = self
            .links
            .covered
            .entry(report.zone)
            .or_insert_with(|| Covered {
                silent: Vec::new(),
                loads: BTreeMap::new(),
                until,
                reporter: LoadReporter::default(),
            });
        covered.silent = report.silent;
        covered.until = until;
        let by_service = report.loads.into_iter().map(|load| (load.service, load));
        covered.loads.extend(by_service);
    }

    fn take_near_report(&mut self, link: LinkId, report: NearReport) -> Vec<ServiceLoad> {
        for leaving in report.leaving {
            self.take_upstream_leaving(leaving);
        }
        if report.units_version < self.units.table.version {
            self.send(link, &Message::Units(self.units.table.clone()));
        }
        report.loads
    }

    /// Asks a peer that holds another configuration for what this box lacks.
    fn compare_config(&mut self, link: LinkId, digest: u64) {
        let now = self.now();
        if digest == self.config.keeper.digest() {
            return;
        }
        let Some(state) = self.links.links.get_mut(&link) else {
            return;
        };
        if now.saturating_sub(state.compared_at) >= COMPARE_EVERY_MS {
            state.compared_at = now;
            self.send(link, &Message::ConfigHeld(self.config.keeper.held()));
        }
    }

    /// Someone who hears another zone speaks for all boxes there.
    fn take_zone_report(&mut self, report: &ZoneReport, interval_ms: Millis) {
        let now = self.now();
        let heard: Vec<(BoxId, Incarnation)> = self
            .members
            .known_in(&report.zone)
            .into_iter()
            .filter(|record| !report.silent.contains(&record.id))
            .map(|record| (record.id.clone(), record.incarnation))
            .collect();
        for (id, incarnation) in heard {
            self.members.heard(&id, incarnation, interval_ms, now);
        }
        let Some(index) = self.context.zone_index(&report.zone) else {
            return;
        };
        for load in &report.loads {
            if let Some(service) = self.context.service_by_tag(load.service) {
                service.zone_loads[index].set(load, now);
            }
        }
        for service in self.context.services.values() {
            service.zone_loads[index].confirm(now);
        }
    }

    fn near_interval_ms(&self) -> Millis {
        let neighbours = self.links_where(|zone| *zone == self.context.zone);
        let spaced = neighbours * NEAR_SPACING_MS;
        self.context
            .settings
            .this_box
            .peers
            .heartbeat_ms
            .max(spaced)
    }

    fn far_interval_ms(&self) -> Millis {
        let peers = &self.context.settings.this_box.peers;
        let far = self.links_where(|zone| *zone != self.context.zone);
        (peers.heartbeat_ms * peers.far_heartbeat_factor).max(far * FAR_SPACING_MS)
    }

    fn links_where(&self, wanted: impl Fn(&Zone) -> bool) -> u64 {
        let peers = self.links.links.values().filter_map(|l| l.peer.as_ref());
        peers.filter(|(_, zone)| wanted(zone)).count() as u64
    }

    /// Sends the heartbeats that are due and drops the links that went silent.
    pub(super) fn send_heartbeats(&mut self) {
        let now = self.now();
        let near_due = now.saturating_sub(self.links.near_sent_at) >= self.near_interval_ms();
        let far_due = now.saturating_sub(self.links.far_sent_at) >= self.far_interval_ms();
        self.links.covered.retain(|_, covered| now < covered.until);
        let near = near_due.then(|| self.near_heartbeat()).and_then(encoded);
        let far = far_due.then(|| self.far_heartbeat()).and_then(encoded);
        if near_due {
            self.links.near_sent_at = now;
        }
        if far_due {
            self.links.far_sent_at = now;
        }
        let my_zone = &self.context.zone;
        self.links.links.retain(|_, link| {
            let silent = now.saturating_sub(link.heard_at);
            if silent > link.interval_ms * DEAD_AFTER_INTERVALS {
                return false;
            }
            let Some((_, zone)) = &link.peer else {
                return true;
            };
            let due = if zone == my_zone { &near } else { &far };
            due.as_ref()
                .is_none_or(|bytes| link.sender.send_encoded(bytes.clone()))
        });
    }

    fn near_heartbeat(&mut self) -> Heartbeat {
        let loads = self.own_loads();
        let loads = self.links.near_reporter.due(loads);
        let zones = self.links.covered.iter_mut().map(|(zone, covered)| {
            let loads = covered.loads.values().copied().collect();
            ZoneReport {
                zone: zone.clone(),
                silent: covered.silent.clone(),
                loads: covered.reporter.due(loads),
            }
        });
        let zones = zones.collect();
        Heartbeat {
            incarnation: self.context.incarnation,
            interval_ms: self.near_interval_ms(),
            config_digest: self.config.keeper.digest(),
            near: Some(NearReport {
                units_version: self.units.table.version,
                loads,
                leaving: self.config.upstreams_leaving.clone(),
            }),
            zones,
        }
    }

    fn far_heartbeat(&mut self) -> Heartbeat {
        let loads = self.own_zone_loads();
        let loads = self.links.far_reporter.due(loads);
        Heartbeat {
            incarnation: self.context.incarnation,
            interval_ms: self.far_interval_ms(),
            config_digest: self.config.keeper.digest(),
            near: None,
            zones: vec![ZoneReport {
                zone: self.context.zone.clone(),
                silent: self.members.silent_in(&self.context.zone, self.now()),
                loads,
            }],
        }
    }

    fn own_loads(&self) -> Vec<ServiceLoad> {
        self.context
            .services
            .values()
            .filter(|service| !service.upstreams.is_empty())
            .map(|service| {
                let counts = service.gate.counts();
                ServiceLoad {
                    service: service.tag,
                    idle: counts.idle,
                    total: counts.held + counts.borrowed,
                }
            })
            .collect()
    }

    fn own_zone_loads(&self) -> Vec<ServiceLoad> {
        let Some(index) = self.context.zone_index(&self.context.zone) else {
            return Vec::new();
        };
        self.context
            .services
            .values()
            .filter(|service| !service.upstreams.is_empty())
            .map(|service| ServiceLoad {
                service: service.tag,
                idle: service.zone_loads[index].idle(),
                total: service.zone_loads[index].total(),
            })
            .collect()
    }

    /// Adds up the loads of the own zone's boxes that are heard.
    pub(super) fn refresh_zone_loads(&mut self) {
        let Some(index) = self.context.zone_index(&self.context.zone) else {
            return;
        };
        let now = self.now();
        let neighbours = self.neighbours_heard();
        for load in self.own_loads() {
            let Some(service) = self.context.service_by_tag(load.service) else {
                continue;
            };
            let mut sum = load;
            for neighbour in &neighbours {
                if let Some(load) = self.members.load_of(&neighbour.id, sum.service) {
                    sum.idle += load.idle;
                    sum.total += load.total;
                }
            }
            service.zone_loads[index].set(&sum, now);
        }
    }

    /// Dials the boxes that should be linked to and aren't.
    pub(super) fn maintain_links(&mut self) {
        let now = self.now();
        let linked = self.links.peers();
        let recently_failed = |address: &SocketAddr| {
            self.links
                .failed_at
                .get(address)
                .is_some_and(|at| now.saturating_sub(*at) < REDIAL_AFTER_MS)
        };
        let usable = |id: &BoxId| {
            let record = self.members.record(id);
            record.is_some_and(|record| !recently_failed(&record.peer_address))
        };
        let settings = &self.context.settings.this_box.peers;
        let neighbours: Vec<BoxId> = self.neighbours_heard().into_iter().map(|r| r.id).collect();
        let choice = LinkChoice {
            me: &self.context.id,
            zone: &self.context.zone,
            neighbours: &neighbours,
            links_per_zone: settings.links_per_zone,
        };
        // A starting box doesn't know its neighbours yet and would cover every zone.
        let starting = self.record.state == BoxState::Starting;
        let wanted: BTreeMap<BoxId, SocketAddr> = choice
            .desired(self.members.records(), usable)
            .into_iter()
            .filter(|record| !starting || record.zone == self.context.zone)
            .map(|record| (record.id.clone(), record.peer_address))
            .collect();
        let mut dial_now: BTreeSet<SocketAddr> = wanted
            .iter()
            .filter(|(id, _)| !linked.contains(id))
            .map(|(_, address)| *address)
            .collect();
        let known: BTreeSet<SocketAddr> = self.members.records().map(|r| r.peer_address).collect();
        for seed in &settings.seeds {
            if !known.contains(seed) && *seed != self.record.peer_address && !recently_failed(seed)
            {
                dial_now.insert(*seed);
            }
        }
        if !starting {
            self.links.links.retain(|_, link| {
                let Some((id, zone)) = &link.peer else {
                    return true;
                };
                let old = now.saturating_sub(link.up_since) > KEEP_UNWANTED_MS;
                let wanted = !link.dialled || *zone == self.context.zone || wanted.contains_key(id);
                wanted || !old
            });
        }
        for address in dial_now {
            if !self.links.dialling.insert(address) {
                continue;
            }
            let local = self.context.settings.this_box.peer_address.ip();
            let limits = limits(&self.context);
            tokio::spawn(dial(address, local, limits, self.link_events.clone()));
        }
    }

    /// Sends on one link; a link that can't take it goes down.
    pub(super) fn send(&mut self, link: LinkId, message: &Message) {
        let sent = self
            .links
            .links
            .get(&link)
            .is_some_and(|state| state.sender.send(message));
        if !sent {
            self.links.links.remove(&link);
        }
    }

    /// Sends to a box, if it is linked to.
    pub(super) fn send_to(&mut self, id: &BoxId, message: &Message) -> bool {
        let Some(link) = self.links.to(id) else {
            return false;
        };
        self.send(link, message);
        true
    }

    pub(super) fn broadcast(&mut self, message: &Message) {
        self.broadcast_except(message, None);
    }

    /// Sends on every link but `except`.
    pub(super) fn broadcast_except(&mut self, message: &Message, except: Option<LinkId>) {
        let Ok(bytes) = encode(message).map(bytes::Bytes::from) else {
            return;
        };
        self.links.links.retain(|link, state| {
            let skip = Some(*link) == except || state.peer.is_none();
            skip || state.sender.send_encoded(bytes.clone())
        });
    }

    fn shares_in_use(&self) -> Vec<OriginShares> {
        let mut in_use = Vec::new();
        for service in self.context.services.values() {
            for (index, cell) in service.steering.iter().enumerate() {
                let guard = cell.lock().unwrap_or_else(PoisonError::into_inner);
                let (Some(steering), Some(origin)) = (&*guard, self.context.regions.get(index))
                else {
                    continue;
                };
                in_use.push(OriginShares {
                    service: service.key.clone(),
                    origin: origin.clone(),
                    shares: steering.shares().clone(),
                });
            }
        }
        in_use
    }

    /// Starts steering where a serving peer steers now, never at the plan's target.
    fn on_shares(&mut self, peer: &BoxId, shares: Vec<OriginShares>) {
        if self.record.state != BoxState::Starting {
            return;
        }
        let serving = self
            .members
            .record(peer)
            .is_some_and(|record| record.state == BoxState::Serving);
        if !serving {
            return;
        }
        self.shares_heard = true;
        let now = self.now();
        for origin in shares {
            if let Some(cell) = self.steering_cell(&origin.service, &origin.origin) {
                let mut guard = cell.lock().unwrap_or_else(PoisonError::into_inner);
                guard.get_or_insert_with(|| Steering::new(origin.shares, now));
            }
        }
    }

    fn steering_cell(
        &self,
        service: &ServiceKey,
        origin: &Region,
    ) -> Option<&std::sync::Mutex<Option<Steering>>> {
        let index = self.context.region_index(origin)?;
        self.context.services.get(service)?.steering.get(index)
    }

    pub(super) fn ask_to_void(
        &mut self,
        box_id: &BoxId,
        incarnation: Incarnation,
        sealed: String,
        answer: oneshot::Sender<bool>,
    ) {
        let current = self
            .members
            .record(box_id)
            .is_some_and(|record| record.incarnation == incarnation);
        if !current {
            return;
        }
        self.questions.retain(|_, waiting| !waiting.is_closed());
        let question = rand::random();
        let message = Message::TicketQuestion(brasswinch_peer::TicketQuestion {
            question,
            ticket: sealed,
        });
        if self.send_to(box_id, &message) {
            self.questions.insert(question, answer);
        }
    }

    fn void_ticket(&self, sealed: &str) -> bool {
        let Ok(ticket) = self.context.ticket_key.open(sealed) else {
            return false;
        };
        let wall_ms = self.context.clock.wall_ms();
        let mut ledger = self
            .context
            .ledger
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        ledger.void(&ticket, wall_ms) == brasswinch_decide::once::TicketState::Voided
    }
}

fn encoded(heartbeat: Heartbeat) -> Option<bytes::Bytes> {
    encode(&Message::Heartbeat(heartbeat))
        .map(bytes::Bytes::from)
        .ok()
}
