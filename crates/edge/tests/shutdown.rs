//! Requests that reach a box while it stops.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_edge::{Dialect, Lifecycle};
use brasswinch_lab::routed_upstream::Behaviour;
use common::{KeptConnection, Site, eventually, request};
use http::{HeaderValue, Request};
use http_body_util::Full;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Time that the platform leaves the box to stop, in seconds.
const GRACE_S: f64 = 4.0;

/// More than that.
const LONG_LIMIT_MS: u64 = 5_000;

/// Less than that.
const SHORT_LIMIT_MS: u64 = 1_000;

/// Ends within the long limit, and after the process.
const SLOW_WORK: Duration = Duration::from_millis(4_500);

/// Work that orders usually take.
const QUICK_WORK: Duration = Duration::from_millis(300);

/// Enough for a box to know how long orders take.
const WARM_UP_ORDERS: usize = 8;

/// Slots of the upstream.
const SLOTS: usize = 4;

/// More orders than there are slots.
const LATE_ORDERS: usize = 8;

/// Starts a box that admits no request that may outlast it once it is asked to stop.
async fn start() -> Site {
    let mut settings = common::settings("box-1", Vec::new());
    settings.bounds.grace_s = GRACE_S;
    settings.bounds.stop_admit_all_s = 0.0;
    Site::start_with(settings, 1).await
}

/// Asks the box to stop, and waits until it knows.
async fn begin_stop(site: &mut Site) -> JoinHandle<()> {
    let handle = site.handle.take().unwrap();
    let context = Arc::clone(handle.context());
    let stopping = tokio::spawn(handle.stop());
    eventually("the box is leaving", || {
        context.status().stage == Lifecycle::Leaving
    })
    .await;
    stopping
}

fn order(limit_ms: u64) -> Request<Full<bytes::Bytes>> {
    let mut order = request("POST", "/once/1", "order");
    let limit = HeaderValue::from(limit_ms);
    order
        .headers_mut()
        .insert(&Dialect::default().deadline_ms, limit);
    order
}

/// An order that came shortly before its connection closed ran, and the process ended under it.
#[tokio::test]
async fn a_stop_cuts_orders_that_came_late() {
    let mut site = start().await;
    let mut clients = [
        KeptConnection::open(site.clients).await,
        KeptConnection::open(site.clients).await,
    ];
    for client in &mut clients {
        assert_eq!(client.call(order(LONG_LIMIT_MS)).await.unwrap().status, 200);
    }
    let before = site.runs();
    let stopping = begin_stop(&mut site).await;
    // One that ends before the process does is served, however long it takes.
    let [long, short] = &mut clients;
    let served = short.call(order(SHORT_LIMIT_MS)).await.unwrap();
    assert_eq!(served.status, 200);
    site.upstreams[0].always(Behaviour::AnswerAfter(SLOW_WORK));
    let refused = long.call(order(LONG_LIMIT_MS)).await.unwrap();
    assert_eq!((refused.status, &*refused.body), (503, &b"box_leaving"[..]));
    assert_eq!(refused.headers["connection"], "close");
    assert_eq!(site.runs(), before + 1, "a refused order has not run");
    stopping.await.unwrap();
}

/// Orders that no slot was free for waited at their upstream until the process ended.
#[tokio::test]
async fn a_stop_cuts_late_orders_that_wait_for_a_slot() {
    let mut site = start().await;
    let mut warm_up = KeptConnection::open(site.clients).await;
    site.upstreams[0].always(Behaviour::AnswerAfter(QUICK_WORK));
    for _ in 0..WARM_UP_ORDERS {
        let served = warm_up.call(order(LONG_LIMIT_MS)).await.unwrap();
        assert_eq!(served.status, 200);
    }
    let mut clients = Vec::new();
    for _ in 0..LATE_ORDERS {
        let mut client = KeptConnection::open(site.clients).await;
        assert_eq!(client.call(order(LONG_LIMIT_MS)).await.unwrap().status, 200);
        clients.push(client);
    }
    let before = site.runs();
    let stopping = begin_stop(&mut site).await;
    let calls = clients.into_iter().map(|mut client| {
        tokio::spawn(async move { client.call(order(LONG_LIMIT_MS)).await.unwrap().status })
    });
    let calls: Vec<_> = calls.collect();
    let mut served = 0;
    for call in calls {
        match call.await.unwrap() {
            200 => served += 1,
            status => assert_eq!(status, 503),
        }
    }
    assert!((1..=SLOTS).contains(&served), "{served}");
    assert_eq!(site.runs(), before + served, "a refused order has not run");
    stopping.await.unwrap();
}
