//! A small HTTP server and client, shared by the stand-ins.

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;

/// Error that makes the server cut the connection.
#[derive(Debug, thiserror::Error)]
#[error("the stand-in cuts the connection")]
pub struct Cut;

/// Body of a stand-in's answer.
pub type LabBody = BoxBody<Bytes, Cut>;

/// An answer, or a cut.
pub type LabAnswer = Result<http::Response<LabBody>, Cut>;

/// What can go wrong in the lab.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// A socket failed.
    #[error("socket: {0}")]
    Io(#[from] std::io::Error),
    /// A stand-in's answer can't be read.
    #[error("unexpected answer: {0}")]
    Answer(String),
    /// A daemon did not start.
    #[error(transparent)]
    Daemon(#[from] brasswinch_daemon::DaemonError),
    /// Settings are wrong.
    #[error(transparent)]
    Settings(#[from] brasswinch_settings::SettingsError),
}

/// Serves `handler` until the runtime ends.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(http::Request<Incoming>, SocketAddr) -> F + Send + Sync + 'static,
    F: Future<Output = LabAnswer> + Send + 'static,
{
    let handler = Arc::new(handler);
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = Arc::clone(&handler);
        tokio::spawn(async move {
            let service = service_fn(move |request| handler(request, peer));
            let connection = hyper::server::conn::http1::Builder::new()
                .half_close(false)
                .serve_connection(TokioIo::new(stream), service);
            // A caller that breaks off is part of the experiments.
            let _ = connection.await;
        });
    }
}

/// A body held in memory.
pub fn full(bytes: impl Into<Bytes>) -> LabBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// A body sent piece by piece.
pub fn stream<S>(pieces: S) -> LabBody
where
    S: Stream<Item = Result<Frame<Bytes>, Cut>> + Send + Sync + 'static,
{
    StreamBody::new(pieces).boxed()
}

/// A JSON answer.
pub fn json<T: Serialize>(value: &T) -> LabAnswer {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    Ok(http::Response::new(full(bytes)))
}

/// An empty answer with a status.
pub fn status(status: http::StatusCode) -> LabAnswer {
    let mut response = http::Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    Ok(response)
}

/// A whole body as JSON.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, Cut> {
    let bytes = body.collect().await.map_err(|_| Cut)?.to_bytes();
    serde_json::from_slice(&bytes).map_err(|_| Cut)
}

/// A client for the stand-ins' control and the administration API.
#[derive(Clone, Debug)]
pub struct LabClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: http::HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl Default for LabClient {
    fn default() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }
}

impl LabClient {
    /// Sends a request and reads the whole answer.
    pub async fn send(&self, request: http::Request<Full<Bytes>>) -> Result<WholeAnswer, LabError> {
        let failed = |error: String| LabError::Answer(error);
        let response = self
            .client
            .request(request)
            .await
            .map_err(|error| failed(error.to_string()))?;
        let (parts, body) = response.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|error| failed(error.to_string()))?
            .to_bytes();
        Ok(WholeAnswer {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body,
        })
    }

    /// Reads JSON at `path` of `address`, with a credential where one is given.
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        token: Option<&str>,
    ) -> Result<T, LabError> {
        let answer = self
            .send(call("GET", address, path, token, Bytes::new())?)
            .await?;
        decode(&answer)
    }

    /// Posts JSON to `path` of `address` and returns the answer.
    pub async fn post<Q: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        token: Option<&str>,
        message: &Q,
    ) -> Result<WholeAnswer, LabError> {
        let bytes = serde_json::to_vec(message).unwrap_or_default();
        self.send(call("POST", address, path, token, bytes.into())?)
            .await
    }
}

/// The JSON of an answer.
pub fn decode<T: DeserializeOwned>(answer: &WholeAnswer) -> Result<T, LabError> {
    serde_json::from_slice(&answer.body).map_err(|error| {
        let body = String::from_utf8_lossy(&answer.body);
        LabError::Answer(format!("{error} in status {}: {body}", answer.status))
    })
}

fn call(
    method: &str,
    address: SocketAddr,
    path: &str,
    token: Option<&str>,
    body: Bytes,
) -> Result<http::Request<Full<Bytes>>, LabError> {
    let mut request = http::Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json");
    if let Some(token) = token {
        request = request.header("authorization", format!("Bearer {token}"));
    }
    request
        .body(Full::new(body))
        .map_err(|error| LabError::Answer(error.to_string()))
}
