//! Starts a daemon: listeners, the control thread, the traffic threads.

use crate::admin;
use crate::clock::Clock;
use crate::context::{Context, Snapshot, WorkspaceRuntime};
use crate::control::{self, Command, ControlInputs};
use crate::gate::{Gate, GateSettings};
use crate::service::{ServiceRuntime, Upstream};
use crate::traffic::{self, Claims, ConnectionPool};
use arc_swap::{ArcSwap, ArcSwapOption};
use brasswinch_decide::blocks::BlockTable;
use brasswinch_decide::members::BoxState;
use brasswinch_decide::ticket_ledger::TicketLedger;
use brasswinch_observe::{Event, LatencyTable, Metrics, emit};
use brasswinch_settings::{ServiceSettings, Settings};
use brasswinch_store::Store;
use brasswinch_types::{
    BoxId, Incarnation, Region, ServiceKey, TicketKey, UpstreamId, Workspace, Zone,
};
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, watch};

/// Boxes of the largest zone that is designed for.
const MOST_BOXES_IN_ZONE: u32 = 40;

/// Why a daemon did not start.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// An address could not be listened on.
    #[error("can't listen on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// A thread or runtime could not be made.
    #[error("can't start a thread: {0}")]
    Thread(#[from] std::io::Error),
}

/// Where a daemon listens and what it tells others.
#[derive(Clone, Copy, Debug)]
pub struct ListenAddresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For other boxes.
    pub peer: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// The errors returned to callers.
    pub advertised_caller: SocketAddr,
    /// The state sent to other boxes.
    pub advertised_peer: SocketAddr,
}

impl fmt::Display for ListenAddresses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "callers={} peers={} admin={}",
            self.caller, self.peer, self.admin
        )
    }
}

/// A running daemon.
pub struct DaemonHandle {
    addresses: ListenAddresses,
    commands: mpsc::UnboundedSender<Command>,
    control: JoinHandle<()>,
    traffic: JoinHandle<()>,
}

impl DaemonHandle {
    /// Where it listens.
    pub fn addresses(&self) -> ListenAddresses {
        self.addresses
    }

    /// Stops it gracefully: it accepts no new requests and finishes those in progress.
    pub fn stop(&self) {
        let _ = self.commands.send(Command::Stop);
    }

    /// Stops it gracefully on SIGTERM or SIGINT.
    pub fn stop_on_signal(&self) {
        let commands = self.commands.clone();
        std::thread::spawn(move || {
            let Ok(runtime) = Builder::new_current_thread().enable_all().build() else {
                return;
            };
            runtime.block_on(async {
                wait_for_signal().await;
                let _ = commands.send(Command::Stop);
            });
        });
    }

    /// Waits until it has stopped.
    pub fn wait(self) {
        let _ = self.control.join();
        let _ = self.traffic.join();
        emit(Event::Stopped, format_args!("{}", self.addresses.caller));
    }
}

async fn wait_for_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Starts a daemon with checked settings.
pub fn start(settings: Settings) -> Result<DaemonHandle, DaemonError> {
    let control_runtime = Builder::new_current_thread().enable_all().build()?;
    let traffic_runtime = traffic_runtime(settings.this_box.traffic_threads)?;
    let this_box = settings.this_box.clone();
    let caller_listener = bind(&traffic_runtime, this_box.caller_address)?;
    let peer_listener = bind(&control_runtime, this_box.peer_address)?;
    let admin_listener = bind(&control_runtime, this_box.admin_address)?;
    let caller = caller_listener.local_addr()?;
    let peer = peer_listener.local_addr()?;
    let addresses = ListenAddresses {
        caller,
        peer,
        admin: admin_listener.local_addr()?,
        advertised_caller: this_box.advertised_caller_address.parse().unwrap_or(caller),
        advertised_peer: this_box.advertised_peer_address.parse().unwrap_or(peer),
    };
    let (commands, command_inbox) = mpsc::unbounded_channel();
    let context = Arc::new(new_context(settings, commands.clone()));
    emit(Event::Started, format_args!("{addresses}"));

    let timeout = Duration::from_millis(this_box.platform.call_timeout_ms);
    let local = Some(this_box.peer_address.ip());
    // Each thread has a client of its own, whose connections live on its runtime.
    let new_store = || Store::new(this_box.platform.store_address, local, timeout);
    let (traffic_stop, traffic_stopped) = watch::channel(false);
    let inputs = ControlInputs {
        context: Arc::clone(&context),
        peer_listener,
        addresses,
        commands: command_inbox,
        store: new_store(),
        traffic_stop,
    };
    let admin_context = Arc::clone(&context);
    let admin_store = new_store();
    let control = std::thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            control_runtime.block_on(async {
                tokio::spawn(admin::serve(admin_context, admin_store, admin_listener));
                control::run(inputs).await;
            });
        })?;
    let claims = Arc::new(Claims::new(new_store()));
    let traffic = std::thread::Builder::new()
        .name("traffic".into())
        .spawn(move || {
            let serving = traffic::serve(context, claims, caller_listener, traffic_stopped);
            traffic_runtime.block_on(serving);
        })?;
    Ok(DaemonHandle {
        addresses,
        commands,
        control,
        traffic,
    })
}

fn traffic_runtime(threads: usize) -> std::io::Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    if threads > 0 {
        builder.worker_threads(threads);
    }
    builder.thread_name("traffic").enable_all().build()
}

fn bind(runtime: &Runtime, address: SocketAddr) -> Result<TcpListener, DaemonError> {
    let _entered = runtime.enter();
    let bound = std::net::TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener)
    });
    bound.map_err(|source| {
        emit(Event::BindFailed, format_args!("{address}: {source}"));
        DaemonError::Bind { address, source }
    })
}

pub(crate) fn new_context(settings: Settings, commands: mpsc::UnboundedSender<Command>) -> Context {
    let clock = Clock::default();
    let incarnation = clock.new_incarnation();
    let id = BoxId::new(&settings.this_box.id);
    let zone = Zone::new(&settings.this_box.zone);
    let deployment = &settings.deployment;
    let zones = deployment.zones();
    let regions: Vec<Region> = deployment
        .regions
        .iter()
        .map(|region| Region::new(&region.name))
        .collect();
    let region = deployment.region_of(&zone).unwrap_or(Region::new(""));
    let maker = ServiceMaker {
        settings: &settings,
        clock,
        incarnation,
        zones: &zones,
        regions: regions.len(),
        commands: &commands,
    };
    let services = maker.all();
    Context {
        clock,
        incarnation,
        blocks: block_table(&settings),
        snapshot: ArcSwap::from_pointee(Snapshot {
            state: BoxState::Starting,
            candidates: BTreeMap::new(),
        }),
        services_by_tag: services
            .values()
            .map(|service| (service.tag, Arc::clone(service)))
            .collect(),
        services,
        callers: callers(&settings),
        operators: operators(&settings),
        ticket_key: TicketKey::new(deployment.ticket_secret.as_bytes()),
        ledger: Mutex::new(TicketLedger::new(id.clone(), incarnation)),
        latency: LatencyTable::default(),
        metrics: metrics(&settings),
        in_flight: AtomicUsize::new(0),
        commands: commands.clone(),
        id,
        zone,
        region,
        zones,
        regions,
        settings,
    }
}

fn block_table(settings: &Settings) -> BlockTable {
    let mut blocks = BlockTable::default();
    let filled = settings.deployment.for_each_block(|block, zone| {
        blocks.insert(block, zone);
    });
    if let Err(error) = filled {
        // The file was right when the settings were checked.
        emit(Event::BlocksUnread, format_args!("{error}"));
    }
    blocks
}

fn callers(settings: &Settings) -> HashMap<String, Arc<WorkspaceRuntime>> {
    let runtime = |name: &str| {
        Arc::new(WorkspaceRuntime {
            name: Workspace::new(name),
            requests: AtomicUsize::new(0),
        })
    };
    let workspaces = settings.deployment.workspaces.iter();
    workspaces
        .map(|workspace| (workspace.caller_token.clone(), runtime(&workspace.name)))
        .collect()
}

fn operators(settings: &Settings) -> HashMap<String, Workspace> {
    let workspaces = settings.deployment.workspaces.iter();
    workspaces
        .map(|workspace| {
            (
                workspace.operator_token.clone(),
                Workspace::new(&workspace.name),
            )
        })
        .collect()
}

fn metrics(settings: &Settings) -> Metrics {
    let Ok(address) = settings.this_box.metrics_address.parse() else {
        return Metrics::disabled();
    };
    Metrics::to_address(address).unwrap_or_else(|error| {
        emit(Event::MetricsFailed, format_args!("{error}"));
        Metrics::disabled()
    })
}

/// Idle connections that one box keeps to an upstream, so that all boxes of the
/// largest zone together stay under the upstream's limit.
fn most_idle(service: &ServiceSettings) -> usize {
    let spare = service.connections.saturating_sub(service.slots);
    (spare / MOST_BOXES_IN_ZONE).clamp(1, service.slots) as usize
}

/// Makes the runtimes of all services.
struct ServiceMaker<'a> {
    settings: &'a Settings,
    clock: Clock,
    incarnation: Incarnation,
    zones: &'a [Zone],
    regions: usize,
    commands: &'a mpsc::UnboundedSender<Command>,
}

impl ServiceMaker<'_> {
    fn all(&self) -> HashMap<ServiceKey, Arc<ServiceRuntime>> {
        let mut services = HashMap::new();
        for workspace in &self.settings.deployment.workspaces {
            for service in &workspace.services {
                let key = ServiceKey::new(workspace.name.as_str(), service.name.as_str());
                services.insert(key.clone(), Arc::new(self.one(key, service)));
            }
        }
        services
    }

    fn one(&self, key: ServiceKey, service: &ServiceSettings) -> ServiceRuntime {
        let this_box = &self.settings.this_box;
        let most_idle = most_idle(service);
        let upstreams: Vec<Upstream> = service
            .upstreams
            .iter()
            .filter(|upstream| upstream.zone == this_box.zone)
            .map(|upstream| Upstream {
                id: UpstreamId::new(&upstream.id),
                address: upstream.address,
                connections: ConnectionPool::new(most_idle),
            })
            .collect();
        let slots_in = |zone: &Zone| {
            let there = service.upstreams.iter().filter(|u| u.zone == zone.as_str());
            there.count() as u32 * service.slots
        };
        let gate = Gate::new(
            GateSettings {
                me: BoxId::new(&this_box.id),
                first_loan: self.incarnation.0,
                upstreams: upstreams.len(),
                slots_per_upstream: service.slots,
                most_waiting: this_box.limits.waiting_per_service,
                queue_wait: Duration::from_millis(this_box.loans.queue_wait_ms),
            },
            self.clock,
            self.commands.clone(),
        );
        ServiceRuntime {
            tag: key.tag(),
            key,
            upstreams,
            zone_slots: self.zones.iter().map(slots_in).collect(),
            plan: ArcSwapOption::empty(),
            gate,
            zone_loads: self.zones.iter().map(|_| Default::default()).collect(),
            steering: (0..self.regions).map(|_| Mutex::new(None)).collect(),
        }
    }
}
