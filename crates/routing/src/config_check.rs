//! Leaves the unusable parts of a configuration out.

use crate::config::{ClientLimits, ConfigError, MAX_TIME_S, Route, ServiceConfig, SteeringConfig};
use crate::config_gaps::{ConfigGaps, ProblemEffect};
use crate::workspace::{KeyDigest, WorkspaceConfig};
use brasswinch_types::{Service, Workspace};
use std::collections::{BTreeMap, HashMap};

/// Largest weight of a back end.
const MAX_WEIGHT: f64 = 1e12;

/// Highest rate of a service or a workspace, in requests per second, and largest burst.
const MAX_RATE_PER_S: f64 = 1e9;

impl SteeringConfig {
    /// Returns the usable part of the configuration, and records the rest in its gaps. `refused`
    /// are routes of which no more than host and prefix is known.
    ///
    /// A route whose host and prefix are known stays, without back ends: its requests must not
    /// match a shorter prefix instead.
    pub fn without_unusable(mut self, refused: Vec<Route>) -> Self {
        let gaps = &mut self.gaps;
        self.services
            .retain(|name, service| is_usable_service(name, service, gaps));
        self.workspaces
            .retain(|name, workspace| is_usable_workspace(name, workspace, gaps));
        remove_shared_keys(&mut self.workspaces, gaps);
        if let Err(error) = check_limits(&self.limits) {
            gaps.add("limits", &error, ProblemEffect::DefaultLimits);
            self.limits = ClientLimits::default();
        }
        self.routes.retain(|route| has_usable_place(route, gaps));
        for route in &mut self.routes {
            if let Err(error) = check_route(route, &self.services) {
                let entry = format!("route {}", route.name);
                gaps.add(&entry, &error, ProblemEffect::RouteRefused);
                route.backends.clear();
            }
        }
        let refused = refused.into_iter();
        self.routes
            .extend(refused.filter(|route| has_usable_place(route, gaps)));
        refuse_shared_places(&mut self.routes, gaps);
        self
    }
}

fn is_usable_service(name: &Service, service: &ServiceConfig, gaps: &mut ConfigGaps) -> bool {
    let Err(error) = check_service(name, service) else {
        return true;
    };
    let entry = format!("service {name}");
    gaps.add(&entry, &error, ProblemEffect::ServiceLeftOut);
    false
}

fn check_service(name: &Service, service: &ServiceConfig) -> Result<(), ConfigError> {
    let owner = name.as_str();
    check_number(owner, "cold rate", service.cold_per_s, MAX_RATE_PER_S)?;
    check_number(owner, "cold period", service.cold_period_s, MAX_TIME_S)
}

fn is_usable_workspace(
    name: &Workspace,
    workspace: &WorkspaceConfig,
    gaps: &mut ConfigGaps,
) -> bool {
    let Err(error) = check_workspace(name, workspace) else {
        return true;
    };
    let entry = format!("workspace {name}");
    gaps.add(&entry, &error, ProblemEffect::WorkspaceLeftOut);
    false
}

fn check_workspace(name: &Workspace, workspace: &WorkspaceConfig) -> Result<(), ConfigError> {
    let is_visible = name.as_str().bytes().all(|byte| byte.is_ascii_graphic());
    if name.as_str().is_empty() || !is_visible {
        return Err(ConfigError::InvalidWorkspaceName(name.clone()));
    }
    if let Some(quota) = workspace.quota {
        check_number(name.as_str(), "rate", quota.rate_per_s, MAX_RATE_PER_S)?;
        check_number(name.as_str(), "burst", quota.burst, MAX_RATE_PER_S)?;
    }
    Ok(())
}

/// Removes the keys that two workspaces hold: one workspace could act as the other.
fn remove_shared_keys(
    workspaces: &mut BTreeMap<Workspace, WorkspaceConfig>,
    gaps: &mut ConfigGaps,
) {
    let mut holders: HashMap<KeyDigest, &Workspace> = HashMap::new();
    let mut shared: Vec<KeyDigest> = Vec::new();
    for (name, workspace) in workspaces.iter() {
        for key in &workspace.keys {
            let Some(first) = holders.insert(*key, name) else {
                continue;
            };
            let error = ConfigError::DuplicateKey {
                first: first.clone(),
                second: name.clone(),
            };
            let entry = format!("workspace {name}");
            gaps.add(&entry, &error, ProblemEffect::WorkspaceLeftOut);
            shared.push(*key);
        }
    }
    for workspace in workspaces.values_mut() {
        workspace.keys.retain(|key| !shared.contains(key));
    }
}

fn has_usable_place(route: &Route, gaps: &mut ConfigGaps) -> bool {
    let prefix = &route.path_prefix;
    let error = if route.host.is_empty() {
        ConfigError::NoHost(route.name.clone())
    } else if !prefix.starts_with('/') || !prefix.ends_with('/') {
        ConfigError::BadPrefix {
            route: route.name.clone(),
            prefix: prefix.clone(),
        }
    } else {
        return true;
    };
    let entry = format!("route {}", route.name);
    gaps.add(&entry, &error, ProblemEffect::RouteLeftOut);
    false
}

/// Refuses the requests of routes with the same host and prefix, as it is unknown which is meant.
fn refuse_shared_places(routes: &mut Vec<Route>, gaps: &mut ConfigGaps) {
    let mut first_at: HashMap<(String, String), usize> = HashMap::new();
    let mut kept: Vec<Route> = Vec::with_capacity(routes.len());
    for route in routes.drain(..) {
        let place = (route.host.clone(), route.path_prefix.clone());
        let Some(index) = first_at.get(&place).copied() else {
            first_at.insert(place, kept.len());
            kept.push(route);
            continue;
        };
        let error = ConfigError::DuplicateRoute {
            first: kept[index].name.clone(),
            second: route.name.clone(),
        };
        let entry = format!("route {}", route.name);
        gaps.add(&entry, &error, ProblemEffect::RouteRefused);
        kept[index].backends.clear();
    }
    *routes = kept;
}

fn check_route(
    route: &Route,
    services: &BTreeMap<Service, ServiceConfig>,
) -> Result<(), ConfigError> {
    for backend in &route.backends {
        if !services.contains_key(&backend.service) {
            return Err(ConfigError::UnknownService {
                route: route.name.clone(),
                service: backend.service.clone(),
            });
        }
        check_number(&route.name, "weight", backend.weight, MAX_WEIGHT)?;
    }
    if !route.backends.iter().any(|backend| backend.weight > 0.0) {
        return Err(ConfigError::NoBackend(route.name.clone()));
    }
    let timeout_s = route.timeout_s.unwrap_or(0.0);
    check_number(&route.name, "time-out", timeout_s, MAX_TIME_S)
}

fn check_limits(limits: &ClientLimits) -> Result<(), ConfigError> {
    check_number("limits", "head time", limits.header_timeout_s, MAX_TIME_S)?;
    check_number("limits", "idle time", limits.idle_timeout_s, MAX_TIME_S)
}

fn check_number(
    owner: &str,
    field: &'static str,
    value: f64,
    max_value: f64,
) -> Result<(), ConfigError> {
    if (0.0..=max_value).contains(&value) {
        return Ok(());
    }
    Err(ConfigError::InvalidNumber {
        owner: owner.to_owned(),
        field,
        value,
    })
}
