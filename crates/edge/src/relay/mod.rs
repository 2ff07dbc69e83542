//! Tells other boxes what this one learned from the store, and asks them.
//!
//! A box that hears of a newer revision than its own asks the one that has it: CBOR over
//! a WebSocket, one question and one answer. How long an answer may take depends on its
//! size and on the links, which nobody here knows: what is bounded is how long nothing
//! of it comes.

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

/// Longest time until a question is sent: the connection, its handshake and the question.
/// A dead box costs this much.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time of a question and its answer together, however steadily the answer comes:
/// everything that is known, compressed, over a link of 10 Mbit/s that eight others use.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(8);

/// Bytes that the library sets aside for each connection.
const BUFFER_BYTES: usize = 4 * 1024;

/// Bytes that a frame may have beside a piece of a message.
const FRAME_MARGIN: usize = 1024;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A box's question: what comes after what it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Question {
    scope: Scope,
    after: Option<Revision>,
    /// The configuration that it holds.
    config: Option<ConfigMark>,
}

/// What a box says to a question.
#[derive(Debug, Serialize, Deserialize)]
enum Reply {
    /// What the asker lacks.
    News(CatchUp),
    /// It has only just started.
    KnowsNothing,
    /// It is sending as many large answers as its link bears.
    Busy,
}

/// What went wrong with another box.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RelayError {
    /// The connection or the WebSocket failed.
    #[error("the connection failed: {0}")]
    Connection(String),
    /// A message did not come or go.
    #[error("{0}")]
    Transfer(#[from] TransferError),
    /// The other box has only just started.
    #[error("it knows nothing yet")]
    KnowsNothing,
    /// The other box answers many others.
    #[error("it answers too many others")]
    Busy,
    /// The connection was not up in time.
    #[error("no connection in time")]
    NotConnected,
    /// The answer was coming and took too long.
    #[error("the answer was not whole in time")]
    NotWhole,
}

/// An answer, and what it took.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) news: CatchUp,
    /// Its length on the wire.
    pub(crate) bytes: usize,
    pub(crate) took: Duration,
}

/// Answers other boxes' questions for as long as the process runs.
pub(crate) async fn serve(context: Arc<Context>, listener: TcpListener) {
    let cache = Arc::new(AnswerCache::default());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (context, cache) = (Arc::clone(&context), Arc::clone(&cache));
        tokio::spawn(async move {
            // The asker finds out by itself and asks another box.
            let _ = timeout(EXCHANGE_TIMEOUT, answer(&context, &cache, stream)).await;
        });
    }
}

/// Asks the box at `peer` what it has of `scope` that this one lacks.
///
/// # Errors
///
/// Fails where the box is out of reach, falls silent, or knows nothing itself.
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
    // Where the close fails, the other box finds out by itself.
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
