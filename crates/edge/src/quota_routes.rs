//! What became of requests of workspaces with quotas, by route, for metrics and the status.

use crate::context::Context;
use brasswinch_routing::{QuotaClass, QuotaClassStatus, QuotaStatus};
use brasswinch_types::Workspace;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// Maximum routes of workspaces with counts of their own; those with most refused requests are
/// kept.
const MAX_QUOTA_ROUTES: usize = 128;

/// Name of a route that the configuration in force no longer contains.
const UNKNOWN_ROUTE: &str = "-";

/// The requests of one route of a workspace with a quota at one box, counted since the box
/// started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRouteStatus {
    /// The workspace.
    pub workspace: Workspace,
    /// Name of the route; `-` if the configuration in force doesn't contain it.
    pub route: String,
    /// Requests that needed a grant of the coordinator.
    pub asked: u64,
    /// Requests admitted, with or without a grant.
    pub granted: u64,
    /// Requests that waited for a grant.
    pub waited: u64,
    /// Requests refused by the coordinator, or by the box's own share of the quota.
    pub refused: u64,
    /// Requests refused without asking, since the coordinator had refused one of the route.
    pub refused_locally: u64,
    /// Requests whose wait ended without a grant; also counted as refused.
    pub expired: u64,
}

impl QuotaRouteStatus {
    fn new(workspace: Workspace, route: String, counts: QuotaClassStatus) -> Self {
        Self {
            workspace,
            route,
            asked: counts.asked,
            granted: counts.granted,
            waited: counts.waited,
            refused: counts.refused,
            refused_locally: counts.refused_locally,
            expired: counts.expired,
        }
    }

    /// Returns the counts with their names in metrics.
    pub(crate) fn outcomes(&self) -> [(&'static str, u64); 6] {
        [
            ("asked", self.asked),
            ("granted", self.granted),
            ("waited", self.waited),
            ("refused", self.refused),
            ("refused_locally", self.refused_locally),
            ("expired", self.expired),
        ]
    }

    fn all_refused(&self) -> u64 {
        self.refused + self.refused_locally
    }
}

impl fmt::Display for QuotaRouteStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            workspace, route, ..
        } = self;
        write!(f, "{workspace} on {route}:")?;
        for (index, (outcome, count)) in self.outcomes().into_iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator} {count} {}", outcome.replace('_', " "))?;
        }
        Ok(())
    }
}

impl Context {
    /// Moves the counts by class out of `quotas` and returns them by route, those with most
    /// refused requests first.
    pub(crate) fn take_quota_routes(&self, quotas: &mut [QuotaStatus]) -> Vec<QuotaRouteStatus> {
        let has_classes = quotas.iter().any(|quota| !quota.classes.is_empty());
        if !has_classes {
            return Vec::new();
        }
        let names = self.route_names();
        // Classes of unknown routes share a row: equal labels may not appear twice in a scrape.
        let mut rows: BTreeMap<(Workspace, String), QuotaClassStatus> = BTreeMap::new();
        for quota in quotas {
            for counts in std::mem::take(&mut quota.classes) {
                let name = names
                    .get(&counts.class)
                    .map_or(UNKNOWN_ROUTE, String::as_str);
                let row = (quota.workspace.clone(), name.to_owned());
                rows.entry(row).or_default().add(&counts);
            }
        }
        let mut routes: Vec<QuotaRouteStatus> = rows
            .into_iter()
            .map(|((workspace, route), counts)| QuotaRouteStatus::new(workspace, route, counts))
            .collect();
        routes.sort_by_key(|route| Reverse((route.all_refused(), route.granted)));
        routes.truncate(MAX_QUOTA_ROUTES);
        routes
    }

    /// Returns the routes' names by class.
    fn route_names(&self) -> HashMap<u64, String> {
        let in_force = self.in_force.load();
        let Some(in_force) = in_force.as_ref() else {
            return HashMap::new();
        };
        let routes = in_force.config.routes.iter();
        let named = routes.map(|route| {
            let class = QuotaClass::of_route(&route.name, route.priority).class;
            (class, route.name.clone())
        });
        named.collect()
    }
}
