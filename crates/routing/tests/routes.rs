//! Routes, splits among services, and configuration errors.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_routing::{
    Backend, KeyDigest, KeyTable, ProblemEffect, QuotaLimit, RouteTable, SteeringConfig,
    WeightedSplit, WorkspaceConfig,
};
use brasswinch_types::{Service, Workspace};
use common::{config, route};
use proptest::prelude::*;

#[test]
fn the_longest_prefix_of_the_host_takes_a_request() {
    let mut config = config(1);
    config.routes = vec![
        route("all", "a.example", "/"),
        route("deep", "a.example", "/x/y/"),
        route("middle", "a.example", "/x/"),
        route("other", "b.example", "/x/y/z/"),
    ];
    let table = RouteTable::new(&config);
    let name = |host, path| table.find(host, path).map(|route| route.name.clone());
    assert_eq!(name("a.example", "/x/y/z/1").as_deref(), Some("deep"));
    assert_eq!(name("a.example", "/x/q").as_deref(), Some("middle"));
    assert_eq!(name("a.example:8080", "/").as_deref(), Some("all"));
    assert_eq!(name("A.Example", "/x").as_deref(), Some("all"));
    assert_eq!(name("b.example", "/x/y/"), None);
    assert_eq!(name("c.example", "/x/y/"), None);
}

/// Returns the usable part of a configuration with one route, after a change that makes a part of
/// it unusable.
fn usable_after(change: fn(&mut SteeringConfig)) -> SteeringConfig {
    let mut config = config(1);
    change(&mut config);
    let usable = config.without_unusable(Vec::new());
    assert_eq!(usable.gaps.count(), 1, "{:?}", usable.gaps);
    usable
}

/// Asserts that the only route is left out, and why.
fn assert_left_out(change: fn(&mut SteeringConfig), reason: &str) {
    let usable = usable_after(change);
    assert!(usable.routes.is_empty(), "{:?}", usable.routes);
    assert!(usable.gaps.lacks_routes());
    let problem = &usable.gaps.problems()[0];
    assert_eq!(problem.effect, ProblemEffect::RouteLeftOut);
    assert!(problem.reason.contains(reason), "{problem}");
}

/// Asserts that the requests of the only route are refused, and why.
fn assert_refused(usable: &SteeringConfig, reason: &str) {
    assert_eq!(usable.routes.len(), 1);
    assert!(usable.routes[0].backends.is_empty(), "{:?}", usable.routes);
    assert!(!usable.gaps.lacks_routes());
    let problem = usable.gaps.problems().last().unwrap();
    assert_eq!(problem.effect, ProblemEffect::RouteRefused);
    assert!(problem.reason.contains(reason), "{problem}");
}

#[test]
fn each_unusable_part_of_a_configuration_is_left_out_with_its_reason() {
    let whole = config(1).without_unusable(Vec::new());
    assert_eq!(whole, config(1));
    assert_left_out(|config| config.routes[0].host.clear(), "has no host");
    assert_left_out(
        |config| config.routes[0].path_prefix = "/x".into(),
        "does not begin and end with a slash",
    );
    let refused = [
        usable_after(|config| config.services.clear()),
        usable_after(|config| config.routes[0].backends[0].weight = 0.0),
        usable_after(|config| config.routes[0].backends.clear()),
        usable_after(|config| config.routes[0].backends[0].weight = -1.0),
        usable_after(|config| config.routes[0].timeout_s = Some(f64::NAN)),
        usable_after(|config| {
            let twin = config.routes[0].clone();
            config.routes.push(twin);
        }),
    ];
    let reasons = [
        "names the unknown service",
        "no service with a weight above 0",
        "no service with a weight above 0",
        "weight of r is -1",
        "time-out of r is NaN",
        "have the same host and prefix",
    ];
    for (usable, reason) in refused.iter().zip(reasons) {
        assert_refused(usable, reason);
    }
}

#[test]
fn an_unusable_service_refuses_the_requests_of_its_routes_alone() {
    let mut config = config(1);
    let other = Service::new("other");
    let mut unusable = config.services.values().next().unwrap().clone();
    unusable.cold_per_s = f64::INFINITY;
    config.services.insert(other.clone(), unusable);
    let mut to_other = route("o", "quotes.example", "/other/");
    to_other.backends[0].service = other.clone();
    config.routes.push(to_other);
    let served = config.routes[0].clone();
    let usable = config.without_unusable(Vec::new());
    assert_eq!(usable.routes[0], served);
    assert!(usable.routes[1].backends.is_empty());
    assert!(!usable.services.contains_key(&other));
    let effects: Vec<_> = usable.gaps.problems().iter().map(|p| p.effect).collect();
    let expected = [ProblemEffect::ServiceLeftOut, ProblemEffect::RouteRefused];
    assert_eq!(effects, expected);
}

#[test]
fn a_key_that_two_workspaces_hold_opens_neither_and_their_other_keys_stay() {
    let mut config = config(1);
    for name in ["alpha", "beta"] {
        let keys = [KeyDigest::of(b"shared"), KeyDigest::of(name.as_bytes())];
        let workspace = WorkspaceConfig {
            keys: keys.into(),
            ..WorkspaceConfig::default()
        };
        config.workspaces.insert(Workspace::new(name), workspace);
    }
    let usable = config.without_unusable(Vec::new());
    assert!(usable.gaps.lacks_workspaces());
    let table = KeyTable::new(&usable);
    assert!(table.find(b"shared").is_none());
    for name in ["alpha", "beta"] {
        let found = table.find(name.as_bytes()).unwrap();
        assert_eq!(found.name, Workspace::new(name));
    }
}

/// If no workspace can be read, requests must not pass without a key.
#[test]
fn requests_need_a_key_while_all_workspaces_are_left_out() {
    let mut config = config(1);
    let unusable = WorkspaceConfig {
        quota: Some(QuotaLimit {
            rate_per_s: -1.0,
            burst: 0.0,
        }),
        ..WorkspaceConfig::default()
    };
    config.workspaces.insert(Workspace::new("alpha"), unusable);
    let usable = config.without_unusable(Vec::new());
    assert!(usable.workspaces.is_empty());
    assert!(KeyTable::new(&usable).has_workspaces());
}

proptest! {
    /// Every run of picks follows the weights to within one request per service.
    #[test]
    fn a_division_follows_its_weights(
        weights in proptest::collection::vec(1_u32..100, 2..5),
        start in 0.0_f64..1.0,
        picks in 1_usize..400,
    ) {
        let backends: Vec<Backend> = weights
            .iter()
            .enumerate()
            .map(|(index, weight)| Backend {
                service: Service::new(format!("s{index}")),
                weight: f64::from(*weight),
            })
            .collect();
        let mut split = WeightedSplit::new(&backends, start);
        let mut counts = vec![0_u32; backends.len()];
        for _ in 0..picks {
            let picked = split.pick().unwrap();
            let index = backends.iter().position(|b| b.service == picked).unwrap();
            counts[index] += 1;
        }
        let total: f64 = backends.iter().map(|b| b.weight).sum();
        for (backend, count) in backends.iter().zip(&counts) {
            let wanted = backend.weight / total * picks as f64;
            let off = (f64::from(*count) - wanted).abs();
            prop_assert!(off <= backends.len() as f64, "{counts:?} of {weights:?}");
        }
    }
}
