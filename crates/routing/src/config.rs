//! The configuration of routes, services and workspaces, which operators write as a whole.

use crate::config_gaps::ConfigGaps;
use crate::workspace::{Rank, WorkspaceConfig};
use brasswinch_types::{Region, Service, Workspace};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Longest duration in a setting, in seconds: one day. Longer ones in documents are cut to it.
pub const MAX_TIME_S: f64 = 86_400.0;

/// The version of a configuration; a higher number is newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ConfigVersion(pub u64);

/// How often the requests of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    Once,
    /// Runs at most once, and its body may be large.
    Upload,
    /// May run more than once, and its response may be large.
    Download,
    /// A kind that this build doesn't know. Runs at most once and is sent to one upstream.
    #[serde(other)]
    Unknown,
}

impl RouteKind {
    /// Returns whether a request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Repeatable | Self::Download)
    }

    /// Returns whether responses are passed on as they arrive rather than buffered whole.
    pub fn streams_responses(self) -> bool {
        self == Self::Download
    }

    /// Returns whether a request that has not run may be sent to another upstream.
    pub fn allows_retries(self) -> bool {
        self != Self::Unknown
    }
}

/// One of the services among which a route's requests are split.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// The service.
    pub service: Service,
    /// Its share of the requests, relative to the sum of all weights.
    pub weight: f64,
}

/// A route: the requests that it matches and how they are handled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The operator's name for it.
    pub name: String,
    /// The host of its requests, in lower case.
    pub host: String,
    /// The prefix of the paths that it matches; begins and ends with a slash.
    pub path_prefix: String,
    /// How often its requests may run.
    pub kind: RouteKind,
    /// Request timeout, in seconds; `None` leaves it to the client.
    pub timeout_s: Option<f64>,
    /// Target response time, in seconds.
    pub latency_goal_s: f64,
    /// Priority among the routes of a service; 0 is the highest.
    pub priority: u32,
    /// The services that its requests go to. Empty if the route can't be used: its requests are
    /// refused.
    pub backends: Vec<Backend>,
    /// Most upstreams that a request may be sent to.
    pub max_attempts: u32,
    /// Whether an upstream handles objects faster that it has handled before.
    pub sticky: bool,
    /// The regions that its requests may go to; empty allows all.
    pub allowed_regions: BTreeSet<Region>,
    /// Whether requests need no key.
    pub is_public: bool,
}

/// The operators' settings of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceConfig {
    /// Most connections that an upstream accepts from all callers together.
    pub max_connections: u32,
    /// How long an upstream stays cold after its start, in seconds.
    pub cold_period_s: f64,
    /// Requests per second that a cold upstream can handle.
    pub cold_per_s: f64,
    /// Path of the upstreams' health check; empty if they have none.
    #[serde(default)]
    pub health_path: String,
}

/// Limits on the size and duration of clients' requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Longest request head, in bytes.
    pub max_header_bytes: usize,
    /// Longest request body, in bytes.
    pub max_body_bytes: u64,
    /// Longest time to receive a request head, in seconds.
    pub header_timeout_s: f64,
    /// Longest idle time of a kept-alive connection, in seconds.
    pub idle_timeout_s: f64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 64 * 1024 * 1024,
            header_timeout_s: 5.0,
            idle_timeout_s: 30.0,
        }
    }
}

/// The whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SteeringConfig {
    /// Its version.
    pub version: ConfigVersion,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: BTreeMap<Service, ServiceConfig>,
    /// All workspaces; where there are none, requests need no key.
    pub workspaces: BTreeMap<Workspace, WorkspaceConfig>,
    /// Limits on clients.
    pub limits: ClientLimits,
    /// What could not be used of the operators' document.
    #[serde(default, skip_serializing_if = "ConfigGaps::is_empty")]
    pub gaps: ConfigGaps,
}

/// Reasons why a part of a configuration can't be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// A route has no host.
    #[error("route {0} has no host")]
    NoHost(String),
    /// A prefix doesn't begin and end with a slash.
    #[error("route {route} has the prefix {prefix:?}, which does not begin and end with a slash")]
    BadPrefix {
        /// The route.
        route: String,
        /// Its prefix.
        prefix: String,
    },
    /// A route names a service that isn't configured.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: Service,
    },
    /// A route has no service with a weight above 0.
    #[error("route {0} has no service with a weight above 0")]
    NoBackend(String),
    /// A number is negative, too large or not a number.
    #[error("{field} of {owner} is {value}, which is out of range")]
    InvalidNumber {
        /// The route, service or workspace, or `limits`.
        owner: String,
        /// The setting.
        field: &'static str,
        /// Its value.
        value: f64,
    },
    /// Two routes match the same requests.
    #[error("routes {first} and {second} have the same host and prefix")]
    DuplicateRoute {
        /// One route.
        first: String,
        /// The other.
        second: String,
    },
    /// A workspace's name is empty or has characters that a header can't carry.
    #[error("workspace name {0:?} is empty or can't be sent in a header")]
    InvalidWorkspaceName(Workspace),
    /// Two workspaces hold the same key.
    #[error("workspaces {first} and {second} hold the same key")]
    DuplicateKey {
        /// One workspace.
        first: Workspace,
        /// The other.
        second: Workspace,
    },
}

impl SteeringConfig {
    /// Returns the rank of the most urgent requests for `service`: that of the most urgent route
    /// to it and the most urgent workspace.
    pub fn most_urgent(&self, service: &Service) -> Rank {
        let has_service = |route: &&Route| {
            let mut backends = route.backends.iter();
            backends.any(|backend| &backend.service == service && backend.weight > 0.0)
        };
        let routes = self.routes.iter().filter(has_service);
        let workspaces = self.workspaces.values();
        Rank {
            workspace: workspaces
                .map(|workspace| workspace.priority)
                .min()
                .unwrap_or(0),
            route: routes.map(|route| route.priority).min().unwrap_or(0),
        }
    }
}
