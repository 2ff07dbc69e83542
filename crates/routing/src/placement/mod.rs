//! Chooses the upstream of a request.
//!
//! Each object has a home: a region, from the region plan, and one upstream in it, from rendezvous
//! hashing, so that upstreams see the same objects again. The object also has a home in every
//! other region, in the order of the plan. A request goes to the first of these that accepts it:
//!
//! 1. an upstream that joined a while ago and has never received a request,
//! 2. the home, if a slot is free, or if the home has served the object and the wait is short,
//! 3. a free slot of a home in another region, within the spill window,
//! 4. the queue of the home, then of the other homes, then again of the home with a higher limit,
//! 5. a cold upstream that is due for a request.
//!
//! If none accepts it, the request is refused at once.

mod advice;
mod basis;
mod coordinators;
mod entry;
mod fair_share;
mod homes;
mod lost_entries;
mod reach;
mod service_upstreams;
mod shared_load;
mod signals;
mod spill;
mod status;
mod warming;

use crate::demand::AveragedDemand;
use crate::region_plan::RegionCapacity;
use crate::rendezvous::object_hash;
use crate::upstream::{UpstreamIncarnation, UpstreamRecord, UpstreamStart};
use crate::upstream_load::LoadReport;
use crate::workspace::{Rank, RegionLimits};
use crate::{FleetState, SteeringConfig};
pub use advice::{Advice, AdviceQuery, CompletionReport};
pub use basis::{AdvisedHome, Basis, Home, HomeState};
use brasswinch_types::{BoxId, Millis, Region, Service, UpstreamId, Workspace, Zone};
use coordinators::Coordinators;
use entry::Entry;
pub use fair_share::{CountedShare, FairShares, MAX_COUNTED_WORKSPACES};
use lost_entries::LostEntries;
use serde::{Deserialize, Serialize};
use service_upstreams::ServiceUpstreams;
use signals::SignalStore;
pub use status::{RetainedUpstream, ServiceStatus};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use warming::Warming;

/// Interval between reviews of upstream capacity.
const REVIEW_MS: Millis = 500;

/// Added to every cold period to cover the propagation delay of updates.
const COLD_MARGIN_MS: Millis = 500;

/// Settings of placement on one box.
#[derive(Clone, Debug)]
pub struct PlacementSettings {
    /// This box.
    pub me: BoxId,
    /// The region of this box and its callers.
    pub region: Region,
    /// The region of each zone.
    pub zones: BTreeMap<Zone, Region>,
    /// Largest fraction of a region's requests that may change region of execution within a
    /// window.
    pub max_shift: f64,
    /// How long upstreams whose entries were lost together stay in use, in milliseconds, counted
    /// from when the entries were last known to exist. It leaves time to write them again.
    pub retain_lost_ms: Millis,
    /// How long upstreams are treated as cold after the evacuation of their zone ends, in
    /// milliseconds, unless their entries ask for longer.
    pub after_evacuation_ms: Millis,
    /// Smallest number of boxes in a region for which upstream load is coordinated among them.
    pub min_coordinators: usize,
}

/// A request for an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamRequest<'a> {
    /// The service.
    pub service: &'a Service,
    /// The object of the request, if it names one.
    pub object: Option<&'a [u8]>,
    /// The workspace of the request, if it has one.
    pub workspace: Option<&'a Workspace>,
    /// The priority of the request.
    pub rank: Rank,
    /// The regions allowed.
    pub regions: RegionLimits<'a>,
    /// Upstreams that the request was already sent to.
    pub tried: &'a [UpstreamId],
}

/// The chosen upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The state that the decision was based on.
    pub basis: Basis,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Start time of the chosen incarnation.
    pub started: Option<UpstreamStart>,
    /// Its service.
    pub service: Service,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The zone of the upstream.
    pub zone: Zone,
    /// Whether a slot was idle by what its coordinator or its last report said, not long ago.
    /// False if neither is known.
    pub has_idle_slot: bool,
    /// How long ago this box learned that the upstream's entry was lost together with many others,
    /// in milliseconds; `None` while the entry exists.
    pub lost_ms: Option<Millis>,
}

impl Choice {
    /// Returns the incarnation of the chosen upstream.
    pub fn incarnation(&self) -> UpstreamIncarnation {
        UpstreamIncarnation {
            upstream: self.upstream.clone(),
            started: self.started,
        }
    }
}

/// The result of an update of the upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacementUpdate {
    /// Upstreams whose entries were lost since the last update and that stay in use for now.
    pub retained: Vec<UpstreamId>,
    /// Upstreams that restarted under the same name.
    pub restarted: Vec<UpstreamId>,
}

/// Why no upstream was chosen.
#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    /// The service has no upstream that the request may use.
    NoUpstream,
    /// All upstreams are full.
    Busy {
        /// When to retry, in milliseconds.
        retry_after_ms: Millis,
        /// The state that the decision was based on.
        basis: Basis,
    },
}

/// The outcome of a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamOutcome {
    /// The upstream answered.
    Answered,
    /// The upstream answered that it did not run the request.
    Shed,
    /// Another upstream now uses the address.
    Replaced,
    /// No connection could be made.
    Unreachable,
    /// The request was sent and got no answer.
    Unanswered,
    /// This box gave up the request for reasons unrelated to the upstream.
    Abandoned,
}

/// The upstreams of all services as one box sees them.
#[derive(Debug)]
pub struct Placement {
    settings: PlacementSettings,
    services: HashMap<Service, ServiceUpstreams>,
    signals: SignalStore,
    /// Hashes of the serving boxes, including this one.
    boxes: Vec<u64>,
    /// Number of boxes in the whole fleet, reachable or not.
    fleet_size: usize,
    /// The boxes of the region, which coordinate the load of its upstreams.
    coordinators: Coordinators,
    demand: BTreeMap<Region, f64>,
    averaged_demand: AveragedDemand,
    reviewed_at: Millis,
}

impl Placement {
    /// Creates a placement without upstreams.
    pub fn new(settings: PlacementSettings) -> Self {
        let me = object_hash("box", settings.me.as_str().as_bytes());
        Self {
            settings,
            services: HashMap::new(),
            signals: SignalStore::default(),
            boxes: vec![me],
            fleet_size: 1,
            coordinators: Coordinators::default(),
            demand: BTreeMap::new(),
            averaged_demand: AveragedDemand::default(),
            reviewed_at: 0,
        }
    }

    /// Sets the serving boxes, including this one, and the requests per second of the callers in
    /// each region.
    pub fn set_boxes<'a>(
        &mut self,
        boxes: impl Iterator<Item = &'a BoxId>,
        demand: BTreeMap<Region, f64>,
    ) {
        self.boxes = boxes
            .map(|id| object_hash("box", id.as_str().as_bytes()))
            .collect();
        self.demand = demand;
    }

    /// Sets the number of boxes in the fleet, reachable or not.
    pub fn set_fleet_size(&mut self, boxes: usize) {
        self.fleet_size = boxes;
    }

    /// Applies the known upstreams and the configuration, and returns the changes that operators
    /// and connections need to know.
    pub fn update(
        &mut self,
        fleet: &FleetState,
        config: &SteeringConfig,
        now: Millis,
    ) -> PlacementUpdate {
        let mut previous: HashMap<UpstreamId, Entry> = HashMap::new();
        for service in self.services.values_mut() {
            let entries = std::mem::take(&mut service.entries);
            previous.extend(entries.into_iter().map(|e| (e.record.id.clone(), e)));
        }
        let mut addresses = BTreeSet::new();
        let mut restarted = Vec::new();
        for (record, learned_at) in fleet.upstreams() {
            addresses.insert(record.address);
            let mut continued = previous.remove(&record.id);
            if continued
                .as_ref()
                .is_some_and(|previous| !previous.is_same_incarnation(record))
            {
                // A restarted process keeps no requests or objects of its previous incarnation.
                restarted.push(record.id.clone());
                continued = None;
            }
            let entry = self.build_entry(record, learned_at, continued, fleet, now);
            self.service_mut(&record.service).entries.push(entry);
        }
        let lost = previous
            .into_values()
            .filter(|entry| fleet.lost_entry(&entry.record.id).is_some())
            .filter(|entry| {
                entry.accepts_requests(now) && !addresses.contains(&entry.record.address)
            })
            .collect();
        let retained = self.retain_lost_entries(lost, fleet, now);
        for (name, service) in &mut self.services {
            let configured = config.services.get(name);
            service.cold_per_s = configured.map_or(0.0, |service| service.cold_per_s);
            let period_s = configured.map_or(0.0, |service| service.cold_period_s);
            service.cold_period_ms = (period_s * 1_000.0) as Millis;
            service.most_urgent = config.most_urgent(name);
        }
        self.services
            .retain(|_, service| !service.entries.is_empty());
        self.review(now);
        PlacementUpdate {
            retained,
            restarted,
        }
    }

    /// Retains upstreams whose entries were lost together for as long as it takes to write them
    /// again. Upstreams that vanish one at a time have left.
    fn retain_lost_entries(
        &mut self,
        lost: Vec<Entry>,
        fleet: &FleetState,
        now: Millis,
    ) -> Vec<UpstreamId> {
        let mut newly_retained = Vec::new();
        let remaining = self.services.iter();
        let remaining = remaining.map(|(name, service)| (name.clone(), service.entries.len()));
        let lost_entries = LostEntries::new(lost, remaining.collect());
        for mut entry in lost_entries.retained(self.settings.retain_lost_ms, fleet, now) {
            entry.is_evacuated = fleet.is_evacuated(&entry.record.zone);
            if entry.lost_ms(now) == Some(0) {
                newly_retained.push(entry.record.id.clone());
            }
            let service = entry.record.service.clone();
            self.service_mut(&service).entries.push(entry);
        }
        newly_retained
    }

    fn is_in_use(&self, name: &Service) -> bool {
        let service = self.services.get(name);
        service.is_some_and(|service| service.is_in_use)
    }

    fn service_mut(&mut self, name: &Service) -> &mut ServiceUpstreams {
        self.services.entry(name.clone()).or_default()
    }

    fn build_entry(
        &self,
        record: &UpstreamRecord,
        learned_at: Millis,
        mut previous: Option<Entry>,
        fleet: &FleetState,
        now: Millis,
    ) -> Entry {
        let hash = object_hash("upstream", record.id.as_str().as_bytes());
        let region = self.settings.zones.get(&record.zone);
        let cold_ms = (record.cold_remaining_s * 1_000.0).ceil() as Millis;
        let margin = if cold_ms > 0 { COLD_MARGIN_MS } else { 0 };
        let after_evacuation = fleet
            .evacuation_ended_at(&record.zone)
            .map_or(0, |ended_at| ended_at + self.settings.after_evacuation_ms);
        let signals = match &previous {
            Some(previous) => previous.signals,
            None => self.signals.of(&record.incarnation()),
        };
        let cold_until = (learned_at + cold_ms + margin)
            .max(after_evacuation)
            .max(signals.cold_until(learned_at).unwrap_or(0));
        Entry {
            region: region.cloned().unwrap_or_else(|| Region::new("")),
            hash,
            cold_until,
            lost: None,
            joined_at: previous.as_ref().map_or(now, |previous| previous.joined_at),
            is_used: match &previous {
                Some(previous) => previous.is_used,
                // An upstream that exists before the service's first request gets its share
                // anyway.
                None => !self.is_in_use(&record.service),
            },
            is_evacuated: fleet.is_evacuated(&record.zone),
            held_off_until: previous
                .as_ref()
                .and_then(|previous| previous.held_off_until),
            is_replaced: previous
                .as_ref()
                .is_some_and(|previous| previous.is_replaced),
            signals,
            senders: previous.as_ref().map_or(1.0, |previous| previous.senders),
            load: previous
                .as_ref()
                .map(|previous| previous.load)
                .unwrap_or_default(),
            pacing: previous
                .as_ref()
                .map(|previous| previous.pacing)
                .unwrap_or_default(),
            is_coordinated_here: match &previous {
                Some(previous) => previous.is_coordinated_here,
                None => self.coordinators.is_coordinator(hash),
            },
            served: previous
                .as_mut()
                .map(|previous| std::mem::take(&mut previous.served))
                .unwrap_or_default(),
            shared: previous.map(|previous| previous.shared).unwrap_or_default(),
            record: record.clone(),
        }
    }

    /// Reviews upstream capacity if the review interval has passed.
    pub fn review_if_due(&mut self, now: Millis) {
        if now.saturating_sub(self.reviewed_at) >= REVIEW_MS {
            self.review(now);
        }
    }

    fn review(&mut self, now: Millis) {
        self.reviewed_at = now;
        let regions: BTreeSet<&Region> = self.settings.zones.values().collect();
        self.averaged_demand.add(&self.demand, now);
        let demand = self.averaged_demand.planned(&self.demand);
        // An object's requests come from one region, so the boxes of that region share its home.
        let senders = (self.boxes.len() as f64 / regions.len().max(1) as f64).max(1.0);
        for service in self.services.values_mut() {
            service.entries.retain(|entry| entry.is_current(now));
            for entry in &mut service.entries {
                entry.senders = senders;
            }
            service.review_disturbance(now);
            let capacities: Vec<RegionCapacity> = regions
                .iter()
                .map(|region| RegionCapacity {
                    region: (*region).clone(),
                    slots: service.slots_in(region, now),
                    demand: demand.get(region).copied().unwrap_or(0.0),
                })
                .collect();
            let (origin, limit) = (&self.settings.region, self.settings.max_shift);
            service.plan.advance(origin, &capacities, limit, now);
        }
    }

    /// Chooses an upstream and counts the request there. `random` is drawn from 0 to 1.
    pub fn choose(
        &mut self,
        request: &UpstreamRequest<'_>,
        random: f64,
        now: Millis,
    ) -> Result<Choice, Refusal> {
        self.choose_advised(request, None, random, now)
    }

    /// Chooses as [`Placement::choose`] does, with the advice of the coordinator of the object's
    /// home.
    pub fn choose_advised(
        &mut self,
        request: &UpstreamRequest<'_>,
        advice: Option<&Advice>,
        random: f64,
        now: Millis,
    ) -> Result<Choice, Refusal> {
        self.review_if_due(now);
        let boxes = std::mem::take(&mut self.boxes);
        let warming = Warming {
            boxes: &boxes,
            fleet_size: self.fleet_size,
            me: object_hash("box", self.settings.me.as_str().as_bytes()),
            random,
        };
        let chosen = match self.services.get_mut(request.service) {
            Some(service) => service.choose(request, advice, &warming, now),
            None => Err(Refusal::NoUpstream),
        };
        self.boxes = boxes;
        chosen
    }

    /// Records how a request that was sent to `choice` ended.
    pub fn ended(&mut self, choice: &Choice, outcome: UpstreamOutcome, now: Millis) {
        let Some(entry) = self.entry_mut_for(choice) else {
            return;
        };
        let load = &mut entry.load;
        let mut ends_backoff = false;
        match outcome {
            UpstreamOutcome::Answered => {
                load.answered();
                entry.record_served(choice.basis.object);
                ends_backoff = entry.signals.is_probing(now);
            }
            UpstreamOutcome::Shed => load.answered(),
            UpstreamOutcome::Replaced => entry.is_replaced = true,
            UpstreamOutcome::Unreachable => load.unreachable(now),
            UpstreamOutcome::Unanswered => load.unanswered(now),
            UpstreamOutcome::Abandoned => {}
        }
        entry.load.ended();
        if ends_backoff {
            self.end_backoff(choice);
        }
    }

    /// Records a load report of an upstream.
    pub fn reported(&mut self, choice: &Choice, report: LoadReport, now: Millis) {
        if let Some(entry) = self.entry_mut_for(choice) {
            entry.load.reported(report, now);
        }
    }

    /// Drops a request before it is sent because the upstream's limit leaves this box no capacity
    /// until `until`.
    pub fn hold_off(&mut self, choice: &Choice, until: Millis, now: Millis) {
        self.ended(choice, UpstreamOutcome::Abandoned, now);
        if let Some(entry) = self.entry_mut_for(choice) {
            entry.held_off_until = Some(until);
        }
    }

    /// Whether a request may still be sent to the upstream chosen for it.
    pub fn may_send(&mut self, choice: &Choice, now: Millis) -> bool {
        let entry = self.entry_mut_for(choice);
        entry.is_some_and(|entry| entry.accepts_requests(now) && !entry.signals.is_backing_off(now))
    }

    /// Whether this incarnation of the upstream is known.
    pub fn contains(&self, incarnation: &UpstreamIncarnation) -> bool {
        self.entry_of(incarnation).is_some()
    }

    fn entry_of(&self, incarnation: &UpstreamIncarnation) -> Option<&Entry> {
        let mut entries = self.services.values().flat_map(|service| &service.entries);
        entries.find(|entry| entry.is_of(incarnation))
    }

    fn entry_mut_of(&mut self, incarnation: &UpstreamIncarnation) -> Option<&mut Entry> {
        let services = self.services.values_mut();
        let mut entries = services.flat_map(|service| &mut service.entries);
        entries.find(|entry| entry.is_of(incarnation))
    }

    fn entry_mut_for(&mut self, choice: &Choice) -> Option<&mut Entry> {
        let service = self.services.get_mut(&choice.service)?;
        let mut entries = service.entries.iter_mut();
        entries.find(|entry| {
            entry.record.id == choice.upstream && entry.record.started == choice.started
        })
    }
}
