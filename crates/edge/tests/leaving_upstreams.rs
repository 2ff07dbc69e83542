//! Guards against requests that reach upstreams later than the drain limit after they have left:
//! they did up to 3.4 s afterwards, with a limit of 3 s.
//!
//! A third of the boxes lost power each second, while whole zones of upstreams didn't respond and
//! single others left. A box requested changes from three dead boxes, 0.5 s each, and learned
//! 1.15 s late that an upstream's entry was gone. Since many entries had expired at that time, it
//! went on using the upstream for another 2.25 s. Nothing bounded the sum of both, because no box
//! tracked the age of its view.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_edge::{Dialect, EdgeHandle, EdgeSettings, FleetBounds, start};
use brasswinch_lab::memory_store::{MemoryStore, StoreFault};
use brasswinch_lab::routed_upstream::Upstream;
use brasswinch_routing::{Change, ChangeKey, UpstreamRecord, UpstreamState};
use brasswinch_types::UpstreamId;
use common::know_all::run_fast_member_without_updates;
use common::{call, config, eventually, record, request, settings};
use http::HeaderValue;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, UdpSocket};

/// Maximum time for which requests may reach an upstream that has left.
const BOUND: Duration = Duration::from_secs(3);

/// How long requests are sent after that time.
const OBSERVATION_TIME: Duration = Duration::from_millis(1_200);

const UPSTREAMS: usize = 6;

/// A box in front of six upstreams.
struct Fleet {
    edge: EdgeHandle,
    store: MemoryStore,
    upstreams: Vec<Upstream>,
}

impl Fleet {
    async fn start() -> Self {
        let dialect = Dialect::default();
        let store = MemoryStore::default().handle();
        store.write(Change::Config(Arc::new(config(1))));
        let mut upstreams = Vec::new();
        for number in 0..UPSTREAMS {
            let id = format!("upstream-{number}");
            let upstream = Upstream::start(&id, &dialect).await.unwrap();
            store.write(Change::Upstream(record(&upstream)));
            upstreams.push(upstream);
        }
        let settings = EdgeSettings {
            bounds: FleetBounds {
                drain_s: BOUND.as_secs_f64(),
                ..FleetBounds::default()
            },
            ..settings("box", Vec::new())
        };
        let edge = start(settings, dialect, store.clone()).await.unwrap();
        let context = Arc::clone(edge.context());
        eventually("the box is ready", || context.is_ready()).await;
        Self {
            edge,
            store,
            upstreams,
        }
    }

    /// Sends one request for each of many objects.
    async fn send_requests(&self) {
        const OBJECTS: usize = 12;
        for object in 0..OBJECTS {
            let mut request = request("GET", "/safe/1", "");
            let cookie = format!("{}={object}", Dialect::default().object_cookie);
            let cookie = HeaderValue::from_str(&cookie).unwrap();
            request.headers_mut().insert("cookie", cookie);
            call(self.edge.addresses().clients, request).await.unwrap();
        }
    }

    async fn send_requests_for(&self, time: Duration) {
        let began = Instant::now();
        while began.elapsed() < time {
            self.send_requests().await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn seen(&self, numbers: std::ops::Range<usize>) -> usize {
        let upstreams = &self.upstreams[numbers];
        upstreams.iter().map(|upstream| upstream.seen().len()).sum()
    }

    /// Sends requests until after the bound and checks that the given upstreams, which have just
    /// left, receive none after the bound.
    async fn assert_no_requests_after_bound(&self, left: std::ops::Range<usize>) {
        self.send_requests_for(BOUND).await;
        let at_the_bound = self.seen(left.clone());
        self.send_requests_for(OBSERVATION_TIME).await;
        let later = self.seen(left) - at_the_bound;
        assert_eq!(later, 0, "requests after the bound");
    }

    fn write_leaving_entry(&self, number: usize) {
        let leaving = UpstreamRecord {
            state: UpstreamState::Draining,
            ..record(&self.upstreams[number])
        };
        self.store.write(Change::Upstream(leaving));
    }

    /// Ends the current watch with a change, and waits until the box knows the change.
    async fn end_watch(&self) {
        let id = UpstreamId::new("other");
        let other = UpstreamRecord {
            id: id.clone(),
            state: UpstreamState::Draining,
            ..record(&self.upstreams[0])
        };
        let revision = self.store.write(Change::Upstream(other));
        let shown = format!("store_revision{{scope=\"upstreams\"}} {}", revision.0);
        let context = Arc::clone(self.edge.context());
        eventually("the change is known", || {
            context.metrics_text().contains(&shown)
        })
        .await;
    }
}

#[tokio::test]
async fn an_upstream_that_leaves_as_many_entries_are_lost_gets_nothing_after_the_bound() {
    let fleet = Fleet::start().await;
    fleet.send_requests().await;
    fleet.store.set_answer_delay(Duration::from_millis(1_200));
    for number in 0..UPSTREAMS - 1 {
        let id = UpstreamId::new(&fleet.upstreams[number].id);
        fleet.store.write(Change::Gone(ChangeKey::Upstream(id)));
    }
    fleet.assert_no_requests_after_bound(0..UPSTREAMS - 1).await;
}

#[tokio::test]
async fn a_box_that_hears_nothing_new_learns_from_the_store_what_left() {
    /// Enough boxes with fast links that the tested box doesn't follow the store itself.
    const WATCHERS: usize = 5;
    let fleet = Fleet::start().await;
    let peers = fleet.edge.addresses().peers;
    for _ in 0..WATCHERS {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let socket = UdpSocket::bind(listener.local_addr().unwrap())
            .await
            .unwrap();
        tokio::spawn(async move {
            let _listens = listener;
            run_fast_member_without_updates(socket, peers).await;
        });
    }
    let context = Arc::clone(fleet.edge.context());
    let all = format!("members_alive {WATCHERS}");
    eventually("all boxes are known", || {
        context.metrics_text().contains(&all)
    })
    .await;
    fleet.end_watch().await;
    fleet.send_requests_for(Duration::from_millis(500)).await;
    fleet.write_leaving_entry(0);
    fleet.assert_no_requests_after_bound(0..1).await;
}

/// An established connection may stall without a reset while new connections work.
#[tokio::test]
async fn a_watch_that_is_never_answered_keeps_no_box_from_what_left() {
    let fleet = Fleet::start().await;
    fleet.store.set_fault(StoreFault::SilentWatches);
    fleet.end_watch().await;
    fleet.send_requests_for(Duration::from_millis(500)).await;
    fleet.write_leaving_entry(0);
    fleet.assert_no_requests_after_bound(0..1).await;
}
