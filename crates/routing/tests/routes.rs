//! Routes, splits among services, and configuration errors.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_routing::{Backend, ConfigError, RouteTable, WeightedSplit};
use brasswinch_types::Service;
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

#[test]
fn each_unusable_configuration_is_rejected_with_its_reason() {
    assert_eq!(config(1).check(), Ok(()));
    let broken = |change: fn(&mut brasswinch_routing::SteeringConfig)| {
        let mut config = config(1);
        change(&mut config);
        config.check().unwrap_err()
    };
    assert!(matches!(
        broken(|config| config.routes[0].host.clear()),
        ConfigError::NoHost(_)
    ));
    assert!(matches!(
        broken(|config| config.routes[0].path_prefix = "/x".into()),
        ConfigError::BadPrefix { .. }
    ));
    assert!(matches!(
        broken(|config| config.services.clear()),
        ConfigError::UnknownService { .. }
    ));
    assert!(matches!(
        broken(|config| config.routes[0].backends[0].weight = 0.0),
        ConfigError::NoBackend(_)
    ));
    assert!(matches!(
        broken(|config| {
            let twin = config.routes[0].clone();
            config.routes.push(twin);
        }),
        ConfigError::DuplicateRoute { .. }
    ));
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
