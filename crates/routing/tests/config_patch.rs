//! Tests that boxes send each other configuration patches instead of whole configurations.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_routing::{
    CatchUp, Change, ConfigFingerprint, ConfigPatch, ConfigVersion, FleetState, Revision, Scope,
    Snapshot, SteeringConfig,
};
use brasswinch_types::{Region, Service};
use common::{config, revised, route};
use proptest::prelude::*;
use std::sync::Arc;

/// Creates a configuration with some services and a route for each variant other than 0; variant 2
/// also limits its route to one region.
fn generated(version: u64, variants: &[u8], services: u8) -> SteeringConfig {
    let mut generated = config(version);
    generated.routes.clear();
    for (number, variant) in variants.iter().enumerate() {
        if *variant == 0 {
            continue;
        }
        let host = format!("host-{}.example", number % 3);
        let mut one = route(&format!("r-{number}"), &host, &format!("/p{number}/"));
        if *variant == 2 {
            one.allowed_regions.insert(Region::new("west"));
        }
        generated.routes.push(one);
    }
    let mut kept = generated.services.values().next().unwrap().clone();
    kept.cold_period_s = f64::from(variants[0]);
    generated.limits.max_body_bytes = version;
    for number in 0..services {
        let name = Service::new(format!("service-{number}"));
        generated.services.insert(name, kept.clone());
    }
    generated
}

/// Sorts the routes; their order has no meaning.
fn sorted(config: &SteeringConfig) -> SteeringConfig {
    let mut sorted = config.clone();
    let by_place = |route: &brasswinch_routing::Route| {
        let (host, prefix) = (&route.host, &route.path_prefix);
        (host.clone(), prefix.clone())
    };
    sorted.routes.sort_by_key(by_place);
    sorted
}

fn listing(at: u64, config: SteeringConfig) -> Snapshot {
    Snapshot {
        scope: Scope::Operator,
        at: Revision(at),
        entries: vec![revised(at, Change::Config(Arc::new(config)))],
    }
}

/// Returns the data that `peer` lacks, as `source` sends it.
fn missing_at(source: &FleetState, peer: &FleetState) -> CatchUp {
    let holds = peer.config_fingerprint();
    let after = peer.newest(Scope::Operator);
    source.missing(Scope::Operator, after, holds).unwrap()
}

fn write(fleet: &mut FleetState, revision: u64, config: SteeringConfig) {
    let change = revised(revision, Change::Config(Arc::new(config)));
    fleet.apply_changes(Scope::Operator, vec![change], 1);
}

/// Returns whether the data contains a whole configuration.
fn is_whole(received: &CatchUp) -> bool {
    let entries = match received {
        CatchUp::Snapshot(snapshot) => &snapshot.entries,
        CatchUp::Changes { changes, .. } => changes,
    };
    let is_config = |change: &Change| matches!(change, Change::Config(_));
    entries.iter().any(|entry| is_config(&entry.change))
}

proptest! {
    #[test]
    fn a_patch_turns_one_version_into_another(
        held in proptest::collection::vec(0_u8..3, 24),
        wanted in proptest::collection::vec(0_u8..3, 24),
        services in (0_u8..4, 0_u8..4),
    ) {
        let (held, wanted) = (generated(3, &held, services.0), generated(9, &wanted, services.1));
        let made = ConfigPatch::between(&held, &wanted).apply(&held);
        prop_assert_eq!(sorted(&made), sorted(&wanted));
    }

    /// One box follows the store; the others catch up with it and with each other now and then.
    #[test]
    fn boxes_that_receive_patches_agree_with_the_store(
        steps in proptest::collection::vec((0_usize..24, 0_u8..3, 0_usize..6), 1..80),
    ) {
        let mut variants = vec![1; 24];
        let mut boxes: Vec<FleetState> = (0..3).map(|_| FleetState::default()).collect();
        boxes[0].apply_snapshot(listing(1, generated(1, &variants, 1)), 1);
        for (number, (place, variant, talk)) in steps.into_iter().enumerate() {
            let step = number as u64 + 2;
            variants[place] = variant;
            write(&mut boxes[0], step, generated(step * 3, &variants, 1));
            let (from, to) = [(0, 1), (0, 2), (1, 2), (2, 1), (0, 0), (1, 0)][talk];
            if let Some(received) = boxes[from].newest(Scope::Operator).map(|_| missing_at(&boxes[from], &boxes[to])) {
                boxes[to].catch_up(received, step).unwrap();
            }
        }
        for to in [1, 2] {
            let received = missing_at(&boxes[0], &boxes[to]);
            boxes[to].catch_up(received, 1_000).unwrap();
            let (held, wanted) = (boxes[to].config().unwrap(), boxes[0].config().unwrap());
            prop_assert_eq!(sorted(held), sorted(wanted));
            prop_assert_eq!(boxes[to].newest(Scope::Operator), boxes[0].newest(Scope::Operator));
        }
    }
}

#[test]
fn a_change_of_one_route_among_thousands_is_sent_alone() {
    let mut many = config(1);
    for number in 0..3_000 {
        many.routes.push(route(
            &format!("r-{number}"),
            "many.example",
            &format!("/p{number}/"),
        ));
    }
    let mut source = FleetState::default();
    let mut peer = FleetState::default();
    source.apply_snapshot(listing(1, many.clone()), 1);
    peer.catch_up(missing_at(&source, &peer), 1).unwrap();
    many.version = ConfigVersion(2);
    many.routes[1_500].timeout_s = Some(0.25);
    write(&mut source, 2, many.clone());
    let received = missing_at(&source, &peer);
    let CatchUp::Changes { changes, .. } = &received else {
        panic!("{received:?}");
    };
    let Change::ConfigPatched(patches) = &changes[0].change else {
        panic!("{changes:?}");
    };
    assert_eq!(patches[0].changed_routes, [many.routes[1_500].clone()]);
    assert!(peer.catch_up(received, 2).unwrap());
    assert_eq!(**peer.config().unwrap(), many);
}

#[test]
fn a_peer_without_a_known_version_gets_the_whole_configuration() {
    let version = |step: u64| {
        let mut newer = generated(step, &[1; 24], 20);
        newer.routes[0].timeout_s = Some(step as f64);
        newer
    };
    let mut source = FleetState::default();
    source.apply_snapshot(listing(1, version(1)), 1);
    for step in 2..100 {
        write(&mut source, step, version(step));
    }
    let missing = |holds: Option<u64>| {
        let holds = holds.map(|step| ConfigFingerprint::of(&version(step)));
        source
            .missing(Scope::Operator, Some(Revision(1)), holds)
            .unwrap()
    };
    assert!(is_whole(&missing(None)));
    assert!(is_whole(&missing(Some(1))));
    assert!(!is_whole(&missing(Some(98))));
    // A restarted box has no revision to catch up from, but may still hold the newest version.
    let restarted = source
        .missing(
            Scope::Operator,
            None,
            Some(ConfigFingerprint::of(&version(99))),
        )
        .unwrap();
    assert!(!is_whole(&restarted));
}

#[test]
fn patches_for_a_version_that_is_not_held_change_nothing() {
    let mut source = FleetState::default();
    source.apply_snapshot(listing(1, config(1)), 1);
    write(&mut source, 2, config(4));
    let patches = source.missing(
        Scope::Operator,
        Some(Revision(1)),
        Some(ConfigFingerprint::of(&config(1))),
    );
    let patches = patches.unwrap();
    let mut peer = FleetState::default();
    let fresh = peer.catch_up(patches.clone(), 1).unwrap_err();
    assert_eq!((fresh.base.version, fresh.held), (ConfigVersion(1), None));
    peer.apply_snapshot(listing(1, config(3)), 1);
    let other = peer.catch_up(patches.clone(), 1).unwrap_err();
    assert_eq!(other.held, Some(ConfigFingerprint::of(&config(3))));
    assert_eq!(peer.newest(Scope::Operator), Some(Revision(1)));
    // A box that already holds the resulting version treats the patches as known.
    peer.apply_snapshot(listing(2, config(4)), 1);
    assert!(!peer.catch_up(patches, 1).unwrap());
    assert_eq!(peer.config().unwrap().version, ConfigVersion(4));
}

/// Boxes may hold different configurations of the same version, if it was written twice or they
/// read it differently. Patches chosen by version alone would preserve the difference.
#[test]
fn patches_apply_to_the_content_held_and_not_to_its_version_alone() {
    let mut source = FleetState::default();
    let mut peer = FleetState::default();
    peer.apply_snapshot(listing(1, generated(2, &[1; 5], 1)), 1);
    source.apply_snapshot(listing(2, generated(2, &[2; 6], 1)), 1);
    let newest = generated(3, &[2, 2, 2, 2, 2, 0, 1], 1);
    write(&mut source, 3, newest.clone());
    let by_version = source.missing(
        Scope::Operator,
        Some(Revision(2)),
        Some(ConfigFingerprint::of(&generated(2, &[2; 6], 1))),
    );
    assert!(peer.catch_up(by_version.unwrap(), 1).is_err());
    let received = missing_at(&source, &peer);
    assert!(is_whole(&received));
    assert!(peer.catch_up(received, 1).unwrap());
    assert_eq!(sorted(peer.config().unwrap()), sorted(&newest));
}

#[test]
fn patches_larger_than_the_whole_configuration_are_not_kept() {
    let mut source = FleetState::default();
    let version = |step: u64| generated(step, &[1 + (step % 2) as u8; 24], 1);
    source.apply_snapshot(listing(1, version(1)), 1);
    write(&mut source, 2, version(2));
    write(&mut source, 3, version(3));
    let missing = |held: u64| {
        let holds = Some(ConfigFingerprint::of(&version(held)));
        let missing = source.missing(Scope::Operator, Some(Revision(1)), holds);
        missing.unwrap()
    };
    assert!(!is_whole(&missing(2)));
    assert!(is_whole(&missing(1)), "two patches name each route twice");
}
