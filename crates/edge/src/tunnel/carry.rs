//! Carries tunnels of other boxes: connects to the upstream and copies bytes both ways.

use super::stream::TunnelStream;
use super::{TunnelReply, TunnelRequest};
use crate::connection_usage::CountedStream;
use crate::context::{Context, Lifecycle};
use crate::counted::BufferedBytes;
use crate::relay::{RelayError, send_tunnel_reply};
use crate::upstream_stream::UpstreamStream;
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{Liveness, UpstreamPath};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::task::{Context as TaskContext, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf, copy_bidirectional_with_sizes};
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_tungstenite::WebSocketStream;

/// Maximum tunnels that a box carries. Each takes two file descriptors, of 4,100 on small machines.
const MAX_TUNNELS: usize = 768;

/// Size of the copy buffer of each direction.
const COPY_BUFFER_BYTES: usize = 8 * 1024;

/// Memory that is counted for a tunnel: its copy buffers and those of the WebSocket.
const TUNNEL_BYTES: usize = 32 * 1024;

/// The tunnels that this box carries.
#[derive(Debug, Default)]
pub(crate) struct CarriedTunnels {
    open: AtomicUsize,
    total: AtomicU64,
}

impl CarriedTunnels {
    /// Returns the number of open tunnels.
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns the number of tunnels since the start.
    pub(crate) fn total(&self) -> u64 {
        self.total.load(Ordering::Relaxed)
    }
}

/// Counts a tunnel while it is open.
struct OpenTunnel {
    context: Arc<Context>,
    _memory: BufferedBytes,
}

impl OpenTunnel {
    /// Returns `None` if this box carries as many tunnels as it can.
    fn new(context: &Arc<Context>) -> Option<Self> {
        let memory = BufferedBytes::reserve(context, TUNNEL_BYTES)?;
        let open = context.carried_tunnels.open.fetch_add(1, Ordering::Relaxed);
        let tunnel = Self {
            context: Arc::clone(context),
            _memory: memory,
        };
        (open < MAX_TUNNELS).then_some(tunnel)
    }
}

impl Drop for OpenTunnel {
    fn drop(&mut self) {
        let open = &self.context.carried_tunnels.open;
        open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Replies to a request for a tunnel, and carries it until either side ends it.
///
/// # Errors
///
/// Fails if the requesting box can't be reached.
pub(crate) async fn carry(
    context: &Arc<Context>,
    mut socket: WebSocketStream<TcpStream>,
    request: &TunnelRequest,
) -> Result<(), RelayError> {
    let from = socket.get_ref().peer_addr().map_err(connection_error)?;
    let connected = connect(context, request, from).await;
    let reply = match &connected {
        Ok(_) => TunnelReply::Connected,
        Err(refusal) => *refusal,
    };
    send_tunnel_reply(context, &mut socket, reply).await?;
    let Ok((tunnel, upstream)) = connected else {
        return Ok(());
    };
    let socket = TunnelStream::new(socket).map_err(connection_error)?;
    let total = &context.carried_tunnels.total;
    total.fetch_add(1, Ordering::Relaxed);
    let usage = &context.connection_usage;
    let socket = CountedStream::new(socket, usage);
    copy(socket, CountedStream::new(upstream, usage)).await;
    drop(tunnel);
    Ok(())
}

async fn connect(
    context: &Arc<Context>,
    request: &TunnelRequest,
    from: SocketAddr,
) -> Result<(OpenTunnel, UpstreamStream), TunnelReply> {
    if !context.is_member(from.ip()) {
        emit(
            Event::PeerMalformed,
            format_args!("{from}: a tunnel was requested from an address of no box"),
        );
        return Err(TunnelReply::Unavailable);
    }
    let can_carry = context.lifecycle() == Lifecycle::Serving
        && context.upstream_path() == UpstreamPath::Direct;
    let tunnel = OpenTunnel::new(context).filter(|_| can_carry);
    let tunnel = tunnel.ok_or(TunnelReply::Unavailable)?;
    let now = context.clock.now();
    let incarnation = &request.upstream;
    let address = context.placement().accepting_address(incarnation, now);
    let address = address.ok_or(TunnelReply::NotAccepted)?;
    let began = Instant::now();
    match context.pool.open_stream(address).await {
        Ok(upstream) => {
            context.record_connected();
            Ok((tunnel, upstream))
        }
        Err(error) => {
            let upstream = &incarnation.upstream;
            context.record_connect_failure(upstream, (&error).into(), began.elapsed());
            Err(match context.settled_upstream_path().await {
                UpstreamPath::Direct => TunnelReply::UpstreamUnreachable,
                UpstreamPath::Lost => TunnelReply::Unavailable,
            })
        }
    }
}

/// Copies bytes both ways until both directions end, or one side fails.
async fn copy(mut tunnel: CountedStream<TunnelStream>, upstream: CountedStream<UpstreamStream>) {
    let mut upstream = UpstreamSide {
        stream: upstream,
        failure: None,
    };
    let copied = copy_bidirectional_with_sizes(
        &mut tunnel,
        &mut upstream,
        COPY_BUFFER_BYTES,
        COPY_BUFFER_BYTES,
    )
    .await;
    if let (Err(_), Some(failure)) = (copied, upstream.failure) {
        // If this fails too, the other box takes the tunnel for lost.
        let _ = tunnel.get_mut().report_upstream_failure(failure).await;
    }
}

/// The connection to the upstream; tells its failures from those of the tunnel.
struct UpstreamSide {
    stream: CountedStream<UpstreamStream>,
    failure: Option<io::ErrorKind>,
}

impl UpstreamSide {
    fn checked<T>(&mut self, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if let Poll::Ready(Err(error)) = &result {
            self.failure = Some(error.kind());
        }
        result
    }
}

impl AsyncRead for UpstreamSide {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.checked(result)
    }
}

impl AsyncWrite for UpstreamSide {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.checked(result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut TaskContext<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        self.checked(result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut TaskContext<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_shutdown(cx);
        self.checked(result)
    }
}

impl Context {
    /// Whether a box of the fleet has this address.
    fn is_member(&self, address: IpAddr) -> bool {
        let swim = self.swim();
        let mut members = swim.members();
        members.any(|member| {
            member.liveness != Liveness::Dead && member.record.peer_address.ip() == address
        })
    }
}

fn connection_error(error: io::Error) -> RelayError {
    RelayError::Connection(error.to_string())
}
