//! The boxes and upstreams of a replay, and what the boxes know of each other.

use super::network::Place;
use super::pattern::{LoadPattern, REGIONS, ZONES};
use super::upstream::SLOTS;
use brasswinch_routing::{
    Backend, Change, ClientLimits, ConfigGaps, ConfigVersion, FleetState, Placement,
    PlacementSettings, Revised, Revision, Route, RouteKind, Scope, ServiceConfig, Snapshot,
    SteeringConfig, UpstreamRecord, UpstreamState,
};
use brasswinch_types::{BoxId, Millis, Region, Service, UpstreamId, Zone};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The only service.
const SERVICE: &str = "quotes";

/// Time for which an upstream that started is cold, in seconds.
const COLD_S: f64 = 3.0;

/// Requests a second that a cold upstream bears.
const COLD_PER_S: f64 = 3.8;

/// Most of a region's requests that may change their region of execution in a window.
const MOST_SHIFT: f64 = 0.15;

/// A box: where it stands and what it decides by.
pub(super) struct FleetBox {
    pub(super) id: BoxId,
    pub(super) place: Place,
    pub(super) placement: Placement,
}

/// All boxes and upstreams.
pub(super) struct Fleet {
    pub(super) boxes: Vec<FleetBox>,
    pub(super) by_id: BTreeMap<BoxId, usize>,
    pub(super) upstream_places: Vec<Place>,
    pub(super) upstreams: BTreeMap<UpstreamId, usize>,
    pub(super) service: Service,
    entries: FleetState,
    config: SteeringConfig,
    revision: u64,
}

fn zone_name(place: Place) -> Zone {
    Zone::new(format!("{}-{}", REGIONS[place.region].name, place.zone))
}

fn zones() -> BTreeMap<Zone, Region> {
    let places =
        (0..REGIONS.len()).flat_map(|region| (0..ZONES).map(move |zone| Place { region, zone }));
    places
        .map(|place| (zone_name(place), Region::new(REGIONS[place.region].name)))
        .collect()
}

impl Fleet {
    pub(super) fn new(pattern: &LoadPattern) -> Self {
        let mut fleet = Self {
            boxes: Vec::new(),
            by_id: BTreeMap::new(),
            upstream_places: Vec::new(),
            upstreams: BTreeMap::new(),
            service: Service::new(SERVICE),
            entries: FleetState::default(),
            config: config(),
            revision: 1,
        };
        fleet.add_upstreams(pattern.upstreams);
        fleet.add_boxes(pattern.boxes);
        fleet.tell_entries(1);
        fleet
    }

    fn add_upstreams(&mut self, count: usize) {
        for (region, shape) in REGIONS.iter().enumerate() {
            let in_region = (count as f64 * shape.upstreams).round().max(1.0) as usize;
            for number in 0..in_region {
                let zone = number % ZONES;
                let id = UpstreamId::new(format!("{}-{number}", shape.name));
                self.upstreams.insert(id, self.upstream_places.len());
                self.upstream_places.push(Place { region, zone });
            }
        }
        let entries = self.upstreams.iter().map(|(id, index)| {
            let place = self.upstream_places[*index];
            Revised {
                revision: Revision(self.revision),
                change: Change::Upstream(record(id, *index, place, 0.0)),
            }
        });
        let snapshot = Snapshot {
            scope: Scope::Upstreams,
            at: Revision(self.revision),
            entries: entries.collect(),
        };
        self.entries.apply_snapshot(snapshot, 1);
    }

    fn add_boxes(&mut self, count: usize) {
        for number in 0..count {
            let region = number % REGIONS.len();
            let zone = number / REGIONS.len() % ZONES;
            let id = BoxId::new(format!("box-{number}"));
            let placement = placement(&id, region);
            self.by_id.insert(id.clone(), number);
            self.boxes.push(FleetBox {
                id,
                place: Place { region, zone },
                placement,
            });
        }
        for number in 0..count {
            self.tell_keepers(number);
        }
    }

    /// Sets the coordinators of a box's region.
    fn tell_keepers(&mut self, number: usize) {
        let region = self.boxes[number].place.region;
        let near = self.boxes.iter().filter(|held| held.place.region == region);
        let keepers: Vec<BoxId> = near.map(|held| held.id.clone()).collect();
        self.boxes[number].placement.set_coordinators(keepers);
    }

    /// The box starts again and learns of boxes and upstreams, but not of their load.
    pub(super) fn restart(&mut self, number: usize, now: Millis) {
        let held = &mut self.boxes[number];
        held.placement = placement(&held.id, held.place.region);
        held.placement.update(&self.entries, &self.config, now);
        self.tell_keepers(number);
    }

    /// Sets the demand of each region at all boxes.
    pub(super) fn tell_demand(&mut self, per_s: &[f64]) {
        let by_region = REGIONS.iter().zip(per_s);
        let demand: BTreeMap<Region, f64> = by_region
            .map(|(shape, per_s)| (Region::new(shape.name), *per_s))
            .collect();
        let ids: Vec<BoxId> = self.boxes.iter().map(|held| held.id.clone()).collect();
        for fleet_box in &mut self.boxes {
            fleet_box.placement.set_boxes(ids.iter(), demand.clone());
        }
    }

    /// The upstreams of a region's first zone are started again; returns them.
    pub(super) fn chill(&mut self, region: usize, now: Millis) -> Vec<usize> {
        let chilled = Place { region, zone: 0 };
        let cold: Vec<(UpstreamId, usize)> = self
            .upstreams
            .iter()
            .filter(|(_, index)| self.upstream_places[**index] == chilled)
            .map(|(id, index)| (id.clone(), *index))
            .collect();
        for (id, index) in &cold {
            self.revision += 1;
            let change = Revised {
                revision: Revision(self.revision),
                change: Change::Upstream(record(id, *index, chilled, COLD_S)),
            };
            self.entries.apply(change, now);
        }
        self.tell_entries(now);
        cold.into_iter().map(|(_, index)| index).collect()
    }

    fn tell_entries(&mut self, now: Millis) {
        for fleet_box in &mut self.boxes {
            fleet_box.placement.update(&self.entries, &self.config, now);
        }
    }
}

fn placement(id: &BoxId, region: usize) -> Placement {
    Placement::new(PlacementSettings {
        me: id.clone(),
        region: Region::new(REGIONS[region].name),
        zones: zones(),
        max_shift: MOST_SHIFT,
        retain_lost_ms: 1_500,
        after_evacuation_ms: 3_000,
        min_coordinators: 1,
    })
}

fn record(id: &UpstreamId, index: usize, place: Place, cold_remaining_s: f64) -> UpstreamRecord {
    let port = u16::try_from(1_024 + index).unwrap_or(u16::MAX);
    UpstreamRecord {
        started: None,
        id: id.clone(),
        service: Service::new(SERVICE),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: zone_name(place),
        slots: SLOTS,
        state: UpstreamState::Ready,
        cold_remaining_s,
    }
}

fn config() -> SteeringConfig {
    let service = ServiceConfig {
        max_connections: 5_400,
        cold_period_s: COLD_S,
        cold_per_s: COLD_PER_S,
        health_path: String::new(),
    };
    let route = Route {
        name: "prices".into(),
        host: "prices.example".into(),
        path_prefix: "/".into(),
        kind: RouteKind::Repeatable,
        timeout_s: Some(2.0),
        latency_goal_s: 0.8,
        priority: 0,
        backends: vec![Backend {
            service: Service::new(SERVICE),
            weight: 1.0,
        }],
        max_attempts: 2,
        sticky: true,
        allowed_regions: BTreeSet::new(),
        is_public: false,
    };
    SteeringConfig {
        version: ConfigVersion(1),
        routes: vec![route],
        services: BTreeMap::from([(Service::new(SERVICE), service)]),
        workspaces: BTreeMap::new(),
        limits: ClientLimits::default(),
        gaps: ConfigGaps::default(),
    }
}
