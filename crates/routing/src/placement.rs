//! Chooses the target of a request.
//!
//! An object has a home: a region, by the region plan, and a few targets there, by
//! rendezvous, so that targets see the same objects again. The first of them with a free
//! slot gets the request. Only where none has one does it wait at the least loaded of
//! them, or go to another region, and where all are full it is refused at once.

use crate::cold_pacing::ColdPacing;
use crate::region_plan::{RegionPlan, RegionRoom};
use crate::rendezvous::{object_hash, weighted_score};
use crate::target::{TargetId, TargetRecord, TargetState};
use crate::target_load::{LoadReport, TargetLoad};
use crate::{FleetState, SteeringConfig};
use brasswinch_types::{BoxId, Millis, Region, Service, Zone};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

/// Targets of a region that an object may use before it counts as without room there.
const HOMES_IN_REGION: usize = 1;

/// Requests at a target, in multiples of its slots, above which it gets no more.
const MOST_QUEUE: f64 = 1.7;

/// The same for a request about an object that the target has not served for this box:
/// it takes longer, and a queue of such requests would leave no room to get faster.
const MOST_QUEUE_UNSERVED: f64 = 1.35;

/// Objects that are remembered as served by a target.
const MOST_SERVED: usize = 32;

/// A target counts as slow when its latency is this multiple of the service's median.
const SLOW_MULTIPLE: f64 = 2.5;

/// Part of requests that still try a slow target.
const SLOW_TRIAL_PART: f64 = 0.05;

/// Part of requests in the spill window that may leave their planned region for lack
/// of room.
const MOST_SPILL: f64 = 0.05;

/// Spills that are allowed in a window whatever the traffic.
const FREE_SPILLS: f64 = 1.0;

/// The spill window.
const SPILL_WINDOW_MS: Millis = 2_000;

/// Between two looks at latencies and room.
const REVIEW_MS: Millis = 500;

/// Where more than this part of a service's targets lose their entries at once, the
/// store is taken to have lost the entries rather than the service its targets.
const MASS_LOSS_PART: f64 = 0.34;

/// Added to every cold time, for the way of the news.
const COLD_MARGIN_MS: Millis = 500;

/// Retry times that a refused caller is told, in milliseconds.
const REFUSED_RETRY_MS: Millis = 150;

/// What placement needs to know of its box and of the bounds.
#[derive(Clone, Debug)]
pub struct PlacementSettings {
    /// The box.
    pub me: BoxId,
    /// Its region: where its callers are.
    pub region: Region,
    /// Regions by zone.
    pub zones: BTreeMap<Zone, Region>,
    /// Most of a region's requests that may change region of execution in a window.
    pub most_shift: f64,
    /// How long targets that lost their entries together may still be used: time to
    /// write them again.
    pub keep_vanished_ms: Millis,
    /// How long targets of a zone whose evacuation ended are taken for cold unless
    /// their entries say more.
    pub after_evacuation_ms: Millis,
}

/// A request for a target.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// The service.
    pub service: &'a Service,
    /// The object it is about, if it names one.
    pub object: Option<&'a [u8]>,
    /// The only regions allowed; empty allows all.
    pub allowed_regions: &'a BTreeSet<Region>,
    /// Targets that it was already sent to.
    pub tried: &'a [TargetId],
}

/// The chosen target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The object that the request is about, as a hash.
    pub object: u64,
    /// The target.
    pub target: TargetId,
    /// Its service.
    pub service: Service,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The service has no target that may be used.
    NoTarget,
    /// All are full.
    Busy {
        /// When to come back, in milliseconds.
        retry_after_ms: Millis,
    },
}

/// How a request at a target ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TargetOutcome {
    /// It answered after so many milliseconds.
    Answered(f64),
    /// It said that it did not run the request.
    Shed,
    /// Another target has its address now.
    Replaced,
    /// No connection could be made.
    Unreachable,
    /// It was sent and got no answer.
    Unanswered,
    /// It was given up for reasons of our own.
    Abandoned,
}

#[derive(Clone, Debug)]
struct Entry {
    record: TargetRecord,
    region: Region,
    hash: u64,
    cold_until: Millis,
    vanished_at: Option<Millis>,
    is_evacuated: bool,
    /// Another target answered at its address.
    is_replaced: bool,
    is_slow: bool,
    load: TargetLoad,
    pacing: ColdPacing,
    /// Objects that it served lately for this box, newest last.
    served: VecDeque<u64>,
}

impl Entry {
    fn has_served(&self, object: u64) -> bool {
        self.served.contains(&object)
    }

    fn note_served(&mut self, object: u64) {
        self.served.retain(|served| *served != object);
        self.served.push_back(object);
        if self.served.len() > MOST_SERVED {
            self.served.pop_front();
        }
    }

    fn takes_requests(&self) -> bool {
        self.record.state == TargetState::Ready && !self.is_evacuated && !self.is_replaced
    }

    fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until
    }

    fn fullness(&self, now: Millis) -> f64 {
        self.load.estimate(now) / f64::from(self.record.slots.max(1))
    }
}

/// The targets of one service.
#[derive(Debug, Default)]
pub struct ServiceTargets {
    entries: Vec<Entry>,
    plan: RegionPlan,
    cold_per_s: f64,
    spills: SpillWindow,
}

/// Counts requests and spills of the last window.
#[derive(Debug, Default)]
struct SpillWindow {
    began: Millis,
    requests: [f64; 2],
    spills: [f64; 2],
}

impl SpillWindow {
    fn roll(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.began);
        if elapsed < SPILL_WINDOW_MS {
            return;
        }
        let keeps_last = elapsed < 2 * SPILL_WINDOW_MS;
        let last = |counts: [f64; 2]| if keeps_last { counts[0] } else { 0.0 };
        self.requests = [0.0, last(self.requests)];
        self.spills = [0.0, last(self.spills)];
        self.began = now;
    }

    fn may_spill(&self) -> bool {
        let requests = self.requests[0].max(self.requests[1]);
        self.spills[0] + 1.0 <= requests * MOST_SPILL + FREE_SPILLS
    }
}

/// All services' targets as one box sees them.
#[derive(Debug)]
pub struct Placement {
    settings: PlacementSettings,
    services: HashMap<Service, ServiceTargets>,
    /// Hashes of the boxes that serve, this one included.
    boxes: Vec<u64>,
    most_boxes: usize,
    demand: BTreeMap<Region, f64>,
    reviewed_at: Millis,
}

impl Placement {
    /// Knows no targets yet.
    pub fn new(settings: PlacementSettings) -> Self {
        let me = object_hash("box", settings.me.as_str().as_bytes());
        Self {
            settings,
            services: HashMap::new(),
            boxes: vec![me],
            most_boxes: 1,
            demand: BTreeMap::new(),
            reviewed_at: 0,
        }
    }

    /// Takes the serving boxes, this one included, and the requests a second that
    /// callers of each region send.
    pub fn set_boxes<'a>(
        &mut self,
        boxes: impl Iterator<Item = &'a BoxId>,
        demand: BTreeMap<Region, f64>,
    ) {
        self.boxes = boxes
            .map(|id| object_hash("box", id.as_str().as_bytes()))
            .collect();
        self.most_boxes = self.most_boxes.max(self.boxes.len());
        self.demand = demand;
    }

    /// The most boxes that were ever seen serving together.
    pub fn most_boxes(&self) -> usize {
        self.most_boxes
    }

    /// Takes what is known of targets.
    pub fn update(&mut self, fleet: &FleetState, config: &SteeringConfig, now: Millis) {
        let mut held: HashMap<TargetId, Entry> = HashMap::new();
        for service in self.services.values_mut() {
            let entries = std::mem::take(&mut service.entries);
            held.extend(entries.into_iter().map(|e| (e.record.id.clone(), e)));
        }
        let mut addresses = BTreeSet::new();
        for (record, learned_at) in fleet.targets() {
            addresses.insert(record.address);
            let entry = self.entry(record, learned_at, held.remove(&record.id), fleet);
            self.service(&record.service).entries.push(entry);
        }
        let vanished = held
            .into_values()
            .filter(|entry| entry.takes_requests() && !addresses.contains(&entry.record.address))
            .collect();
        self.keep_lost_entries(vanished, fleet, now);
        for (name, service) in &mut self.services {
            let configured = config.services.get(name);
            service.cold_per_s = configured.map_or(0.0, |service| service.cold_per_s);
        }
        self.services
            .retain(|_, service| !service.entries.is_empty());
        self.review(now);
    }

    /// Keeps targets whose entries vanished together, for as long as writing them again
    /// takes. Targets that vanish one by one have left.
    fn keep_lost_entries(&mut self, vanished: Vec<Entry>, fleet: &FleetState, now: Millis) {
        let mut losses: HashMap<Service, Vec<Entry>> = HashMap::new();
        for entry in vanished {
            let service = entry.record.service.clone();
            losses.entry(service).or_default().push(entry);
        }
        for (name, lost) in losses {
            let keep_ms = self.settings.keep_vanished_ms;
            let service = self.service(&name);
            let all = lost.len() + service.entries.len();
            let is_mass_loss = lost.len() > 1 && lost.len() as f64 > all as f64 * MASS_LOSS_PART;
            for mut entry in lost {
                let is_known_loss = entry.vanished_at.is_some();
                let vanished_at = *entry.vanished_at.get_or_insert(now);
                let is_kept = now.saturating_sub(vanished_at) < keep_ms;
                if is_kept && (is_mass_loss || is_known_loss) {
                    entry.is_evacuated = fleet.is_evacuated(&entry.record.zone);
                    service.entries.push(entry);
                }
            }
        }
    }

    fn service(&mut self, name: &Service) -> &mut ServiceTargets {
        self.services.entry(name.clone()).or_default()
    }

    fn entry(
        &self,
        record: &TargetRecord,
        learned_at: Millis,
        held: Option<Entry>,
        fleet: &FleetState,
    ) -> Entry {
        let region = self.settings.zones.get(&record.zone);
        let cold_ms = (record.cold_remaining_s * 1_000.0).ceil() as Millis;
        let margin = if cold_ms > 0 { COLD_MARGIN_MS } else { 0 };
        let after_evacuation = fleet
            .evacuation_ended_at(&record.zone)
            .map_or(0, |ended_at| ended_at + self.settings.after_evacuation_ms);
        let cold_until = (learned_at + cold_ms + margin).max(after_evacuation);
        Entry {
            region: region.cloned().unwrap_or_else(|| Region::new("")),
            hash: object_hash("target", record.id.as_str().as_bytes()),
            cold_until,
            vanished_at: None,
            is_evacuated: fleet.is_evacuated(&record.zone),
            is_replaced: held.as_ref().is_some_and(|held| held.is_replaced),
            is_slow: held.as_ref().is_some_and(|held| held.is_slow),
            load: held.as_ref().map(|held| held.load).unwrap_or_default(),
            pacing: held.as_ref().map(|held| held.pacing).unwrap_or_default(),
            served: held.map(|held| held.served).unwrap_or_default(),
            record: record.clone(),
        }
    }

    /// Looks at latencies and room again, where that is due.
    pub fn review_if_due(&mut self, now: Millis) {
        if now.saturating_sub(self.reviewed_at) >= REVIEW_MS {
            self.review(now);
        }
    }

    fn review(&mut self, now: Millis) {
        self.reviewed_at = now;
        let regions: BTreeSet<&Region> = self.settings.zones.values().collect();
        let keep_ms = self.settings.keep_vanished_ms;
        for service in self.services.values_mut() {
            service.entries.retain(|entry| {
                entry
                    .vanished_at
                    .is_none_or(|vanished_at| now.saturating_sub(vanished_at) < keep_ms)
            });
            service.review_latencies(now);
            let rooms: Vec<RegionRoom> = regions
                .iter()
                .map(|region| RegionRoom {
                    region: (*region).clone(),
                    slots: service.slots_in(region, now),
                    demand: self.demand.get(region).copied().unwrap_or(0.0),
                })
                .collect();
            let (origin, most) = (&self.settings.region, self.settings.most_shift);
            service.plan.advance(origin, &rooms, most, now);
        }
    }

    /// Chooses a target and counts the request there. `random` is drawn from 0 to 1.
    pub fn choose(
        &mut self,
        wanted: &Wanted<'_>,
        random: f64,
        now: Millis,
    ) -> Result<Choice, Refusal> {
        self.review_if_due(now);
        let boxes = std::mem::take(&mut self.boxes);
        let warming = Warming {
            boxes: &boxes,
            me: object_hash("box", self.settings.me.as_str().as_bytes()),
            random,
        };
        let chosen = match self.services.get_mut(wanted.service) {
            Some(service) => service.choose(wanted, &warming, now),
            None => Err(Refusal::NoTarget),
        };
        self.boxes = boxes;
        chosen
    }

    /// A request that was given to `choice` ended.
    pub fn ended(&mut self, choice: &Choice, outcome: TargetOutcome, now: Millis) {
        let Some(entry) = self.held(choice) else {
            return;
        };
        let load = &mut entry.load;
        match outcome {
            TargetOutcome::Answered(latency_ms) => {
                load.answered(latency_ms, now);
                entry.note_served(choice.object);
            }
            TargetOutcome::Shed => load.shed(),
            TargetOutcome::Replaced => entry.is_replaced = true,
            TargetOutcome::Unreachable => load.unreachable(now),
            TargetOutcome::Unanswered => load.unanswered(now),
            TargetOutcome::Abandoned => {}
        }
        entry.load.ended();
    }

    /// A target told its load.
    pub fn reported(&mut self, choice: &Choice, report: LoadReport, now: Millis) {
        if let Some(entry) = self.held(choice) {
            entry.load.reported(report, now);
        }
    }

    /// How long answers of `choice`'s service usually take, where that is known.
    pub fn usual_latency_ms(&self, service: &Service, now: Millis) -> Option<f64> {
        self.services.get(service)?.median_latency_ms(now)
    }

    fn held(&mut self, choice: &Choice) -> Option<&mut Entry> {
        let service = self.services.get_mut(&choice.service)?;
        let mut entries = service.entries.iter_mut();
        entries.find(|entry| entry.record.id == choice.target)
    }
}

/// Which boxes warm cold targets, and this one's dice.
struct Warming<'a> {
    boxes: &'a [u64],
    me: u64,
    random: f64,
}

impl Warming<'_> {
    fn is_mine(&self, target: u64) -> bool {
        let mine = weighted_score(target, self.me, 1.0);
        let better = self
            .boxes
            .iter()
            .filter(|other| weighted_score(target, **other, 1.0) > mine)
            .count();
        better < ColdPacing::warmers(self.boxes.len())
    }
}

impl ServiceTargets {
    fn choose(
        &mut self,
        wanted: &Wanted<'_>,
        warming: &Warming<'_>,
        now: Millis,
    ) -> Result<Choice, Refusal> {
        self.spills.roll(now);
        self.spills.requests[0] += 1.0;
        let object = match wanted.object {
            Some(object) => object_hash(wanted.service.as_str(), object),
            None => (warming.random * u64::MAX as f64) as u64,
        };
        let regions = self.ranked_regions(object, wanted);
        let chosen = self
            .with_room(object, &regions, wanted, warming.random, now)
            .or_else(|| self.shortest_queue(object, &regions, wanted, now))
            .or_else(|| self.cold(wanted, warming, now));
        match chosen {
            Some(index) => Ok(self.start(index, object)),
            None if regions.is_empty() && !self.has_any(wanted) => Err(Refusal::NoTarget),
            None => Err(Refusal::Busy {
                retry_after_ms: REFUSED_RETRY_MS + (warming.random * 100.0) as Millis,
            }),
        }
    }

    fn start(&mut self, index: usize, object: u64) -> Choice {
        let entry = &mut self.entries[index];
        entry.load.started();
        Choice {
            object,
            target: entry.record.id.clone(),
            service: entry.record.service.clone(),
            address: entry.record.address,
        }
    }

    fn has_any(&self, wanted: &Wanted<'_>) -> bool {
        self.entries
            .iter()
            .any(|entry| entry.takes_requests() && is_allowed(entry, wanted))
    }

    /// Regions with usable targets, the object's home first.
    fn ranked_regions(&self, object: u64, wanted: &Wanted<'_>) -> Vec<Region> {
        let mut ranked: Vec<(f64, f64, &Region)> = Vec::new();
        for entry in &self.entries {
            let is_known = ranked.iter().any(|(_, _, region)| *region == &entry.region);
            if is_known || !entry.takes_requests() || !is_allowed(entry, wanted) {
                continue;
            }
            let place = object_hash("region", entry.region.as_str().as_bytes());
            let part = self.plan.part(&entry.region);
            let tie = weighted_score(object, place, 1.0);
            ranked.push((weighted_score(object, place, part), tie, &entry.region));
        }
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.total_cmp(&a.1)));
        ranked
            .into_iter()
            .map(|(_, _, region)| region.clone())
            .collect()
    }

    /// Usable warm targets of `region`, the object's homes first.
    fn homes(&self, object: u64, region: &Region, wanted: &Wanted<'_>, now: Millis) -> Vec<usize> {
        let mut ranked: Vec<(f64, usize)> = self
            .entries
            .iter()
            .enumerate()
            .filter(|(_, entry)| &entry.region == region && is_usable(entry, wanted, now))
            .filter(|(_, entry)| !entry.is_cold(now))
            .map(|(index, entry)| {
                let weight = f64::from(entry.record.slots.max(1));
                (weighted_score(object, entry.hash, weight), index)
            })
            .collect();
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        ranked.truncate(HOMES_IN_REGION);
        ranked.into_iter().map(|(_, index)| index).collect()
    }

    /// The first home with a free slot, in the home region or, where the spill window
    /// allows, in the next.
    fn with_room(
        &mut self,
        object: u64,
        regions: &[Region],
        wanted: &Wanted<'_>,
        random: f64,
        now: Millis,
    ) -> Option<usize> {
        let mut is_home = true;
        for region in regions {
            let homes = self.homes(object, region, wanted, now);
            if homes.is_empty() {
                continue;
            }
            if !is_home && !self.spills.may_spill() {
                return None;
            }
            let tries_slow = random < SLOW_TRIAL_PART;
            let free = homes.into_iter().find(|index| {
                let entry = &self.entries[*index];
                entry.fullness(now) < 1.0 && (!entry.is_slow || tries_slow)
            });
            if let Some(index) = free {
                if !is_home {
                    self.spills.spills[0] += 1.0;
                }
                return Some(index);
            }
            is_home = false;
        }
        None
    }

    /// The least loaded home of the nearest region that has any.
    fn shortest_queue(
        &self,
        object: u64,
        regions: &[Region],
        wanted: &Wanted<'_>,
        now: Millis,
    ) -> Option<usize> {
        let cost = |index: &usize| {
            let entry = &self.entries[*index];
            let slowness = if entry.is_slow { SLOW_MULTIPLE } else { 1.0 };
            (entry.fullness(now) + 0.1) * slowness
        };
        for region in regions {
            let homes = self.homes(object, region, wanted, now);
            let least = homes
                .into_iter()
                .filter(|index| {
                    let entry = &self.entries[*index];
                    let most = if entry.has_served(object) {
                        MOST_QUEUE
                    } else {
                        MOST_QUEUE_UNSERVED
                    };
                    entry.fullness(now) < most
                })
                .min_by(|a, b| cost(a).total_cmp(&cost(b)));
            if least.is_some() {
                return least;
            }
        }
        None
    }

    /// A cold target whose turn it is; this box must be one of those that warm it.
    fn cold(&mut self, wanted: &Wanted<'_>, warming: &Warming<'_>, now: Millis) -> Option<usize> {
        let cold_per_s = self.cold_per_s;
        let boxes = warming.boxes.len();
        self.entries.iter_mut().position(|entry| {
            is_usable(entry, wanted, now)
                && entry.is_cold(now)
                && warming.is_mine(entry.hash)
                && entry.pacing.admit(cold_per_s, boxes, warming.random, now)
        })
    }

    fn slots_in(&self, region: &Region, now: Millis) -> f64 {
        self.entries
            .iter()
            .filter(|entry| &entry.region == region && entry.takes_requests())
            .filter(|entry| !entry.is_cold(now))
            .map(|entry| f64::from(entry.record.slots))
            .sum()
    }

    fn median_latency_ms(&self, now: Millis) -> Option<f64> {
        let mut latencies: Vec<f64> = self
            .entries
            .iter()
            .filter_map(|entry| entry.load.recent_latency_ms(now))
            .collect();
        if latencies.is_empty() {
            return None;
        }
        latencies.sort_by(f64::total_cmp);
        Some(latencies[latencies.len() / 2])
    }

    fn review_latencies(&mut self, now: Millis) {
        let Some(median) = self.median_latency_ms(now) else {
            return;
        };
        for entry in &mut self.entries {
            let latency = entry.load.recent_latency_ms(now);
            entry.is_slow = latency.is_some_and(|latency| latency > median * SLOW_MULTIPLE);
        }
    }
}

fn is_allowed(entry: &Entry, wanted: &Wanted<'_>) -> bool {
    wanted.allowed_regions.is_empty() || wanted.allowed_regions.contains(&entry.region)
}

fn is_usable(entry: &Entry, wanted: &Wanted<'_>, now: Millis) -> bool {
    entry.takes_requests()
        && is_allowed(entry, wanted)
        && entry.load.is_usable(now)
        && !wanted.tried.contains(&entry.record.id)
}
