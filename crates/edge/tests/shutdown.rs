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

/// Time that an upstream takes to refuse an upload; the stop begins meanwhile.
const REFUSAL_DELAY: Duration = Duration::from_millis(500);

/// Work that ends before the process, unless the request has to wait for a slot.
const UPLOAD_WORK: Duration = Duration::from_millis(2_000);

/// Starts a box in front of as many upstreams.
async fn start(upstreams: usize) -> Site {
    let mut settings = common::settings("box-1", Vec::new());
    settings.bounds.grace_s = GRACE_S;
    Site::start_with(settings, upstreams).await
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

fn upload() -> Request<Full<bytes::Bytes>> {
    let mut upload = request("POST", "/upload/1", "upload");
    let limit = HeaderValue::from(LONG_LIMIT_MS);
    upload
        .headers_mut()
        .insert(&Dialect::default().deadline_ms, limit);
    upload
}

/// An order that came shortly before its connection closed ran, and the process ended under it.
#[tokio::test]
async fn a_stop_cuts_orders_that_came_late() {
    let mut site = start(1).await;
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

/// Uploads that came just after the request to stop were sent to a full upstream, and waited there
/// until the process ended.
#[tokio::test]
async fn a_stop_cuts_early_uploads_that_wait_for_a_slot() {
    let mut site = start(1).await;
    let mut clients = Vec::new();
    for _ in 0..2 * SLOTS {
        let mut client = KeptConnection::open(site.clients).await;
        assert_eq!(client.call(upload()).await.unwrap().status, 200);
        clients.push(client);
    }
    site.upstreams[0].always(Behaviour::AnswerInTurn(UPLOAD_WORK));
    let before = site.runs();
    let stopping = begin_stop(&mut site).await;
    let calls = clients.into_iter().map(|mut client| {
        tokio::spawn(async move { client.call(upload()).await.map(|answer| answer.status) })
    });
    let mut statuses = Vec::new();
    for call in calls.collect::<Vec<_>>() {
        statuses.push(call.await.unwrap().expect("no upload is cut"));
    }
    statuses.sort_unstable();
    let expected = [vec![200; SLOTS], vec![503; SLOTS]].concat();
    assert_eq!(statuses, expected);
    assert_eq!(site.runs(), before + SLOTS, "a refused upload has not run");
    stopping.await.unwrap();
}

/// An upload that arrived before the request to stop was sent after it, and the process ended under
/// it.
#[tokio::test]
async fn a_stop_cuts_uploads_whose_upstream_refuses_them() {
    let mut site = start(2).await;
    let mut client = KeptConnection::open(site.clients).await;
    assert_eq!(client.call(upload()).await.unwrap().status, 200);
    site.upstreams.sort_by_key(|upstream| upstream.seen().len());
    let [other, home] = [site.upstreams[0].clone(), site.upstreams[1].clone()];
    home.always(Behaviour::RefuseAfter(REFUSAL_DELAY));
    other.always(Behaviour::AnswerAfter(SLOW_WORK));
    let call = tokio::spawn(async move { client.call(upload()).await.map(|answer| answer.status) });
    eventually("the upload is at its home", || home.seen().len() == 2).await;
    let stopping = begin_stop(&mut site).await;
    assert_eq!(call.await.unwrap().expect("no upload is cut"), 503);
    assert_eq!(site.runs(), 1, "a refused upload has not run");
    stopping.await.unwrap();
}

/// Orders that no slot was free for waited at their upstream until the process ended.
#[tokio::test]
async fn a_stop_cuts_late_orders_that_wait_for_a_slot() {
    let mut site = start(1).await;
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
