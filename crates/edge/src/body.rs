//! Bodies: short ones are buffered whole, longer ones are streamed.

use crate::counted::BufferedBytes;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use http_body_util::combinators::BoxBody;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::time::{Instant, Sleep};

/// The body of a response to a client, or of a request to an upstream.
pub(crate) type AnyBody = BoxBody<Bytes, BodyError>;

/// Why a body ended early.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    /// The sender's connection failed.
    #[error("the connection failed before the end of the body: {0}")]
    ConnectionFailed(#[from] hyper::Error),
    /// The body is longer than allowed.
    #[error("the body exceeds the maximum length")]
    TooLong,
    /// The request's deadline passed.
    #[error("the request's deadline passed before the end of the body")]
    TimedOut,
}

/// Maximum bytes that a body hands over at a time. The rest is held, and counted, until the
/// connection takes it.
const MAX_FRAME_BYTES: usize = 16 * 1024;

/// Returns a body of the given bytes.
pub(crate) fn full(bytes: impl Into<Bytes>) -> AnyBody {
    let whole = WholeBody { rest: bytes.into() };
    whole.map_err(|never| match never {}).boxed()
}

/// A buffered body, handed over in frames.
struct WholeBody {
    rest: Bytes,
}

impl Body for WholeBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.rest.len().min(MAX_FRAME_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.rest.split_to(length)))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}

/// The body of a client's request.
pub(crate) enum ClientBody {
    /// The body as it arrives.
    Incoming(Incoming),
    /// No body.
    Empty,
}

/// A body that is buffered, whole or in part.
pub(crate) struct BufferedBody {
    /// The buffered bytes.
    pub(crate) bytes: Bytes,
    /// The remainder, not read yet, if the body is longer than the buffer limit or than the memory
    /// that is left.
    pub(crate) remainder: Option<Incoming>,
    /// Whether the remainder was left for lack of memory.
    pub(crate) lacks_memory: bool,
}

impl BufferedBody {
    /// Returns a body without bytes.
    pub(crate) fn empty() -> Self {
        Self {
            bytes: Bytes::new(),
            remainder: None,
            lacks_memory: false,
        }
    }

    /// Whether the whole body is buffered, so that it can be sent again.
    pub(crate) fn is_complete(&self) -> bool {
        self.remainder.is_none()
    }
}

/// Buffers a body up to `max_buffered` bytes, or until `memory` can't grow; the remainder of a
/// longer one is not read. Where nothing is to be buffered, the first frame is not counted: it is
/// part of what is reserved for a stream.
pub(crate) async fn buffer_body(
    mut body: Incoming,
    max_buffered: usize,
    memory: &mut BufferedBytes,
) -> Result<BufferedBody, BodyError> {
    let mut pieces = Pieces::default();
    let mut lacks_memory = false;
    while pieces.length() <= max_buffered && !lacks_memory {
        let Some(frame) = body.frame().await else {
            return Ok(BufferedBody {
                bytes: pieces.join(),
                remainder: None,
                lacks_memory: false,
            });
        };
        if let Ok(data) = frame?.into_data() {
            lacks_memory = max_buffered > 0 && !memory.grow_to(pieces.length() + data.len());
            pieces.push(data, memory.reserved());
        }
    }
    Ok(BufferedBody {
        bytes: pieces.join(),
        remainder: Some(body),
        lacks_memory,
    })
}

/// The pieces of a body. A single one is not copied.
#[derive(Default)]
struct Pieces {
    first: Option<Bytes>,
    joined: BytesMut,
}

impl Pieces {
    fn length(&self) -> usize {
        self.joined.len() + self.first.as_ref().map_or(0, Bytes::len)
    }

    /// Adds a piece. `reserved` bytes are known to be needed.
    fn push(&mut self, data: Bytes, reserved: usize) {
        if self.first.is_none() && self.joined.is_empty() {
            self.first = Some(data);
            return;
        }
        let reserved = reserved.max(self.length() + data.len());
        self.joined.reserve(reserved - self.joined.len());
        if let Some(first) = self.first.take() {
            self.joined.extend_from_slice(&first);
        }
        self.joined.extend_from_slice(&data);
    }

    fn join(self) -> Bytes {
        self.first.unwrap_or_else(|| self.joined.freeze())
    }
}

/// A body that is streamed: its buffered beginning, then the remainder as it arrives.
pub(crate) struct StreamedBody<G> {
    beginning: Option<Bytes>,
    remainder: Incoming,
    timer: Pin<Box<Sleep>>,
    /// Bytes that may still arrive.
    allowance: u64,
    /// Kept until the body ends.
    guard: Option<G>,
    on_complete: Option<fn(G)>,
}

impl<G> StreamedBody<G> {
    /// Streams `beginning`, then `remainder`. `guard` is passed to `on_complete` when the body is
    /// complete, and dropped if it ends early.
    pub(crate) fn new(
        beginning: Bytes,
        remainder: Incoming,
        limits: StreamLimits,
        guard: G,
        on_complete: fn(G),
    ) -> Self {
        Self {
            allowance: limits.max_bytes.saturating_sub(beginning.len() as u64),
            beginning: Some(beginning),
            remainder,
            timer: Box::pin(tokio::time::sleep_until(limits.until)),
            guard: Some(guard),
            on_complete: Some(on_complete),
        }
    }

    fn complete(&mut self) {
        if let (Some(guard), Some(on_complete)) = (self.guard.take(), self.on_complete.take()) {
            on_complete(guard);
        }
    }
}

/// Limits of a streamed body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamLimits {
    /// Maximum length in bytes.
    pub(crate) max_bytes: u64,
    /// When the body must be complete.
    pub(crate) until: Instant,
}

impl<G: Unpin> Body for StreamedBody<G> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(beginning) = self.beginning.take() {
            if self.remainder.is_end_stream() {
                self.complete();
            }
            return Poll::Ready(Some(Ok(Frame::data(beginning))));
        }
        match Pin::new(&mut self.remainder).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                let length = frame.data_ref().map_or(0, Bytes::len) as u64;
                let Some(left) = self.allowance.checked_sub(length) else {
                    return Poll::Ready(Some(Err(BodyError::TooLong)));
                };
                self.allowance = left;
                if self.remainder.is_end_stream() {
                    self.complete();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => Poll::Ready(Some(Err(error.into()))),
            Poll::Ready(None) => {
                self.complete();
                Poll::Ready(None)
            }
            Poll::Pending => {
                if self.timer.as_mut().poll(cx).is_ready() {
                    return Poll::Ready(Some(Err(BodyError::TimedOut)));
                }
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.beginning.is_none() && self.remainder.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let beginning = self.beginning.as_ref().map_or(0, Bytes::len) as u64;
        match self.remainder.size_hint().exact() {
            Some(remainder) => SizeHint::with_exact(remainder + beginning),
            None => SizeHint::default(),
        }
    }
}

/// A body that holds a guard until it has been passed on or dropped.
pub(crate) struct GuardedBody<G> {
    body: AnyBody,
    _guard: G,
}

impl<G> GuardedBody<G> {
    pub(crate) fn new(body: AnyBody, guard: G) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl<G: Unpin> Body for GuardedBody<G> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
