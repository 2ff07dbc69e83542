//! Test environment of a box: simulated clients, upstreams and store.
#![allow(dead_code, clippy::unwrap_used, clippy::expect_used)]

pub mod apart;
pub mod fleet;
pub mod know_all;
pub mod versions;

use brasswinch_edge::{
    COORDINATOR_REPLY_TIMEOUT, Clock, Dialect, EdgeAddresses, EdgeHandle, EdgeSettings,
    FleetBounds, start,
};
use brasswinch_lab::memory_store::MemoryStore;
use brasswinch_lab::routed_upstream::Upstream;
use brasswinch_routing::{
    Backend, Change, ClientLimits, ConfigGaps, ConfigVersion, Route, RouteKind, ServiceConfig,
    SteeringConfig, UpstreamRecord, UpstreamState,
};
use brasswinch_types::{BoxId, Region, Service, UpstreamId, Zone};
use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Maximum wait for any condition of a test.
pub const MAX_CONDITION_WAIT: Duration = Duration::from_secs(30);

pub const HOST: &str = "quotes.example";

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Waits until `condition` holds.
pub async fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(
            began.elapsed() < MAX_CONDITION_WAIT,
            "timed out waiting until {what}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

pub fn zones() -> BTreeMap<Zone, Region> {
    BTreeMap::from([
        (Zone::new("west-a"), Region::new("west")),
        (Zone::new("north-a"), Region::new("north")),
    ])
}

pub fn settings(id: &str, seeds: Vec<SocketAddr>) -> EdgeSettings {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    EdgeSettings {
        id: BoxId::new(id),
        zone: Zone::new("west-a"),
        zones: zones(),
        addresses: EdgeAddresses {
            clients: any,
            peers: any,
        },
        seeds,
        memory_bytes: 64_000_000,
        link_mbps: 0,
        cpu_millis: None,
        max_connections: None,
        coordinator_reply_timeout: COORDINATOR_REPLY_TIMEOUT,
        bounds: FleetBounds::default(),
        clock: Clock::default(),
    }
}

pub fn route(prefix: &str, kind: RouteKind, service: &str) -> Route {
    Route {
        name: format!("route {prefix}"),
        host: HOST.into(),
        path_prefix: prefix.into(),
        kind,
        timeout_s: Some(5.0),
        latency_goal_s: 0.3,
        priority: 1,
        backends: vec![Backend {
            service: Service::new(service),
            weight: 1.0,
        }],
        max_attempts: 2,
        sticky: true,
        allowed_regions: BTreeSet::new(),
        is_public: false,
    }
}

/// Routes: `/safe/` is repeatable, `/once/` is not, `/upload/` carries bodies, `/download/` has
/// large responses and `/short/` has a short timeout.
pub fn config(version: u64) -> SteeringConfig {
    let mut short = route("/short/", RouteKind::Repeatable, "desk");
    short.timeout_s = Some(0.3);
    let desk = ServiceConfig {
        max_connections: 100,
        cold_period_s: 3.0,
        cold_per_s: 9.0,
        health_path: "/health".into(),
    };
    SteeringConfig {
        version: ConfigVersion(version),
        routes: vec![
            route("/safe/", RouteKind::Repeatable, "desk"),
            route("/once/", RouteKind::Once, "desk"),
            route("/upload/", RouteKind::Upload, "desk"),
            route("/download/", RouteKind::Download, "desk"),
            short,
        ],
        services: BTreeMap::from([(Service::new("desk"), desk)]),
        workspaces: BTreeMap::new(),
        limits: ClientLimits::default(),
        gaps: ConfigGaps::default(),
    }
}

pub fn record(upstream: &Upstream) -> UpstreamRecord {
    UpstreamRecord {
        started: None,
        id: UpstreamId::new(&upstream.id),
        service: Service::new("desk"),
        address: upstream.address,
        zone: Zone::new("west-a"),
        slots: 4,
        state: UpstreamState::Ready,
        cold_remaining_s: 0.0,
    }
}

/// A box, its store and its upstreams.
pub struct Site {
    pub store: MemoryStore,
    pub upstreams: Vec<Upstream>,
    pub handle: Option<EdgeHandle>,
    pub clients: SocketAddr,
}

impl Site {
    /// Starts a box in front of `upstreams` upstreams and waits until it serves.
    pub async fn start(upstreams: usize) -> Self {
        Self::start_with(settings("box-1", Vec::new()), upstreams).await
    }

    /// Starts a box with these settings.
    pub async fn start_with(settings: EdgeSettings, upstreams: usize) -> Self {
        let dialect = Dialect::default();
        let store = MemoryStore::default().handle();
        store.write(Change::Config(Arc::new(config(1))));
        let mut started = Vec::new();
        for number in 0..upstreams {
            let id = format!("upstream-{number}");
            let upstream = Upstream::start(&id, &dialect).await.unwrap();
            store.write(Change::Upstream(record(&upstream)));
            started.push(upstream);
        }
        // The box has run for long enough to have saved up retries.
        let window = Duration::from_secs_f64(settings.bounds.retry_window_s);
        settings.clock.skip(window);
        let handle = start(settings, dialect, store.clone()).await.unwrap();
        let context = Arc::clone(handle.context());
        eventually("the box is ready", || context.is_ready()).await;
        Self {
            store,
            upstreams: started,
            clients: handle.addresses().clients,
            handle: Some(handle),
        }
    }

    pub async fn get(&self, path: &str) -> Answer {
        call(self.clients, request("GET", path, "")).await.unwrap()
    }

    pub async fn post(&self, path: &str, body: &str) -> Answer {
        call(self.clients, request("POST", path, body))
            .await
            .unwrap()
    }

    /// Returns the number of requests that the upstreams received.
    pub fn seen(&self) -> usize {
        self.upstreams
            .iter()
            .map(|upstream| upstream.seen().len())
            .sum()
    }

    /// Returns the number of requests that the upstreams ran.
    pub fn runs(&self) -> usize {
        let seen = self.upstreams.iter().flat_map(Upstream::seen);
        seen.filter(|seen| seen.ran).count()
    }
}

/// A complete answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

pub fn request(method: &str, path: &str, body: &str) -> Request<Full<Bytes>> {
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    let dialect = Dialect::default();
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", HOST)
        .header(&dialect.request_id, format!("request-{id}"))
        .header(&dialect.deadline_ms, "5000")
        .header("cookie", format!("{}=7", dialect.object_cookie))
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap()
}

/// A persistent connection to a box.
pub struct KeptConnection {
    sender: hyper::client::conn::http1::SendRequest<Full<Bytes>>,
}

impl KeptConnection {
    pub async fn open(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).await.unwrap();
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .unwrap();
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Self { sender }
    }

    pub async fn call(&mut self, request: Request<Full<Bytes>>) -> Result<Answer, hyper::Error> {
        self.sender.ready().await?;
        let response = self.sender.send_request(request).await?;
        let (parts, body) = response.into_parts();
        Ok(Answer {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body: body.collect().await?.to_bytes(),
        })
    }
}

/// Sends one request on its own connection.
pub async fn call(to: SocketAddr, request: Request<Full<Bytes>>) -> Result<Answer, hyper::Error> {
    KeptConnection::open(to).await.call(request).await
}
