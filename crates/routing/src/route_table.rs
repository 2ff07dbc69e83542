//! Finds the route of a request: its host, then the longest prefix of its path.

use crate::config::{Route, SteeringConfig};
use std::collections::HashMap;
use std::sync::Arc;

/// The routes of one configuration, ready for look-up.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// By host; by prefix, longest first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Sorts the routes of `config`.
    pub fn new(config: &SteeringConfig) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &config.routes {
            let host = hosts.entry(route.host.clone()).or_default();
            host.push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { hosts }
    }

    /// The route of a request. A port in `host` doesn't matter, nor does its case.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }
}
