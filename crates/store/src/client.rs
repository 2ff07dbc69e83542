//! One HTTP call to the platform, with its error sorted by what it means.

use crate::StoreError;
use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Longest answer that is read, in bytes: a full listing of configuration.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Calls one HTTP server of the platform.
#[derive(Clone, Debug)]
pub(crate) struct PlatformClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    timeout: Duration,
}

impl PlatformClient {
    pub(crate) fn new(address: SocketAddr, local: Option<IpAddr>, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_local_address(local);
        connector.set_connect_timeout(Some(timeout));
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            address,
            timeout,
        }
    }

    /// Posts `message` as JSON and reads the answer as JSON.
    pub(crate) async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        message: &Q,
    ) -> Result<A, StoreError> {
        let response = self.send(Method::POST, path, Some(message)).await?;
        self.read(response).await
    }

    /// Reads the JSON at `path`.
    pub(crate) async fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, StoreError> {
        let response = self.send::<()>(Method::GET, path, None).await?;
        self.read(response).await
    }

    /// Sends a call and waits for the head of its answer.
    pub(crate) async fn send<Q: Serialize>(
        &self,
        method: Method,
        path: &str,
        message: Option<&Q>,
    ) -> Result<http::Response<Incoming>, StoreError> {
        let body = match message {
            Some(message) => serde_json::to_vec(message)
                .map_err(|error| StoreError::Unreachable(error.to_string()))?,
            None => Vec::new(),
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| StoreError::Unreachable(error.to_string()))?;
        let answer = tokio::time::timeout(self.timeout, self.client.request(request))
            .await
            .map_err(|_| StoreError::AnswerLost("no answer in time".into()))?;
        let response = answer.map_err(|error| {
            if error.is_connect() {
                StoreError::Unreachable(error.to_string())
            } else {
                StoreError::AnswerLost(error.to_string())
            }
        })?;
        match response.status() {
            StatusCode::OK => Ok(response),
            StatusCode::TOO_MANY_REQUESTS => Err(StoreError::Throttled),
            StatusCode::SERVICE_UNAVAILABLE => Err(StoreError::Unreachable(
                "the platform is unavailable".into(),
            )),
            other => Err(StoreError::AnswerLost(format!("status {other}"))),
        }
    }

    async fn read<A: DeserializeOwned>(
        &self,
        response: http::Response<Incoming>,
    ) -> Result<A, StoreError> {
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let collected = tokio::time::timeout(self.timeout, body.collect())
            .await
            .map_err(|_| StoreError::AnswerLost("the answer stopped".into()))?
            .map_err(|error| StoreError::AnswerLost(error.to_string()))?;
        serde_json::from_slice(&collected.to_bytes())
            .map_err(|error| StoreError::Malformed(error.to_string()))
    }
}
