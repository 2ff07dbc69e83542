//! State that all parts of a box share.

use crate::advice::AdviceRequests;
use crate::budgets::Budgets;
use crate::clock::Clock;
use crate::connection_closes::ConnectionCloses;
use crate::connection_usage::ConnectionUsage;
use crate::connections::ConnectionPool;
use crate::dialect::Dialect;
use crate::fleet_size::KnownFleetSize;
use crate::health::HealthProbes;
use crate::members_transfer::MembersTransfer;
use crate::metrics::Metrics;
use crate::peer_traffic::PeerTraffic;
use crate::quarantine::QuarantineTasks;
use crate::quotas::QuotaTasks;
use crate::settings::EdgeSettings;
use crate::shutdown::Shutdown;
use crate::store_calls::StoreCalls;
use crate::store_era::KnownEra;
use crate::store_watch::StoreWatch;
use crate::tunnel::{CarriedTunnels, TunnelPeers};
use crate::upstream_limits::UpstreamLimitTasks;
use crate::upstream_path::UpstreamPathTasks;
use crate::view_reports::ViewReports;
use arc_swap::ArcSwapOption;
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{
    Backend, DemandSample, FleetState, KeyTable, MemberState, Placement, PlacementSettings,
    RouteTable, Scope, SteeringConfig, StoreDuty, Swim, ViewLimits, WeightedSplit,
};
use brasswinch_types::{Millis, Service, UpstreamId};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};

/// Assumed boxes per zone where budgets are shared and the fleet size is not known yet.
const MIN_BOXES_PER_ZONE: usize = 2;

/// Added to an upstream's heartbeat interval while a notice of its cold start is pending.
const ENTRY_LAG_MS: Millis = 1_500;

/// Fraction of the drain time, during which a leaving upstream may still get requests, for
/// which an upstream whose store entry was lost stays in use. The remaining 0.5 s of 2 s
/// covers the transit of a request, at most 0.39 s.
const RETAINED_FRACTION: f64 = 0.75;

/// Minimum boxes in a region for advice on upstreams' load to be requested from coordinators.
/// With fewer, each box sees a good share of an upstream's requests itself, and the state that
/// a coordinator loses in a restart outweighs what it adds: with 3 to 4 boxes per region,
/// requesting advice lowered the worth of all answers by 0.018 ± 0.011 (12 paired days).
const MIN_COORDINATORS: usize = 8;

/// All scopes of the store that a box follows.
pub(crate) const SCOPES: [Scope; 2] = [Scope::Operator, Scope::Upstreams];

/// Maximum upstreams listed in a log line.
const MAX_LISTED_UPSTREAMS: usize = 8;

/// The active configuration with its look-up tables for routes and keys.
pub(crate) struct ActiveConfig {
    pub(crate) config: Arc<SteeringConfig>,
    pub(crate) routes: RouteTable,
    pub(crate) keys: KeyTable,
}

/// Stage of the box between start and stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Lifecycle {
    /// The box lacks the state it needs to serve.
    Starting,
    /// The box serves.
    Serving,
    /// The box was asked to stop: it still serves, but new clients should go elsewhere.
    Leaving,
    /// The box accepts no new connections.
    Closed,
}

/// Wakes the catch-up task of each scope after a message from another box.
#[derive(Default)]
pub(crate) struct PeerUpdates {
    operator: Notify,
    upstreams: Notify,
}

impl PeerUpdates {
    pub(crate) fn notify(&self) {
        self.operator.notify_one();
        self.upstreams.notify_one();
    }

    pub(crate) async fn notified(&self, scope: Scope) {
        match scope {
            Scope::Operator => self.operator.notified().await,
            Scope::Upstreams => self.upstreams.notified().await,
        }
    }
}

/// Shared by all parts of one box.
pub struct Context {
    pub(crate) settings: EdgeSettings,
    pub(crate) dialect: Dialect,
    pub(crate) clock: Clock,
    pub(crate) in_force: ArcSwapOption<ActiveConfig>,
    pub(crate) pool: Arc<ConnectionPool>,
    /// Open connections and the bytes that they carry.
    pub(crate) connection_usage: Arc<ConnectionUsage>,
    /// The planned stop.
    pub(crate) shutdown: Shutdown,
    /// How clients' connections are closed.
    pub(crate) connection_closes: ConnectionCloses,
    pub(crate) metrics: Metrics,
    pub(crate) store_calls: StoreCalls,
    /// Requests in progress.
    pub(crate) in_flight: AtomicUsize,
    /// Open connections of clients.
    pub(crate) open_connections: AtomicUsize,
    /// Buffered body bytes.
    pub(crate) buffered_bytes: AtomicUsize,
    /// Requests since the start.
    pub(crate) requests: AtomicU64,
    /// Wakes the catch-up tasks.
    pub(crate) peer_updates: PeerUpdates,
    /// Pending reports on this box's view of the store.
    pub(crate) view_reports: ViewReports,
    /// Age limits of the view.
    pub(crate) view_limits: ViewLimits,
    pub(crate) store_watch: StoreWatch,
    /// The store's newest era that this box has learned of.
    pub(crate) store_era: KnownEra,
    /// Requests for advice that are sent before a request is routed.
    pub(crate) advice_requests: AdviceRequests,
    /// The workspaces' quotas.
    pub(crate) quotas: QuotaTasks,
    /// Rate limits that upstreams set.
    pub(crate) upstream_limits: UpstreamLimitTasks,
    /// Whether this box reaches upstreams.
    pub(crate) upstream_path: UpstreamPathTasks,
    /// Boxes that carry tunnels for this one.
    pub(crate) tunnel_peers: TunnelPeers,
    /// Tunnels that this box carries for others.
    pub(crate) carried_tunnels: CarriedTunnels,
    /// Health probes of upstreams.
    pub(crate) health_probes: HealthProbes,
    /// Known fleet size.
    pub(crate) fleet_size: KnownFleetSize,
    /// Quarantine of requests that crash upstreams.
    pub(crate) quarantine: QuarantineTasks,
    /// Wakes the gossip task when the own member record has changed.
    pub(crate) has_updates: Notify,
    /// Messages to and from other boxes.
    pub(crate) peer_traffic: PeerTraffic,
    /// The transfer of members to this box.
    pub(crate) members_transfer: MembersTransfer,
    lifecycle: watch::Sender<Lifecycle>,
    fleet: Mutex<FleetState>,
    placement: Mutex<Placement>,
    swim: Mutex<Swim>,
    pub(crate) budgets: Budgets,
    splits: Mutex<HashMap<String, WeightedSplit>>,
}

fn log_gaps(config: &SteeringConfig) {
    let version = config.version.0;
    for problem in config.gaps.problems() {
        emit(
            Event::ConfigIncomplete,
            format_args!("version={version} {problem}"),
        );
    }
}

/// Formats the number of upstreams and the first few of them for a log line.
struct UpstreamList<'a>(&'a [UpstreamId]);

impl fmt::Display for UpstreamList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "upstreams={}", self.0.len())?;
        let mut listed = self.0.iter().take(MAX_LISTED_UPSTREAMS);
        listed.try_for_each(|id| write!(f, " {id}"))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Context {
    pub(crate) fn new(
        settings: EdgeSettings,
        dialect: Dialect,
        swim: Swim,
        socket: Arc<UdpSocket>,
    ) -> Self {
        let heartbeat_ms = (settings.bounds.upstream_heartbeat_s * 1_000.0) as Millis;
        let placement = Placement::new(PlacementSettings {
            me: settings.id.clone(),
            region: settings.region(),
            zones: settings.zones.clone(),
            max_shift: settings.bounds.max_shift,
            retain_lost_ms: (settings.bounds.drain_s * 1_000.0 * RETAINED_FRACTION) as Millis,
            after_evacuation_ms: heartbeat_ms + ENTRY_LAG_MS,
            min_coordinators: MIN_COORDINATORS,
        });
        let bounds = &settings.bounds;
        let connection_usage = Arc::new(ConnectionUsage::default());
        let shortest_s = bounds.drain_s.min(bounds.config_apply_s);
        Self {
            view_limits: ViewLimits::new(shortest_s),
            store_watch: StoreWatch::new(&settings, &swim),
            advice_requests: AdviceRequests::new(socket),
            quotas: QuotaTasks::new(settings.id.clone(), settings.bounds.quota),
            upstream_path: UpstreamPathTasks::default(),
            tunnel_peers: TunnelPeers::default(),
            carried_tunnels: CarriedTunnels::default(),
            health_probes: HealthProbes::default(),
            fleet_size: KnownFleetSize::default(),
            quarantine: QuarantineTasks::new(settings.id.clone()),
            upstream_limits: UpstreamLimitTasks::new(settings.id.clone(), settings.zones.clone()),
            store_era: KnownEra::default(),
            view_reports: ViewReports::default(),
            dialect,
            clock: settings.clock.clone(),
            in_force: ArcSwapOption::empty(),
            pool: Arc::new(ConnectionPool::new(
                settings.addresses.clients.ip(),
                settings.clock.clone(),
                Arc::clone(&connection_usage),
            )),
            connection_usage,
            shutdown: Shutdown::new(settings.bounds.grace_s),
            connection_closes: ConnectionCloses::default(),
            metrics: Metrics::default(),
            store_calls: StoreCalls::default(),
            in_flight: AtomicUsize::new(0),
            open_connections: AtomicUsize::new(0),
            buffered_bytes: AtomicUsize::new(0),
            requests: AtomicU64::new(0),
            peer_updates: PeerUpdates::default(),
            has_updates: Notify::new(),
            peer_traffic: PeerTraffic::default(),
            members_transfer: MembersTransfer::default(),
            lifecycle: watch::Sender::new(Lifecycle::Starting),
            fleet: Mutex::default(),
            placement: Mutex::new(placement),
            swim: Mutex::new(swim),
            budgets: Budgets::default(),
            splits: Mutex::default(),
            settings,
        }
    }

    pub(crate) fn fleet(&self) -> MutexGuard<'_, FleetState> {
        lock(&self.fleet)
    }

    pub(crate) fn placement(&self) -> MutexGuard<'_, Placement> {
        lock(&self.placement)
    }

    pub(crate) fn swim(&self) -> MutexGuard<'_, Swim> {
        lock(&self.swim)
    }

    pub(crate) fn lifecycle(&self) -> Lifecycle {
        *self.lifecycle.borrow()
    }

    /// Advances to a later stage; earlier stages are ignored.
    pub(crate) fn advance(&self, to: Lifecycle) {
        self.lifecycle.send_if_modified(|stage| {
            let is_later = to > *stage;
            if is_later {
                *stage = to;
            }
            is_later
        });
        let state = match self.lifecycle() {
            Lifecycle::Starting => MemberState::Starting,
            Lifecycle::Serving => MemberState::Serving,
            Lifecycle::Leaving | Lifecycle::Closed => MemberState::Leaving,
        };
        self.swim().set_state(state);
        // Quota coordinators are selected among the serving boxes.
        self.publish_members();
    }

    /// Waits until the box has reached `stage` or a later one.
    pub(crate) async fn reached(&self, stage: Lifecycle) {
        let mut changes = self.lifecycle.subscribe();
        let _ = changes.wait_for(|current| *current >= stage).await;
    }

    /// Returns whether clients may be directed to this box.
    pub fn is_ready(&self) -> bool {
        self.lifecycle() == Lifecycle::Serving
    }

    /// Activates the latest configuration and upstreams.
    pub(crate) fn publish(&self) {
        let fleet = self.fleet();
        let Some(config) = fleet.config() else {
            return;
        };
        let active = self.in_force.load();
        let is_new = active
            .as_ref()
            .is_none_or(|active| active.config.version != config.version);
        if is_new {
            emit(
                Event::ConfigInForce,
                format_args!("version={}", config.version.0),
            );
            let known_gaps = active.as_ref().map(|active| &active.config.gaps);
            if known_gaps != Some(&config.gaps) {
                log_gaps(config);
            }
            let routes = RouteTable::new(config);
            let keys = KeyTable::new(config);
            self.retain_quotas(config);
            let config = Arc::clone(config);
            self.in_force.store(Some(Arc::new(ActiveConfig {
                config,
                routes,
                keys,
            })));
        }
        let updated = self.placement().update(&fleet, config, self.clock.now());
        drop(fleet);
        self.retain_limits();
        for restarted in &updated.restarted {
            self.pool.close(restarted);
            emit(Event::UpstreamRestarted, format_args!("{restarted}"));
        }
        let retained = updated.retained;
        if !retained.is_empty() {
            emit(
                Event::EntriesKept,
                format_args!("{}", UpstreamList(&retained)),
            );
        }
    }

    /// Announces this box's newest revision of `scope` to other boxes if it has changed.
    /// `source` is where the update came from; `age_ms` is the age of the view before the
    /// update, in milliseconds.
    pub(crate) fn announce_progress(
        &self,
        scope: Scope,
        age_ms: Option<Millis>,
        source: &dyn fmt::Display,
    ) {
        let Some(newest) = self.fleet().newest(scope) else {
            return;
        };
        self.observe_store_era(newest.era(), source);
        if self.swim().set_revision(scope, newest) {
            let (revision, era) = (newest.counter(), newest.era());
            emit(
                Event::NewsLearned,
                format_args!(
                    "scope={scope:?} revision={revision} era={era} age_ms={} from={source}",
                    age_ms.map_or_else(|| "-".to_owned(), |age_ms| age_ms.to_string()),
                ),
            );
            self.has_updates.notify_one();
            if self.duty() != StoreDuty::Listen {
                self.report_to_zone();
            }
        }
    }

    /// Replaces the seed addresses of other boxes.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.swim().set_seeds(seeds);
    }

    /// Passes the known boxes and their demand to placement, quotas, limits and quarantine.
    pub(crate) fn publish_members(&self) {
        self.publish_fleet_size();
        let swim = self.swim();
        let mut demand = DemandSample::default();
        let mut ids = Vec::new();
        let mut coordinators = Vec::new();
        let region = self.settings.region();
        for record in swim.alive_boxes() {
            if let Some(region) = self.settings.zones.get(&record.zone) {
                demand.add(region, record.requests_per_s);
            }
            let is_local = self.settings.zones.get(&record.zone) == Some(&region);
            if is_local && record.state == MemberState::Serving {
                coordinators.push(record.id.clone());
            }
            ids.push(&record.id);
        }
        let mut placement = self.placement();
        placement.set_boxes(ids.into_iter(), demand.by_region());
        placement.set_fleet_size(self.fleet_size.boxes());
        placement.set_coordinators(coordinators);
        drop(placement);
        drop(swim);
        self.close_tunnels_of_leaving_boxes();
        self.set_quota_boxes();
        self.set_quarantine_boxes();
        self.set_limit_boxes();
        self.update_duty();
    }

    /// Returns the maximum number of boxes that share budgets with this one.
    pub(crate) fn sharing_boxes(&self) -> usize {
        let known = self.fleet_size.boxes();
        known.max(self.settings.zones.len() * MIN_BOXES_PER_ZONE)
    }

    /// Picks the service for the next request on a route.
    pub(crate) fn pick_service(&self, route: &str, backends: &[Backend]) -> Option<Service> {
        if let [only] = backends {
            return Some(only.service.clone());
        }
        let mut splits = lock(&self.splits);
        let split = splits
            .entry(route.to_owned())
            .and_modify(|split| {
                if !split.is_for(backends) {
                    *split = WeightedSplit::new(backends, rand::random());
                }
            })
            .or_insert_with(|| WeightedSplit::new(backends, rand::random()));
        split.pick()
    }
}
