//! Finds the route of a request: its host, then the longest prefix of its path.

use crate::config::{Route, SteeringConfig};
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// The routes of one configuration, ready for look-up.
#[derive(Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<String, HostRoutes>,
}

/// The routes of one host. There may be thousands, of which a look-up touches one for
/// each length that prefixes have.
#[derive(Debug, Default)]
struct HostRoutes {
    by_prefix: HashMap<String, Arc<Route>>,
    /// Lengths of the prefixes, in bytes, longest first.
    lengths: BTreeSet<Reverse<usize>>,
}

impl RouteTable {
    /// Sorts the routes of `config`.
    pub fn new(config: &SteeringConfig) -> Self {
        let mut table = Self::default();
        for route in &config.routes {
            let host = table.hosts.entry(route.host.clone()).or_default();
            host.add(route);
        }
        table
    }

    /// The route of a request. A port in `host` doesn't matter, nor does its case.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.find(path)
    }
}

impl HostRoutes {
    fn add(&mut self, route: &Route) {
        let prefix = route.path_prefix.clone();
        self.lengths.insert(Reverse(prefix.len()));
        self.by_prefix.insert(prefix, Arc::new(route.clone()));
    }

    fn find(&self, path: &str) -> Option<&Arc<Route>> {
        self.lengths
            .iter()
            .filter_map(|Reverse(length)| path.get(..*length))
            .find_map(|start| self.by_prefix.get(start))
    }
}
