//! Health probes of upstreams while the store doesn't respond.
//!
//! An upstream may turn cold at any time. Its entry in the store reports it, and so do its health
//! responses; while the store doesn't respond, these are the only source. One box probes each
//! upstream and notifies the others.

use crate::body::{AnyBody, full, hold};
use crate::connections::Connection;
use crate::context::{Context, Lifecycle};
use crate::datagram::Datagram;
use crate::upstream_signals::{Unreadable, cold_time};
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{
    HealthAsker, HealthAskers, Scope, UpstreamLife, UpstreamRecord, UpstreamState,
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
const ASK_EVERY: Duration = Duration::from_secs(1);

/// Timeout of a probe. Probes wait for a slot of the upstream as requests do.
const ANSWER_WITHIN: Duration = Duration::from_millis(800);

/// Maximum length of a health response's body, whose content is ignored. A connection with a longer
/// body isn't reused.
const MOST_BODY_BYTES: usize = 4_096;

/// Maximum idle time of a connection that a probe may use. After a longer time the upstream may
/// have closed it, so a new one is established.
const LONGEST_REST: Duration = Duration::from_secs(3);

/// Maximum concurrent probes of a box, so that they use little of a slow link.
const MOST_AT_ONCE: usize = 16;

/// Delay before a cold notice is sent a second time, because a datagram may be lost.
const TELL_AGAIN: Duration = Duration::from_millis(150);

/// Notifies other boxes that an upstream is cold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdNews {
    /// The upstream.
    #[serde(rename = "l")]
    pub life: UpstreamLife,
    /// How much longer it stays cold, in milliseconds.
    #[serde(rename = "m")]
    pub for_ms: u64,
}

/// Counts health probes by result.
#[derive(Debug, Default)]
pub(crate) struct HealthQuestions {
    pub(crate) answered: AtomicU64,
    pub(crate) unanswered: AtomicU64,
}

/// Why a probe got no usable response.
#[derive(Debug, thiserror::Error)]
enum HealthError {
    #[error("the probe timed out")]
    Late,
    #[error("connecting failed: {0}")]
    Unreachable(std::io::Error),
    #[error("the connection failed: {0}")]
    Broken(hyper::Error),
    #[error("another upstream responded at the address")]
    Another,
}

/// Probes upstreams whenever the store doesn't respond, for as long as the process runs.
pub(crate) async fn ask_while_silent(context: Arc<Context>) {
    context.reached(Lifecycle::Serving).await;
    let serves_from = context.clock.now();
    loop {
        // Before the first confirmed view, the store has not responded since the start.
        let age_ms = context.view_age_ms(Scope::Upstreams);
        let age_ms = age_ms.unwrap_or_else(|| context.clock.now().saturating_sub(serves_from));
        let silent_ms = context.view_limits.silent_ms();
        if age_ms < silent_ms {
            sleep(Duration::from_millis(silent_ms - age_ms)).await;
            continue;
        }
        ask_all(&context).await;
    }
}

/// Probes each upstream that this box is responsible for, then waits until the next round is due.
async fn ask_all(context: &Arc<Context>) {
    let due = tokio::time::Instant::now() + ASK_EVERY;
    let mut asking = JoinSet::new();
    for record in context.upstreams_to_ask() {
        if asking.len() >= MOST_AT_ONCE {
            asking.join_next().await;
        }
        asking.spawn(ask(Arc::clone(context), record));
    }
    while asking.join_next().await.is_some() {}
    tokio::time::sleep_until(due).await;
}

/// Probes one upstream, and notifies all boxes if it is cold.
async fn ask(context: Arc<Context>, record: UpstreamRecord) {
    let answered = timeout(ANSWER_WITHIN, question(&context, &record)).await;
    let answered = answered.unwrap_or(Err(HealthError::Late));
    let questions = &context.health_questions;
    match answered {
        Ok(cold) => {
            questions.answered.fetch_add(1, Ordering::Relaxed);
            if let Some(cold) = cold {
                context.tell_cold(&record, cold).await;
            }
        }
        Err(error) => {
            questions.unanswered.fetch_add(1, Ordering::Relaxed);
            let upstream = &record.id;
            emit(
                Event::HealthUnanswered,
                format_args!("upstream={upstream}: {error}"),
            );
        }
    }
}

/// Returns how long the upstream reports to stay cold; `None` if it is warm.
async fn question(
    context: &Arc<Context>,
    record: &UpstreamRecord,
) -> Result<Option<ColdTime>, HealthError> {
    let pool = &context.pool;
    let rested = pool.take(&record.id, LONGEST_REST);
    let mut connection = match rested {
        Some(connection) => connection,
        None => pool
            .connect(&record.id, record.address)
            .await
            .map_err(HealthError::Unreachable)?,
    };
    let request = health_request(context, record);
    let sending = connection.sender().send_request(request);
    let answer = sending.await.map_err(HealthError::Broken)?;
    let (parts, body) = answer.into_parts();
    let instance = parts.headers.get(&context.dialect.instance);
    let names_itself = |value: &HeaderValue| value.as_bytes() == record.id.as_str().as_bytes();
    if !instance.is_some_and(names_itself) {
        return Err(HealthError::Another);
    }
    keep(connection, body).await;
    match cold_time(&parts.headers, &context.dialect) {
        Ok(cold) => Ok(cold.filter(|cold| cold.ms() > 0)),
        Err(error) => {
            let signal = UpstreamSignal::Cold;
            context.hear_unreadable(&record.life(), Unreadable { signal, error });
            Ok(None)
        }
    }
}

/// Returns the connection to the pool after a complete response.
async fn keep(connection: Connection, body: hyper::body::Incoming) {
    if let Ok(held) = hold(body, MOST_BODY_BYTES).await
        && held.is_whole()
    {
        connection.reuse();
    }
}

fn health_request(context: &Context, record: &UpstreamRecord) -> Request<AnyBody> {
    let mut request = Request::new(full(Bytes::new()));
    let in_force = context.in_force.load();
    let service = in_force
        .as_ref()
        .and_then(|held| held.config.services.get(&record.service));
    let path = service.and_then(|service| service.health_path.parse().ok());
    *request.uri_mut() = path.unwrap_or_default();
    if let Ok(host) = HeaderValue::from_str(&record.address.to_string()) {
        request.headers_mut().insert(header::HOST, host);
    }
    request
}

impl Context {
    /// Returns the upstreams that this box has to probe now.
    fn upstreams_to_ask(&self) -> Vec<UpstreamRecord> {
        let in_force = self.in_force.load();
        let Some(in_force) = in_force.as_ref() else {
            return Vec::new();
        };
        let has_path = |record: &UpstreamRecord| {
            let service = in_force.config.services.get(&record.service);
            service.is_some_and(|service| !service.health_path.is_empty())
        };
        let askers: Vec<HealthAsker> = self
            .swim()
            .serving_boxes()
            .map(|record| HealthAsker {
                id: record.id.clone(),
                zone: record.zone.clone(),
            })
            .collect();
        let zones = &self.settings.zones;
        let askers = HealthAskers::new(&self.settings.id, zones, askers.into_iter());
        let mine: Vec<UpstreamRecord> = self
            .fleet()
            .upstreams()
            .map(|(record, _)| record)
            .filter(|record| record.state == UpstreamState::Ready && has_path(record))
            .filter(|record| askers.asks(record))
            .cloned()
            .collect();
        let now = self.clock.now();
        let placement = self.placement();
        let is_asked = |record: &UpstreamRecord| !placement.is_cold(&record.life(), now);
        mine.into_iter().filter(is_asked).collect()
    }

    /// Records that an upstream is cold, and notifies all boxes.
    async fn tell_cold(&self, record: &UpstreamRecord, cold: ColdTime) {
        let news = ColdNews {
            life: record.life(),
            for_ms: cold.ms(),
        };
        self.take_cold(&news, "health");
        let boxes = self.serving_addresses();
        let datagram = Datagram::ColdNews(news);
        self.send_to_all(&datagram, &boxes);
        sleep(TELL_AGAIN).await;
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
    pub(crate) fn hear_cold(&self, news: &ColdNews) {
        self.take_cold(news, "peer");
    }

    fn take_cold(&self, news: &ColdNews, source: &str) {
        let now = self.clock.now();
        let is_news = self.placement().turned_cold(&news.life, news.for_ms, now);
        if is_news {
            let (upstream, for_ms) = (&news.life.upstream, news.for_ms);
            emit(
                Event::UpstreamCold,
                format_args!("upstream={upstream} for_ms={for_ms} from={source}"),
            );
        }
    }
}
