//! Requests that wait for a grant of their workspace's quota, with a few boxes in one process.
//!
//! Each box has its own runtime, so that the coordinator can be stopped at once, with all its
//! tasks and sockets, as a killed process.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_edge::{BoxStatus, Context, Dialect, EdgeSettings, QuotaRouteStatus, start};
use brasswinch_lab::memory_store::MemoryStore;
use brasswinch_lab::routed_upstream::Upstream;
use brasswinch_routing::{
    Change, KeyDigest, QuotaBounds, QuotaLimit, RouteKind, SteeringConfig, WorkspaceConfig,
};
use brasswinch_types::{Region, Workspace, Zone};
use bytes::Bytes;
use common::{
    KeptConnection, MAX_CONDITION_WAIT, call, config, eventually, record, request, route, settings,
};
use http::Request;
use http_body_util::Full;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;
use tokio::task::JoinSet;

const KEY: &str = "alpha-key-9f3c";

const BOXES: usize = 3;

/// Path of a route whose requests may wait for half a second, the longest wait there is.
const PATIENT: &str = "/patient/";

/// Path of a route whose requests run at most once and may wait as long.
const PATIENT_ONCE: &str = "/patient-once/";

/// Path of a route whose requests may not wait.
const IMPATIENT: &str = "/impatient/";

/// Path of a route of downloads that may not wait.
const DOWNLOAD: &str = "/download-now/";

/// Rate at which a request that finds the bucket empty waits for 250 ms, half of what it may.
const WAITING_RATE_PER_S: f64 = 4.0;

/// Rate at which no token accrues during a test.
const SPENT_RATE_PER_S: f64 = 0.001;

/// Client deadline that exceeds the longest wait of a test, so that a request that is never
/// decided fails the test rather than its deadline.
const LONG_DEADLINE_MS: &str = "60000";

/// Longest time for a decided request to end on a busy machine: many times the half second that
/// it may wait, and a fraction of its deadline.
const MAX_DECISION_TIME: Duration = Duration::from_secs(15);

fn quota_config(rate_per_s: f64) -> SteeringConfig {
    let mut config = config(1);
    for (prefix, kind, latency_goal_s) in [
        (PATIENT, RouteKind::Repeatable, 2.0),
        (PATIENT_ONCE, RouteKind::Once, 2.0),
        (IMPATIENT, RouteKind::Repeatable, 0.0),
        (DOWNLOAD, RouteKind::Download, 0.0),
    ] {
        let mut route = route(prefix, kind, "desk");
        route.latency_goal_s = latency_goal_s;
        route.timeout_s = Some(60.0);
        config.routes.push(route);
    }
    let alpha = WorkspaceConfig {
        keys: [KeyDigest::of(KEY.as_bytes())].into(),
        quota: Some(QuotaLimit {
            rate_per_s,
            burst: 0.0,
        }),
        ..WorkspaceConfig::default()
    };
    config.workspaces = BTreeMap::from([(Workspace::new("alpha"), alpha)]);
    config
}

fn keyed(method: &str, path: &str) -> Request<Full<Bytes>> {
    let dialect = Dialect::default();
    let mut request = request(method, path, "");
    let headers = request.headers_mut();
    let key = format!("{} {KEY}", dialect.key_scheme);
    headers.insert("authorization", key.parse().unwrap());
    headers.insert(dialect.deadline_ms, LONG_DEADLINE_MS.parse().unwrap());
    request
}

struct QuotaBox {
    runtime: Option<Runtime>,
    context: Arc<Context>,
    clients: SocketAddr,
}

impl QuotaBox {
    fn status(&self) -> BoxStatus {
        self.context.status()
    }

    /// Returns the counts of a route, all 0 before its first request.
    fn counts(&self, prefix: &str) -> QuotaRouteStatus {
        let name = format!("route {prefix}");
        let routes = self.status().quota_routes;
        let found = routes.into_iter().find(|route| route.route == name);
        found.unwrap_or(QuotaRouteStatus {
            workspace: Workspace::new("alpha"),
            route: name,
            asked: 0,
            granted: 0,
            waited: 0,
            refused: 0,
            refused_locally: 0,
            expired: 0,
        })
    }

    /// Returns how many messages about quotas the box has sent.
    fn sent_quota_messages(&self) -> u64 {
        let metrics = self.context.metrics_text();
        let row = "brasswinch_peer_messages_total{kind=\"quota\",direction=\"sent\"} ";
        let count = metrics.lines().find_map(|line| line.strip_prefix(row));
        count.map_or(0, |count| count.parse().unwrap())
    }

    async fn get(&self, path: &str) -> u16 {
        let answer = call(self.clients, keyed("GET", path)).await;
        answer.unwrap().status
    }

    /// Sends requests that may not wait until the coordinator has refused one.
    async fn use_up_quota(&self) {
        let until = Instant::now() + MAX_CONDITION_WAIT;
        while self.counts(IMPATIENT).refused == 0 {
            assert!(Instant::now() < until, "the quota is never used up");
            self.get(&format!("{IMPATIENT}1")).await;
        }
    }
}

impl Drop for QuotaBox {
    fn drop(&mut self) {
        // A runtime can't be dropped within another one's task.
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

struct Fleet {
    boxes: Vec<QuotaBox>,
    upstream: Upstream,
    _store: MemoryStore,
}

impl Fleet {
    /// Starts boxes that know each other and the coordinators of quotas.
    async fn start(rate_per_s: f64) -> Self {
        let store = MemoryStore::default();
        store.write(Change::Config(Arc::new(quota_config(rate_per_s))));
        let upstream = Upstream::start("upstream-0", &Dialect::default()).await;
        let upstream = upstream.unwrap();
        store.write(Change::Upstream(record(&upstream)));
        let mut boxes: Vec<QuotaBox> = Vec::new();
        let mut seeds = Vec::new();
        for number in 0..BOXES {
            let runtime = tokio::runtime::Builder::new_multi_thread();
            let runtime = { runtime }.worker_threads(1).enable_all().build().unwrap();
            let mut settings: EdgeSettings = settings(&format!("box-{number}"), seeds.clone());
            settings.bounds.quota = QuotaBounds {
                // Covers two coordinators with the whole quota, so that the boxes needn't lend
                // their shares for the coordinator's bucket to fill.
                slack: 40.0,
                ..settings.bounds.quota
            };
            let starting = start(settings, Dialect::default(), store.handle());
            let handle = runtime.spawn(starting).await.unwrap().unwrap();
            seeds = vec![handle.addresses().peers];
            boxes.push(QuotaBox {
                runtime: Some(runtime),
                context: Arc::clone(handle.context()),
                clients: handle.addresses().clients,
            });
        }
        for one in &boxes {
            let knows_all = || {
                let (zone, region) = (Zone::new("west-a"), Region::new("west"));
                let known = one.context.directory_answer(&zone, &region).addresses;
                known.len() == BOXES && one.status().knows_quota_coordinators
            };
            eventually("the box knows all boxes", knows_all).await;
        }
        Self {
            boxes,
            upstream,
            _store: store,
        }
    }

    /// Returns the index of the coordinator. Sends a request to each box, since the status shows
    /// quotas of workspaces that sent requests to the box.
    async fn coordinator(&self) -> usize {
        for one in &self.boxes {
            one.get(&format!("{IMPATIENT}1")).await;
        }
        self.coordinators()[0]
    }

    /// Returns the indexes of the boxes that count the quota for all, in ascending order.
    fn coordinators(&self) -> Vec<usize> {
        let is_coordinator = |one: &QuotaBox| {
            let quotas = one.status().quotas;
            quotas.iter().any(|quota| quota.level.is_some())
        };
        let indexes = 0..self.boxes.len();
        indexes
            .filter(|index| is_coordinator(&self.boxes[*index]))
            .collect()
    }

    /// Returns how often the upstream ran each request.
    fn runs(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        for seen in self.upstream.seen().into_iter().filter(|seen| seen.ran) {
            *runs.entry(seen.id).or_default() += 1;
        }
        runs
    }
}

/// Guards against grants that aren't delivered as they come: the box would ask again when the wait
/// ends. The coordinator delivers its own without a datagram.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_waits_is_granted_and_served_at_every_box() {
    let fleet = Fleet::start(WAITING_RATE_PER_S).await;
    fleet.boxes[0].use_up_quota().await;
    let coordinator = fleet.coordinator().await;
    for (index, one) in fleet.boxes.iter().enumerate() {
        let until = Instant::now() + MAX_CONDITION_WAIT;
        let mut has_waited = false;
        let mut last = String::new();
        while !has_waited {
            assert!(
                Instant::now() < until,
                "box {index}: none waits; coordinators {:?} of which {coordinator} counts; {last}",
                fleet.coordinators()
            );
            let (before, sent_before) = (one.counts(PATIENT), one.sent_quota_messages());
            let status = one.get(&format!("{PATIENT}{index}")).await;
            let (after, sent) = (one.counts(PATIENT), one.sent_quota_messages());
            // On a machine that was busy for long, it may have asked again or been refused.
            has_waited = status == 200
                && after.waited == before.waited + 1
                && after.asked == before.asked + 1
                && (index == coordinator || sent == sent_before + 1);
            let messages = sent - sent_before;
            last = format!("{status}, {messages} messages, {before:?}, then {after:?}");
        }
    }
    let metrics = fleet.boxes[0].context.metrics_text();
    let row = "brasswinch_quota_requests_total{workspace=\"alpha\",route=\"route /patient/\",\
               outcome=\"waited\"}";
    assert!(metrics.contains(row), "{metrics}");
    let status = fleet.boxes[0].status().to_string();
    assert!(
        status.contains("quota of alpha on route /patient/:"),
        "{status}"
    );
}

/// Guards against tokens that are spent on clients that are gone: each client here disconnects
/// as soon as its request waits, so that only requests that find a token at once are served.
#[tokio::test(flavor = "multi_thread")]
async fn a_token_for_a_client_that_disconnected_is_given_to_others() {
    const SERVED: usize = 6;
    let fleet = Fleet::start(WAITING_RATE_PER_S).await;
    fleet.boxes[0].use_up_quota().await;
    let coordinator = fleet.coordinator().await;
    for index in [coordinator, (coordinator + 1) % BOXES] {
        let one = &fleet.boxes[index];
        let until = Instant::now() + MAX_CONDITION_WAIT;
        let (mut served, mut disconnected) = (0, 0);
        while served < SERVED || disconnected < SERVED {
            assert!(
                Instant::now() < until,
                "box {index}: {served} served, {disconnected} disconnected"
            );
            let waited = one.counts(PATIENT).waited;
            let connection = KeptConnection::open(one.clients).await;
            let mut calling = tokio::spawn(async move {
                let mut connection = connection;
                connection.call(keyed("GET", &format!("{PATIENT}1"))).await
            });
            loop {
                tokio::select! {
                    answer = &mut calling => {
                        served += usize::from(answer.unwrap().unwrap().status == 200);
                        break;
                    }
                    () = tokio::time::sleep(Duration::from_millis(2)) => {}
                }
                if one.counts(PATIENT).waited > waited {
                    // Drops the connection.
                    calling.abort();
                    disconnected += usize::from(calling.await.is_err());
                    break;
                }
            }
        }
    }
}

/// Guards against requests that hang, or run twice, if the coordinator ends while they wait: a
/// box asks again, and then uses its own share.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_wait_at_a_coordinator_that_ends_are_decided_and_run_once() {
    const CALLERS: usize = 4;
    let mut fleet = Fleet::start(WAITING_RATE_PER_S).await;
    fleet.boxes[0].use_up_quota().await;
    let coordinator = fleet.coordinator().await;
    let others = [(coordinator + 1) % BOXES, (coordinator + 2) % BOXES];
    let stop_at = Instant::now() + MAX_CONDITION_WAIT;
    let mut callers = JoinSet::new();
    let is_over = Arc::new(std::sync::atomic::AtomicBool::new(false));
    for caller in 0..CALLERS {
        let clients = fleet.boxes[others[caller % 2]].clients;
        let is_over = Arc::clone(&is_over);
        callers.spawn(async move {
            let mut ends = Vec::new();
            while !is_over.load(std::sync::atomic::Ordering::Relaxed) {
                let began = Instant::now();
                let path = format!("{PATIENT_ONCE}{caller}");
                let answer = call(clients, keyed("POST", &path)).await.unwrap();
                ends.push((answer.status, began.elapsed()));
            }
            ends
        });
    }
    let waited = |fleet: &Fleet| {
        let waited = others.map(|other| fleet.boxes[other].counts(PATIENT_ONCE).waited);
        waited.iter().sum::<u64>()
    };
    let before = waited(&fleet);
    // Two may wait at a time, and this many have begun to wait one after the other.
    while waited(&fleet) < before + 4 {
        assert!(Instant::now() < stop_at, "none waits");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let runtime = fleet.boxes[coordinator].runtime.take().unwrap();
    runtime.shutdown_background();
    // The others find the coordinator dead, and one of them takes its place.
    let remaining = |fleet: &Fleet| {
        let is_new = |other: usize| {
            let quotas = fleet.boxes[other].status().quotas;
            quotas.iter().any(|quota| quota.level.is_some())
        };
        others.into_iter().any(is_new)
    };
    eventually("another box coordinates", || remaining(&fleet)).await;
    is_over.store(true, std::sync::atomic::Ordering::Relaxed);
    let ends: Vec<_> = callers.join_all().await.into_iter().flatten().collect();
    for (status, took) in &ends {
        assert!([200, 429].contains(status), "{status} after {took:?}");
        assert!(*took < MAX_DECISION_TIME, "{status} after {took:?}");
    }
    let served = ends.iter().filter(|(status, _)| *status == 200).count();
    let runs = fleet.runs();
    let repeated: Vec<_> = runs.iter().filter(|(_, runs)| **runs > 1).collect();
    assert!(repeated.is_empty(), "{repeated:?}");
    let once = fleet.upstream.seen().into_iter();
    let ran = once.filter(|seen| seen.ran && seen.line.contains(PATIENT_ONCE));
    assert_eq!(ran.count(), served, "a refused request ran");
}

/// Guards against refusals by workspace: a box that refuses look-ups without asking must still
/// ask for a download.
#[tokio::test(flavor = "multi_thread")]
async fn a_download_is_not_refused_locally_because_look_ups_were() {
    let fleet = Fleet::start(SPENT_RATE_PER_S).await;
    fleet.boxes[0].use_up_quota().await;
    let other = (fleet.coordinator().await + 1) % BOXES;
    let one = &fleet.boxes[other];
    let until = Instant::now() + MAX_CONDITION_WAIT;
    loop {
        assert!(Instant::now() < until, "no download during local refusals");
        let locally = one.counts(IMPATIENT).refused_locally;
        while one.counts(IMPATIENT).refused_locally == locally {
            assert_eq!(one.get(&format!("{IMPATIENT}1")).await, 429);
        }
        let (look_ups, downloads) = (one.counts(IMPATIENT), one.counts(DOWNLOAD));
        assert_eq!(one.get(&format!("{DOWNLOAD}1")).await, 429);
        assert_eq!(one.get(&format!("{IMPATIENT}1")).await, 429);
        let (later_look_ups, later_downloads) = (one.counts(IMPATIENT), one.counts(DOWNLOAD));
        // Look-ups were refused locally before and after the download, and none was asked for
        // between.
        let was_in_force = later_look_ups.asked == look_ups.asked
            && later_look_ups.refused_locally > look_ups.refused_locally;
        if was_in_force {
            assert_eq!(later_downloads.refused_locally, downloads.refused_locally);
            assert_eq!(later_downloads.asked, downloads.asked + 1);
            return;
        }
        // Lets the local refusals of downloads end, which the last one has begun.
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}
