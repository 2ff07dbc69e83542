//! Stand-in of the platform: its store, by the JSON gateway of etcd's v3 API, and
//! its lagging list of boxes. Faults are set through `/control`.

use crate::http::{Cut, LabAnswer, LabError, json, read_json, serve, status, stream};
use brasswinch_store::{
    EventKind, KeyValue, LeaseGrantRequest, LeaseGrantResponse, ListedBox, RangeRequest,
    RangeResponse, ResponseHeader, ResponseOp, TxnRequest, TxnResponse, WatchRequest,
    WatchResponse, WatchResult, WireEvent, decode_bytes, encode_bytes,
};
use bytes::Bytes;
use http::{Request, StatusCode};
use hyper::body::{Frame, Incoming};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Longest value, in bytes.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// How often leases are looked at.
const LEASE_TICK: Duration = Duration::from_millis(100);

/// What the stand-in is told to do wrong, and what its list shows.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformControl {
    /// Every call is refused at the connection.
    pub outage: bool,
    /// Every call takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// This many writes take effect but their answers are lost.
    pub lose_answers: u32,
    /// Watches stay open but report nothing.
    pub mute_watches: bool,
    /// Most writes a second; 0 for no limit.
    pub writes_per_second: u32,
    /// Most reads a second; 0 for no limit.
    pub reads_per_second: u32,
    /// What the list shows.
    pub boxes: Vec<ListedBox>,
}

/// How often it was called.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Ranges and list readings.
    pub reads: u64,
    /// Transactions and lease grants.
    pub writes: u64,
    /// Watches opened.
    pub watches: u64,
    /// Watches open now.
    pub watches_open: u64,
    /// Calls that the rate limit refused.
    pub throttled: u64,
}

#[derive(Clone, Debug, Default)]
struct Stored {
    value: Vec<u8>,
    created: i64,
    changed: i64,
    lease: i64,
}

struct Watcher {
    start: Vec<u8>,
    end: Vec<u8>,
    lines: mpsc::UnboundedSender<Bytes>,
}

#[derive(Clone, Default)]
struct Copy {
    values: BTreeMap<Vec<u8>, Stored>,
    revision: i64,
}

#[derive(Default)]
struct Window {
    began: Option<Instant>,
    reads: u32,
    writes: u32,
}

#[derive(Default)]
struct State {
    values: BTreeMap<Vec<u8>, Stored>,
    revision: i64,
    history: Vec<(i64, Vec<u8>, WireEvent)>,
    leases: BTreeMap<i64, Instant>,
    next_lease: i64,
    watchers: Vec<Watcher>,
    saved: Option<Copy>,
    control: PlatformControl,
    counts: PlatformCounts,
    window: Window,
}

/// The stand-in. Clones share their state.
#[derive(Clone, Default)]
pub struct Platform {
    state: Arc<Mutex<State>>,
}

impl Platform {
    /// Serves on `listener` until the runtime ends.
    pub async fn run(self, listener: TcpListener) -> Result<(), LabError> {
        let expiring = self.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(LEASE_TICK).await;
                expiring.lock().expire_leases();
            }
        });
        serve(listener, move |request, _| {
            let platform = self.clone();
            async move { platform.handle(request).await }
        })
        .await;
        Ok(())
    }

    /// Changes its faults and its list.
    pub fn control(&self, change: impl FnOnce(&mut PlatformControl)) {
        change(&mut self.lock().control);
    }

    /// How often it was called.
    pub fn counts(&self) -> PlatformCounts {
        self.lock().counts()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, request: Request<Incoming>) -> LabAnswer {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/control" => {
                let control: PlatformControl = read_json(request.into_body()).await?;
                self.lock().control = control;
                return status(StatusCode::OK);
            }
            "/counts" => return json(&self.counts()),
            "/save" => {
                self.lock().save();
                return status(StatusCode::OK);
            }
            "/restore" => {
                self.lock().restore();
                return status(StatusCode::OK);
            }
            _ => {}
        }
        let (outage, slow_ms) = {
            let state = self.lock();
            (state.control.outage, state.control.slow_ms)
        };
        if outage {
            return Err(Cut);
        }
        if slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        }
        let write = path == "/v3/kv/txn" || path == "/v3/lease/grant";
        if !self.lock().admit(write) {
            return status(StatusCode::TOO_MANY_REQUESTS);
        }
        let answer = self.answer(&path, request).await;
        if write && self.lock().loses_answer() {
            return Err(Cut);
        }
        answer
    }

    async fn answer(&self, path: &str, request: Request<Incoming>) -> LabAnswer {
        match path {
            "/v1/boxes" => json(&self.lock().control.boxes),
            "/v3/kv/range" => {
                let range: RangeRequest = read_json(request.into_body()).await?;
                json(&self.lock().range(&range))
            }
            "/v3/kv/txn" => {
                let txn: TxnRequest = read_json(request.into_body()).await?;
                match self.lock().transact(&txn) {
                    Some(response) => json(&response),
                    None => status(StatusCode::BAD_REQUEST),
                }
            }
            "/v3/lease/grant" => {
                let grant: LeaseGrantRequest = read_json(request.into_body()).await?;
                json(&self.lock().grant(&grant))
            }
            "/v3/watch" => {
                let watch: WatchRequest = read_json(request.into_body()).await?;
                let lines = self.lock().watch(&watch);
                Ok(http::Response::new(stream(line_stream(lines))))
            }
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}

fn line_stream(
    lines: mpsc::UnboundedReceiver<Bytes>,
) -> impl futures_util::Stream<Item = Result<Frame<Bytes>, Cut>> + Send + Sync {
    futures_util::stream::unfold(lines, |mut lines| async move {
        let line = lines.recv().await?;
        Some((Ok(Frame::data(line)), lines))
    })
}

impl State {
    fn counts(&mut self) -> PlatformCounts {
        self.watchers.retain(|watcher| !watcher.lines.is_closed());
        self.counts.watches_open = self.watchers.len() as u64;
        self.counts
    }

    /// Counts a call against the rate limit.
    fn admit(&mut self, write: bool) -> bool {
        let now = Instant::now();
        let fresh = self
            .window
            .began
            .is_some_and(|began| now.duration_since(began) < Duration::from_secs(1));
        if !fresh {
            self.window = Window {
                began: Some(now),
                reads: 0,
                writes: 0,
            };
        }
        let (used, most) = if write {
            (&mut self.window.writes, self.control.writes_per_second)
        } else {
            (&mut self.window.reads, self.control.reads_per_second)
        };
        if most > 0 && *used >= most {
            self.counts.throttled += 1;
            return false;
        }
        *used += 1;
        if write {
            self.counts.writes += 1;
        } else {
            self.counts.reads += 1;
        }
        true
    }

    fn loses_answer(&mut self) -> bool {
        if self.control.lose_answers == 0 {
            return false;
        }
        self.control.lose_answers -= 1;
        true
    }

    fn header(&self) -> ResponseHeader {
        ResponseHeader {
            revision: self.revision,
        }
    }

    fn range(&self, request: &RangeRequest) -> RangeResponse {
        let start = decode_bytes(&request.key).unwrap_or_default();
        let end = decode_bytes(&request.range_end).unwrap_or_default();
        let kvs = self
            .values
            .range(start.clone()..)
            .take_while(|(key, _)| in_range(key, &start, &end))
            .map(|(key, stored)| key_value(key, stored))
            .collect();
        RangeResponse {
            header: self.header(),
            kvs,
        }
    }

    /// `None` refuses a value that is too long.
    fn transact(&mut self, txn: &TxnRequest) -> Option<TxnResponse> {
        let holds = txn.compare.iter().all(|compare| {
            let key = decode_bytes(&compare.key).unwrap_or_default();
            let changed = self.values.get(&key).map_or(0, |stored| stored.changed);
            changed == compare.mod_revision
        });
        let ops = if holds { &txn.success } else { &txn.failure };
        let mut responses = Vec::new();
        for op in ops {
            if let Some(put) = &op.request_put {
                let key = decode_bytes(&put.key)?;
                let value = decode_bytes(&put.value)?;
                if value.len() > MAX_VALUE_BYTES {
                    return None;
                }
                self.put(key, value, put.lease);
            }
            if let Some(delete) = &op.request_delete_range {
                self.delete(&decode_bytes(&delete.key)?);
            }
            let response_range = op.request_range.as_ref().map(|range| self.range(range));
            responses.push(ResponseOp { response_range });
        }
        Some(TxnResponse {
            header: self.header(),
            succeeded: holds,
            responses,
        })
    }

    fn put(&mut self, key: Vec<u8>, value: Vec<u8>, lease: i64) {
        self.revision += 1;
        let created = self.values.get(&key).map_or(self.revision, |s| s.created);
        let stored = Stored {
            value,
            created,
            changed: self.revision,
            lease,
        };
        let kv = key_value(&key, &stored);
        self.values.insert(key.clone(), stored);
        self.record(key, EventKind::Put, kv);
    }

    fn delete(&mut self, key: &[u8]) {
        if self.values.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        let kv = KeyValue {
            key: encode_bytes(key),
            mod_revision: self.revision,
            ..KeyValue::default()
        };
        self.record(key.to_vec(), EventKind::Delete, kv);
    }

    fn record(&mut self, key: Vec<u8>, kind: EventKind, kv: KeyValue) {
        let event = WireEvent { kind, kv };
        self.history
            .push((self.revision, key.clone(), event.clone()));
        if self.control.mute_watches {
            return;
        }
        let line = watch_line(self.revision, vec![event], false);
        self.watchers.retain(|watcher| {
            let wanted = in_range(&key, &watcher.start, &watcher.end);
            !wanted || watcher.lines.send(line.clone()).is_ok()
        });
    }

    fn watch(&mut self, request: &WatchRequest) -> mpsc::UnboundedReceiver<Bytes> {
        self.counts.watches += 1;
        let start = decode_bytes(&request.create_request.key).unwrap_or_default();
        let end = decode_bytes(&request.create_request.range_end).unwrap_or_default();
        let from = request.create_request.start_revision;
        let (lines, receiver) = mpsc::unbounded_channel();
        let _ = lines.send(watch_line(self.revision, Vec::new(), true));
        let missed: Vec<WireEvent> = self
            .history
            .iter()
            .filter(|(revision, key, _)| *revision >= from && in_range(key, &start, &end))
            .map(|(_, _, event)| event.clone())
            .collect();
        if !missed.is_empty() && !self.control.mute_watches {
            let _ = lines.send(watch_line(self.revision, missed, false));
        }
        self.watchers.push(Watcher { start, end, lines });
        receiver
    }

    fn grant(&mut self, request: &LeaseGrantRequest) -> LeaseGrantResponse {
        self.next_lease += 1;
        let ttl = Duration::from_secs(u64::try_from(request.ttl).unwrap_or(0));
        self.leases.insert(self.next_lease, Instant::now() + ttl);
        LeaseGrantResponse {
            id: self.next_lease,
            ttl: request.ttl,
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.leases.remove(&lease);
            let bound: Vec<Vec<u8>> = self
                .values
                .iter()
                .filter(|(_, stored)| stored.lease == lease)
                .map(|(key, _)| key.clone())
                .collect();
            for key in bound {
                self.delete(&key);
            }
        }
    }

    fn save(&mut self) {
        self.saved = Some(Copy {
            values: self.values.clone(),
            revision: self.revision,
        });
    }

    /// Goes back to the saved copy, revision and all, and ends every watch.
    fn restore(&mut self) {
        let Some(saved) = self.saved.clone() else {
            return;
        };
        self.values = saved.values;
        self.revision = saved.revision;
        self.history
            .retain(|(revision, _, _)| *revision <= saved.revision);
        self.watchers.clear();
    }
}

fn in_range(key: &[u8], start: &[u8], end: &[u8]) -> bool {
    if end.is_empty() {
        return key == start;
    }
    key >= start && (end == [0] || key < end)
}

fn key_value(key: &[u8], stored: &Stored) -> KeyValue {
    KeyValue {
        key: encode_bytes(key),
        value: encode_bytes(&stored.value),
        mod_revision: stored.changed,
        create_revision: stored.created,
        lease: stored.lease,
    }
}

fn watch_line(revision: i64, events: Vec<WireEvent>, created: bool) -> Bytes {
    let response = WatchResponse {
        result: WatchResult {
            header: ResponseHeader { revision },
            created,
            canceled: false,
            events,
        },
    };
    let mut line = serde_json::to_vec(&response).unwrap_or_default();
    line.push(b'\n');
    line.into()
}

/// Starts a stand-in on `address` as a process of its own; prints its address.
pub async fn serve_process(address: SocketAddr) -> Result<(), LabError> {
    let listener = TcpListener::bind(address).await?;
    println!("platform={}", listener.local_addr()?);
    Platform::default().run(listener).await
}
