//! Requests of one connection that run before their turn.

use super::head::parse_head;
use crate::answer::error_response;
use crate::body::{AnyBody, ClientBody, GuardedBody};
use crate::context::{Context, Lifecycle};
use crate::counted::BufferedBytes;
use crate::exchange::{handle_request, may_run_early};
use crate::upstream_response::{MAX_BUFFERED_RESPONSE_BYTES, StreamedUntil};
use brasswinch_observe::{Event, emit};
use brasswinch_types::ErrorKind;
use http::request::Parts;
use http::{Request, Response};
use http_body_util::BodyExt;
use std::collections::VecDeque;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context as TaskContext, Waker};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Maximum requests of a connection that run before their turn. With more, one connection could
/// take the slots of upstreams that many clients share.
const MAX_EARLY_REQUESTS: usize = 8;

/// Memory that is reserved before an early request starts. A longer response takes more as it
/// arrives.
const RESERVED_RESPONSE_BYTES: usize = 32 * 1024;

/// A request that runs before its turn. Dropping it cancels the request.
struct EarlyRequest {
    /// Its place among the requests of the connection.
    place: u64,
    head: Parts,
    response: JoinHandle<Response<AnyBody>>,
    buffered: Option<BufferedBytes>,
}

impl Drop for EarlyRequest {
    fn drop(&mut self) {
        self.response.abort();
    }
}

/// The state that a connection's reader and its request handler share.
#[derive(Default)]
struct State {
    /// The place of the request in turn, from 1.
    turn: u64,
    /// Early requests in the order of the connection; the first is next in turn.
    early: VecDeque<EarlyRequest>,
    /// Whether the response to the request in turn has been passed on.
    is_turn_over: bool,
    /// The task that waits for the end of the turn.
    reader: Option<Waker>,
}

/// The requests of one connection.
pub(crate) struct Pipeline {
    context: Arc<Context>,
    state: Mutex<State>,
    turn_over: Notify,
}

/// Ends the turn of a request when its response has been passed on.
pub(crate) struct Turn(Arc<Pipeline>);

impl Drop for Turn {
    fn drop(&mut self) {
        self.0.end_turn();
    }
}

impl Pipeline {
    pub(crate) fn new(context: Arc<Context>) -> Self {
        Self {
            context,
            state: Mutex::default(),
            turn_over: Notify::new(),
        }
    }

    /// Begins the turn of the next request.
    pub(crate) fn begin_turn(&self) {
        let mut state = self.lock();
        state.turn += 1;
        state.is_turn_over = false;
    }

    /// Returns whether the turn is over; if not, wakes the task when it is.
    pub(crate) fn poll_turn_over(&self, cx: &TaskContext<'_>) -> bool {
        let mut state = self.lock();
        if !state.is_turn_over {
            state.reader = Some(cx.waker().clone());
        }
        state.is_turn_over
    }

    fn end_turn(&self) {
        let mut state = self.lock();
        state.is_turn_over = true;
        let reader = state.reader.take();
        drop(state);
        if let Some(reader) = reader {
            reader.wake();
        }
        self.turn_over.notify_waiters();
    }

    /// Returns whether no request runs before its turn.
    pub(crate) fn is_idle(&self) -> bool {
        self.lock().early.is_empty()
    }

    /// Waits until no request runs before its turn.
    pub(crate) async fn idle(&self) {
        loop {
            let turn_over = self.turn_over.notified();
            if self.is_idle() {
                return;
            }
            turn_over.await;
        }
    }

    /// Returns whether requests behind the one with this head may run beside it: not if it may run
    /// only once, since its client may count on the order.
    pub(crate) fn may_run_beside(&self, head: &[u8]) -> bool {
        parse_head(head).is_some_and(|head| may_run_early(&self.context, &head))
    }

    /// Starts the request with this head, which has no body. Returns false if it has to wait for
    /// its turn.
    pub(crate) fn start(&self, head: &[u8]) -> bool {
        if self.context.lifecycle() >= Lifecycle::Leaving {
            return false;
        }
        let mut state = self.lock();
        if state.early.len() >= MAX_EARLY_REQUESTS {
            return false;
        }
        let head = parse_head(head).filter(|head| may_run_early(&self.context, head));
        let Some(head) = head else {
            return false;
        };
        let buffered = BufferedBytes::reserve(&self.context, RESERVED_RESPONSE_BYTES);
        let Some(buffered) = buffered else {
            return false;
        };
        let context = Arc::clone(&self.context);
        let request = Request::from_parts(head.clone(), ClientBody::Empty);
        let response = tokio::spawn(async move {
            handle_request(&context, request, MAX_BUFFERED_RESPONSE_BYTES).await
        });
        let metrics = &self.context.metrics;
        metrics.early_requests.fetch_add(1, Ordering::Relaxed);
        let last = state.early.back().map_or(state.turn, |last| last.place);
        let place = last + 1;
        state.early.push_back(EarlyRequest {
            place,
            head,
            response,
            buffered: Some(buffered),
        });
        true
    }

    /// Takes the request whose turn it is if it has been started.
    fn take(&self, head: &Parts) -> Option<EarlyRequest> {
        let mut state = self.lock();
        let turn = state.turn;
        let early = state.early.pop_front_if(|early| early.place == turn)?;
        if has_same_head(&early.head, head) {
            return Some(early);
        }
        // The library reads the connection otherwise: what was started is not what was sent.
        state.early.clear();
        None
    }

    /// Handles the request whose turn it is.
    pub(crate) async fn handle(
        self: &Arc<Self>,
        request: Request<hyper::body::Incoming>,
    ) -> Response<AnyBody> {
        let turn = Turn(Arc::clone(self));
        let (head, body) = request.into_parts();
        let response = match self.take(&head) {
            Some(mut early) => {
                let buffered = early.buffered.take();
                match (&mut early.response).await {
                    // Its end would be cut, and with it the connection and all responses behind.
                    Ok(response) if is_stream_overdue(&response) => {
                        error_response(ErrorKind::TimeoutAfterSend)
                    }
                    Ok(response) => response.map(|body| GuardedBody::new(body, buffered).boxed()),
                    // Its task panicked; early requests may run again.
                    Err(error) => {
                        emit(Event::RequestRetried, format_args!("early run: {error}"));
                        self.run(head, ClientBody::Incoming(body)).await
                    }
                }
            }
            None => self.run(head, ClientBody::Incoming(body)).await,
        };
        response.map(|body| GuardedBody::new(body, turn).boxed())
    }

    async fn run(&self, head: Parts, body: ClientBody) -> Response<AnyBody> {
        let request = Request::from_parts(head, body);
        handle_request(&self.context, request, MAX_BUFFERED_RESPONSE_BYTES).await
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether the rest of a streamed response can't arrive in time. Its beginning may have waited long
/// for its turn.
fn is_stream_overdue(response: &Response<AnyBody>) -> bool {
    let until = response.extensions().get::<StreamedUntil>();
    until.is_some_and(|until| Instant::now() >= until.0)
}

fn has_same_head(one: &Parts, other: &Parts) -> bool {
    one.method == other.method && one.uri == other.uri && one.headers == other.headers
}
