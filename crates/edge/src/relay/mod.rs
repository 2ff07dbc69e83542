//! Exchanges changes of the store, and members, between boxes.
//!
//! A box that learns of a newer revision than its own requests the changes from a box that has
//! them, and one that lacks many members requests those: CBOR over a WebSocket, one request and one reply per connection. How long a reply takes
//! depends on its size and on the links, which are unknown here, so the timeouts apply mainly to
//! the time without progress.

mod replies;
mod transfer;

use crate::context::Context;
use crate::peer_traffic::{Direction, MessageKind};
use crate::tunnel::{self, TunnelReply, TunnelRequest};
use brasswinch_routing::{
    CatchUp, ConfigFingerprint, MembersReply, MembersRequest, Revision, Scope,
};
use replies::ReplyCache;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, timeout};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};
use transfer::{CHUNK_BYTES, receive, send};

pub(crate) use transfer::TransferError;

/// Timeout for the connection, its handshake and the request together. A dead box delays a catch-up
/// by this long.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for a whole reply, even if it makes progress; at the box that replies, for the request
/// and the reply together. Allows for the complete state, compressed, over a link of 10 Mbit/s that
/// is shared with eight other transfers.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(8);

/// Size of each connection's read and write buffers.
const BUFFER_BYTES: usize = 4 * 1024;

/// Bytes that a frame may have in addition to a chunk.
const FRAME_MARGIN_BYTES: usize = 1024;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Requests the changes of a scope after a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ChangesRequest {
    scope: Scope,
    after: Option<Revision>,
    /// The configuration that the requesting box has.
    config: Option<ConfigFingerprint>,
}

/// A request to another box.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
enum Request {
    /// For changes of the store.
    Changes(ChangesRequest),
    /// For members.
    Members(MembersRequest),
    /// For a connection to an upstream.
    Tunnel(TunnelRequest),
}

impl Request {
    fn kind(&self) -> MessageKind {
        match self {
            Self::Changes(_) => MessageKind::Updates,
            Self::Members(_) => MessageKind::Members,
            Self::Tunnel(_) => MessageKind::Tunnel,
        }
    }
}

/// The reply to a request.
#[derive(Debug, Serialize, Deserialize)]
enum Reply {
    /// The changes that the requesting box lacks.
    #[serde(rename = "News")]
    Changes(CatchUp),
    /// The members that the requesting box lacks.
    Members(MembersReply),
    /// Whether the upstream is connected.
    Tunnel(TunnelReply),
    /// The box has just started and has no data yet.
    #[serde(rename = "KnowsNothing")]
    NoData,
    /// The box is already sending the maximum number of large replies.
    Busy,
}

/// Why a request to another box failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RelayError {
    /// The connection or the WebSocket failed.
    #[error("the connection failed: {0}")]
    Connection(String),
    /// A message could not be sent or received.
    #[error("{0}")]
    Transfer(#[from] TransferError),
    /// The other box has just started and has no data yet.
    #[error("the peer has no data yet")]
    NoData,
    /// The reply doesn't match the request.
    #[error("the peer replied to another kind of request")]
    Mismatch,
    /// The other box is already sending the maximum number of large replies.
    #[error("the peer is busy with other large replies")]
    Busy,
    /// The connection, its handshake or the request timed out.
    #[error("connecting and sending the request timed out")]
    ConnectTimeout,
    /// The reply was not complete in time.
    #[error("the reply timed out")]
    ReplyTimeout,
}

/// A reply with its size and duration.
#[derive(Debug)]
pub(crate) struct CatchUpReply {
    pub(crate) changes: CatchUp,
    /// Length of the reply on the wire, in bytes.
    pub(crate) bytes: usize,
    pub(crate) took: Duration,
}

/// Serves other boxes' requests for as long as the process runs.
pub(crate) async fn serve(context: Arc<Context>, listener: TcpListener) {
    let cache = Arc::new(ReplyCache::default());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (context, cache) = (Arc::clone(&context), Arc::clone(&cache));
        tokio::spawn(async move {
            // On an error the requesting box fails too, and asks another box.
            let _ = reply_to(&context, &cache, stream).await;
        });
    }
}

/// Requests from the box at `peer` the changes of `scope` that this box lacks.
///
/// # Errors
///
/// Fails if the box can't be reached, stops responding, is busy, or has no data yet.
pub(crate) async fn request_changes(
    context: &Context,
    peer: SocketAddr,
    scope: Scope,
) -> Result<CatchUpReply, RelayError> {
    let began = Instant::now();
    let request = Request::Changes(build_request(context, scope));
    let (reply, bytes) = exchange(context, peer, &request).await?;
    let Reply::Changes(changes) = reply else {
        return Err(refusal(&reply));
    };
    Ok(CatchUpReply {
        changes,
        bytes,
        took: began.elapsed(),
    })
}

/// Requests from the box at `peer` the members that this box lacks.
///
/// # Errors
///
/// Fails if the box can't be reached, stops responding, or is busy.
pub(crate) async fn request_members(
    context: &Context,
    peer: SocketAddr,
    request: MembersRequest,
) -> Result<MembersReply, RelayError> {
    let (reply, _) = exchange(context, peer, &Request::Members(request)).await?;
    match reply {
        Reply::Members(members) => Ok(members),
        _ => Err(refusal(&reply)),
    }
}

/// Requests a tunnel from the box at `peer`. Returns the connection with its reply.
///
/// # Errors
///
/// Fails if the box can't be reached or replies to another request.
pub(crate) async fn request_tunnel(
    context: &Context,
    peer: SocketAddr,
    request: TunnelRequest,
) -> Result<(WebSocketStream<TcpStream>, TunnelReply), RelayError> {
    let request = Request::Tunnel(request);
    let mut socket = connect_and_send(context, peer, &request).await?;
    let (reply, bytes) = receive(&mut socket).await?;
    context
        .peer_traffic
        .count(request.kind(), Direction::Received, bytes);
    match reply {
        Reply::Tunnel(reply) => Ok((socket, reply)),
        _ => Err(refusal(&reply)),
    }
}

/// Sends the reply to a request for a tunnel.
///
/// # Errors
///
/// Fails if the requesting box can't be reached.
pub(crate) async fn send_tunnel_reply(
    context: &Context,
    socket: &mut WebSocketStream<TcpStream>,
    reply: TunnelReply,
) -> Result<(), RelayError> {
    let encoded = transfer::encode(&Reply::Tunnel(reply))?;
    send(socket, &encoded).await?;
    context
        .peer_traffic
        .count(MessageKind::Tunnel, Direction::Sent, encoded.len());
    Ok(())
}

/// Sends a request and returns the reply with its length on the wire, in bytes.
async fn exchange(
    context: &Context,
    peer: SocketAddr,
    request: &Request,
) -> Result<(Reply, usize), RelayError> {
    let mut socket = timeout(REQUEST_TIMEOUT, connect_and_send(context, peer, request))
        .await
        .map_err(|_| RelayError::ConnectTimeout)??;
    let received = timeout(EXCHANGE_TIMEOUT, receive(&mut socket))
        .await
        .map_err(|_| RelayError::ReplyTimeout)??;
    // A failed close needs no handling: the other box stops waiting by itself.
    let _ = socket.close(None).await;
    context
        .peer_traffic
        .count(request.kind(), Direction::Received, received.1);
    Ok(received)
}

fn refusal(reply: &Reply) -> RelayError {
    match reply {
        Reply::NoData => RelayError::NoData,
        Reply::Busy => RelayError::Busy,
        Reply::Changes(_) | Reply::Members(_) | Reply::Tunnel(_) => RelayError::Mismatch,
    }
}

fn build_request(context: &Context, scope: Scope) -> ChangesRequest {
    let fleet = context.fleet();
    let needs_all = scope == Scope::Operator && fleet.lacks_readable_config();
    ChangesRequest {
        scope,
        after: fleet.newest(scope).filter(|_| !needs_all),
        config: fleet
            .config_fingerprint()
            .filter(|_| scope == Scope::Operator),
    }
}

async fn connect_and_send(
    context: &Context,
    peer: SocketAddr,
    request: &Request,
) -> Result<WebSocketStream<TcpStream>, RelayError> {
    let stream = connect(context, peer).await.map_err(connection_error)?;
    let url = format!("ws://{peer}/");
    let (mut socket, _) = client_async_with_config(url, stream, Some(websocket_config()))
        .await
        .map_err(connection_error)?;
    let encoded = transfer::encode(request)?;
    send(&mut socket, &encoded).await?;
    context
        .peer_traffic
        .count(request.kind(), Direction::Sent, encoded.len());
    Ok(socket)
}

async fn connect(context: &Context, peer: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if peer.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    let local = context.settings.addresses.peers.ip();
    socket.bind(SocketAddr::new(local, 0))?;
    let stream = socket.connect(peer).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

async fn reply_to(
    context: &Arc<Context>,
    cache: &ReplyCache,
    stream: TcpStream,
) -> Result<(), RelayError> {
    let accepted = timeout(REQUEST_TIMEOUT, accept_request(stream)).await;
    let (mut socket, request, bytes) = accepted.map_err(|_| RelayError::ConnectTimeout)??;
    context
        .peer_traffic
        .count(request.kind(), Direction::Received, bytes);
    if let Request::Tunnel(request) = &request {
        return tunnel::carry(context, socket, request).await;
    }
    let replying = async {
        let reply = cache.reply(context, &request)?;
        send(&mut socket, &reply.encoded).await?;
        context
            .peer_traffic
            .count(request.kind(), Direction::Sent, reply.encoded.len());
        transfer::wait_for_close(&mut socket).await;
        Ok(())
    };
    timeout(EXCHANGE_TIMEOUT, replying)
        .await
        .map_err(|_| RelayError::ReplyTimeout)?
}

/// Accepts a connection and returns it with the request and its length in bytes.
async fn accept_request(
    stream: TcpStream,
) -> Result<(WebSocketStream<TcpStream>, Request, usize), RelayError> {
    stream.set_nodelay(true).map_err(connection_error)?;
    let mut socket = accept_async_with_config(stream, Some(websocket_config()))
        .await
        .map_err(connection_error)?;
    let (request, bytes) = receive(&mut socket).await?;
    Ok((socket, request, bytes))
}

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(CHUNK_BYTES + FRAME_MARGIN_BYTES))
        .max_frame_size(Some(CHUNK_BYTES + FRAME_MARGIN_BYTES))
}

fn connection_error(error: impl std::fmt::Display) -> RelayError {
    RelayError::Connection(error.to_string())
}
