//! The control state and the life of the daemon: starting, serving, leaving.

use super::Command;
use super::config::ConfigState;
use super::links::LinkTable;
use super::units::UnitState;
use crate::context::{Candidate, Context, Snapshot};
use crate::start::ListenAddresses;
use brasswinch_decide::links::is_watcher;
use brasswinch_decide::members::{BoxRecord, BoxState, Members};
use brasswinch_observe::{Event, emit};
use brasswinch_peer::{LinkEvent, Message};
use brasswinch_store::Store;
use brasswinch_types::{BoxId, Millis, Zone};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::sync::{mpsc, oneshot, watch};

/// How long a starting box waits for its peers' shares.
const SHARES_WAIT_MS: Millis = 1_500;

/// How long a starting box waits to have load of its own.
const UNITS_WAIT_MS: Millis = 3_000;

/// Everything that the control thread owns.
pub(crate) struct Control {
    pub(super) context: Arc<Context>,
    pub(super) store: Store,
    pub(super) record: BoxRecord,
    pub(super) members: Members,
    pub(super) links: LinkTable,
    pub(super) link_events: mpsc::Sender<LinkEvent>,
    pub(super) config: ConfigState,
    pub(super) units: UnitState,
    pub(super) questions: HashMap<u64, oneshot::Sender<bool>>,
    pub(super) shares_heard: bool,
    pub(super) store_reached: Option<bool>,
    watching: watch::Sender<bool>,
    leaving_since: Option<Millis>,
    finished: bool,
}

impl Control {
    pub(super) fn new(
        context: Arc<Context>,
        store: Store,
        addresses: ListenAddresses,
        link_events: mpsc::Sender<LinkEvent>,
        watching: watch::Sender<bool>,
    ) -> Self {
        let record = BoxRecord {
            id: context.id.clone(),
            incarnation: context.incarnation,
            sequence: 1,
            zone: context.zone.clone(),
            region: context.region.clone(),
            caller_address: addresses.advertised_caller,
            peer_address: addresses.advertised_peer,
            state: BoxState::Starting,
        };
        Self {
            members: Members::new(context.id.clone()),
            links: LinkTable::default(),
            link_events,
            config: ConfigState::default(),
            units: UnitState::default(),
            questions: HashMap::new(),
            shares_heard: false,
            store_reached: None,
            watching,
            leaving_since: None,
            finished: false,
            record,
            store,
            context,
        }
    }

    /// Whether the daemon has left.
    pub(super) fn is_finished(&self) -> bool {
        self.finished
    }

    pub(super) fn now(&self) -> Millis {
        self.context.clock.now()
    }

    pub(super) fn on_command(&mut self, command: Command) {
        match command {
            Command::WantLoan { service, want } => self.ask_for_loan(&service, want),
            Command::ReturnLoan { service, returned } => self.return_loan(service, returned),
            Command::VoidTicket {
                box_id,
                incarnation,
                sealed,
                answer,
            } => self.ask_to_void(&box_id, incarnation, sealed, answer),
            Command::UpstreamLeaving {
                service,
                upstream,
                sequence,
            } => self.note_upstream_leaving(service, upstream, sequence),
            Command::StoreListing(entries) => self.on_store_listing(entries),
            Command::StoreChanges(entries) => self.on_store_changes(entries),
            Command::StoreFailed(reason) => self.on_store_failed(&reason),
            Command::BoxesListed(listed) => self.on_boxes_listed(&listed),
            Command::UnitsRead(stored) => self.on_units_read(stored),
            Command::UnitsUnread(reason) => self.on_units_unread(&reason),
            Command::UnitsWritten(write) => self.on_units_written(write),
            Command::Accepted(entry) => self.merge_config(vec![entry], None),
            Command::Held { key, answer } => {
                let _ = answer.send(self.config.keeper.get(&key).cloned());
            }
            Command::Status { workspace, answer } => {
                let _ = answer.send(self.status(&workspace));
            }
            Command::Stop => self.leave(),
        }
    }

    pub(super) fn on_heartbeat(&mut self) {
        for service in self.context.services.values() {
            for returned in service.gate.tick(service) {
                let key = service.key.clone();
                self.context.tell(Command::ReturnLoan {
                    service: key,
                    returned,
                });
            }
        }
        self.refresh_zone_loads();
        self.send_heartbeats();
        self.publish();
        self.advance();
    }

    pub(super) fn on_slow_tick(&mut self) {
        let neighbours: Vec<BoxId> = self
            .neighbours_heard()
            .iter()
            .map(|record| record.id.clone())
            .collect();
        let count = self.context.settings.this_box.platform.watchers_per_zone;
        let watcher = is_watcher(&self.context.id, &self.context.zone, &neighbours, count);
        self.watching.send_if_modified(|watching| {
            let changed = *watching != watcher;
            *watching = watcher;
            changed
        });
        self.maintain_links();
        self.maintain_units();
        self.report_slots();
    }

    /// The other reachable boxes of the zone, in any state.
    pub(super) fn neighbours_heard(&self) -> Vec<BoxRecord> {
        let now = self.now();
        self.members
            .known_in(&self.context.zone)
            .into_iter()
            .filter(|record| self.members.is_alive(&record.id, now))
            .cloned()
            .collect()
    }

    /// Changes the own record and tells everyone.
    pub(super) fn set_state(&mut self, state: BoxState) {
        if self.record.state == state {
            return;
        }
        self.record.state = state;
        self.record.sequence += 1;
        self.publish();
        self.broadcast(&Message::Records(vec![self.record.clone()]));
    }

    /// Publishes what traffic reads, if it changed.
    pub(super) fn publish(&self) {
        let snapshot = self.snapshot();
        let current = self.context.snapshot.load();
        if !same(&current, &snapshot) {
            self.context.snapshot.store(Arc::new(snapshot));
        }
    }

    fn snapshot(&self) -> Snapshot {
        let now = self.now();
        let mut candidates: BTreeMap<Zone, Vec<Candidate>> = BTreeMap::new();
        for zone in &self.context.zones {
            let mut boxes: Vec<Candidate> = self
                .members
                .serving_in(zone, now)
                .into_iter()
                .map(candidate)
                .collect();
            let mine = *zone == self.context.zone && self.record.state == BoxState::Serving;
            if mine {
                boxes.push(candidate(&self.record));
            }
            candidates.insert(zone.clone(), boxes);
        }
        Snapshot {
            state: self.record.state,
            candidates,
        }
    }

    /// Moves on from one stage of the daemon's life to the next.
    fn advance(&mut self) {
        match self.record.state {
            BoxState::Starting => self.advance_start(),
            BoxState::Serving => {}
            BoxState::Leaving => self.advance_leave(),
        }
    }

    fn advance_start(&mut self) {
        let now = self.now();
        let shares_known = self.shares_heard || now >= SHARES_WAIT_MS;
        let units_known = self.units.is_ready(&self.context.id) || now >= UNITS_WAIT_MS;
        if !self.config.known || !shares_known || !units_known {
            return;
        }
        if !self.units.is_ready(&self.context.id) {
            emit(Event::UnitsUnclaimed, format_args!("{}", self.context.id));
        }
        self.set_state(BoxState::Serving);
        emit(
            Event::Serving,
            format_args!("{} in {}", self.context.id, self.context.zone),
        );
    }

    fn leave(&mut self) {
        if self.leaving_since.is_some() {
            return;
        }
        self.leaving_since = Some(self.now());
        emit(Event::Leaving, format_args!("{}", self.context.id));
        self.set_state(BoxState::Leaving);
        for service in self.context.services.values() {
            service.gate.close();
        }
    }

    fn advance_leave(&mut self) {
        if self.context.in_flight.load(Ordering::SeqCst) > 0 {
            return;
        }
        let waited = self.leaving_since.map_or(0, |since| self.now() - since);
        if self.units_are_handed_back(waited) {
            self.finished = true;
        }
    }

    fn report_slots(&self) {
        for service in self.context.services.values() {
            let counts = service.gate.counts();
            let name = service.key.to_string();
            let metrics = &self.context.metrics;
            metrics.gauge_slots(&name, "held", counts.held);
            metrics.gauge_slots(&name, "idle", counts.idle);
            metrics.gauge_slots(&name, "busy", counts.busy);
            metrics.gauge_slots(&name, "borrowed", counts.borrowed);
            metrics.gauge_slots(&name, "lent", counts.loaned);
        }
    }
}

fn candidate(record: &BoxRecord) -> Candidate {
    Candidate {
        id: record.id.clone(),
        incarnation: record.incarnation,
        address: record.caller_address,
    }
}

fn same(a: &Snapshot, b: &Snapshot) -> bool {
    let key = |snapshot: &Snapshot| -> Vec<(Zone, BoxId, u64)> {
        snapshot
            .candidates
            .iter()
            .flat_map(|(zone, boxes)| {
                boxes
                    .iter()
                    .map(|b| (zone.clone(), b.id.clone(), b.incarnation.0))
            })
            .collect()
    };
    a.state == b.state && key(a) == key(b)
}
