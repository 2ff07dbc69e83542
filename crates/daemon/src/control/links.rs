//! Links to other boxes: which are up, which to dial and to drop, sending on them.

use super::heartbeats::Covered;
use super::state::Control;
use crate::context::Context;
use brasswinch_decide::links::LinkChoice;
use brasswinch_decide::load_reports::LoadReporter;
use brasswinch_decide::members::BoxState;
use brasswinch_observe::{Event, emit};
use brasswinch_peer::{
    Hello, LinkEvent, LinkId, LinkLimits, LinkSender, Message, PROTOCOL_VERSION, dial, encode,
};
use brasswinch_types::{BoxId, Millis, Zone};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// A box that was dialled in vain is left alone this long.
const REDIAL_AFTER_MS: Millis = 1_000;

/// A link without a message for this many intervals is dropped.
pub(super) const DEAD_AFTER_INTERVALS: u64 = 8;

/// A link that is no longer wanted is kept this long, for what still moves over it.
const KEEP_UNWANTED_MS: Millis = 10_000;

pub(super) struct Link {
    pub(super) sender: LinkSender,
    /// The peer, once it has said hello.
    pub(super) peer: Option<(BoxId, Zone)>,
    /// Whether this box dialled.
    pub(super) dialled: bool,
    pub(super) up_since: Millis,
    pub(super) heard_at: Millis,
    pub(super) interval_ms: Millis,
    pub(super) compared_at: Millis,
}

/// The links that are up and the addresses being dialled.
#[derive(Default)]
pub(super) struct LinkTable {
    pub(super) links: HashMap<LinkId, Link>,
    pub(super) dialling: BTreeSet<SocketAddr>,
    pub(super) failed_at: HashMap<SocketAddr, Millis>,
    pub(super) covered: BTreeMap<Zone, Covered>,
    pub(super) near_sent_at: Millis,
    pub(super) far_sent_at: Millis,
    pub(super) near_reporter: LoadReporter,
    pub(super) far_reporter: LoadReporter,
}

impl LinkTable {
    /// The peer on a new link knows nothing yet; the next heartbeats carry the full state.
    pub(super) fn report_all_next(&mut self) {
        self.near_reporter.send_all_next();
        self.far_reporter.send_all_next();
        for covered in self.covered.values_mut() {
            covered.reporter.send_all_next();
        }
    }
}

impl LinkTable {
    /// The newest link to `id`.
    pub(super) fn to(&self, id: &BoxId) -> Option<LinkId> {
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

    pub(super) fn on_up(&mut self, link: LinkId, sender: LinkSender, dialled: Option<SocketAddr>) {
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

    pub(super) fn on_down(&mut self, link: Option<LinkId>, dialled: Option<SocketAddr>) {
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

    /// Without a link to `peer` or to its zone, nothing is known of them.
    pub(super) fn note_lost(&mut self, peer: &BoxId, zone: &Zone) {
        if self.links.to(peer).is_some() {
            return;
        }
        self.members.record_link_loss(peer);
        if self.links_where(|linked| linked == zone) == 0 {
            self.links.covered.remove(zone);
        }
        self.publish();
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
}
