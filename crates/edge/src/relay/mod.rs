//! Exchanges changes of the store between boxes.
//!
//! A box that learns of a newer revision than its own requests the changes from a box that has
//! them: CBOR over a WebSocket, one request and one reply per connection. How long a reply takes
//! depends on its size and on the links, which are unknown here, so the timeouts apply mainly to
//! the time without progress.

mod answers;
mod transfer;

use crate::context::Context;
use answers::AnswerCache;
use brasswinch_routing::{CatchUp, ConfigMark, Revision, Scope};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, timeout};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};
use transfer::{PIECE_BYTES, receive, send};

pub(crate) use transfer::TransferError;

/// Timeout for the connection, its handshake and the request together. A dead box delays a catch-up
/// by this long.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for a whole reply, even if it makes progress. Allows for the complete state, compressed,
/// over a link of 10 Mbit/s that is shared with eight other transfers.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(8);

/// Size of each connection's read and write buffers.
const BUFFER_BYTES: usize = 4 * 1024;

/// Bytes that a frame may have in addition to a chunk.
const FRAME_MARGIN: usize = 1024;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Requests the changes of a scope after a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Question {
    scope: Scope,
    after: Option<Revision>,
    /// The configuration that the requesting box has.
    config: Option<ConfigMark>,
}

/// The reply to a request for changes.
#[derive(Debug, Serialize, Deserialize)]
enum Reply {
    /// The changes that the requesting box lacks.
    News(CatchUp),
    /// The box has just started and has no data yet.
    KnowsNothing,
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
    KnowsNothing,
    /// The other box is already sending the maximum number of large replies.
    #[error("the peer is busy with other large replies")]
    Busy,
    /// The connection, its handshake or the request timed out.
    #[error("connecting and sending the request timed out")]
    NotConnected,
    /// The reply was not complete in time.
    #[error("the reply timed out")]
    NotWhole,
}

/// A reply with its size and duration.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) news: CatchUp,
    /// Length of the reply on the wire, in bytes.
    pub(crate) bytes: usize,
    pub(crate) took: Duration,
}

/// Serves other boxes' requests for as long as the process runs.
pub(crate) async fn serve(context: Arc<Context>, listener: TcpListener) {
    let cache = Arc::new(AnswerCache::default());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (context, cache) = (Arc::clone(&context), Arc::clone(&cache));
        tokio::spawn(async move {
            // On an error the requesting box fails too, and asks another box.
            let _ = timeout(EXCHANGE_TIMEOUT, answer(&context, &cache, stream)).await;
        });
    }
}

/// Requests from the box at `peer` the changes of `scope` that this box lacks.
///
/// # Errors
///
/// Fails if the box can't be reached, stops responding, is busy, or has no data yet.
pub(crate) async fn ask(
    context: &Context,
    peer: SocketAddr,
    scope: Scope,
) -> Result<Answered, RelayError> {
    let began = Instant::now();
    let question = own_question(context, scope);
    let mut socket = timeout(ASK_TIMEOUT, connect_and_send(context, peer, &question))
        .await
        .map_err(|_| RelayError::NotConnected)??;
    let (reply, bytes) = timeout(EXCHANGE_TIMEOUT, receive(&mut socket))
        .await
        .map_err(|_| RelayError::NotWhole)??;
    // A failed close needs no handling: the other box stops waiting by itself.
    let _ = socket.close(None).await;
    let news = match reply {
        Reply::News(news) => news,
        Reply::KnowsNothing => return Err(RelayError::KnowsNothing),
        Reply::Busy => return Err(RelayError::Busy),
    };
    Ok(Answered {
        news,
        bytes,
        took: began.elapsed(),
    })
}

fn own_question(context: &Context, scope: Scope) -> Question {
    let fleet = context.fleet();
    Question {
        scope,
        after: fleet.newest(scope),
        config: fleet.config_mark().filter(|_| scope == Scope::Operator),
    }
}

async fn connect_and_send(
    context: &Context,
    peer: SocketAddr,
    question: &Question,
) -> Result<WebSocketStream<TcpStream>, RelayError> {
    let stream = connect(context, peer).await.map_err(failed)?;
    let url = format!("ws://{peer}/");
    let (mut socket, _) = client_async_with_config(url, stream, Some(config()))
        .await
        .map_err(failed)?;
    send(&mut socket, &transfer::pack(question)?).await?;
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

async fn answer(
    context: &Context,
    cache: &AnswerCache,
    stream: TcpStream,
) -> Result<(), RelayError> {
    let asked = timeout(ASK_TIMEOUT, accept_question(stream)).await;
    let (mut socket, question) = asked.map_err(|_| RelayError::NotConnected)??;
    let answer = cache.answer(context, question)?;
    send(&mut socket, &answer.packed).await?;
    transfer::wait_for_close(&mut socket).await;
    Ok(())
}

async fn accept_question(
    stream: TcpStream,
) -> Result<(WebSocketStream<TcpStream>, Question), RelayError> {
    stream.set_nodelay(true).map_err(failed)?;
    let mut socket = accept_async_with_config(stream, Some(config()))
        .await
        .map_err(failed)?;
    let (question, _) = receive(&mut socket).await?;
    Ok((socket, question))
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(PIECE_BYTES + FRAME_MARGIN))
        .max_frame_size(Some(PIECE_BYTES + FRAME_MARGIN))
}

fn failed(error: impl std::fmt::Display) -> RelayError {
    RelayError::Connection(error.to_string())
}
