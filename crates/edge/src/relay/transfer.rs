//! A message between boxes: CBOR, compressed where it is large, in pieces, so that the
//! one who waits for it sees whether it still comes.

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use futures_util::{SinkExt, StreamExt};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::io::{Read, Write};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::{Bytes, Message as Frame};

/// Bytes of a piece. A link of 10 Mbit/s carries one in 13 ms.
pub(super) const PIECE_BYTES: usize = 16 * 1024;

/// Longest wait for the next piece, or for one to go. Beside eight other transfers over
/// 10 Mbit/s one takes 0.1 s; the rest is for a busy processor.
const PIECE_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest wait for the other side to close after the last piece went. What the system
/// still holds of an answer takes a second at most on a link of 10 Mbit/s.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Messages from this size on are compressed, in bytes. Routes are much alike and shrink
/// to a tenth; small messages aren't worth the time.
const COMPRESS_FROM: usize = 4 * 1024;

/// Longest message, before compression: everything that is known of the largest fleet.
const MOST_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Why a message did not come or go.
#[derive(Debug, thiserror::Error)]
pub(crate) enum TransferError {
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Connection(String),
    /// The message can't be read, or written.
    #[error("the message can't be read: {0}")]
    Malformed(String),
    /// The other side fell silent.
    #[error("no more came after {received} of {announced} bytes")]
    Silent {
        /// Bytes that came.
        received: usize,
        /// Bytes that were to come; 0 before anything came.
        announced: usize,
    },
    /// A piece could not be sent in time.
    #[error("the other side took no more")]
    NotTaken,
}

/// What comes before a message's pieces.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Head {
    /// Bytes of all pieces together.
    bytes: usize,
    /// Whether they are compressed (deflate).
    is_compressed: bool,
}

/// A message that is ready to be sent, any number of times.
#[derive(Clone, Debug)]
pub(super) struct Packed {
    head: Head,
    body: Bytes,
}

impl Packed {
    /// Bytes on the wire.
    pub(super) fn len(&self) -> usize {
        self.body.len()
    }
}

/// Makes a message ready.
pub(super) fn pack(message: &impl Serialize) -> Result<Packed, TransferError> {
    let mut plain = Vec::new();
    ciborium::into_writer(message, &mut plain).map_err(malformed)?;
    let is_compressed = plain.len() >= COMPRESS_FROM;
    let body = if is_compressed {
        compressed(&plain)?
    } else {
        plain
    };
    let head = Head {
        bytes: body.len(),
        is_compressed,
    };
    let body = Bytes::from(body);
    Ok(Packed { head, body })
}

fn compressed(plain: &[u8]) -> Result<Vec<u8>, TransferError> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(plain).map_err(malformed)?;
    encoder.finish().map_err(malformed)
}

/// Sends a message.
pub(super) async fn send(
    socket: &mut WebSocketStream<TcpStream>,
    packed: &Packed,
) -> Result<(), TransferError> {
    let mut head = Vec::new();
    ciborium::into_writer(&packed.head, &mut head).map_err(malformed)?;
    socket
        .feed(Frame::Binary(head.into()))
        .await
        .map_err(broken)?;
    let mut sent = 0;
    while sent < packed.body.len() {
        let end = packed.body.len().min(sent + PIECE_BYTES);
        let piece = Frame::Binary(packed.body.slice(sent..end));
        let sending = timeout(PIECE_TIMEOUT, socket.feed(piece)).await;
        sending
            .map_err(|_| TransferError::NotTaken)?
            .map_err(broken)?;
        sent = end;
    }
    let flushing = timeout(PIECE_TIMEOUT, socket.flush()).await;
    flushing
        .map_err(|_| TransferError::NotTaken)?
        .map_err(broken)
}

/// Receives a message; with it the bytes that it took on the wire.
pub(super) async fn receive<T: DeserializeOwned>(
    socket: &mut WebSocketStream<TcpStream>,
) -> Result<(T, usize), TransferError> {
    let head = next_piece(socket, 0, 0).await?;
    let head: Head = ciborium::from_reader(&head[..]).map_err(malformed)?;
    if head.bytes > MOST_MESSAGE_BYTES {
        return Err(malformed(format_args!("{} bytes are too many", head.bytes)));
    }
    let mut body = Vec::new();
    while body.len() < head.bytes {
        let piece = next_piece(socket, body.len(), head.bytes).await?;
        body.extend_from_slice(&piece);
    }
    Ok((unpack(&head, &body)?, body.len()))
}

/// The next piece, where `received` of `announced` bytes have come.
async fn next_piece(
    socket: &mut WebSocketStream<TcpStream>,
    received: usize,
    announced: usize,
) -> Result<Bytes, TransferError> {
    loop {
        let coming = timeout(PIECE_TIMEOUT, socket.next()).await;
        let frame = coming.map_err(|_| TransferError::Silent {
            received,
            announced,
        })?;
        let frame = frame.ok_or_else(|| broken("it was closed"))?;
        if let Frame::Binary(piece) = frame.map_err(broken)? {
            return Ok(piece);
        }
    }
}

fn unpack<T: DeserializeOwned>(head: &Head, body: &[u8]) -> Result<T, TransferError> {
    if !head.is_compressed {
        return ciborium::from_reader(body).map_err(malformed);
    }
    // Read to its end first: a decoder reads it in small pieces, which is slow.
    let mut plain = Vec::new();
    let mut decoder = DeflateDecoder::new(body).take(MOST_MESSAGE_BYTES as u64);
    decoder.read_to_end(&mut plain).map_err(malformed)?;
    ciborium::from_reader(&plain[..]).map_err(malformed)
}

/// Waits until the other side closed, so that what was sent isn't cut off. One that doesn't
/// close is no reason to keep the connection.
pub(super) async fn wait_for_close(socket: &mut WebSocketStream<TcpStream>) {
    let closing = async { while let Some(Ok(_)) = socket.next().await {} };
    let _ = timeout(CLOSE_TIMEOUT, closing).await;
}

fn malformed(error: impl std::fmt::Display) -> TransferError {
    TransferError::Malformed(error.to_string())
}

fn broken(error: impl std::fmt::Display) -> TransferError {
    TransferError::Connection(error.to_string())
}
