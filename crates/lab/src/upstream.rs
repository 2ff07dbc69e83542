//! Stand-in of a service's upstreams in one region: several targets in one process,
//! which count together what the region really received and ran.

use crate::http::{
    Cut, LabAnswer, LabBody, LabError, full, json, read_json, serve, status, stream,
};
use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;

/// Header with the caller's tag; each request has its own.
pub const TAG_HEADER: &str = "x-tag";

/// Header with the caller's region, for counting shifts.
pub const ORIGIN_HEADER: &str = "x-origin";

/// Header that requests an answer of this many bytes.
pub const ANSWER_BYTES_HEADER: &str = "x-answer-bytes";

/// Longest piece of an answer that is sent at once.
const PIECE_BYTES: usize = 16 * 1024;

/// Pause between the part of a truncated answer and its cut.
const BEFORE_CUT: Duration = Duration::from_millis(5);

/// How the targets behave.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct UpstreamControl {
    /// Requests that each target runs at a time.
    pub slots: u32,
    /// Time to serve one request, in milliseconds.
    pub service_ms: u64,
    /// A target's first requests take this many times as long.
    pub cold_factor: u32,
    /// How many requests it takes to warm up.
    pub cold_requests: u32,
    /// Targets that report that they are leaving.
    pub leaving: Vec<String>,
    /// Load that every report shows instead of the truth.
    pub lie_in_use: Option<u32>,
    /// Pause that it requests in each refusal, in seconds; 0 for none.
    pub rest_s: u32,
    /// Every n-th answer is cut halfway; 0 for none.
    pub truncate_every: u64,
    /// Every n-th connection is cut after the request was run, before its answer; 0 for none.
    pub drop_every: u64,
    /// Every n-th answer carries another request's identifier and tag; 0 for none.
    pub cross_every: u64,
}

impl Default for UpstreamControl {
    fn default() -> Self {
        Self {
            slots: 4,
            service_ms: 5,
            cold_factor: 1,
            cold_requests: 0,
            leaving: Vec::new(),
            lie_in_use: None,
            rest_s: 0,
            truncate_every: 0,
            drop_every: 0,
            cross_every: 0,
        }
    }
}

/// What one target counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCounts {
    /// Requests that were started.
    pub started: u64,
    /// Requests that were run to their end.
    pub finished: u64,
    /// Requests that arrived while all slots were in use, and were refused.
    pub refused: u64,
    /// Requests whose body broke off or whose caller went away.
    pub cut: u64,
    /// Most requests at a time.
    pub most_in_use: u32,
    /// Wall clock of the last request that was started, in milliseconds.
    pub last_start_ms: u64,
}

/// What all targets counted together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamCounts {
    /// Each target.
    pub targets: BTreeMap<String, TargetCounts>,
    /// Most requests at a time over all targets.
    pub most_in_use: u32,
    /// Requests now.
    pub in_use: u32,
}

impl UpstreamCounts {
    /// The sum of a count over all targets.
    pub fn sum(&self, count: impl Fn(&TargetCounts) -> u64) -> u64 {
        self.targets.values().map(count).sum()
    }
}

/// How often requests with one tag or key were started and finished.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// Times started.
    pub started: u32,
    /// Times run to the end.
    pub finished: u32,
}

/// One request that arrived.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    /// Wall clock, in milliseconds.
    pub at_ms: u64,
    /// The caller's region.
    pub origin: String,
}

/// Everything that the targets wrote down.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct UpstreamLog {
    /// By the caller's tag.
    pub by_tag: BTreeMap<String, Runs>,
    /// By the caller's key, for requests that run at most once.
    pub by_key: BTreeMap<String, Runs>,
    /// Requests in the order of their arrival.
    pub arrivals: Vec<Arrival>,
}

#[derive(Default)]
struct State {
    control: UpstreamControl,
    counts: UpstreamCounts,
    in_use: BTreeMap<String, u32>,
    log: UpstreamLog,
    sequence: u64,
    answers: u64,
}

/// The targets of a service in a region. Clones share their state.
#[derive(Clone, Default)]
pub struct Upstreams {
    state: Arc<Mutex<State>>,
}

impl Upstreams {
    /// Creates targets with the behaviour of `control`.
    pub fn new(control: UpstreamControl) -> Self {
        let upstreams = Self::default();
        upstreams.lock().control = control;
        upstreams
    }

    /// Serves target `id` on `listener` until the runtime ends.
    pub async fn run(self, id: String, listener: TcpListener) {
        self.lock().counts.targets.entry(id.clone()).or_default();
        serve(listener, move |request, _| {
            let (upstreams, id) = (self.clone(), id.clone());
            async move { upstreams.handle(&id, request).await }
        })
        .await;
    }

    /// What was counted so far.
    pub fn counts(&self) -> UpstreamCounts {
        self.lock().counts.clone()
    }

    /// What was written down so far.
    pub fn log(&self) -> UpstreamLog {
        self.lock().log.clone()
    }

    /// Changes how the targets behave.
    pub fn control(&self, change: impl FnOnce(&mut UpstreamControl)) {
        change(&mut self.lock().control);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, id: &str, request: Request<Incoming>) -> LabAnswer {
        match request.uri().path() {
            "/load" => return Ok(Response::new(full(self.lock().report(id)))),
            "/counts" => return json(&self.counts()),
            "/log" => return json(&self.log()),
            "/control" => {
                let control = read_json(request.into_body()).await?;
                self.lock().control = control;
                return status(StatusCode::OK);
            }
            _ => {}
        }
        self.work(id, request).await
    }

    async fn work(&self, id: &str, request: Request<Incoming>) -> LabAnswer {
        let (parts, body) = request.into_parts();
        let Some(work) = Work::start(self, id, &parts.headers) else {
            let mut refused = Response::new(full(Bytes::new()));
            *refused.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            let yes = http::HeaderValue::from_static("1");
            refused.headers_mut().insert("x-not-run", yes);
            let rest_s = self.lock().control.rest_s;
            if rest_s > 0 {
                let headers = refused.headers_mut();
                headers.insert(http::header::RETRY_AFTER, rest_s.into());
            }
            return Ok(refused);
        };
        let deadline = deadline_of(&parts.headers);
        let answer = tokio::time::timeout(deadline, self.run_work(id, &parts.headers, body, work));
        answer.await.unwrap_or(Err(Cut))
    }

    async fn run_work(
        &self,
        id: &str,
        headers: &HeaderMap,
        mut body: Incoming,
        mut work: Work,
    ) -> LabAnswer {
        let mut bytes = 0;
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Cut)?;
            if let Some(data) = frame.data_ref() {
                bytes += data.len();
                hash.update(data);
            }
        }
        tokio::time::sleep(work.service_time).await;
        work.finish();
        let (truncate, drop_it, cross) = self.lock().next_faults();
        if drop_it {
            return Err(Cut);
        }
        let mut tag = text(headers, TAG_HEADER);
        let mut request_id = text(headers, "x-request-id");
        if cross {
            tag = "someone-elses".into();
            request_id = "someone-elses".into();
        }
        let answer = answer_bytes(&tag, hash.digest(), bytes, wanted_bytes(headers));
        let length = answer.len();
        let mut response = Response::new(answer_body(answer, truncate, work));
        let headers = response.headers_mut();
        headers.insert("content-length", length.into());
        for (name, value) in [
            ("x-request-id", request_id),
            ("x-load", self.lock().report(id)),
        ] {
            if let Ok(value) = value.parse() {
                headers.insert(name, value);
            }
        }
        Ok(response)
    }
}

/// One request being run; dropping it frees the slot.
struct Work {
    upstreams: Upstreams,
    id: String,
    tag: String,
    key: String,
    service_time: Duration,
    finished: bool,
}

impl Work {
    fn start(upstreams: &Upstreams, id: &str, headers: &HeaderMap) -> Option<Self> {
        let mut guard = upstreams.lock();
        let state = &mut *guard;
        let in_use = state.in_use.entry(id.to_owned()).or_insert(0);
        let counts = state.counts.targets.entry(id.to_owned()).or_default();
        if *in_use >= state.control.slots {
            counts.refused += 1;
            return None;
        }
        *in_use += 1;
        counts.started += 1;
        counts.most_in_use = counts.most_in_use.max(*in_use);
        counts.last_start_ms = wall_ms();
        let cold = counts.started <= u64::from(state.control.cold_requests);
        let factor = if cold { state.control.cold_factor } else { 1 };
        state.counts.in_use += 1;
        state.counts.most_in_use = state.counts.most_in_use.max(state.counts.in_use);
        let tag = text(headers, TAG_HEADER);
        let key = text(headers, "idempotency-key");
        state.log.by_tag.entry(tag.clone()).or_default().started += 1;
        if !key.is_empty() {
            state.log.by_key.entry(key.clone()).or_default().started += 1;
        }
        state.log.arrivals.push(Arrival {
            at_ms: wall_ms(),
            origin: text(headers, ORIGIN_HEADER),
        });
        Some(Self {
            upstreams: upstreams.clone(),
            id: id.to_owned(),
            tag,
            key,
            service_time: Duration::from_millis(state.control.service_ms * u64::from(factor)),
            finished: false,
        })
    }

    fn finish(&mut self) {
        let mut state = self.upstreams.lock();
        if let Some(counts) = state.counts.targets.get_mut(&self.id) {
            counts.finished += 1;
        }
        state
            .log
            .by_tag
            .entry(self.tag.clone())
            .or_default()
            .finished += 1;
        if !self.key.is_empty() {
            state
                .log
                .by_key
                .entry(self.key.clone())
                .or_default()
                .finished += 1;
        }
        self.finished = true;
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        let mut state = self.upstreams.lock();
        if let Some(in_use) = state.in_use.get_mut(&self.id) {
            *in_use -= 1;
        }
        state.counts.in_use -= 1;
        if !self.finished
            && let Some(counts) = state.counts.targets.get_mut(&self.id)
        {
            counts.cut += 1;
        }
    }
}

impl State {
    /// `sequence leaving in_use`, as the daemon reads it.
    fn report(&mut self, id: &str) -> String {
        self.sequence += 1;
        let leaving = u8::from(self.control.leaving.iter().any(|leaving| leaving == id));
        let truth = self.in_use.get(id).copied().unwrap_or(0);
        let in_use = self.control.lie_in_use.unwrap_or(truth);
        format!("{} {leaving} {in_use}", self.sequence)
    }

    fn next_faults(&mut self) -> (bool, bool, bool) {
        self.answers += 1;
        let due = |every: u64| every > 0 && self.answers.is_multiple_of(every);
        (
            due(self.control.truncate_every),
            due(self.control.drop_every),
            due(self.control.cross_every),
        )
    }
}

/// The answer that a caller of `tag` expects for a body of `bytes` with `hash`.
pub fn answer_bytes(tag: &str, hash: u64, bytes: usize, wanted: usize) -> Bytes {
    let mut answer = format!("{tag}:{hash:016x}:{bytes}\n").into_bytes();
    let pattern = answer.clone();
    while answer.len() < wanted {
        let missing = (wanted - answer.len()).min(pattern.len());
        answer.extend_from_slice(&pattern[..missing]);
    }
    answer.into()
}

/// Sends an answer in pieces and holds the slot until the end; a truncated one is cut
/// after half.
fn answer_body(answer: Bytes, truncate: bool, work: Work) -> LabBody {
    let until = if truncate {
        answer.len() / 2
    } else {
        answer.len()
    };
    let pieces =
        futures_util::stream::unfold((answer, 0, work), move |(answer, sent, work)| async move {
            if sent >= until {
                if !truncate || sent == usize::MAX {
                    return None;
                }
                // Lets the part be sent before the connection goes.
                tokio::time::sleep(BEFORE_CUT).await;
                return Some((Err(Cut), (answer, usize::MAX, work)));
            }
            let end = (sent + PIECE_BYTES).min(until);
            let piece = Frame::data(answer.slice(sent..end));
            Some((Ok(piece), (answer, end, work)))
        });
    stream(pieces)
}

fn wanted_bytes(headers: &HeaderMap) -> usize {
    text(headers, ANSWER_BYTES_HEADER).parse().unwrap_or(0)
}

fn deadline_of(headers: &HeaderMap) -> Duration {
    let ms = text(headers, "x-deadline-ms").parse().unwrap_or(60_000);
    Duration::from_millis(ms)
}

fn text(headers: &HeaderMap, name: &str) -> String {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

/// Wall clock in milliseconds.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

/// Starts `count` targets on ports of `ip` as a process of its own; prints their addresses.
pub async fn serve_process(
    ip: std::net::IpAddr,
    prefix: &str,
    count: usize,
    control: UpstreamControl,
) -> Result<(), LabError> {
    let upstreams = Upstreams::new(control);
    let started = Instant::now();
    let mut tasks = Vec::new();
    for index in 1..=count {
        let listener = TcpListener::bind(SocketAddr::new(ip, 0)).await?;
        let id = format!("{prefix}{index}");
        println!("{id}={}", listener.local_addr()?);
        tasks.push(tokio::spawn(upstreams.clone().run(id, listener)));
    }
    for task in tasks {
        let _ = task.await;
    }
    println!("ended after {:?}", started.elapsed());
    Ok(())
}
