//! Bodies: held whole where they are short, passed on piece by piece where not.

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::time::{Instant, Sleep};

/// The body of an answer to a client, or of a request to an upstream.
pub(crate) type AnyBody = BoxBody<Bytes, BodyError>;

/// Why a body was cut.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    /// The other side broke off.
    #[error("the body broke off: {0}")]
    Broken(#[from] hyper::Error),
    /// It is longer than allowed.
    #[error("the body is too long")]
    TooLong,
    /// The request's time is over.
    #[error("the time is over")]
    TimeOver,
}

/// A body that is held whole.
pub(crate) fn full(bytes: impl Into<Bytes>) -> AnyBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// The beginning of a body, as much as is held, and the rest if there is more.
pub(crate) struct Held {
    /// What was read.
    pub(crate) bytes: Bytes,
    /// What was not, where the body is longer than is held.
    pub(crate) rest: Option<Incoming>,
}

impl Held {
    /// Whether the whole body is held, so that it can be sent again.
    pub(crate) fn is_whole(&self) -> bool {
        self.rest.is_none()
    }
}

/// Reads a body up to `most_held` bytes; longer ones are held in part.
pub(crate) async fn hold(mut body: Incoming, most_held: usize) -> Result<Held, BodyError> {
    let mut pieces = BytesMut::new();
    let mut first: Option<Bytes> = None;
    loop {
        let held = pieces.len() + first.as_ref().map_or(0, Bytes::len);
        if held > most_held {
            let bytes = joined(first, pieces);
            let rest = Some(body);
            return Ok(Held { bytes, rest });
        }
        let Some(frame) = body.frame().await else {
            let bytes = joined(first, pieces);
            return Ok(Held { bytes, rest: None });
        };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if first.is_none() && pieces.is_empty() {
            first = Some(data);
            continue;
        }
        if let Some(first) = first.take() {
            pieces.extend_from_slice(&first);
        }
        pieces.extend_from_slice(&data);
    }
}

fn joined(first: Option<Bytes>, pieces: BytesMut) -> Bytes {
    first.unwrap_or_else(|| pieces.freeze())
}

/// A body that was begun and is passed on piece by piece until `until`.
pub(crate) struct Passed<G> {
    begun: Option<Bytes>,
    rest: Incoming,
    timer: Pin<Box<Sleep>>,
    /// Bytes that may still come.
    allowance: u64,
    /// Held until the body ends.
    guard: Option<G>,
    on_whole: Option<fn(G)>,
}

impl<G> Passed<G> {
    /// Passes on `begun`, then `rest`. `guard` is given to `on_whole` at a whole end and
    /// dropped at any other.
    pub(crate) fn new(
        begun: Bytes,
        rest: Incoming,
        limits: PassLimits,
        guard: G,
        on_whole: fn(G),
    ) -> Self {
        Self {
            allowance: limits.most_bytes.saturating_sub(begun.len() as u64),
            begun: Some(begun),
            rest,
            timer: Box::pin(tokio::time::sleep_until(limits.until)),
            guard: Some(guard),
            on_whole: Some(on_whole),
        }
    }

    fn end(&mut self) {
        if let (Some(guard), Some(on_whole)) = (self.guard.take(), self.on_whole.take()) {
            on_whole(guard);
        }
    }
}

/// Limits of a body that is passed on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PassLimits {
    /// Longest body.
    pub(crate) most_bytes: u64,
    /// When it must have ended.
    pub(crate) until: Instant,
}

impl<G: Unpin> Body for Passed<G> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(begun) = self.begun.take() {
            return Poll::Ready(Some(Ok(Frame::data(begun))));
        }
        match Pin::new(&mut self.rest).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                let length = frame.data_ref().map_or(0, Bytes::len) as u64;
                let Some(left) = self.allowance.checked_sub(length) else {
                    return Poll::Ready(Some(Err(BodyError::TooLong)));
                };
                self.allowance = left;
                if self.rest.is_end_stream() {
                    self.end();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => Poll::Ready(Some(Err(error.into()))),
            Poll::Ready(None) => {
                self.end();
                Poll::Ready(None)
            }
            Poll::Pending => {
                if self.timer.as_mut().poll(cx).is_ready() {
                    return Poll::Ready(Some(Err(BodyError::TimeOver)));
                }
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.begun.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let begun = self.begun.as_ref().map_or(0, Bytes::len) as u64;
        match self.rest.size_hint().exact() {
            Some(rest) => SizeHint::with_exact(rest + begun),
            None => SizeHint::default(),
        }
    }
}
