//! Small fleets for the tests of this crate.
#![allow(dead_code, clippy::unwrap_used, clippy::expect_used)]

pub mod look_up;
pub mod recorded_store;

use brasswinch_routing::{
    Backend, Change, ClientLimits, ConfigGaps, ConfigVersion, FleetState, Placement,
    PlacementSettings, Rank, RegionLimits, Revised, Revision, Route, RouteKind, Scope,
    ServiceConfig, Snapshot, SteeringConfig, UpstreamRecord, UpstreamRequest, UpstreamState,
    Watermark,
};
use brasswinch_types::{BoxId, Region, Service, UpstreamId, Zone};
use std::collections::{BTreeMap, BTreeSet};

pub const SLOTS: u32 = 4;

pub fn service() -> Service {
    Service::new("quotes")
}

/// Returns three regions of two zones each.
pub fn zones() -> BTreeMap<Zone, Region> {
    ["west", "north", "south"]
        .iter()
        .flat_map(|region| {
            ["a", "b"].map(|zone| (Zone::new(format!("{region}-{zone}")), Region::new(region)))
        })
        .collect()
}

pub fn upstream(id: &str, zone: &str, port: u16) -> UpstreamRecord {
    UpstreamRecord {
        started: None,
        id: UpstreamId::new(id),
        service: service(),
        address: ([127, 0, 0, 1], port).into(),
        zone: Zone::new(zone),
        slots: SLOTS,
        state: UpstreamState::Ready,
        cold_remaining_s: 0.0,
    }
}

pub fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        kind: RouteKind::Repeatable,
        timeout_s: Some(1.0),
        latency_goal_s: 0.3,
        priority: 1,
        backends: vec![Backend {
            service: service(),
            weight: 1.0,
        }],
        max_attempts: 2,
        sticky: true,
        allowed_regions: BTreeSet::new(),
        is_public: false,
    }
}

pub fn config(version: u64) -> SteeringConfig {
    let quotes = ServiceConfig {
        max_connections: 100,
        cold_period_s: 3.0,
        cold_per_s: 9.0,
        health_path: String::new(),
    };
    SteeringConfig {
        version: ConfigVersion(version),
        routes: vec![route("r", "quotes.example", "/")],
        services: BTreeMap::from([(service(), quotes)]),
        workspaces: BTreeMap::new(),
        limits: ClientLimits::default(),
        gaps: ConfigGaps::default(),
    }
}

pub fn revised(revision: u64, change: Change) -> Revised {
    Revised {
        revision: Revision(revision),
        change,
    }
}

/// Creates `per_zone` upstreams in each zone; their ids consist of zone and number.
pub fn fleet(per_zone: usize) -> FleetState {
    let mut fleet = FleetState::default();
    let mut port = 1_000;
    for zone in zones().keys() {
        for number in 0..per_zone {
            port += 1;
            let record = upstream(&format!("{zone}-{number}"), zone.as_str(), port);
            fleet.apply(revised(u64::from(port), Change::Upstream(record)), 1);
        }
    }
    complete_as_of(&mut fleet, 19);
    fleet
}

/// Marks the view of the upstreams as complete as of `as_of`.
pub fn complete_as_of(fleet: &mut FleetState, as_of: u64) {
    let at = Revision::default();
    let claim = Watermark {
        revision: at,
        at,
        as_of,
    };
    let scope = Scope::Upstreams;
    if fleet.newest(scope).is_none() {
        let entries = fleet.upstreams();
        let entries = entries.map(|(record, _)| {
            revised(
                u64::from(record.address.port()),
                Change::Upstream(record.clone()),
            )
        });
        let entries = entries.collect();
        fleet.apply_snapshot(Snapshot { scope, at, entries }, 1);
    }
    fleet.record_watermark(scope, claim);
}

pub fn placement_in(region: &str) -> Placement {
    Placement::new(settings_in(region))
}

pub fn settings_in(region: &str) -> PlacementSettings {
    PlacementSettings {
        me: BoxId::new("box-1"),
        region: Region::new(region),
        zones: zones(),
        max_shift: 0.15,
        retain_lost_ms: 1_500,
        after_evacuation_ms: 3_000,
        min_coordinators: 1,
    }
}

pub fn wanted<'a>(
    service: &'a Service,
    object: &'a [u8],
    anywhere: &'a BTreeSet<Region>,
    tried: &'a [UpstreamId],
) -> UpstreamRequest<'a> {
    UpstreamRequest {
        service,
        object: Some(object),
        workspace: None,
        rank: Rank {
            workspace: 0,
            route: 1,
        },
        regions: RegionLimits {
            route: anywhere,
            workspace: None,
        },
        tried,
    }
}
