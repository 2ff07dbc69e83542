//! Transfers messages between boxes: CBOR, compressed if large, split into chunks so that the
//! receiver can detect a stalled transfer.

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

/// Size of a chunk. A link of 10 Mbit/s transfers one in 13 ms.
pub(super) const PIECE_BYTES: usize = 16 * 1024;

/// Timeout for receiving or sending one chunk. With eight other transfers on a link of 10 Mbit/s a
/// chunk takes 0.1 s; the rest allows for a busy CPU.
const PIECE_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout for the peer to close the connection after the last chunk was sent. The part of a
/// message that is still in the kernel's buffer takes at most 1 s on a link of 10 Mbit/s.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Messages of at least this size are compressed. Routes resemble each other and shrink to a tenth;
/// for small messages the saving is not worth the CPU time.
const COMPRESS_FROM: usize = 4 * 1024;

/// Maximum size of a message before compression: the complete state of the largest fleet.
const MOST_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Why a message could not be sent or received.
#[derive(Debug, thiserror::Error)]
pub(crate) enum TransferError {
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Connection(String),
    /// The message can't be decoded or encoded.
    #[error("the message is malformed: {0}")]
    Malformed(String),
    /// The peer sent nothing for too long.
    #[error("the transfer stalled after {received} of {announced} bytes")]
    Silent {
        /// Bytes received.
        received: usize,
        /// Bytes announced by the message's header; 0 before it was received.
        announced: usize,
    },
    /// A chunk could not be sent in time.
    #[error("sending timed out")]
    NotTaken,
}

/// The header that precedes a message's chunks.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Head {
    /// Total size of all chunks.
    bytes: usize,
    /// Whether the body is compressed (deflate).
    is_compressed: bool,
}

/// An encoded message that can be sent any number of times.
#[derive(Clone, Debug)]
pub(super) struct Packed {
    head: Head,
    body: Bytes,
}

impl Packed {
    /// Returns the size of the body on the wire, in bytes.
    pub(super) fn len(&self) -> usize {
        self.body.len()
    }
}

/// Encodes a message, and compresses it if it is large.
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

/// Receives a message. Returns it with the size of its body on the wire, in bytes.
pub(super) async fn receive<T: DeserializeOwned>(
    socket: &mut WebSocketStream<TcpStream>,
) -> Result<(T, usize), TransferError> {
    let head = next_piece(socket, 0, 0).await?;
    let head: Head = ciborium::from_reader(&head[..]).map_err(malformed)?;
    if head.bytes > MOST_MESSAGE_BYTES {
        return Err(malformed(format_args!("{} bytes exceed the maximum size", head.bytes)));
    }
    let mut body = Vec::new();
    while body.len() < head.bytes {
        let piece = next_piece(socket, body.len(), head.bytes).await?;
        body.extend_from_slice(&piece);
    }
    Ok((unpack(&head, &body)?, body.len()))
}

/// Receives the next chunk, after `received` of `announced` bytes.
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
        let frame = frame.ok_or_else(|| broken("the peer closed it"))?;
        if let Frame::Binary(piece) = frame.map_err(broken)? {
            return Ok(piece);
        }
    }
}

fn unpack<T: DeserializeOwned>(head: &Head, body: &[u8]) -> Result<T, TransferError> {
    if !head.is_compressed {
        return ciborium::from_reader(body).map_err(malformed);
    }
    // Decompressed as a whole first: the CBOR decoder makes small reads, which are slow.
    let mut plain = Vec::new();
    let mut decoder = DeflateDecoder::new(body).take(MOST_MESSAGE_BYTES as u64);
    decoder.read_to_end(&mut plain).map_err(malformed)?;
    ciborium::from_reader(&plain[..]).map_err(malformed)
}

/// Waits until the peer closes the connection, so that the sent message isn't cut off. Gives up
/// after a timeout.
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
