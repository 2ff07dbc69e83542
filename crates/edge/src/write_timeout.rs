//! Closes a client's connection that takes no bytes for too long.
//!
//! Load pattern: clients that stop reading in the middle of a large response. Each holds buffers, a
//! connection to an upstream and a slot there until its connection ends.

use std::error::Error;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

/// Returns whether an error of the HTTP library comes from a write that made no progress.
pub(crate) fn is_write_timeout(error: &hyper::Error) -> bool {
    let source = error.source().and_then(|source| source.downcast_ref());
    source.is_some_and(|error: &io::Error| error.kind() == io::ErrorKind::TimedOut)
}

/// A connection with a limit on how long a write may make no progress.
pub(crate) struct WriteTimeout<S> {
    stream: S,
    limit: Duration,
    /// Runs while the client takes nothing.
    timer: Option<Pin<Box<Sleep>>>,
}

impl<S> WriteTimeout<S> {
    pub(crate) fn new(stream: S, limit: Duration) -> Self {
        Self {
            stream,
            limit,
            timer: None,
        }
    }

    /// Returns the result of a write, or an error if writes have been pending for too long.
    fn limited<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.timer = None;
            return written;
        }
        let limit = self.limit;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WriteTimeout<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WriteTimeout<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.limited(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.limited(cx, written)
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
