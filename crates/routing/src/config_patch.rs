//! Differences between two versions of the configuration. Boxes send each other these instead
//! of thousands of unchanged routes and keys.

use crate::config::{ClientLimits, ConfigVersion, Route, ServiceConfig, SteeringConfig};
use crate::config_gaps::ConfigGaps;
use crate::workspace::WorkspaceConfig;
use brasswinch_types::{Service, Workspace};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Most patches kept for boxes that are behind. A burst of changes adds three per second, and
/// boxes are a few seconds behind; one that is further behind gets the whole configuration.
const MAX_KEPT_PATCHES: usize = 32;

/// Identifies a configuration by its version and content. A patch applies to one exact content,
/// and boxes may have read the same version differently.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigFingerprint {
    /// The version.
    pub version: ConfigVersion,
    /// A hash of the content, independent of the order of routes.
    pub digest: u64,
}

impl ConfigFingerprint {
    /// Returns the fingerprint of `config`.
    pub fn of(config: &SteeringConfig) -> Self {
        let routes = config.routes.iter().map(route_digest);
        let services = config.services.iter().map(service_digest);
        let workspaces = config.workspaces.iter().map(workspace_digest);
        let all = routes.chain(services).chain(workspaces);
        let all = all.fold(0, u64::wrapping_add);
        let limits = xxh3_64(format!("{:?}", config.limits).as_bytes());
        Self {
            version: config.version,
            digest: all
                .wrapping_add(limits)
                .wrapping_add(gaps_digest(&config.gaps)),
        }
    }
}

/// Gaps without problems add nothing, so that boxes of builds without gaps compute the same.
fn gaps_digest(gaps: &ConfigGaps) -> u64 {
    if gaps.is_empty() {
        return 0;
    }
    xxh3_64(format!("{gaps:?}").as_bytes())
}

fn route_digest(route: &Route) -> u64 {
    xxh3_64(format!("{route:?}").as_bytes())
}

fn service_digest(service: (&Service, &ServiceConfig)) -> u64 {
    xxh3_64(format!("{service:?}").as_bytes())
}

fn workspace_digest((name, workspace): (&Workspace, &WorkspaceConfig)) -> u64 {
    let WorkspaceConfig {
        keys,
        priority,
        quota,
        allowed_regions,
    } = workspace;
    let fields = format!("{name:?} {priority} {quota:?} {allowed_regions:?}");
    // Keys are hashed one by one, since their debug form hides the digest.
    let keys = keys.iter().map(|key| key.fold_to_u64());
    let mixed = keys.map(|key| xxh3_64(&key.to_be_bytes()));
    // The hash also covers which workspace holds a key.
    let hash = mixed.fold(xxh3_64(fields.as_bytes()), u64::wrapping_add);
    xxh3_64(&hash.to_be_bytes())
}

/// The host and path prefix of a route, which identify it within a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RouteKey {
    /// The host, in lower case.
    pub host: String,
    /// The prefix of the path.
    pub path_prefix: String,
}

impl RouteKey {
    fn of(route: &Route) -> Self {
        Self {
            host: route.host.clone(),
            path_prefix: route.path_prefix.clone(),
        }
    }
}

/// The changes that turn one version of a configuration into another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigPatch {
    /// The configuration that the patch applies to.
    pub base: ConfigFingerprint,
    /// The version of the result.
    pub version: ConfigVersion,
    /// New routes, and routes that differ from those with the same host and prefix.
    pub changed_routes: Vec<Route>,
    /// Removed routes.
    pub removed_routes: BTreeSet<RouteKey>,
    /// New or changed services.
    pub changed_services: BTreeMap<Service, ServiceConfig>,
    /// Removed services.
    pub removed_services: BTreeSet<Service>,
    /// New or changed workspaces.
    pub changed_workspaces: BTreeMap<Workspace, WorkspaceConfig>,
    /// Removed workspaces.
    pub removed_workspaces: BTreeSet<Workspace>,
    /// The client limits, changed or not.
    pub limits: ClientLimits,
    /// What could not be used of the operators' document, changed or not.
    #[serde(default, skip_serializing_if = "ConfigGaps::is_empty")]
    pub gaps: ConfigGaps,
}

impl ConfigPatch {
    /// Returns the patch that turns `base` into `newer`.
    pub fn between(base: &SteeringConfig, newer: &SteeringConfig) -> Self {
        let base_routes = by_key(&base.routes);
        let newer_routes = by_key(&newer.routes);
        let is_changed = |route: &&Route| base_routes.get(&route_key(route)) != Some(route);
        let is_removed = |route: &&Route| !newer_routes.contains_key(&route_key(route));
        Self {
            base: ConfigFingerprint::of(base),
            version: newer.version,
            changed_routes: newer.routes.iter().filter(is_changed).cloned().collect(),
            removed_routes: base
                .routes
                .iter()
                .filter(is_removed)
                .map(RouteKey::of)
                .collect(),
            changed_services: changed(&base.services, &newer.services),
            removed_services: removed(&base.services, &newer.services),
            changed_workspaces: changed(&base.workspaces, &newer.workspaces),
            removed_workspaces: removed(&base.workspaces, &newer.workspaces),
            limits: newer.limits,
            gaps: newer.gaps.clone(),
        }
    }

    /// Applies the patch to `base`, which must be the configuration that it was made for. Added
    /// routes come last.
    pub fn apply(&self, base: &SteeringConfig) -> SteeringConfig {
        let removed: HashSet<(&str, &str)> = self.removed_routes.iter().map(as_key).collect();
        let mut changed = by_key(&self.changed_routes);
        let mut routes = Vec::with_capacity(base.routes.len() + self.changed_routes.len());
        for route in &base.routes {
            if removed.contains(&route_key(route)) {
                continue;
            }
            let newer = changed.remove(&route_key(route));
            routes.push(newer.unwrap_or(route).clone());
        }
        let is_added = |route: &&Route| changed.contains_key(&route_key(route));
        routes.extend(self.changed_routes.iter().filter(is_added).cloned());
        SteeringConfig {
            version: self.version,
            routes,
            services: patched(
                &base.services,
                &self.removed_services,
                &self.changed_services,
            ),
            workspaces: patched(
                &base.workspaces,
                &self.removed_workspaces,
                &self.changed_workspaces,
            ),
            limits: self.limits,
            gaps: self.gaps.clone(),
        }
    }

    /// Returns the number of routes, services and workspaces that the patch names.
    fn len(&self) -> usize {
        let routes = self.changed_routes.len() + self.removed_routes.len();
        let services = self.changed_services.len() + self.removed_services.len();
        let workspaces = self.changed_workspaces.len() + self.removed_workspaces.len();
        routes + services + workspaces
    }
}

/// Returns the entries of `newer` that are new or changed.
fn changed<K: Ord + Clone, V: PartialEq + Clone>(
    base: &BTreeMap<K, V>,
    newer: &BTreeMap<K, V>,
) -> BTreeMap<K, V> {
    let is_changed = |(name, new): &(&K, &V)| base.get(*name) != Some(*new);
    let changed = newer.iter().filter(is_changed);
    changed
        .map(|(name, new)| (name.clone(), new.clone()))
        .collect()
}

/// Returns the names that `newer` no longer has.
fn removed<K: Ord + Clone, V>(base: &BTreeMap<K, V>, newer: &BTreeMap<K, V>) -> BTreeSet<K> {
    let is_gone = |name: &&K| !newer.contains_key(*name);
    base.keys().filter(is_gone).cloned().collect()
}

/// Returns `base` without the removed entries and with the changed ones.
fn patched<K: Ord + Clone, V: Clone>(
    base: &BTreeMap<K, V>,
    removed: &BTreeSet<K>,
    changed: &BTreeMap<K, V>,
) -> BTreeMap<K, V> {
    let mut patched = base.clone();
    patched.retain(|name, _| !removed.contains(name));
    patched.extend(changed.clone());
    patched
}

/// Returns a route's host and prefix, borrowed.
fn route_key(route: &Route) -> (&str, &str) {
    (&route.host, &route.path_prefix)
}

fn as_key(key: &RouteKey) -> (&str, &str) {
    (&key.host, &key.path_prefix)
}

fn by_key(routes: &[Route]) -> HashMap<(&str, &str), &Route> {
    routes
        .iter()
        .map(|route| (route_key(route), route))
        .collect()
}

/// The latest patches, each based on the result of the one before. Together they name at most
/// as many routes, services and workspaces as the configuration has: more would be larger than
/// the whole configuration.
#[derive(Clone, Debug, Default)]
pub(crate) struct PatchHistory {
    patches: VecDeque<Arc<ConfigPatch>>,
}

impl PatchHistory {
    /// Adds the patch that led to `current`.
    pub(crate) fn push(&mut self, patch: Arc<ConfigPatch>, current: &SteeringConfig) {
        let last = self.patches.back();
        if last.is_some_and(|last| last.version != patch.base.version) {
            self.patches.clear();
        }
        self.patches.push_back(patch);
        let max_named = current.routes.len() + current.services.len() + current.workspaces.len();
        let mut named: usize = self.patches.iter().map(|patch| patch.len()).sum();
        while named > max_named || self.patches.len() > MAX_KEPT_PATCHES {
            let Some(first) = self.patches.pop_front() else {
                break;
            };
            named -= first.len();
        }
    }

    /// Returns the patches that lead from `base` to `current`; `None` if they are no longer kept.
    pub(crate) fn since(
        &self,
        base: ConfigFingerprint,
        current: ConfigFingerprint,
    ) -> Option<Vec<Arc<ConfigPatch>>> {
        if base == current || base.version > current.version {
            return Some(Vec::new());
        }
        let first = self.patches.iter().position(|patch| patch.base == base)?;
        Some(self.patches.iter().skip(first).cloned().collect())
    }
}
