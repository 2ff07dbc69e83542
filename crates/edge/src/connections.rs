//! Pooled connections to upstreams. Each carries one request at a time and is reused only after a
//! complete exchange, so that bytes of one response can't reach another request.

use crate::body::AnyBody;
use crate::clock::Clock;
use crate::connection_usage::{ConnectionUsage, CountedStream};
use crate::peer_silence::PeerSilence;
use crate::upstream_stream::UpstreamStream;
use arc_swap::ArcSwap;
use brasswinch_types::{BoxId, Millis, UpstreamId};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpSocket;
use tokio::task::AbortHandle;

/// Maximum bytes read from an upstream that have not been passed on. Bounds what a slow client
/// holds, and the head of a response.
const MAX_READ_BUFFER_BYTES: usize = 16 * 1024;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Maximum idle connections per upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 24;

/// Maximum idle time of a connection, unless the upstream announces less.
const MAX_IDLE_TIME: Duration = Duration::from_secs(8);

/// Maximum idle time of a tunnel, which also occupies the box that carries it.
const MAX_IDLE_TIME_OF_TUNNEL: Duration = Duration::from_secs(2);

/// Subtracted from the idle time that an upstream announces, to allow for network delay.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);

/// A connection's request sender and the task that drives it. Dropping it closes the connection.
#[derive(Debug)]
struct Transport {
    sender: SendRequest<AnyBody>,
    task: AbortHandle,
}

impl Drop for Transport {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A connection taken from the pool or newly established. Dropping it closes it.
pub(crate) struct Connection {
    transport: Transport,
    upstream: UpstreamId,
    pool: Arc<ConnectionPool>,
    idle_limit: Duration,
    epoch: u64,
    /// The box that carries it; `None` if it is direct.
    via: Option<BoxId>,
}

#[derive(Debug)]
struct Idle {
    transport: Transport,
    since: Millis,
    limit: Duration,
    via: Option<BoxId>,
}

/// Idle connections by upstream.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    idle: Mutex<HashMap<UpstreamId, Vec<Idle>>>,
    /// Incremented when all connections are closed; those established before aren't reused.
    epoch: AtomicU64,
    /// Boxes that no longer carry tunnels; connections through them aren't reused.
    former_carriers: ArcSwap<HashSet<BoxId>>,
    local: IpAddr,
    clock: Clock,
    usage: Arc<ConnectionUsage>,
}

impl ConnectionPool {
    /// Creates a pool that connects from the address `local`.
    pub(crate) fn new(local: IpAddr, clock: Clock, usage: Arc<ConnectionUsage>) -> Self {
        Self {
            idle: Mutex::default(),
            epoch: AtomicU64::new(0),
            former_carriers: ArcSwap::default(),
            local,
            clock,
            usage,
        }
    }

    /// Takes the connection that was idle for the shortest time, if at most `max_idle`.
    pub(crate) fn take(
        self: &Arc<Self>,
        upstream: &UpstreamId,
        max_idle: Duration,
    ) -> Option<Connection> {
        let mut idle = self.lock();
        let pooled = idle.get_mut(upstream)?;
        while let Some(last) = pooled.pop() {
            let idle_time = self.idle_time(&last);
            if idle_time > max_idle.min(last.limit) || !last.transport.sender.is_ready() {
                continue;
            }
            return Some(Connection {
                transport: last.transport,
                upstream: upstream.clone(),
                pool: Arc::clone(self),
                idle_limit: last.limit,
                epoch: self.epoch.load(Ordering::Relaxed),
                via: last.via,
            });
        }
        None
    }

    /// Establishes a new connection.
    pub(crate) async fn connect(
        self: &Arc<Self>,
        upstream: &UpstreamId,
        address: SocketAddr,
    ) -> std::io::Result<Connection> {
        let stream = self.open_stream(address).await?;
        self.handshake(stream, upstream, None).await
    }

    /// Uses a stream that leads to the upstream through the box `via`.
    pub(crate) async fn connect_through(
        self: &Arc<Self>,
        upstream: &UpstreamId,
        stream: impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
        via: BoxId,
    ) -> std::io::Result<Connection> {
        self.handshake(stream, upstream, Some(via)).await
    }

    async fn handshake(
        self: &Arc<Self>,
        stream: impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
        upstream: &UpstreamId,
        via: Option<BoxId>,
    ) -> std::io::Result<Connection> {
        let stream = CountedStream::new(stream, &self.usage);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let task = tokio::spawn(async move {
            // Errors are returned by the request that the connection carries.
            let _ = connection.await;
        });
        Ok(Connection {
            transport: Transport {
                sender,
                task: task.abort_handle(),
            },
            upstream: upstream.clone(),
            pool: Arc::clone(self),
            idle_limit: max_idle_time(via.as_ref()),
            epoch: self.epoch.load(Ordering::Relaxed),
            via,
        })
    }

    /// Opens a TCP connection to an upstream.
    pub(crate) async fn open_stream(&self, address: SocketAddr) -> std::io::Result<UpstreamStream> {
        tokio::time::timeout(CONNECT_TIMEOUT, self.connect_stream(address))
            .await
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))?
    }

    async fn connect_stream(&self, address: SocketAddr) -> std::io::Result<UpstreamStream> {
        let socket = if address.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        socket.bind(SocketAddr::new(self.local, 0))?;
        let silence = PeerSilence::detect(&socket)?;
        let stream = socket.connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(UpstreamStream::new(stream, silence))
    }

    /// Closes connections past their idle limit, and all connections to upstreams that are unknown.
    pub(crate) fn sweep(&self, is_known: impl Fn(&UpstreamId) -> bool) {
        let mut idle = self.lock();
        idle.retain(|upstream, pooled| {
            pooled.retain(|idle| self.idle_time(idle) < idle.limit);
            !pooled.is_empty() && is_known(upstream)
        });
    }

    /// Closes all idle connections. Those in use are closed after their exchange.
    pub(crate) fn close_all(&self) {
        self.epoch.fetch_add(1, Ordering::Relaxed);
        self.lock().clear();
    }

    /// Closes idle connections through these boxes. Those in use are closed after their exchange.
    pub(crate) fn close_tunnels(&self, former_carriers: HashSet<BoxId>) {
        self.former_carriers.store(Arc::new(former_carriers));
        let mut idle = self.lock();
        for pooled in idle.values_mut() {
            pooled.retain(|idle| self.may_use(idle.via.as_ref()));
        }
    }

    /// Whether a connection is direct, or through a box that still carries tunnels.
    fn may_use(&self, via: Option<&BoxId>) -> bool {
        via.is_none_or(|via| !self.former_carriers.load().contains(via))
    }

    /// Closes all idle connections to `upstream`.
    pub(crate) fn close(&self, upstream: &UpstreamId) {
        self.lock().remove(upstream);
    }

    /// Returns how long a connection has been idle.
    fn idle_time(&self, idle: &Idle) -> Duration {
        Duration::from_millis(self.clock.now().saturating_sub(idle.since))
    }

    fn put(&self, upstream: &UpstreamId, idle: Idle) {
        let mut all = self.lock();
        let pooled = all.entry(upstream.clone()).or_default();
        if pooled.len() >= MAX_IDLE_PER_UPSTREAM {
            pooled.remove(0);
        }
        pooled.push(idle);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<UpstreamId, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    /// Returns the box that carries it; `None` if it is direct.
    pub(crate) fn via(&self) -> Option<&BoxId> {
        self.via.as_ref()
    }

    /// Returns the sender of requests.
    pub(crate) fn sender(&mut self) -> &mut SendRequest<AnyBody> {
        &mut self.transport.sender
    }

    /// Applies the idle timeout that the upstream announces, in seconds.
    pub(crate) fn set_idle_limit(&mut self, seconds: u64) {
        let announced = Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN);
        self.idle_limit = announced.min(max_idle_time(self.via.as_ref()));
    }

    /// Returns the connection to the pool, unless it is closed.
    pub(crate) fn reuse(self) {
        let is_of_former_path = self.epoch != self.pool.epoch.load(Ordering::Relaxed)
            || !self.pool.may_use(self.via.as_ref());
        if self.transport.sender.is_closed() || self.idle_limit.is_zero() || is_of_former_path {
            return;
        }
        let idle = Idle {
            transport: self.transport,
            since: self.pool.clock.now(),
            limit: self.idle_limit,
            via: self.via,
        };
        self.pool.put(&self.upstream, idle);
    }
}

/// Returns the maximum idle time of a connection, unless the upstream announces less.
fn max_idle_time(via: Option<&BoxId>) -> Duration {
    match via {
        Some(_) => MAX_IDLE_TIME_OF_TUNNEL,
        None => MAX_IDLE_TIME,
    }
}
