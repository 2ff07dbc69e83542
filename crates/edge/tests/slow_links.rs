//! A configuration of thousands of routes reaches boxes behind slow links, and changing one of its
//! routes transfers few bytes.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_edge::{Dialect, EdgeHandle, start};
use brasswinch_lab::faults::{Fault, FaultProxy, Rule, Target};
use brasswinch_lab::memory_store::{MemoryStore, StoreFault};
use brasswinch_routing::{Change, RouteKind, SteeringConfig};
use common::know_all::run_member_with_newest;
use common::{MAX_CONDITION_WAIT, call, config, eventually, request, route, settings};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, UdpSocket};

/// Routes of the large configuration; each takes about 350 bytes when encoded.
const MANY_ROUTES: usize = 3_000;

/// Random bytes in each route's prefix, which don't compress: 96 kB in all.
const RANDOM_BYTES: usize = 32;

/// Bandwidth of the slow link in bytes per second. The random part of the large configuration alone
/// takes about 2 s.
const SLOW_LINK_BYTES_PER_S: u64 = 50_000;

/// Returns a large configuration. The routes are the same for each version.
fn large_config(version: u64) -> SteeringConfig {
    let mut large = config(version);
    let mut random = StdRng::seed_from_u64(7);
    for number in 0..MANY_ROUTES {
        let drawn: [u8; RANDOM_BYTES] = random.random();
        let drawn: String = drawn.iter().map(|byte| format!("{byte:02x}")).collect();
        let prefix = format!("/r{number}/{drawn}/");
        let added = route(&prefix, RouteKind::Repeatable, "desk");
        large.routes.push(added);
    }
    large
}

/// Starts a box with access to the store. Returns it with its address behind the slow link, at
/// which gossip is answered as by any other member.
async fn start_behind_slow_link(store: &MemoryStore) -> (EdgeHandle, SocketAddr, FaultProxy) {
    let far = start(
        settings("far", Vec::new()),
        Dialect::default(),
        store.handle(),
    )
    .await
    .unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let target = Target::default();
    target.set(far.addresses().peers);
    let proxy = FaultProxy::default();
    set_fault(&proxy, Fault::BytesPerSecond(SLOW_LINK_BYTES_PER_S));
    tokio::spawn(proxy.clone().run(listener, target));
    let socket = UdpSocket::bind(address).await.unwrap();
    tokio::spawn(run_member_with_newest(socket, address));
    (far, address, proxy)
}

fn set_fault(proxy: &FaultProxy, fault: Fault) {
    proxy.set_rules(vec![Rule {
        fault,
        ..Rule::default()
    }]);
}

/// Starts a box that the store refuses and that knows one other box.
async fn start_refused_by_store(store: &MemoryStore, seed: SocketAddr) -> EdgeHandle {
    let store = store.handle();
    store.set_fault(StoreFault::TurnedAway);
    start(settings("near", vec![seed]), Dialect::default(), store)
        .await
        .unwrap()
}

/// Returns the change to a configuration with one more route, `/added/`, than `of`.
fn with_added_route(mut of: SteeringConfig) -> Change {
    let added = route("/added/", RouteKind::Repeatable, "desk");
    of.routes.push(added);
    Change::Config(Arc::new(of))
}

/// Waits until the route `/added/` exists: it then returns 503, since there are no upstreams.
async fn has_added_route(edge: &EdgeHandle) {
    let began = Instant::now();
    while status(edge, "/added/1").await != 503 {
        assert!(
            began.elapsed() < MAX_CONDITION_WAIT,
            "the added route never arrived"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Starts a box that serves version 1. Returns it with its access to the store.
async fn start_single_box(store: &MemoryStore) -> (EdgeHandle, MemoryStore) {
    store.write(Change::Config(Arc::new(config(1))));
    let access = store.handle();
    let settings = settings("box-1", Vec::new());
    let edge = start(settings, Dialect::default(), access.clone())
        .await
        .unwrap();
    let context = Arc::clone(edge.context());
    eventually("the box is ready", || context.is_ready()).await;
    (edge, access)
}

async fn status(to: &EdgeHandle, path: &str) -> u16 {
    let answered = call(to.addresses().clients, request("GET", path, "")).await;
    answered.unwrap().status
}

#[tokio::test]
async fn a_large_configuration_reaches_a_box_over_a_slow_link() {
    let store = MemoryStore::default();
    store.write(Change::Config(Arc::new(large_config(1))));
    let (far, address, _proxy) = start_behind_slow_link(&store).await;
    let context = Arc::clone(far.context());
    eventually("the far box is ready", || context.is_ready()).await;
    let near = start_refused_by_store(&store, address).await;
    let context = Arc::clone(near.context());
    eventually("the near box is ready", || context.is_ready()).await;
    // The routes exist, but there is no upstream.
    let last = &large_config(1).routes[MANY_ROUTES];
    assert_eq!(status(&near, &last.path_prefix).await, 503);
    assert_eq!(status(&near, "/none/1").await, 404);
}

#[tokio::test]
async fn a_change_of_one_route_of_a_large_configuration_needs_few_bytes() {
    /// A connection transfers this and one chunk of 16 KiB; the random part of the large
    /// configuration alone takes five times as much.
    const FEW_BYTES: u64 = 4 * 1024;
    let store = MemoryStore::default();
    store.write(Change::Config(Arc::new(large_config(1))));
    let (far, address, proxy) = start_behind_slow_link(&store).await;
    set_fault(&proxy, Fault::Pass);
    let near = start_refused_by_store(&store, address).await;
    for edge in [&far, &near] {
        let context = Arc::clone(edge.context());
        eventually("the box is ready", || context.is_ready()).await;
    }
    set_fault(&proxy, Fault::TruncateAfter(FEW_BYTES));
    store.write(with_added_route(large_config(2)));
    has_added_route(&near).await;
}

/// A watch delivers each version of a configuration, so a box behind a slow link falls further
/// behind with each version.
#[tokio::test]
async fn behind_a_slow_link_the_newest_configuration_comes_and_not_each() {
    const PER_CONFIG: Duration = Duration::from_millis(500);
    let store = MemoryStore::default();
    let (edge, access) = start_single_box(&store).await;
    eventually("a watch is open", || !access.waits().is_empty()).await;
    access.set_slow_link(PER_CONFIG);
    let delivered = access.told_configs();
    store.write(Change::Config(Arc::new(config(2))));
    eventually("a version is being transferred", || {
        access.told_configs() > delivered
    })
    .await;
    for version in 3..20 {
        store.write(Change::Config(Arc::new(config(version))));
    }
    store.write(with_added_route(config(20)));
    has_added_route(&edge).await;
    let delivered = access.told_configs() - delivered;
    assert!(
        delivered <= 4,
        "{delivered} of 19 versions came over the slow link"
    );
}

#[tokio::test]
async fn what_was_written_during_an_outage_is_not_taken_version_by_version() {
    let store = MemoryStore::default();
    let (edge, access) = start_single_box(&store).await;
    access.end_answers_with_a_config();
    access.set_fault(StoreFault::TurnedAway);
    let delivered = access.told_configs();
    for version in 2..30 {
        store.write(Change::Config(Arc::new(config(version))));
    }
    store.write(with_added_route(config(30)));
    access.set_fault(StoreFault::None);
    has_added_route(&edge).await;
    let delivered = access.told_configs() - delivered;
    assert!(delivered <= 5, "{delivered} of 29 versions were delivered");
}

/// The versions written during an outage may be too large for one response, and retrying the watch
/// returns even more.
#[tokio::test]
async fn after_a_watch_whose_answer_can_t_come_whole_the_box_lists() {
    let store = MemoryStore::default();
    let (edge, access) = start_single_box(&store).await;
    access.set_fault(StoreFault::LargeWatches);
    store.write(with_added_route(config(2)));
    has_added_route(&edge).await;
}
