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
mod entry;
mod homes;
mod keeping;
mod lost_entries;
mod said;
mod service_upstreams;
mod shared_load;
mod spill;
mod status;
mod warming;

use crate::demand::AveragedDemand;
use crate::region_plan::RegionRoom;
use crate::rendezvous::object_hash;
use crate::upstream::{UpstreamLife, UpstreamRecord, UpstreamStart};
use crate::upstream_load::LoadReport;
use crate::workspace::{Rank, RegionLimits};
use crate::{FleetState, SteeringConfig};
pub use advice::{Advice, Ending, Question};
pub use basis::{AdvisedHome, Basis, Home, HomeState};
use brasswinch_types::{BoxId, Millis, Region, Service, UpstreamId, Zone};
use entry::Entry;
use keeping::Keepers;
use lost_entries::Losses;
use said::SaidByUpstreams;
use serde::{Deserialize, Serialize};
use service_upstreams::ServiceUpstreams;
pub use status::{KeptUpstream, ServiceStatus};
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
    pub most_shift: f64,
    /// How long upstreams whose entries were lost together stay in use, in milliseconds, counted
    /// from when the entries were last known to exist. It leaves time to write them again.
    pub keep_vanished_ms: Millis,
    /// How long upstreams are treated as cold after the evacuation of their zone ends, in
    /// milliseconds, unless their entries ask for longer.
    pub after_evacuation_ms: Millis,
    /// Smallest number of boxes in a region for which upstream load is coordinated among them.
    pub least_keepers: usize,
}

/// A request for an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// The service.
    pub service: &'a Service,
    /// The object of the request, if it names one.
    pub object: Option<&'a [u8]>,
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
    /// How long ago this box learned that the upstream's entry was lost together with many others,
    /// in milliseconds; `None` while the entry exists.
    pub lost_ms: Option<Millis>,
}

impl Choice {
    /// Returns the incarnation of the chosen upstream.
    pub fn life(&self) -> UpstreamLife {
        UpstreamLife {
            upstream: self.upstream.clone(),
            started: self.started,
        }
    }
}

/// The result of an update of the upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Updated {
    /// Upstreams whose entries were lost since the last update and that stay in use for now.
    pub kept: Vec<UpstreamId>,
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
    said: SaidByUpstreams,
    /// Hashes of the serving boxes, including this one.
    boxes: Vec<u64>,
    /// Number of boxes in the whole fleet, reachable or not.
    fleet_size: usize,
    /// The boxes of the region, which coordinate the load of its upstreams.
    keepers: Keepers,
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
            said: SaidByUpstreams::default(),
            boxes: vec![me],
            fleet_size: 1,
            keepers: Keepers::default(),
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
    pub fn update(&mut self, fleet: &FleetState, config: &SteeringConfig, now: Millis) -> Updated {
        let mut held: HashMap<UpstreamId, Entry> = HashMap::new();
        for service in self.services.values_mut() {
            let entries = std::mem::take(&mut service.entries);
            held.extend(entries.into_iter().map(|e| (e.record.id.clone(), e)));
        }
        let mut addresses = BTreeSet::new();
        let mut restarted = Vec::new();
        for (record, learned_at) in fleet.upstreams() {
            addresses.insert(record.address);
            let mut same = held.remove(&record.id);
            if same.as_ref().is_some_and(|held| !held.is_same_life(record)) {
                // A restarted process keeps no requests or objects of its previous incarnation.
                restarted.push(record.id.clone());
                same = None;
            }
            let entry = self.entry(record, learned_at, same, fleet, now);
            self.service(&record.service).entries.push(entry);
        }
        let vanished = held
            .into_values()
            .filter(|entry| fleet.lost_entry(&entry.record.id).is_some())
            .filter(|entry| entry.takes_requests(now) && !addresses.contains(&entry.record.address))
            .collect();
        let kept = self.keep_lost_entries(vanished, fleet, now);
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
        Updated { kept, restarted }
    }

    /// Retains upstreams whose entries were lost together for as long as it takes to write them
    /// again. Upstreams that vanish one at a time have left.
    fn keep_lost_entries(
        &mut self,
        lost: Vec<Entry>,
        fleet: &FleetState,
        now: Millis,
    ) -> Vec<UpstreamId> {
        let mut newly_kept = Vec::new();
        let left = self.services.iter();
        let left = left.map(|(name, service)| (name.clone(), service.entries.len()));
        let losses = Losses::new(lost, left.collect());
        for mut entry in losses.kept(self.settings.keep_vanished_ms, fleet, now) {
            entry.is_evacuated = fleet.is_evacuated(&entry.record.zone);
            if entry.lost_ms(now) == Some(0) {
                newly_kept.push(entry.record.id.clone());
            }
            let service = entry.record.service.clone();
            self.service(&service).entries.push(entry);
        }
        newly_kept
    }

    fn is_in_use(&self, name: &Service) -> bool {
        let service = self.services.get(name);
        service.is_some_and(|service| service.is_in_use)
    }

    fn service(&mut self, name: &Service) -> &mut ServiceUpstreams {
        self.services.entry(name.clone()).or_default()
    }

    fn entry(
        &self,
        record: &UpstreamRecord,
        learned_at: Millis,
        mut held: Option<Entry>,
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
        let said = match &held {
            Some(held) => held.said,
            None => self.said.of(&record.life()),
        };
        let cold_until = (learned_at + cold_ms + margin)
            .max(after_evacuation)
            .max(said.cold_until(learned_at).unwrap_or(0));
        Entry {
            region: region.cloned().unwrap_or_else(|| Region::new("")),
            hash,
            cold_until,
            lost: None,
            joined_at: held.as_ref().map_or(now, |held| held.joined_at),
            is_used: match &held {
                Some(held) => held.is_used,
                // An upstream that exists before the service's first request gets its share
                // anyway.
                None => !self.is_in_use(&record.service),
            },
            is_evacuated: fleet.is_evacuated(&record.zone),
            held_off_until: held.as_ref().and_then(|held| held.held_off_until),
            is_replaced: held.as_ref().is_some_and(|held| held.is_replaced),
            said,
            senders: held.as_ref().map_or(1.0, |held| held.senders),
            load: held.as_ref().map(|held| held.load).unwrap_or_default(),
            pacing: held.as_ref().map(|held| held.pacing).unwrap_or_default(),
            is_kept: match &held {
                Some(held) => held.is_kept,
                None => self.keepers.is_mine(hash),
            },
            served: held
                .as_mut()
                .map(|held| std::mem::take(&mut held.served))
                .unwrap_or_default(),
            shared: held.map(|held| held.shared).unwrap_or_default(),
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
            service.entries.retain(|entry| entry.is_held(now));
            for entry in &mut service.entries {
                entry.senders = senders;
            }
            service.review_disturbance(now);
            let rooms: Vec<RegionRoom> = regions
                .iter()
                .map(|region| RegionRoom {
                    region: (*region).clone(),
                    slots: service.slots_in(region, now),
                    demand: demand.get(region).copied().unwrap_or(0.0),
                })
                .collect();
            let (origin, most) = (&self.settings.region, self.settings.most_shift);
            service.plan.advance(origin, &rooms, most, now);
        }
    }

    /// Chooses an upstream and counts the request there. `random` is drawn from 0 to 1.
    pub fn choose(
        &mut self,
        wanted: &Wanted<'_>,
        random: f64,
        now: Millis,
    ) -> Result<Choice, Refusal> {
        self.choose_advised(wanted, None, random, now)
    }

    /// Chooses as [`Placement::choose`] does, with the advice of the coordinator of the object's
    /// home.
    pub fn choose_advised(
        &mut self,
        wanted: &Wanted<'_>,
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
        let chosen = match self.services.get_mut(wanted.service) {
            Some(service) => service.choose(wanted, advice, &warming, now),
            None => Err(Refusal::NoUpstream),
        };
        self.boxes = boxes;
        chosen
    }

    /// Records how a request that was sent to `choice` ended.
    pub fn ended(&mut self, choice: &Choice, outcome: UpstreamOutcome, now: Millis) {
        let Some(entry) = self.held(choice) else {
            return;
        };
        let load = &mut entry.load;
        let mut has_rested = false;
        match outcome {
            UpstreamOutcome::Answered => {
                load.answered();
                entry.note_served(choice.basis.object);
                has_rested = entry.said.is_on_trial(now);
            }
            UpstreamOutcome::Shed => load.answered(),
            UpstreamOutcome::Replaced => entry.is_replaced = true,
            UpstreamOutcome::Unreachable => load.unreachable(now),
            UpstreamOutcome::Unanswered => load.unanswered(now),
            UpstreamOutcome::Abandoned => {}
        }
        entry.load.ended();
        if has_rested {
            self.serves_again(choice);
        }
    }

    /// Records a load report of an upstream.
    pub fn reported(&mut self, choice: &Choice, report: LoadReport, now: Millis) {
        if let Some(entry) = self.held(choice) {
            entry.load.reported(report, now);
        }
    }

    /// Drops a request before it is sent because the upstream's limit leaves this box no capacity
    /// until `until`.
    pub fn hold_off(&mut self, choice: &Choice, until: Millis, now: Millis) {
        self.ended(choice, UpstreamOutcome::Abandoned, now);
        if let Some(entry) = self.held(choice) {
            entry.held_off_until = Some(until);
        }
    }

    /// Whether a request may still be sent to the upstream chosen for it.
    pub fn may_send(&mut self, choice: &Choice, now: Millis) -> bool {
        let held = self.held(choice);
        held.is_some_and(|entry| entry.takes_requests(now) && !entry.said.is_resting(now))
    }

    /// Whether this incarnation of the upstream is known.
    pub fn holds(&self, life: &UpstreamLife) -> bool {
        self.entry_of(life).is_some()
    }

    fn entry_of(&self, life: &UpstreamLife) -> Option<&Entry> {
        let mut entries = self.services.values().flat_map(|held| &held.entries);
        entries.find(|entry| entry.is_of(life))
    }

    fn held_by(&mut self, life: &UpstreamLife) -> Option<&mut Entry> {
        let services = self.services.values_mut();
        let mut entries = services.flat_map(|held| &mut held.entries);
        entries.find(|entry| entry.is_of(life))
    }

    fn held(&mut self, choice: &Choice) -> Option<&mut Entry> {
        let service = self.services.get_mut(&choice.service)?;
        let mut entries = service.entries.iter_mut();
        entries.find(|entry| {
            entry.record.id == choice.upstream && entry.record.started == choice.started
        })
    }
}
