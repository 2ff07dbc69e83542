//! Finds the route of a request by host and longest path prefix.

use crate::config::{Route, SteeringConfig};
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// The routes of one configuration, indexed for look-up.
#[derive(Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<String, HostRoutes>,
}

/// The routes of one host. There may be thousands; a look-up checks one for each distinct prefix
/// length.
#[derive(Debug, Default)]
struct HostRoutes {
    by_prefix: HashMap<String, Arc<Route>>,
    /// Lengths of the prefixes, in bytes, longest first.
    lengths: BTreeSet<Reverse<usize>>,
}

impl RouteTable {
    /// Indexes the routes of `config`.
    pub fn new(config: &SteeringConfig) -> Self {
        let mut table = Self::default();
        for route in &config.routes {
            let host = table.hosts.entry(route.host.clone()).or_default();
            host.add(route);
        }
        table
    }

    /// Returns the route of a request, ignoring the port and the case of `host`.
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
            .find_map(|prefix| self.by_prefix.get(prefix))
    }
}
