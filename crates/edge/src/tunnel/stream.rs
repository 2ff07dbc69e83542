//! The bytes of a tunnel as binary messages of a WebSocket.

use crate::peer_silence::PeerSilence;
use futures_util::{Sink, SinkExt, StreamExt};
use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::CloseFrame;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;
use tokio_tungstenite::tungstenite::{Bytes, Error as WebSocketError, Message};

/// Maximum bytes in one message.
const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// Close code if the upstream's connection failed. Without a close message the tunnel itself did.
const UPSTREAM_FAILED: CloseCode = CloseCode::Library(4001);

/// Close code if the upstream's connection timed out, which may be the fault of the carrier's links.
const UPSTREAM_SILENT: CloseCode = CloseCode::Library(4002);

/// The tunnel failed, rather than the upstream's connection behind it.
#[derive(Debug)]
struct TunnelLost(WebSocketError);

impl fmt::Display for TunnelLost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the tunnel failed: {}", self.0)
    }
}

impl std::error::Error for TunnelLost {}

/// Whether the cause of an error is the tunnel, rather than the upstream behind it.
pub(crate) fn is_tunnel_loss(error: &io::Error) -> bool {
    let inner = error.get_ref();
    inner.is_some_and(|inner| inner.downcast_ref::<TunnelLost>().is_some())
}

/// One end of a tunnel.
pub(crate) struct TunnelStream {
    socket: WebSocketStream<TcpStream>,
    /// Received bytes that have not been read.
    received: Bytes,
    is_ended: bool,
    silence: PeerSilence,
}

impl TunnelStream {
    /// Returns the end of a tunnel, which fails if the other end falls silent.
    ///
    /// # Errors
    ///
    /// Fails if the socket takes no options.
    pub(super) fn new(socket: WebSocketStream<TcpStream>) -> io::Result<Self> {
        let silence = PeerSilence::detect(socket.get_ref())?;
        Ok(Self {
            socket,
            received: Bytes::new(),
            is_ended: false,
            silence,
        })
    }

    /// Tells the other end that the upstream's connection failed.
    pub(super) async fn report_upstream_failure(
        &mut self,
        failure: io::ErrorKind,
    ) -> Result<(), WebSocketError> {
        let code = match failure {
            io::ErrorKind::TimedOut
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable => UPSTREAM_SILENT,
            _ => UPSTREAM_FAILED,
        };
        let frame = CloseFrame {
            code,
            reason: "".into(),
        };
        self.socket.send(Message::Close(Some(frame))).await
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.received.is_empty() {
            if self.is_ended {
                return Poll::Ready(Ok(()));
            }
            match ready!(self.socket.poll_next_unpin(cx)) {
                Some(Ok(Message::Binary(bytes))) => {
                    self.received = bytes;
                    self.silence.received();
                }
                Some(Ok(Message::Close(frame))) => {
                    self.is_ended = true;
                    match frame.map(|frame| frame.code) {
                        Some(UPSTREAM_FAILED) => {
                            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
                        }
                        Some(UPSTREAM_SILENT) => {
                            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
                        }
                        _ => {}
                    }
                }
                Some(Ok(_)) => {}
                Some(Err(error)) => return Poll::Ready(Err(tunnel_error(error))),
                None => self.is_ended = true,
            }
        }
        let length = buffer.remaining().min(self.received.len());
        buffer.put_slice(&self.received.split_to(length));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let mut socket = Pin::new(&mut this.socket);
        ready!(socket.as_mut().poll_ready(cx)).map_err(tunnel_error)?;
        let length = bytes.len().min(MAX_MESSAGE_BYTES);
        let message = Message::Binary(Bytes::copy_from_slice(&bytes[..length]));
        socket.start_send(message).map_err(tunnel_error)?;
        this.silence.sent(this.socket.get_ref(), length);
        Poll::Ready(Ok(length))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = ready!(Pin::new(&mut self.socket).poll_flush(cx));
        Poll::Ready(flushed.map_err(tunnel_error))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match ready!(Pin::new(&mut self.socket).poll_close(cx)) {
            Ok(()) | Err(WebSocketError::ConnectionClosed | WebSocketError::AlreadyClosed) => {
                Poll::Ready(Ok(()))
            }
            Err(error) => Poll::Ready(Err(tunnel_error(error))),
        }
    }
}

fn tunnel_error(error: WebSocketError) -> io::Error {
    let kind = match &error {
        WebSocketError::Io(error) => error.kind(),
        _ => io::ErrorKind::ConnectionReset,
    };
    io::Error::new(kind, TunnelLost(error))
}
