//! Accepts client connections.
//!
//! On a planned stop the box keeps serving for a while and closes each connection with its next
//! response, so that requests that have reached the machine are answered. It then accepts the
//! connections left in the listener's queue and closes the listener.

use crate::connection_usage::{CountedStream, OpenStream};
use crate::context::{Context, Lifecycle};
use crate::counted::OpenConnection;
use crate::pipeline::{Pipeline, ReadAhead};
use crate::write_timeout::{WriteTimeout, is_write_timeout};
use brasswinch_listen::{ClientStream, ClosingSocket, ServiceEnd};
use futures_util::FutureExt;
use http::{HeaderValue, header};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Pause after a failed accept. Prevents a busy loop when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Idle time after which a connection is closed if no configuration is in force.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(60);

/// Added to the idle limit, so that a client that observes it never uses a closed connection.
const IDLE_MARGIN: Duration = Duration::from_secs(2);

/// Added to the operators' maximum length of a head, for the request line. The sum is the size of
/// a connection's buffers, which bounds what a slow client holds.
const HEAD_MARGIN_BYTES: usize = 2 * 1024;

/// Minimum size of a connection's buffer; the HTTP library accepts no smaller one.
const MIN_CONNECTION_BUFFER_BYTES: usize = 8 * 1024;

/// Maximum size of a connection's buffer.
const MAX_CONNECTION_BUFFER_BYTES: usize = 64 * 1024;

/// How long open connections may still bring a request after the box has closed. Such a request
/// was sent before the client could learn of the close.
pub(crate) const CLOSE_GRACE: Duration = Duration::from_millis(250);

/// Serves clients until the box is closed, then accepts the connections left in the queue.
pub(crate) async fn serve(context: Arc<Context>, listener: TcpListener) {
    let mut closed = pin!(context.reached(Lifecycle::Closed));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut closed => break,
        };
        match accepted {
            Ok((stream, _)) => spawn_connection(&context, stream),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
    brasswinch_listen::close(listener, |stream, _| spawn_connection(&context, stream)).await;
}

fn spawn_connection(context: &Arc<Context>, stream: TcpStream) {
    let context = Arc::clone(context);
    let open = OpenConnection::new(&context);
    tokio::spawn(async move {
        let _open = open;
        serve_connection(context, stream).await;
    });
}

async fn serve_connection(context: Arc<Context>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let idle = idle_limit(&context) + IDLE_MARGIN;
    let (stream, closing) = ClientStream::new(stream);
    let end = serve_requests(&context, stream, idle).await;
    close_connection(&context, closing, end, idle).await;
}

/// Closes a connection that the HTTP library has left, and counts how that went.
async fn close_connection(
    context: &Context,
    closing: ClosingSocket,
    end: ServiceEnd,
    max_stall: Duration,
) {
    let _open = OpenStream::new(&context.connection_usage);
    let _lingering = context.connection_closes.begin();
    let closed = closing.close(end, max_stall).await;
    context.connection_closes.record(closed);
}

/// Serves a connection until the HTTP library ends it. `idle` is how long the client may send no
/// request, or take nothing of a response.
async fn serve_requests(
    context: &Arc<Context>,
    stream: ClientStream,
    idle: Duration,
) -> ServiceEnd {
    let pipeline = Arc::new(Pipeline::new(Arc::clone(context)));
    let stream = ReadAhead::new(stream, Arc::clone(&pipeline));
    let stream = CountedStream::new(stream, &context.connection_usage);
    let io = WriteTimeout::new(stream, idle);
    let service = service_fn(|request| {
        let (context, pipeline) = (Arc::clone(context), Arc::clone(&pipeline));
        async move {
            let mut response = pipeline.handle(request).await;
            // Requests that run before their turn are answered before the connection closes.
            if context.lifecycle() >= Lifecycle::Leaving && pipeline.is_idle() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut connection = pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle)
            .max_buf_size(buffer_bytes(context))
            .serve_connection(TokioIo::new(io), service)
    );
    let is_closed = async {
        context.reached(Lifecycle::Closed).await;
        pipeline.idle().await;
    };
    tokio::select! {
        served = connection.as_mut() => return service_end(served),
        () = is_closed => {}
    }
    if let Ok(served) = timeout(CLOSE_GRACE, connection.as_mut()).await {
        return service_end(served);
    }
    connection.as_mut().graceful_shutdown();
    // Ready at once if it was idle.
    if connection.as_mut().now_or_never().is_some() {
        return ServiceEnd::BetweenRequests;
    }
    service_end(connection.await)
}

fn service_end(served: hyper::Result<()>) -> ServiceEnd {
    match served {
        // No request came within the idle limit.
        Err(error) if error.is_timeout() => ServiceEnd::BetweenRequests,
        Err(error) if is_write_timeout(&error) => ServiceEnd::ClientStalled,
        _ => ServiceEnd::AfterResponse,
    }
}

/// Returns the size of a connection's read and write buffers.
fn buffer_bytes(context: &Context) -> usize {
    let in_force = context.in_force.load();
    let limits = in_force.as_ref().map(|in_force| in_force.config.limits);
    let max_head = limits.unwrap_or_default().max_header_bytes;
    let bytes = max_head.saturating_add(HEAD_MARGIN_BYTES);
    bytes.clamp(MIN_CONNECTION_BUFFER_BYTES, MAX_CONNECTION_BUFFER_BYTES)
}

fn idle_limit(context: &Context) -> Duration {
    let in_force = context.in_force.load();
    let limits = in_force.as_ref().map(|in_force| in_force.config.limits);
    limits.map_or(DEFAULT_IDLE_LIMIT, |limits| {
        Duration::from_secs_f64(limits.idle_timeout_s.max(limits.header_timeout_s))
    })
}
