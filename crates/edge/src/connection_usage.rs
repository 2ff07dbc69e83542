//! Counts open connections and the bytes that they carry.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Connections of this box to clients, upstreams and boxes that it carries tunnels for.
#[derive(Debug, Default)]
pub(crate) struct ConnectionUsage {
    /// Open connections.
    pub(crate) open: AtomicUsize,
    /// Bytes sent since the start, without headers of the network.
    pub(crate) sent_bytes: AtomicU64,
    /// Bytes received since the start, without headers of the network.
    pub(crate) received_bytes: AtomicU64,
}

/// Counts a connection while it is open.
pub(crate) struct OpenStream(Arc<ConnectionUsage>);

impl OpenStream {
    pub(crate) fn new(usage: &Arc<ConnectionUsage>) -> Self {
        usage.open.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(usage))
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A connection whose bytes are counted.
pub(crate) struct CountedStream<S> {
    stream: S,
    open: OpenStream,
}

impl<S> CountedStream<S> {
    pub(crate) fn new(stream: S, usage: &Arc<ConnectionUsage>) -> Self {
        Self {
            stream,
            open: OpenStream::new(usage),
        }
    }

    pub(crate) fn get_mut(&mut self) -> &mut S {
        &mut self.stream
    }

    fn count_sent(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            let sent = &self.open.0.sent_bytes;
            sent.fetch_add(*bytes as u64, Ordering::Relaxed);
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        let bytes = buf.filled().len().saturating_sub(before) as u64;
        if bytes > 0 {
            let received = &self.open.0.received_bytes;
            received.fetch_add(bytes, Ordering::Relaxed);
        }
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count_sent(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count_sent(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
