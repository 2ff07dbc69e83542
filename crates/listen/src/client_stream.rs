//! A client's connection whose socket outlives the HTTP library's use of it.

use crate::linger::{ConnectionClose, close_stream};
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Where a dropped [`ClientStream`] leaves its socket.
type Slot = Arc<Mutex<Option<TcpStream>>>;

/// A client's connection, to be served by an HTTP library. When the library drops it, the socket
/// goes to its [`ClosingSocket`] and stays open.
#[derive(Debug)]
pub struct ClientStream {
    /// `None` only while it is dropped.
    stream: Option<TcpStream>,
    slot: Slot,
}

/// Closes a client's connection after the HTTP library has dropped it.
#[derive(Debug)]
pub struct ClosingSocket {
    slot: Slot,
}

/// What the HTTP library was doing when it ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceEnd {
    /// It waited for a request. Bytes that arrive now belong to a request that was not read, and
    /// its client may repeat it.
    BetweenRequests,
    /// It had sent a response that ends the connection, or the client ended it.
    AfterResponse,
    /// The client took nothing for too long.
    ClientStalled,
}

impl ClientStream {
    /// Splits a connection into the part that is served and the part that closes it.
    pub fn new(stream: TcpStream) -> (Self, ClosingSocket) {
        let slot = Slot::default();
        let closing = ClosingSocket {
            slot: Arc::clone(&slot),
        };
        let stream = Self {
            stream: Some(stream),
            slot,
        };
        (stream, closing)
    }

    fn poll_stream<T>(
        &mut self,
        poll: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        match &mut self.stream {
            Some(stream) => poll(Pin::new(stream)),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }
}

impl Drop for ClientStream {
    fn drop(&mut self) {
        let mut slot = self.slot.lock().unwrap_or_else(PoisonError::into_inner);
        *slot = self.stream.take();
    }
}

impl ClosingSocket {
    /// Closes the connection so that the client gets all that was sent: ends the sending side, and
    /// discards what the client still sends until it ends its side too.
    ///
    /// `max_stall` is how long the client may acknowledge nothing. A connection that ends
    /// [between requests](ServiceEnd::BetweenRequests) is closed at once if everything has been
    /// acknowledged.
    pub async fn close(self, end: ServiceEnd, max_stall: Duration) -> ConnectionClose {
        match self.take() {
            Some(stream) => close_stream(stream, end, max_stall).await,
            None => ConnectionClose::AtOnce,
        }
    }

    fn take(self) -> Option<TcpStream> {
        let mut slot = self.slot.lock().unwrap_or_else(PoisonError::into_inner);
        slot.take()
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_stream(|stream| stream.poll_read(cx, buf))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_stream(|stream| stream.poll_write(cx, buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_stream(|stream| stream.poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream
            .as_ref()
            .is_some_and(AsyncWrite::is_write_vectored)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_stream(|stream| stream.poll_flush(cx))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_stream(|stream| stream.poll_shutdown(cx))
    }
}
