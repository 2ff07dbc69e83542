//! Starts a box.

use crate::context::{Context, Lifecycle, SCOPES};
use crate::dialect::Dialect;
use crate::settings::{EdgeAddresses, EdgeSettings};
use crate::store::{BoxRegistry, FleetSizeStore, FleetStore, QuarantineStore};
use crate::{
    catch_up, fleet_size, follow, gossip, health, quarantine_store, quotas, refresh, registry,
    relay, server, shutdown,
};
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{
    KnownSize, MemberRecord, MemberState, Revision, Scope, Swim, SwimSettings,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::time::{Instant, sleep};

/// Maximum connections waiting to be accepted.
const BACKLOG: u32 = 1_024;

/// Poll interval of the start and stop stages.
pub(crate) const STAGE_POLL: Duration = Duration::from_millis(50);

/// Maximum time that a starting box waits to discover other boxes.
const MAX_DISCOVERY_WAIT: Duration = Duration::from_millis(1_500);

/// Interval between two sweeps of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum attempts to find a port that is free for both connections and datagrams, where the
/// system chooses it.
const MAX_PORT_ATTEMPTS: u32 = 16;

/// Why a box did not start.
#[derive(Debug, thiserror::Error)]
pub enum EdgeError {
    /// Binding an address failed.
    #[error("can't listen on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}

/// A running box.
pub struct EdgeHandle {
    context: Arc<Context>,
    socket: Arc<UdpSocket>,
}

/// Starts a box on the current runtime.
pub async fn start<S: FleetStore + BoxRegistry + QuarantineStore + FleetSizeStore>(
    settings: EdgeSettings,
    dialect: Dialect,
    store: S,
) -> Result<EdgeHandle, EdgeError> {
    let mut settings = settings;
    let listener = listen(settings.addresses.clients)?;
    let (relay_listener, socket) = listen_to_peers(settings.addresses.peers)?;
    let addresses = EdgeAddresses {
        clients: bound_address(&listener, settings.addresses.clients),
        peers: bound_address(&relay_listener, settings.addresses.peers),
    };
    settings.addresses = addresses;
    let swim = Swim::new(
        own_record(&settings),
        settings.seeds.clone(),
        SwimSettings::default(),
    );
    let context = Arc::new(Context::new(settings, dialect, swim, Arc::clone(&socket)));
    emit(Event::Started, format_args!("{}", addresses.clients));
    let store = Arc::new(store);
    for scope in SCOPES {
        let following = follow::follow(Arc::clone(&context), Arc::clone(&store), scope);
        tokio::spawn(following);
        let refreshing = refresh::keep_fresh(Arc::clone(&context), Arc::clone(&store), scope);
        tokio::spawn(refreshing);
        tokio::spawn(catch_up::catch_up(Arc::clone(&context), scope));
    }
    let fallback = Arc::clone(&context);
    tokio::spawn(async move { fallback.fall_back_to_store().await });
    tokio::spawn(registry::stay_registered(
        Arc::clone(&context),
        Arc::clone(&store),
    ));
    tokio::spawn(quarantine_store::confirm(
        Arc::clone(&context),
        Arc::clone(&store),
    ));
    tokio::spawn(quarantine_store::load(
        Arc::clone(&context),
        Arc::clone(&store),
    ));
    tokio::spawn(fleet_size::sync(Arc::clone(&context), Arc::clone(&store)));
    tokio::spawn(registry::discover_boxes(Arc::clone(&context), store));
    tokio::spawn(gossip::run_membership(
        Arc::clone(&context),
        Arc::clone(&socket),
    ));
    tokio::spawn(quotas::run_queue_timer(Arc::clone(&context)));
    tokio::spawn(relay::serve(Arc::clone(&context), relay_listener));
    tokio::spawn(server::serve(Arc::clone(&context), listener));
    tokio::spawn(serve_when_ready(Arc::clone(&context)));
    tokio::spawn(health::probe_while_store_silent(Arc::clone(&context)));
    tokio::spawn(sweep(Arc::clone(&context)));
    Ok(EdgeHandle { context, socket })
}

impl EdgeHandle {
    /// Returns the state that all parts of the box share.
    pub fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// Returns the addresses that the box listens on.
    pub fn addresses(&self) -> EdgeAddresses {
        self.context.settings.addresses
    }

    /// Shuts down gracefully: accepts nothing new and answers what has arrived. Returns when
    /// the process may end.
    pub async fn stop(self) {
        shutdown::stop(&self.context, &self.socket).await;
    }
}

fn own_record(settings: &EdgeSettings) -> MemberRecord {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    MemberRecord {
        id: settings.id.clone(),
        // Grows with each run, unless the clock was set back; then the first message from
        // another box corrects it.
        incarnation: since_epoch.map_or(0, |time| time.as_millis() as u64),
        zone: settings.zone.clone(),
        caller_address: settings.addresses.clients,
        peer_address: settings.addresses.peers,
        state: MemberState::Starting,
        requests_per_s: None,
        operator_revision: Revision::default(),
        upstream_revision: Revision::default(),
        reaches_store: true,
        link_mbps: settings.link_mbps,
        fleet_size: 0,
        reaches_upstreams: Some(true),
        cpu_millis: settings.cpu_millis,
        memory_mb: Some(settings.memory_mb()),
        max_connections: settings.max_connections,
        utilization: None,
    }
}

fn bind_error(address: SocketAddr, source: std::io::Error) -> EdgeError {
    emit(Event::BindFailed, format_args!("{address}: {source}"));
    EdgeError::Bind { address, source }
}

fn listen(address: SocketAddr) -> Result<TcpListener, EdgeError> {
    let open = || {
        let socket = if address.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().map_err(|source| bind_error(address, source))
}

/// Returns the bound address; the system chooses the port where the settings leave it open.
fn bound_address(listener: &TcpListener, requested: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(requested)
}

/// Listens on the same port for connections and datagrams of other boxes.
fn listen_to_peers(address: SocketAddr) -> Result<(TcpListener, Arc<UdpSocket>), EdgeError> {
    let mut last_error = None;
    for _ in 0..MAX_PORT_ATTEMPTS {
        let listener = listen(address)?;
        let port = bound_address(&listener, address);
        match bind_datagrams(port) {
            Ok(socket) => return Ok((listener, Arc::new(socket))),
            Err(source) if address.port() == 0 => last_error = Some(source),
            Err(source) => return Err(bind_error(port, source)),
        }
    }
    let source = last_error.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into());
    Err(bind_error(address, source))
}

fn bind_datagrams(address: SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

/// Maximum time that a box which knows all else waits for the fleet size.
const MAX_FLEET_SIZE_WAIT: Duration = Duration::from_millis(1_500);

/// Starts serving once configuration, upstreams and the fleet size are known and other boxes
/// were discovered, or the waits for them are over.
async fn serve_when_ready(context: Arc<Context>) {
    let began = Instant::now();
    let mut known_at = None;
    loop {
        let is_known =
            context.in_force.load().is_some() && context.fleet().newest(Scope::Upstreams).is_some();
        let has_peers = context.swim().members().next().is_some();
        if is_known && (has_peers || began.elapsed() >= MAX_DISCOVERY_WAIT) {
            let known_at = known_at.get_or_insert_with(Instant::now);
            if context.known_fleet_size() != KnownSize::Pending
                || known_at.elapsed() >= MAX_FLEET_SIZE_WAIT
            {
                break;
            }
        }
        sleep(STAGE_POLL).await;
    }
    context.advance(Lifecycle::Serving);
    emit(Event::Serving, format_args!("{}", context.settings.id));
}

async fn sweep(context: Arc<Context>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let known: std::collections::HashSet<_> = context
            .fleet()
            .upstreams()
            .map(|(record, _)| record.id.clone())
            .collect();
        context.pool.sweep(|upstream| known.contains(upstream));
    }
}
