//! Accepts callers and routes their requests.

use super::answer::error_answer;
use super::body::AnswerBody;
use super::claim::Claims;
use super::lookup::lookup;
use super::proxy::proxy;
use crate::context::Context;
use brasswinch_listen::{ClientStream, ConnectionClose, ServiceEnd};
use brasswinch_observe::{Event, emit};
use futures_util::FutureExt;
use http::{HeaderValue, Method, Request, Response, Version, header};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use std::convert::Infallible;
use std::error::Error;
use std::net::{IpAddr, SocketAddr};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Longest time that a caller may take to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a caller may acknowledge nothing of an answer while its connection is closed.
const MAX_STALL: Duration = Duration::from_secs(10);

/// Longest head, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Pause after a failed accept, so that a full table of files doesn't spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time after the stop in which connections that were open still bring a request: it
/// was sent before its caller could know. The box closes them only then.
const LAST_REQUESTS: Duration = Duration::from_millis(250);

/// Serves callers until `stop` is set, then finishes the requests in progress.
pub(crate) async fn serve(
    context: Arc<Context>,
    claims: Arc<Claims>,
    listener: TcpListener,
    stop: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    let mut stopped = stop.clone();
    let caller = |peer: SocketAddr| Caller {
        context: Arc::clone(&context),
        claims: Arc::clone(&claims),
        ip: peer.ip(),
        stop: stop.clone(),
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next(), if !connections.is_empty() => continue,
            _ = stopped.wait_for(|stopped| *stopped) => break,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        connections.spawn(serve_connection(caller(peer), stream));
    }
    brasswinch_listen::close(listener, |stream, peer| {
        connections.spawn(serve_connection(caller(peer), stream));
    })
    .await;
    while connections.join_next().await.is_some() {}
}

/// One caller's connection and what its requests need.
#[derive(Clone)]
struct Caller {
    context: Arc<Context>,
    claims: Arc<Claims>,
    ip: IpAddr,
    stop: watch::Receiver<bool>,
}

async fn serve_connection(caller: Caller, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let (stream, closing) = ClientStream::new(stream);
    let end = serve_requests(caller, stream).await;
    if let ConnectionClose::Lingered(lingered) = closing.close(end, MAX_STALL).await
        && lingered.may_lack_bytes()
    {
        emit(Event::ResponseUnacknowledged, format_args!("{lingered}"));
    }
}

/// Serves a connection until the HTTP library ends it.
async fn serve_requests(caller: Caller, stream: ClientStream) -> ServiceEnd {
    let mut stop = caller.stop.clone();
    let service = service_fn(move |request| {
        let caller = caller.clone();
        async move { Ok::<_, Infallible>(answer(&caller, request).await) }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES);
    builder.http2().timer(TokioTimer::new());
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    // A caller that breaks off needs no answer.
    tokio::select! {
        served = connection.as_mut() => return service_end(served),
        _ = stop.wait_for(|stopped| *stopped) => {}
    }
    if let Ok(served) = timeout(LAST_REQUESTS, connection.as_mut()).await {
        return service_end(served);
    }
    connection.as_mut().graceful_shutdown();
    // Ready at once if it was idle.
    if connection.as_mut().now_or_never().is_some() {
        return ServiceEnd::BetweenRequests;
    }
    service_end(connection.await)
}

fn service_end(served: Result<(), Box<dyn Error + Send + Sync>>) -> ServiceEnd {
    let error = served.as_ref().err();
    let error = error.and_then(|error| error.downcast_ref::<hyper::Error>());
    // No request came in time.
    if error.is_some_and(hyper::Error::is_timeout) {
        return ServiceEnd::BetweenRequests;
    }
    ServiceEnd::AfterResponse
}

/// Answers a request; after the stop the answer ends its connection.
async fn answer(caller: &Caller, request: Request<Incoming>) -> Response<AnswerBody> {
    let is_http1 = request.version() <= Version::HTTP_11;
    let mut response = route(&caller.context, &caller.claims, request, caller.ip).await;
    if is_http1 && *caller.stop.borrow() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn route(
    context: &Arc<Context>,
    claims: &Claims,
    request: Request<Incoming>,
    peer: IpAddr,
) -> Response<AnswerBody> {
    if request.uri().path() != "/v1/lookup" {
        return proxy(context, claims, request).await;
    }
    if request.method() != Method::GET {
        return error_answer(brasswinch_types::ErrorKind::MalformedRequest);
    }
    lookup(context, request.uri(), request.headers(), peer).unwrap_or_else(error_answer)
}
