//! Asks upstreams how they are while the store can't tell.
//!
//! An upstream may turn cold at any moment. Its entry tells it, and so do its health answers; while
//! the store is silent only these do. One box asks each upstream and tells the others.

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

/// Between two questions to one upstream: a cold one is sent to as a warm one for as long.
const ASK_EVERY: Duration = Duration::from_secs(1);

/// Longest time for an answer. A question waits for a slot as a request does.
const ANSWER_WITHIN: Duration = Duration::from_millis(800);

/// Longest body of an answer, in bytes; it is passed over.
const MOST_BODY_BYTES: usize = 4_096;

/// Longest rest of a connection that a question may be sent on: one that the upstream closes is
/// made anew.
const LONGEST_REST: Duration = Duration::from_secs(3);

/// Questions that a box has under way at once, so that they take little of a small link.
const MOST_AT_ONCE: usize = 16;

/// Until others are told once more that an upstream is cold: a datagram may be lost.
const TELL_AGAIN: Duration = Duration::from_millis(150);

/// Tells that an upstream is cold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdNews {
    /// The upstream.
    #[serde(rename = "l")]
    pub life: UpstreamLife,
    /// For how much longer, in milliseconds.
    #[serde(rename = "m")]
    pub for_ms: u64,
}

/// How many questions were asked.
#[derive(Debug, Default)]
pub(crate) struct HealthQuestions {
    pub(crate) answered: AtomicU64,
    pub(crate) unanswered: AtomicU64,
}

/// Why a question got no answer that can be used.
#[derive(Debug, thiserror::Error)]
enum HealthError {
    #[error("no answer in time")]
    Late,
    #[error("no connection: {0}")]
    Unreachable(std::io::Error),
    #[error("the connection broke: {0}")]
    Broken(hyper::Error),
    #[error("another upstream answers at the address")]
    Another,
}

/// Asks for as long as the process runs, whenever the store is silent.
pub(crate) async fn ask_while_silent(context: Arc<Context>) {
    context.reached(Lifecycle::Serving).await;
    let serves_from = context.clock.now();
    loop {
        // Until others confirm a view, nothing has been heard of the store since the start.
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

/// Asks each upstream that this box asks for all, and waits until they are to be asked again.
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

/// Asks one upstream, and tells all boxes if it is cold.
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

/// How long the upstream says that it stays cold; `None` where it is not.
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

/// Keeps the connection for other requests once the answer is whole.
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
    /// The upstreams that this box asks now.
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

    /// Takes that an upstream is cold, and tells all boxes.
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

    /// Takes another box's word that an upstream is cold.
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
