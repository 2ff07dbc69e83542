//! Accepts callers and routes their requests.

use super::answer::error_answer;
use super::body::AnswerBody;
use super::claim::Claims;
use super::lookup::lookup;
use super::proxy::proxy;
use crate::context::Context;
use http::{Method, Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use std::convert::Infallible;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Longest time that a caller may take to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest head, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Pause after a failed accept, so that a full table of files doesn't spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves callers until `stop` says so, then finishes what is under way.
pub(crate) async fn serve(
    context: Arc<Context>,
    claims: Arc<Claims>,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopped| *stopped) => break,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let context = Arc::clone(&context);
        let claims = Arc::clone(&claims);
        let service = service_fn(move |request| {
            let context = Arc::clone(&context);
            let claims = Arc::clone(&claims);
            async move {
                let answer = route(&context, &claims, request, peer.ip()).await;
                Ok::<_, Infallible>(answer)
            }
        });
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES);
        builder.http2().timer(TokioTimer::new());
        let connection = builder
            .serve_connection(TokioIo::new(stream), service)
            .into_owned();
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            // A caller that breaks off needs no answer.
            let _ = watched.await;
        });
    }
    drop(listener);
    graceful.shutdown().await;
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
