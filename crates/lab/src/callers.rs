//! Callers: look up a box, send the request there, check every byte of the answer.

use crate::http::LabError;
use crate::upstream::{ANSWER_BYTES_HEADER, ORIGIN_HEADER, TAG_HEADER, answer_bytes};
use brasswinch_daemon::{
    DEADLINE_HEADER, ERROR_HEADER, KEY_HEADER, LookupAnswer, RAN_HEADER, RETRY_AFTER_MS_HEADER,
    TICKET_HEADER,
};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Longest wait for any answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Highest latency that is distinguished, in microseconds.
const LONGEST_US: u64 = 3_600_000_000;

/// Significant digits of a latency.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Bytes of an upload that are sent at a time.
const PIECE_BYTES: usize = 64 * 1024;

type CallerBody = BoxBody<Bytes, Infallible>;

static NEXT_TAG: AtomicU64 = AtomicU64::new(1);

/// How a request went, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The whole and right answer.
    Whole,
    /// A failure from the closed table: its code and whether it ran.
    Refused {
        /// The error's code.
        error: String,
        /// `not_run` or `unknown`.
        ran: String,
        /// When to come back, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The connection broke or no answer came; nothing is known.
    Broken,
    /// A complete answer that is not the answer to this request.
    Wrong,
}

/// One request and its outcome.
#[derive(Clone, Debug)]
pub struct Report {
    /// The request's tag, as the upstream wrote it down.
    pub tag: String,
    /// How it went.
    pub outcome: Outcome,
    /// From the look-up to the last byte.
    pub took: Duration,
    /// The region that the look-up chose, if it answered.
    pub region: Option<String>,
}

/// What to send.
#[derive(Clone, Debug)]
pub struct Job {
    /// The workspace.
    pub workspace: String,
    /// Its caller credential.
    pub token: String,
    /// The service.
    pub service: String,
    /// The caller's region, as a label for the upstreams.
    pub origin: String,
    /// The caller's own key.
    pub key: Option<String>,
    /// Bytes to upload.
    pub upload_bytes: usize,
    /// Pause between two pieces of the upload.
    pub upload_pause: Duration,
    /// Bytes to ask for.
    pub answer_bytes: usize,
    /// Time the request may take, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Send to the first box known, without a look-up, as a cached answer would.
    pub direct: bool,
}

impl Job {
    /// A small request without a body.
    pub fn small(workspace: &str, token: &str, service: &str, origin: &str) -> Self {
        Self {
            workspace: workspace.to_owned(),
            token: token.to_owned(),
            service: service.to_owned(),
            origin: origin.to_owned(),
            key: None,
            upload_bytes: 0,
            upload_pause: Duration::ZERO,
            answer_bytes: 200,
            deadline_ms: None,
            direct: false,
        }
    }
}

/// A caller at one address that sends to any of several boxes.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, CallerBody>,
    boxes: Vec<SocketAddr>,
    next: Arc<AtomicUsize>,
}

impl Caller {
    /// A caller from `local` that sends to `boxes` in turn, over HTTP/1.1.
    pub fn new(local: IpAddr, boxes: Vec<SocketAddr>) -> Self {
        Self::speaking(local, boxes, false)
    }

    /// A caller that uses HTTP/2 only.
    pub fn new_http2(local: IpAddr, boxes: Vec<SocketAddr>) -> Self {
        Self::speaking(local, boxes, true)
    }

    fn speaking(local: IpAddr, boxes: Vec<SocketAddr>, http2: bool) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_local_address(Some(local));
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Self {
            client: Client::builder(TokioExecutor::new())
                .pool_idle_timeout(Duration::from_secs(5))
                .http2_only(http2)
                .build(connector),
            boxes,
            next: Arc::default(),
        }
    }

    /// Looks up a box: the first that answers counts.
    pub async fn lookup(&self, job: &Job) -> Result<LookupAnswer, Outcome> {
        let mut last = Outcome::Broken;
        // One turn for all tries: others who look up meanwhile must not make this one ask
        // a box twice and leave out another.
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        for further in 0..self.boxes.len() {
            let address = self.boxes[(turn + further) % self.boxes.len()];
            match self.lookup_at(address, job).await {
                Ok(answer) => return Ok(answer),
                Err(outcome) => last = outcome,
            }
            let next_box = matches!(&last, Outcome::Broken)
                || matches!(&last, Outcome::Refused { error, .. } if error.starts_with("box_"));
            if !next_box {
                break;
            }
        }
        Err(last)
    }

    /// Looks up at one box.
    pub async fn lookup_at(&self, address: SocketAddr, job: &Job) -> Result<LookupAnswer, Outcome> {
        let mut request = Request::get(format!(
            "http://{address}/v1/lookup?service={}",
            job.service
        ))
        .header("authorization", format!("Bearer {}", job.token));
        if let Some(key) = &job.key {
            request = request.header(KEY_HEADER, key);
        }
        let request = request.body(empty()).map_err(|_| Outcome::Broken)?;
        let (parts, body) = self.exchange(request).await.ok_or(Outcome::Broken)?;
        if parts.status != 200 {
            return Err(refusal(&parts));
        }
        serde_json::from_slice(&body).map_err(|_| Outcome::Wrong)
    }

    /// Looks up and sends, once.
    pub async fn run(&self, job: &Job) -> Report {
        let began = Instant::now();
        let tag = new_tag();
        if job.direct {
            return Report {
                outcome: self.send_to(self.boxes[0], job, None, &tag).await,
                tag,
                took: began.elapsed(),
                region: None,
            };
        }
        let lookup = match self.lookup(job).await {
            Ok(lookup) => lookup,
            Err(outcome) => {
                return Report {
                    tag,
                    outcome,
                    took: began.elapsed(),
                    region: None,
                };
            }
        };
        let mut outcome = Outcome::Broken;
        for candidate in &lookup.boxes {
            let ticket = lookup.ticket.as_deref();
            outcome = self.send_to(candidate.address, job, ticket, &tag).await;
            let next_box =
                matches!(&outcome, Outcome::Refused { error, .. } if error.starts_with("box_"));
            if !next_box {
                break;
            }
        }
        Report {
            tag,
            outcome,
            took: began.elapsed(),
            region: Some(lookup.region),
        }
    }

    /// Sends to one box, with a ticket where there is one, and checks the answer.
    pub async fn send_to(
        &self,
        address: SocketAddr,
        job: &Job,
        ticket: Option<&str>,
        tag: &str,
    ) -> Outcome {
        let hash = upload_hash(tag, job.upload_bytes);
        let mut request = Request::builder()
            .method(if job.upload_bytes > 0 { "PUT" } else { "GET" })
            .uri(format!(
                "http://{address}/{}/{}/item",
                job.workspace, job.service
            ))
            .header("authorization", format!("Bearer {}", job.token))
            .header(TAG_HEADER, tag)
            .header(ORIGIN_HEADER, &job.origin)
            .header(ANSWER_BYTES_HEADER, job.answer_bytes);
        if let Some(ticket) = ticket {
            request = request.header(TICKET_HEADER, ticket);
        }
        if let Some(key) = &job.key {
            request = request.header(KEY_HEADER, key);
        }
        if let Some(deadline_ms) = job.deadline_ms {
            request = request.header(DEADLINE_HEADER, deadline_ms);
        }
        let body = upload(tag, job.upload_bytes, job.upload_pause);
        let Ok(request) = request.body(body) else {
            return Outcome::Broken;
        };
        let Some((parts, body)) = self.exchange(request).await else {
            return Outcome::Broken;
        };
        if parts.headers.contains_key(ERROR_HEADER) {
            return refusal(&parts);
        }
        let expected = answer_bytes(tag, hash, job.upload_bytes, job.answer_bytes);
        if parts.status == 200 && body == expected {
            Outcome::Whole
        } else {
            Outcome::Wrong
        }
    }

    /// The whole answer, or `None` where it didn't come whole.
    async fn exchange(
        &self,
        request: Request<CallerBody>,
    ) -> Option<(http::response::Parts, Bytes)> {
        let exchange = async {
            let response = self.client.request(request).await.ok()?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await.ok()?.to_bytes();
            Some((parts, body))
        };
        tokio::time::timeout(ANSWER_TIMEOUT, exchange).await.ok()?
    }
}

/// A tag that no other request of this process has.
pub fn new_tag() -> String {
    let number = NEXT_TAG.fetch_add(1, Ordering::Relaxed);
    format!("t{}-{number}", std::process::id())
}

fn refusal(parts: &http::response::Parts) -> Outcome {
    let text = |name: &str| {
        let value = parts
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    Outcome::Refused {
        error: text(ERROR_HEADER),
        ran: text(RAN_HEADER),
        retry_after_ms: text(RETRY_AFTER_MS_HEADER).parse().ok(),
    }
}

fn empty() -> CallerBody {
    Full::new(Bytes::new()).boxed()
}

/// The piece that an upload of `tag` is made of.
fn piece(tag: &str) -> Bytes {
    let mut piece = Vec::with_capacity(PIECE_BYTES);
    while piece.len() < PIECE_BYTES {
        piece.extend_from_slice(tag.as_bytes());
        piece.push(b'/');
    }
    piece.truncate(PIECE_BYTES);
    piece.into()
}

fn upload(tag: &str, bytes: usize, pause: Duration) -> CallerBody {
    if bytes == 0 {
        return empty();
    }
    let piece = piece(tag);
    let pieces = futures_util::stream::unfold(0, move |sent| {
        let piece = piece.clone();
        async move {
            if sent >= bytes {
                return None;
            }
            if sent > 0 && !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            let length = PIECE_BYTES.min(bytes - sent);
            let frame = Frame::data(piece.slice(..length));
            Some((Ok(frame), sent + length))
        }
    });
    StreamBody::new(pieces).boxed()
}

fn upload_hash(tag: &str, bytes: usize) -> u64 {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    let piece = piece(tag);
    let mut left = bytes;
    while left > 0 {
        let length = left.min(piece.len());
        hash.update(&piece[..length]);
        left -= length;
    }
    hash.digest()
}

/// What many requests came to.
#[derive(Debug, Default)]
pub struct Tally {
    reports: Mutex<Vec<Report>>,
}

impl Tally {
    /// Adds one report.
    pub fn add(&self, report: Report) {
        self.reports
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(report);
    }

    /// All reports so far.
    pub fn reports(&self) -> Vec<Report> {
        self.reports
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// How many requests had each outcome.
    pub fn by_outcome(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for report in self.reports() {
            let name = match report.outcome {
                Outcome::Whole => "whole".to_owned(),
                Outcome::Refused { error, ran, .. } => format!("{error} ({ran})"),
                Outcome::Broken => "broken".to_owned(),
                Outcome::Wrong => "wrong".to_owned(),
            };
            *counts.entry(name).or_insert(0) += 1;
        }
        counts
    }

    /// Latencies of the whole answers, in microseconds.
    pub fn latencies(&self) -> Result<Histogram<u64>, LabError> {
        let mut histogram = Histogram::new_with_bounds(1, LONGEST_US, SIGNIFICANT_DIGITS)
            .map_err(|error| LabError::Answer(error.to_string()))?;
        for report in self.reports() {
            if report.outcome == Outcome::Whole {
                histogram.saturating_record(report.took.as_micros() as u64);
            }
        }
        Ok(histogram)
    }
}

/// Sends `job` at `per_second`, whatever the answers, for `duration`; waits for the last.
pub async fn open_load(
    caller: Caller,
    job: Job,
    per_second: f64,
    duration: Duration,
    tally: Arc<Tally>,
) {
    let began = Instant::now();
    let mut sent = 0_u32;
    let mut tasks = Vec::new();
    while began.elapsed() < duration {
        let due = began + Duration::from_secs_f64(f64::from(sent) / per_second);
        tokio::time::sleep_until(due.into()).await;
        sent += 1;
        let (caller, mut job, tally) = (caller.clone(), job.clone(), Arc::clone(&tally));
        if let Some(key) = &job.key {
            job.key = Some(format!("{key}-{}", new_tag()));
        }
        tasks.push(tokio::spawn(
            async move { tally.add(caller.run(&job).await) },
        ));
    }
    for task in tasks {
        let _ = task.await;
    }
}
