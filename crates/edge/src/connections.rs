//! Pooled connections to upstreams. Each carries one request at a time and is reused only after a
//! complete exchange, so that bytes of one response can't reach another request.

use crate::body::AnyBody;
use crate::clock::Clock;
use brasswinch_types::{Millis, UpstreamId};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpSocket;
use tokio::task::AbortHandle;

/// Maximum bytes read from an upstream that have not been passed on. Bounds what a slow client
/// holds, and the head of a response.
const MAX_READ_BUFFER_BYTES: usize = 16 * 1024;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Maximum time that sent bytes may stay unacknowledged. A machine that lost power closes no
/// connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(700);

/// Idle time after which the kernel sends keepalive probes, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unacknowledged probes after which the kernel closes a connection.
const MAX_KEEPALIVE_PROBES: u32 = 2;

/// Maximum idle connections per upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 24;

/// Maximum idle time of a connection, unless the upstream announces less.
const MAX_IDLE_TIME: Duration = Duration::from_secs(8);

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
}

#[derive(Debug)]
struct Idle {
    transport: Transport,
    since: Millis,
    limit: Duration,
}

/// Idle connections by upstream.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    idle: Mutex<HashMap<UpstreamId, Vec<Idle>>>,
    local: IpAddr,
    clock: Clock,
}

impl ConnectionPool {
    /// Creates a pool that connects from the address `local`.
    pub(crate) fn new(local: IpAddr, clock: Clock) -> Self {
        Self {
            idle: Mutex::default(),
            local,
            clock,
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
        let connecting = self.connect_stream(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
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
            idle_limit: MAX_IDLE_TIME,
        })
    }

    async fn connect_stream(&self, address: SocketAddr) -> std::io::Result<tokio::net::TcpStream> {
        let socket = if address.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        socket.bind(SocketAddr::new(self.local, 0))?;
        let options = SockRef::from(&socket);
        options.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(MAX_KEEPALIVE_PROBES);
        options.set_tcp_keepalive(&keepalive)?;
        let stream = socket.connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    /// Closes connections past their idle limit, and all connections to upstreams that are unknown.
    pub(crate) fn sweep(&self, is_known: impl Fn(&UpstreamId) -> bool) {
        let mut idle = self.lock();
        idle.retain(|upstream, pooled| {
            pooled.retain(|idle| self.idle_time(idle) < idle.limit);
            !pooled.is_empty() && is_known(upstream)
        });
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
    /// Returns the sender of requests.
    pub(crate) fn sender(&mut self) -> &mut SendRequest<AnyBody> {
        &mut self.transport.sender
    }

    /// Applies the idle timeout that the upstream announces, in seconds.
    pub(crate) fn set_idle_limit(&mut self, seconds: u64) {
        let announced = Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN);
        self.idle_limit = announced.min(MAX_IDLE_TIME);
    }

    /// Returns the connection to the pool, unless it is closed.
    pub(crate) fn reuse(self) {
        if self.transport.sender.is_closed() || self.idle_limit.is_zero() {
            return;
        }
        let idle = Idle {
            transport: self.transport,
            since: self.pool.clock.now(),
            limit: self.idle_limit,
        };
        self.pool.put(&self.upstream, idle);
    }
}
