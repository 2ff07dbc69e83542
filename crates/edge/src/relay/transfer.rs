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
pub(super) const CHUNK_BYTES: usize = 16 * 1024;

/// Timeout for receiving or sending one chunk. With eight other transfers on a link of 10 Mbit/s a
/// chunk takes 0.1 s; the rest allows for a busy CPU.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout for the peer to close the connection after the last chunk was sent. The part of a
/// message that is still in the kernel's buffer takes at most 1 s on a link of 10 Mbit/s.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Messages of at least this size are compressed. Routes resemble each other and shrink to a tenth;
/// for small messages the saving is not worth the CPU time.
const MIN_BYTES_TO_COMPRESS: usize = 4 * 1024;

/// Maximum size of a message before compression: the complete state of the largest fleet.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

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
    Stalled {
        /// Bytes received.
        received: usize,
        /// Bytes announced by the message's header; 0 before it was received.
        announced: usize,
    },
    /// A chunk could not be sent in time.
    #[error("sending timed out")]
    SendTimeout,
}

/// The header that precedes a message's chunks.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct MessageHeader {
    /// Total size of all chunks, in bytes.
    bytes: usize,
    /// Whether the body is compressed (deflate).
    is_compressed: bool,
}

/// An encoded message that can be sent any number of times.
#[derive(Clone, Debug)]
pub(super) struct EncodedMessage {
    header: MessageHeader,
    body: Bytes,
}

impl EncodedMessage {
    /// Returns the size of the body on the wire, in bytes.
    pub(super) fn len(&self) -> usize {
        self.body.len()
    }
}

/// Encodes a message, and compresses it if it is large.
pub(super) fn encode(message: &impl Serialize) -> Result<EncodedMessage, TransferError> {
    let mut plain = Vec::new();
    ciborium::into_writer(message, &mut plain).map_err(malformed_error)?;
    let is_compressed = plain.len() >= MIN_BYTES_TO_COMPRESS;
    let body = if is_compressed {
        compressed(&plain)?
    } else {
        plain
    };
    let header = MessageHeader {
        bytes: body.len(),
        is_compressed,
    };
    let body = Bytes::from(body);
    Ok(EncodedMessage { header, body })
}

fn compressed(plain: &[u8]) -> Result<Vec<u8>, TransferError> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(plain).map_err(malformed_error)?;
    encoder.finish().map_err(malformed_error)
}

/// Sends a message.
pub(super) async fn send(
    socket: &mut WebSocketStream<TcpStream>,
    encoded: &EncodedMessage,
) -> Result<(), TransferError> {
    let mut header = Vec::new();
    ciborium::into_writer(&encoded.header, &mut header).map_err(malformed_error)?;
    socket
        .feed(Frame::Binary(header.into()))
        .await
        .map_err(connection_error)?;
    let mut sent = 0;
    while sent < encoded.body.len() {
        let end = encoded.body.len().min(sent + CHUNK_BYTES);
        let chunk = Frame::Binary(encoded.body.slice(sent..end));
        let sending = timeout(CHUNK_TIMEOUT, socket.feed(chunk)).await;
        sending
            .map_err(|_| TransferError::SendTimeout)?
            .map_err(connection_error)?;
        sent = end;
    }
    let flushing = timeout(CHUNK_TIMEOUT, socket.flush()).await;
    flushing
        .map_err(|_| TransferError::SendTimeout)?
        .map_err(connection_error)
}

/// Receives a message. Returns it with the size of its body on the wire, in bytes.
pub(super) async fn receive<T: DeserializeOwned>(
    socket: &mut WebSocketStream<TcpStream>,
) -> Result<(T, usize), TransferError> {
    let header = next_chunk(socket, 0, 0).await?;
    let header: MessageHeader = ciborium::from_reader(&header[..]).map_err(malformed_error)?;
    if header.bytes > MAX_MESSAGE_BYTES {
        return Err(malformed_error(format_args!(
            "{} bytes exceed the maximum size",
            header.bytes
        )));
    }
    let mut body = Vec::new();
    while body.len() < header.bytes {
        let chunk = next_chunk(socket, body.len(), header.bytes).await?;
        body.extend_from_slice(&chunk);
    }
    Ok((decode(&header, &body)?, body.len()))
}

/// Receives the next chunk, after `received` of `announced` bytes.
async fn next_chunk(
    socket: &mut WebSocketStream<TcpStream>,
    received: usize,
    announced: usize,
) -> Result<Bytes, TransferError> {
    loop {
        let receiving = timeout(CHUNK_TIMEOUT, socket.next()).await;
        let frame = receiving.map_err(|_| TransferError::Stalled {
            received,
            announced,
        })?;
        let frame = frame.ok_or_else(|| connection_error("the peer closed it"))?;
        if let Frame::Binary(chunk) = frame.map_err(connection_error)? {
            return Ok(chunk);
        }
    }
}

fn decode<T: DeserializeOwned>(header: &MessageHeader, body: &[u8]) -> Result<T, TransferError> {
    if !header.is_compressed {
        return ciborium::from_reader(body).map_err(malformed_error);
    }
    // Decompressed as a whole first: the CBOR decoder makes small reads, which are slow.
    let mut plain = Vec::new();
    let mut decoder = DeflateDecoder::new(body).take(MAX_MESSAGE_BYTES as u64);
    decoder.read_to_end(&mut plain).map_err(malformed_error)?;
    ciborium::from_reader(&plain[..]).map_err(malformed_error)
}

/// Waits until the peer closes the connection, so that the sent message isn't cut off. Gives up
/// after a timeout.
pub(super) async fn wait_for_close(socket: &mut WebSocketStream<TcpStream>) {
    let closing = async { while let Some(Ok(_)) = socket.next().await {} };
    let _ = timeout(CLOSE_TIMEOUT, closing).await;
}

fn malformed_error(error: impl std::fmt::Display) -> TransferError {
    TransferError::Malformed(error.to_string())
}

fn connection_error(error: impl std::fmt::Display) -> TransferError {
    TransferError::Connection(error.to_string())
}
