//! A client's connection as the HTTP library reads it: one request at a time.
//!
//! The library answers one request after the other and reads no further meanwhile. This reader
//! hands it one message, keeps reading, and starts the requests that are pipelined behind it. The
//! end of the connection reaches the library at once, so that it cancels what nobody waits for.

use super::early::Pipeline;
use super::head::{NextHead, next_head};
use brasswinch_listen::ClientStream;
use bytes::{Buf, Bytes, BytesMut};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum bytes that are read ahead. Further requests stay in the kernel's buffers.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;

/// Bytes that are read at a time.
const READ_BYTES: usize = 4 * 1024;

/// What the library gets next.
#[derive(Debug)]
enum Next {
    /// A head, once it is complete.
    Head,
    /// The rest of a message, of this many bytes.
    Message(u64),
    /// Nothing until the response has been passed on.
    Wait,
    /// Everything as it arrives.
    Anything,
}

/// A client's connection.
pub(crate) struct ReadAhead {
    stream: ClientStream,
    pipeline: Arc<Pipeline>,
    next: Next,
    /// Bytes that the library has not got.
    buffered: BytesMut,
    /// The head of the request in turn, if it has no body.
    current: Option<Bytes>,
    /// Length of the buffered heads whose requests have been started.
    started_bytes: usize,
    /// Whether a request behind the one in turn has to wait, and all behind it.
    is_blocked: bool,
    has_ended: bool,
}

impl ReadAhead {
    pub(crate) fn new(stream: ClientStream, pipeline: Arc<Pipeline>) -> Self {
        Self {
            stream,
            pipeline,
            next: Next::Head,
            buffered: BytesMut::new(),
            current: None,
            started_bytes: 0,
            is_blocked: false,
            has_ended: false,
        }
    }

    /// Reads more bytes into the buffer. Ready with `false` at the end of the connection.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        let mut space = [0; READ_BYTES];
        let mut read = ReadBuf::new(&mut space);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read))?;
        self.buffered.extend_from_slice(read.filled());
        self.has_ended = read.filled().is_empty();
        Poll::Ready(Ok(!self.has_ended))
    }

    /// Decides what the library gets next. Ready when there is something, or the connection's end.
    fn poll_head(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            let head = next_head(&self.buffered);
            self.current = None;
            match head {
                NextHead::Partial if self.buffered.len() < MAX_READ_AHEAD_BYTES => {
                    if ready!(self.poll_fill(cx))? {
                        continue;
                    }
                    self.next = Next::Anything;
                }
                NextHead::NoBody { head_bytes } => {
                    let head = self.buffered.get(..head_bytes).unwrap_or_default();
                    self.current = Some(Bytes::copy_from_slice(head));
                    self.next = Next::Message(head_bytes as u64);
                }
                NextHead::WithBody { message_bytes } => self.next = Next::Message(message_bytes),
                NextHead::Partial | NextHead::Other => self.next = Next::Anything,
            }
            self.is_blocked = false;
            self.pipeline.begin_turn();
            return Poll::Ready(Ok(()));
        }
    }

    /// Reads ahead while the response is pending. Ready when its turn is over, or at the
    /// connection's end.
    fn poll_wait(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            if self.pipeline.poll_turn_over(cx) {
                self.next = Next::Head;
                return Poll::Ready(Ok(()));
            }
            self.start_requests();
            if self.buffered.len() >= MAX_READ_AHEAD_BYTES {
                return Poll::Pending;
            }
            if !ready!(self.poll_fill(cx))? {
                self.next = Next::Anything;
                self.buffered.clear();
                return Poll::Ready(Ok(()));
            }
        }
    }

    /// Starts the requests behind the one in turn, up to the first one that has to wait.
    fn start_requests(&mut self) {
        if self.is_blocked || self.buffered.len() == self.started_bytes {
            return;
        }
        let current = self.current.as_deref();
        if !current.is_some_and(|head| self.pipeline.may_run_beside(head)) {
            self.is_blocked = true;
            return;
        }
        loop {
            let rest = &self.buffered[self.started_bytes..];
            match next_head(rest) {
                NextHead::Partial => return,
                NextHead::NoBody { head_bytes } if self.pipeline.start(&rest[..head_bytes]) => {
                    self.started_bytes += head_bytes;
                }
                _ => {
                    self.is_blocked = true;
                    return;
                }
            }
        }
    }

    /// Hands over buffered bytes, at most `limit`. Returns how many.
    fn hand_over(&mut self, buf: &mut ReadBuf<'_>, limit: u64) -> u64 {
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let length = self.buffered.len().min(buf.remaining()).min(limit);
        buf.put_slice(&self.buffered[..length]);
        self.buffered.advance(length);
        self.started_bytes = self.started_bytes.saturating_sub(length);
        length as u64
    }
}

impl AsyncRead for ReadAhead {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        loop {
            match this.next {
                Next::Head => ready!(this.poll_head(cx))?,
                Next::Wait => ready!(this.poll_wait(cx))?,
                Next::Message(0) => this.next = Next::Wait,
                Next::Message(left) => {
                    if this.buffered.is_empty() && !ready!(this.poll_fill(cx))? {
                        return Poll::Ready(Ok(()));
                    }
                    let handed_over = this.hand_over(buf, left);
                    this.next = Next::Message(left - handed_over);
                    return Poll::Ready(Ok(()));
                }
                Next::Anything if !this.buffered.is_empty() => {
                    this.hand_over(buf, u64::MAX);
                    return Poll::Ready(Ok(()));
                }
                Next::Anything if this.has_ended => return Poll::Ready(Ok(())),
                Next::Anything => return Pin::new(&mut this.stream).poll_read(cx, buf),
            }
        }
    }
}

impl AsyncWrite for ReadAhead {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
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
