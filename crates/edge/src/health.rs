//! Health probes of upstreams while the store doesn't respond.
//!
//! An upstream may turn cold at any time. Its entry in the store reports it, and so do its health
//! responses; while the store doesn't respond, these are the only source. One box probes each
//! upstream and notifies the others.

use crate::body::{AnyBody, buffer_body, full};
use crate::connections::Connection;
use crate::context::{Context, Lifecycle};
use crate::counted::BufferedBytes;
use crate::datagram::Datagram;
use crate::upstream_signals::{InvalidSignal, cold_time};
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{
    HealthProber, HealthProbers, MemberRecord, Scope, UpstreamIncarnation, UpstreamRecord,
    UpstreamState,
};
use brasswinch_types::{ColdTime, UpstreamSignal};
use bytes::Bytes;
use http::{HeaderValue, Request, header};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Interval between probes of one upstream. A cold upstream is treated as warm for up to this long.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a probe. Probes wait for a slot of the upstream as requests do.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum length of a health response's body, whose content is ignored. A connection with a longer
/// body isn't reused.
const MAX_BODY_BYTES: usize = 4_096;

/// Maximum idle time of a connection that a probe may use. After a longer time the upstream may
/// have closed it, so a new one is established.
const MAX_PROBE_IDLE_TIME: Duration = Duration::from_secs(3);

/// Maximum concurrent probes of a box, so that they use little of a slow link.
const MAX_CONCURRENT_PROBES: usize = 16;

/// Delay before a cold notice is sent a second time, because a datagram may be lost.
const RESEND_DELAY: Duration = Duration::from_millis(150);

/// Notifies other boxes that an upstream is cold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdNotice {
    /// The upstream.
    #[serde(rename = "l")]
    pub incarnation: UpstreamIncarnation,
    /// How much longer it stays cold, in milliseconds.
    #[serde(rename = "m")]
    pub for_ms: u64,
}

/// Counts health probes by result.
#[derive(Debug, Default)]
pub(crate) struct HealthProbes {
    pub(crate) answered: AtomicU64,
    pub(crate) unanswered: AtomicU64,
}

/// Why a probe got no usable response.
#[derive(Debug, thiserror::Error)]
enum HealthError {
    #[error("the probe timed out")]
    TimedOut,
    #[error("connecting failed: {0}")]
    Unreachable(std::io::Error),
    #[error("the connection failed: {0}")]
    ConnectionFailed(hyper::Error),
    #[error("another upstream responded at the address")]
    WrongUpstream,
}

/// Probes upstreams whenever the store doesn't respond, for as long as the process runs.
pub(crate) async fn probe_while_store_silent(context: Arc<Context>) {
    context.reached(Lifecycle::Serving).await;
    let serves_from = context.clock.now();
    loop {
        // Before the first confirmed view, the store has not responded since the start.
        let age_ms = context.view_age_ms(Scope::Upstreams);
        let age_ms = age_ms.unwrap_or_else(|| context.clock.now().saturating_sub(serves_from));
        let unreachable_ms = context.view_limits.unreachable_ms();
        if age_ms < unreachable_ms {
            sleep(Duration::from_millis(unreachable_ms - age_ms)).await;
            continue;
        }
        probe_all(&context).await;
    }
}

/// Probes each upstream that this box is responsible for, then waits until the next round is due.
async fn probe_all(context: &Arc<Context>) {
    let due = tokio::time::Instant::now() + PROBE_INTERVAL;
    let mut probes = JoinSet::new();
    for record in context.upstreams_to_probe() {
        if probes.len() >= MAX_CONCURRENT_PROBES {
            probes.join_next().await;
        }
        probes.spawn(probe(Arc::clone(context), record));
    }
    while probes.join_next().await.is_some() {}
    tokio::time::sleep_until(due).await;
}

/// Probes one upstream, and notifies all boxes if it is cold.
async fn probe(context: Arc<Context>, record: UpstreamRecord) {
    let result = timeout(PROBE_TIMEOUT, request_health(&context, &record)).await;
    let result = result.unwrap_or(Err(HealthError::TimedOut));
    let counts = &context.health_probes;
    match result {
        Ok(cold) => {
            counts.answered.fetch_add(1, Ordering::Relaxed);
            if let Some(cold) = cold {
                context.announce_cold(&record, cold).await;
            }
        }
        Err(error) => {
            counts.unanswered.fetch_add(1, Ordering::Relaxed);
            let upstream = &record.id;
            emit(
                Event::HealthUnanswered,
                format_args!("upstream={upstream}: {error}"),
            );
        }
    }
}

/// Returns how long the upstream reports to stay cold; `None` if it is warm.
async fn request_health(
    context: &Arc<Context>,
    record: &UpstreamRecord,
) -> Result<Option<ColdTime>, HealthError> {
    let pool = &context.pool;
    let pooled = pool.take(&record.id, MAX_PROBE_IDLE_TIME);
    let mut connection = match pooled {
        Some(connection) => connection,
        None => pool
            .connect(&record.id, record.address)
            .await
            .map_err(HealthError::Unreachable)?,
    };
    let request = health_request(context, record);
    let sending = connection.sender().send_request(request);
    let response = sending.await.map_err(HealthError::ConnectionFailed)?;
    let (parts, body) = response.into_parts();
    let instance = parts.headers.get(&context.dialect.instance);
    let is_meant_upstream = |value: &HeaderValue| value.as_bytes() == record.id.as_str().as_bytes();
    if !instance.is_some_and(is_meant_upstream) {
        return Err(HealthError::WrongUpstream);
    }
    return_to_pool(context, connection, body).await;
    match cold_time(&parts.headers, &context.dialect) {
        Ok(cold) => Ok(cold.filter(|cold| cold.ms() > 0)),
        Err(error) => {
            let signal = UpstreamSignal::Cold;
            context.record_invalid_signal(&record.incarnation(), InvalidSignal { signal, error });
            Ok(None)
        }
    }
}

/// Returns the connection to the pool after a complete response.
async fn return_to_pool(
    context: &Arc<Context>,
    connection: Connection,
    body: hyper::body::Incoming,
) {
    let mut memory = BufferedBytes::none(context);
    if let Ok(buffered) = buffer_body(body, MAX_BODY_BYTES, &mut memory).await
        && buffered.is_complete()
    {
        connection.reuse();
    }
}

fn health_request(context: &Context, record: &UpstreamRecord) -> Request<AnyBody> {
    let mut request = Request::new(full(Bytes::new()));
    let in_force = context.in_force.load();
    let service = in_force
        .as_ref()
        .and_then(|in_force| in_force.config.services.get(&record.service));
    let path = service.and_then(|service| service.health_path.parse().ok());
    *request.uri_mut() = path.unwrap_or_default();
    if let Ok(host) = HeaderValue::from_str(&record.address.to_string()) {
        request.headers_mut().insert(header::HOST, host);
    }
    request
}

impl Context {
    /// Returns the upstreams that this box has to probe now.
    fn upstreams_to_probe(&self) -> Vec<UpstreamRecord> {
        let in_force = self.in_force.load();
        let Some(in_force) = in_force.as_ref() else {
            return Vec::new();
        };
        let has_path = |record: &UpstreamRecord| {
            let service = in_force.config.services.get(&record.service);
            service.is_some_and(|service| !service.health_path.is_empty())
        };
        let probers = self.health_probers();
        let zones = &self.settings.zones;
        let probers = HealthProbers::new(&self.settings.id, zones, probers.into_iter());
        let mine: Vec<UpstreamRecord> = self
            .fleet()
            .upstreams()
            .map(|(record, _)| record)
            .filter(|record| record.state == UpstreamState::Ready && has_path(record))
            .filter(|record| probers.probes(record))
            .cloned()
            .collect();
        let now = self.clock.now();
        let placement = self.placement();
        let needs_probe = |record: &UpstreamRecord| !placement.is_cold(&record.incarnation(), now);
        mine.into_iter().filter(needs_probe).collect()
    }

    /// Returns the serving boxes that reach upstreams; all serving boxes if none does.
    fn health_probers(&self) -> Vec<HealthProber> {
        let swim = self.swim();
        let prober = |record: &MemberRecord| HealthProber {
            id: record.id.clone(),
            zone: record.zone.clone(),
        };
        let reaching = swim.serving_boxes().filter(|record| !record.is_cut_off());
        let reaching: Vec<HealthProber> = reaching.map(prober).collect();
        if reaching.is_empty() {
            return swim.serving_boxes().map(prober).collect();
        }
        reaching
    }

    /// Records that an upstream is cold, and notifies all boxes.
    async fn announce_cold(&self, record: &UpstreamRecord, cold: ColdTime) {
        let notice = ColdNotice {
            incarnation: record.incarnation(),
            for_ms: cold.ms(),
        };
        self.record_cold(&notice, "health");
        let boxes = self.serving_addresses();
        let datagram = Datagram::ColdNotice(notice);
        self.send_to_all(&datagram, &boxes);
        sleep(RESEND_DELAY).await;
        self.send_to_all(&datagram, &boxes);
    }

    fn send_to_all(&self, datagram: &Datagram, boxes: &[SocketAddr]) {
        boxes
            .iter()
            .for_each(|to| self.send_datagram(datagram, *to));
    }

    fn serving_addresses(&self) -> Vec<SocketAddr> {
        let swim = self.swim();
        let others = swim.serving_boxes();
        let others = others.filter(|record| record.id != self.settings.id);
        others.map(|record| record.peer_address).collect()
    }

    /// Handles another box's notice that an upstream is cold.
    pub(crate) fn handle_cold_notice(&self, notice: &ColdNotice) {
        self.record_cold(notice, "peer");
    }

    fn record_cold(&self, notice: &ColdNotice, source: &str) {
        let now = self.clock.now();
        let is_new = self
            .placement()
            .record_cold(&notice.incarnation, notice.for_ms, now);
        if is_new {
            let (upstream, for_ms) = (&notice.incarnation.upstream, notice.for_ms);
            emit(
                Event::UpstreamCold,
                format_args!("upstream={upstream} for_ms={for_ms} from={source}"),
            );
        }
    }
}
