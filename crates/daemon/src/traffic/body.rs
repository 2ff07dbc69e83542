//! Bodies that are passed through piece by piece, never held whole.
//!
//! A body that breaks off, stalls or passes its deadline ends with an error. The
//! HTTP library then cuts the connection, so a part is never taken for the whole.

use super::connections::Connection;
use crate::gate::Permit;
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, Sleep};

/// The body of an answer to a caller.
pub(crate) type AnswerBody = BoxBody<Bytes, BodyError>;

/// Why a body was cut.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    /// The other side broke off.
    #[error("the body broke off: {0}")]
    Broken(#[from] hyper::Error),
    /// No progress for too long.
    #[error("the body made no progress")]
    Stalled,
    /// The request's deadline passed.
    #[error("the deadline passed")]
    Deadline,
}

/// A body held in memory, for short answers.
pub(crate) fn full(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Time limits of a body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// Longest time without progress.
    pub(crate) idle: Duration,
    /// When the whole request must be over.
    pub(crate) deadline: Instant,
}

/// How a caller's body came through.
#[derive(Debug, Default)]
pub(crate) struct Progress(AtomicU8);

/// `Progress` starts at 0: neither whole nor failed.
const COMPLETE: u8 = 1;
const FAILED: u8 = 2;

impl Progress {
    /// Whether the whole body was passed on.
    pub(crate) fn is_complete(&self) -> bool {
        self.0.load(Ordering::Acquire) == COMPLETE
    }

    /// Whether the caller broke off.
    pub(crate) fn has_failed(&self) -> bool {
        self.0.load(Ordering::Acquire) == FAILED
    }

    fn set(&self, state: u8) {
        self.0.store(state, Ordering::Release);
    }
}

/// Watches the time of a body.
struct Timer {
    limits: BodyLimits,
    sleep: Pin<Box<Sleep>>,
}

impl Timer {
    fn new(limits: BodyLimits) -> Self {
        let sleep = Box::pin(tokio::time::sleep_until(Self::next(limits)));
        Self { limits, sleep }
    }

    fn next(limits: BodyLimits) -> Instant {
        (Instant::now() + limits.idle).min(limits.deadline)
    }

    fn progressed(&mut self) {
        let next = Self::next(self.limits);
        self.sleep.as_mut().reset(next);
    }

    fn poll_expired(&mut self, cx: &mut Context<'_>) -> Option<BodyError> {
        if self.sleep.as_mut().poll(cx).is_pending() {
            return None;
        }
        if Instant::now() >= self.limits.deadline {
            return Some(BodyError::Deadline);
        }
        Some(BodyError::Stalled)
    }
}

/// The caller's body on its way to the upstream.
pub(crate) struct UploadBody {
    /// `None` for a body without content.
    inner: Option<Incoming>,
    timer: Option<Timer>,
    progress: Arc<Progress>,
}

impl UploadBody {
    pub(crate) fn new(inner: Incoming, limits: BodyLimits, progress: Arc<Progress>) -> Self {
        if inner.is_end_stream() {
            progress.set(COMPLETE);
        }
        Self {
            inner: Some(inner),
            timer: Some(Timer::new(limits)),
            progress,
        }
    }

    /// A body without content.
    pub(crate) fn empty(progress: &Arc<Progress>) -> Self {
        progress.set(COMPLETE);
        Self {
            inner: None,
            timer: None,
            progress: Arc::clone(progress),
        }
    }
}

impl Body for UploadBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        let (Some(inner), Some(timer)) = (&mut this.inner, &mut this.timer) else {
            return Poll::Ready(None);
        };
        match Pin::new(&mut *inner).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                timer.progressed();
                if inner.is_end_stream() {
                    this.progress.set(COMPLETE);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                this.progress.set(FAILED);
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(None) => {
                this.progress.set(COMPLETE);
                Poll::Ready(None)
            }
            Poll::Pending => match timer.poll_expired(cx) {
                Some(error) => {
                    this.progress.set(FAILED);
                    Poll::Ready(Some(Err(error)))
                }
                None => Poll::Pending,
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        match &self.inner {
            Some(inner) => inner.size_hint(),
            None => SizeHint::with_exact(0),
        }
    }
}

/// Called when an answer's body ends: whether it came whole.
pub(crate) type OnEnd = Box<dyn FnOnce(bool) + Send + Sync>;

/// The upstream's body on its way to the caller. Holds the slot until it ends.
pub(crate) struct DownloadBody {
    inner: Incoming,
    timer: Timer,
    held: Option<Held>,
}

/// What an answer holds while it is under way.
pub(crate) struct Held {
    pub(crate) permit: Permit,
    pub(crate) connection: Connection,
    pub(crate) upload: Arc<Progress>,
    pub(crate) on_end: OnEnd,
}

impl DownloadBody {
    pub(crate) fn new(inner: Incoming, limits: BodyLimits, held: Held) -> Self {
        let mut body = Self {
            inner,
            timer: Timer::new(limits),
            held: Some(held),
        };
        if body.inner.is_end_stream() {
            body.finish(true);
        }
        body
    }

    /// Frees the slot. The connection is used again only after a whole answer to a
    /// request that was itself sent whole.
    fn finish(&mut self, whole: bool) {
        let Some(held) = self.held.take() else {
            return;
        };
        if whole && held.upload.is_complete() {
            held.connection.reuse();
        }
        drop(held.permit);
        (held.on_end)(whole);
    }
}

impl Drop for DownloadBody {
    fn drop(&mut self) {
        self.finish(false);
    }
}

impl Body for DownloadBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.timer.progressed();
                if self.inner.is_end_stream() {
                    self.finish(true);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.finish(false);
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(None) => {
                self.finish(true);
                Poll::Ready(None)
            }
            Poll::Pending => match self.timer.poll_expired(cx) {
                Some(error) => {
                    self.finish(false);
                    Poll::Ready(Some(Err(error)))
                }
                None => Poll::Pending,
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
