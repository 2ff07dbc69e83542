//! Tells other boxes what this one learned from the store, and asks them.
//!
//! A box that hears of a newer revision than its own asks the one that has it: CBOR over
//! a WebSocket, one question and one answer.

use crate::context::Context;
use brasswinch_routing::{CatchUp, Revision, Scope};
use futures_util::{SinkExt, StreamExt};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, timeout};
use tokio_tungstenite::tungstenite::Message as Frame;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};

/// Longest time for a question and its answer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest message: everything that is known of the largest fleet.
const MOST_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Bytes that the library sets aside for each connection.
const BUFFER_BYTES: usize = 4 * 1024;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A box's question: what comes after what it has.
#[derive(Debug, Serialize, Deserialize)]
struct Question {
    scope: Scope,
    after: Option<Revision>,
}

/// What went wrong with another box.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RelayError {
    /// The connection or the WebSocket failed.
    #[error("the connection failed: {0}")]
    Connection(String),
    /// A message can't be read.
    #[error("the message can't be read: {0}")]
    Malformed(String),
    /// The other box has only just started.
    #[error("it knows nothing yet")]
    KnowsNothing,
    /// No answer in time.
    #[error("no answer in time: {0}")]
    TimeOver(Stage),
}

/// How far a question got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The connection was not up.
    Connecting,
    /// The question was sent, and the answer was not whole.
    Answering,
}

impl Stage {
    fn of(is_asked: &AtomicBool) -> Self {
        if is_asked.load(Ordering::Relaxed) {
            Self::Answering
        } else {
            Self::Connecting
        }
    }
}

impl std::fmt::Display for Stage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Connecting => "the connection was not up",
            Self::Answering => "the answer was not whole",
        })
    }
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
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let context = Arc::clone(&context);
        tokio::spawn(async move {
            // The asker finds out by itself and asks another box.
            let _ = timeout(EXCHANGE_TIMEOUT, answer(&context, stream)).await;
        });
    }
}

/// Asks the box at `peer` what it has of `scope` after `after`.
pub(crate) async fn ask(
    context: &Context,
    peer: SocketAddr,
    scope: Scope,
    after: Option<Revision>,
) -> Result<Answered, RelayError> {
    let is_asked = AtomicBool::new(false);
    let asking = ask_now(context, peer, Question { scope, after }, &is_asked);
    timeout(EXCHANGE_TIMEOUT, asking)
        .await
        .map_err(|_| RelayError::TimeOver(Stage::of(&is_asked)))?
}

async fn ask_now(
    context: &Context,
    peer: SocketAddr,
    question: Question,
    is_asked: &AtomicBool,
) -> Result<Answered, RelayError> {
    let began = Instant::now();
    let stream = connect(context, peer).await.map_err(failed)?;
    let url = format!("ws://{peer}/");
    let (mut socket, _) = client_async_with_config(url, stream, Some(config()))
        .await
        .map_err(failed)?;
    send(&mut socket, &question).await?;
    is_asked.store(true, Ordering::Relaxed);
    let (answer, bytes): (Option<CatchUp>, usize) = receive(&mut socket).await?;
    let _ = socket.close(None).await;
    Ok(Answered {
        news: answer.ok_or(RelayError::KnowsNothing)?,
        bytes,
        took: began.elapsed(),
    })
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

async fn answer(context: &Context, stream: TcpStream) -> Result<(), RelayError> {
    let mut socket = accept_async_with_config(stream, Some(config()))
        .await
        .map_err(failed)?;
    let (question, _): (Question, usize) = receive(&mut socket).await?;
    // A box that knows nothing yet says so, and the asker turns to another.
    let missing = context.fleet().missing(question.scope, question.after);
    send(&mut socket, &missing).await?;
    // Reads the asker's close, so that the answer isn't cut off.
    while let Some(Ok(_)) = socket.next().await {}
    Ok(())
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(MOST_MESSAGE_BYTES))
        .max_frame_size(Some(MOST_MESSAGE_BYTES))
}

fn failed(error: impl std::fmt::Display) -> RelayError {
    RelayError::Connection(error.to_string())
}

async fn send<T: Serialize>(
    socket: &mut WebSocketStream<TcpStream>,
    message: &T,
) -> Result<(), RelayError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).map_err(failed)?;
    socket
        .send(Frame::Binary(bytes.into()))
        .await
        .map_err(failed)
}

async fn receive<T: DeserializeOwned>(
    socket: &mut WebSocketStream<TcpStream>,
) -> Result<(T, usize), RelayError> {
    loop {
        let frame = socket.next().await;
        let frame = frame.ok_or_else(|| failed("it was closed"))?;
        if let Frame::Binary(bytes) = frame.map_err(failed)? {
            let message = ciborium::from_reader(&bytes[..]);
            let message = message.map_err(|error| RelayError::Malformed(error.to_string()))?;
            return Ok((message, bytes.len()));
        }
    }
}
