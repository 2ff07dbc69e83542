//! Connections to one upstream, each used by one request at a time.
//!
//! A connection goes back to the pool only after a whole exchange. Any other end
//! closes it, so a late answer can never reach another request.

use super::body::UploadBody;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;

/// Idle connections older than this are closed rather than used.
const MAX_IDLE: Duration = Duration::from_secs(20);

#[derive(Debug)]
struct Idle {
    sender: SendRequest<UploadBody>,
    task: AbortHandle,
    since: Instant,
}

/// Idle connections to one upstream.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionPool {
    idle: Arc<Mutex<Vec<Idle>>>,
    most_idle: usize,
}

/// A connection in use. Dropping it closes it.
pub(crate) struct Connection {
    sender: Option<SendRequest<UploadBody>>,
    task: AbortHandle,
    pool: ConnectionPool,
}

impl ConnectionPool {
    /// Keeps at most `most_idle` idle connections.
    pub(crate) fn new(most_idle: usize) -> Self {
        Self {
            idle: Arc::default(),
            most_idle,
        }
    }

    /// An idle connection, or a new one to `address` from `local`.
    pub(crate) async fn connect(
        &self,
        address: SocketAddr,
        local: IpAddr,
        timeout: Duration,
    ) -> Option<Connection> {
        if let Some(connection) = self.take_idle() {
            return Some(connection);
        }
        let open = async {
            let stream = open(address, local).await.ok()?;
            let _ = stream.set_nodelay(true);
            http1::handshake(TokioIo::new(stream)).await.ok()
        };
        let (sender, driver) = tokio::time::timeout(timeout, open).await.ok()??;
        let task = tokio::spawn(async move {
            // A failure is returned to the task that waits for the answer.
            let _ = driver.await;
        });
        Some(Connection {
            sender: Some(sender),
            task: task.abort_handle(),
            pool: self.clone(),
        })
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(candidate) = idle.pop() {
            if candidate.sender.is_ready() && candidate.since.elapsed() < MAX_IDLE {
                return Some(Connection {
                    sender: Some(candidate.sender),
                    task: candidate.task,
                    pool: self.clone(),
                });
            }
            candidate.task.abort();
        }
        None
    }
}

impl Connection {
    /// The sending half.
    pub(crate) fn sender(&mut self) -> Option<&mut SendRequest<UploadBody>> {
        self.sender.as_mut()
    }

    /// Puts the connection back after a whole exchange.
    pub(crate) fn reuse(mut self) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        let mut idle = self
            .pool
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if sender.is_closed() || idle.len() >= self.pool.most_idle {
            self.task.abort();
            return;
        }
        idle.push(Idle {
            sender,
            task: self.task.clone(),
            since: Instant::now(),
        });
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

async fn open(address: SocketAddr, local: IpAddr) -> std::io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(local, 0))?;
    socket.connect(address).await
}
