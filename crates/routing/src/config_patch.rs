//! What one version of the configuration changes against another, so that boxes tell each
//! other a change and not thousands of routes that stayed as they were.

use crate::config::{ClientLimits, ConfigVersion, Route, ServiceConfig, SteeringConfig};
use brasswinch_types::Service;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

/// Patches that are kept for boxes that are behind. A storm of changes brings one each
/// third of a second, and a box is seconds behind at most; who lacks more gets it whole.
const KEPT_PATCHES: usize = 32;

/// Which requests a route takes. No two routes of a configuration have the same place.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RoutePlace {
    /// The host, in lower case.
    pub host: String,
    /// The prefix of the path.
    pub path_prefix: String,
}

impl RoutePlace {
    fn of(route: &Route) -> Self {
        Self {
            host: route.host.clone(),
            path_prefix: route.path_prefix.clone(),
        }
    }
}

/// Makes one version of a configuration of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigPatch {
    /// The version that it changes.
    pub base: ConfigVersion,
    /// The version that it makes.
    pub version: ConfigVersion,
    /// Routes that are new or say something else than those in their place.
    pub changed_routes: Vec<Route>,
    /// Places whose routes are gone.
    pub removed_routes: BTreeSet<RoutePlace>,
    /// Services that are new or say something else.
    pub changed_services: BTreeMap<Service, ServiceConfig>,
    /// Services that are gone.
    pub removed_services: BTreeSet<Service>,
    /// The limits, whether they changed or not.
    pub limits: ClientLimits,
}

impl ConfigPatch {
    /// What makes `newer` of `base`.
    pub fn between(base: &SteeringConfig, newer: &SteeringConfig) -> Self {
        let held = by_place(&base.routes);
        let wanted = by_place(&newer.routes);
        let is_changed = |route: &&Route| held.get(&place(route)) != Some(route);
        let is_removed = |route: &&Route| !wanted.contains_key(&place(route));
        let services = newer.services.iter();
        let changed_services = services.filter(|(name, new)| base.services.get(*name) != Some(new));
        let is_gone = |name: &&Service| !newer.services.contains_key(*name);
        Self {
            base: base.version,
            version: newer.version,
            changed_routes: newer.routes.iter().filter(is_changed).cloned().collect(),
            removed_routes: base
                .routes
                .iter()
                .filter(is_removed)
                .map(RoutePlace::of)
                .collect(),
            changed_services: changed_services
                .map(|(name, new)| (name.clone(), new.clone()))
                .collect(),
            removed_services: base.services.keys().filter(is_gone).cloned().collect(),
            limits: newer.limits,
        }
    }

    /// The version that it makes of `base`, which has to be the one it was made for.
    /// Routes that were added come last.
    pub fn apply(&self, base: &SteeringConfig) -> SteeringConfig {
        let removed: HashSet<(&str, &str)> = self.removed_routes.iter().map(as_place).collect();
        let mut changed = by_place(&self.changed_routes);
        let mut routes = Vec::with_capacity(base.routes.len() + self.changed_routes.len());
        for route in &base.routes {
            if removed.contains(&place(route)) {
                continue;
            }
            let newer = changed.remove(&place(route));
            routes.push(newer.unwrap_or(route).clone());
        }
        let is_added = |route: &&Route| changed.contains_key(&place(route));
        routes.extend(self.changed_routes.iter().filter(is_added).cloned());
        let mut services = base.services.clone();
        services.retain(|name, _| !self.removed_services.contains(name));
        services.extend(self.changed_services.clone());
        SteeringConfig {
            version: self.version,
            routes,
            services,
            limits: self.limits,
        }
    }

    /// Routes that it names.
    fn routes(&self) -> usize {
        self.changed_routes.len() + self.removed_routes.len()
    }
}

/// A route's host and prefix, without copies.
fn place(route: &Route) -> (&str, &str) {
    (&route.host, &route.path_prefix)
}

fn as_place(place: &RoutePlace) -> (&str, &str) {
    (&place.host, &place.path_prefix)
}

fn by_place(routes: &[Route]) -> HashMap<(&str, &str), &Route> {
    routes.iter().map(|route| (place(route), route)).collect()
}

/// The last patches, each for the version that the one before makes.
#[derive(Clone, Debug, Default)]
pub(crate) struct PatchHistory {
    patches: VecDeque<Arc<ConfigPatch>>,
}

impl PatchHistory {
    /// Adds the patch that made the version in force.
    pub(crate) fn push(&mut self, patch: Arc<ConfigPatch>) {
        let follows = self
            .patches
            .back()
            .is_none_or(|last| last.version == patch.base);
        if !follows {
            self.patches.clear();
        }
        self.patches.push_back(patch);
        if self.patches.len() > KEPT_PATCHES {
            self.patches.pop_front();
        }
    }

    /// The patches that make `current` of version `base`; `None` if they are no longer
    /// kept, or name more routes than there are.
    pub(crate) fn since(
        &self,
        base: ConfigVersion,
        current: &SteeringConfig,
    ) -> Option<Vec<Arc<ConfigPatch>>> {
        if base >= current.version {
            return Some(Vec::new());
        }
        let first = self.patches.iter().position(|patch| patch.base == base)?;
        let patches: Vec<_> = self.patches.iter().skip(first).cloned().collect();
        let named: usize = patches.iter().map(|patch| patch.routes()).sum();
        (named <= current.routes.len()).then_some(patches)
    }
}
