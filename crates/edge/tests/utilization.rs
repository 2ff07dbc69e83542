//! Sizes and utilization that boxes publish, and the metrics of look-ups.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_lab::routed_upstream::Behaviour;
use brasswinch_types::{Region, Zone};
use common::know_all::published_record;
use common::{Site, eventually, settings};
use std::time::Duration;
use tokio::net::TcpStream;

const MAX_CONNECTIONS: usize = 40;

/// Returns the value of a metric of the box, 0 if it is absent.
fn metric(site: &Site, name: &str) -> f64 {
    let text = site.handle.as_ref().unwrap().context().metrics_text();
    let name = format!("brasswinch_{name} ");
    let value = text.lines().find_map(|line| line.strip_prefix(&name));
    value.map_or(0.0, |value| value.parse().unwrap())
}

/// Guards against boxes that are full of connections and get as many callers as others.
#[tokio::test]
async fn sizes_and_used_connections_are_published() {
    let mut limited = settings("box-1", Vec::new());
    limited.link_mbps = 200;
    limited.cpu_millis = Some(500);
    limited.max_connections = Some(MAX_CONNECTIONS as u32);
    let site = Site::start_with(limited, 1).await;
    let peers = site.handle.as_ref().unwrap().addresses().peers;
    let record = published_record("box-1", peers, |_| true).await;
    assert_eq!((record.link_mbps, record.cpu_millis), (200, Some(500)));
    assert_eq!(
        (record.memory_mb, record.max_connections),
        (Some(64), Some(40))
    );
    assert_eq!(record.utilization, None);
    let mut clients = Vec::new();
    for _ in 0..MAX_CONNECTIONS * 9 / 10 {
        clients.push(TcpStream::connect(site.clients).await.unwrap());
    }
    eventually("all connections are counted", || {
        metric(&site, "box_utilization") == 90.0
    })
    .await;
    // An average of measurements is published, when it has changed by 10 or more.
    let is_busy = |percent: u32| (80..=90).contains(&percent);
    published_record("box-1", peers, |record| {
        record.utilization.is_some_and(is_busy)
    })
    .await;
    drop(clients);
    eventually("they are closed", || {
        metric(&site, "box_utilization") == 0.0
    })
    .await;
    published_record("box-1", peers, |record| {
        record.utilization.is_some_and(|percent| percent <= 10)
    })
    .await;
}

/// Guards against boxes whose link is busy in one direction and which don't count it.
#[tokio::test]
async fn bytes_on_the_link_count_as_utilization() {
    let mut slow = settings("box-1", Vec::new());
    slow.link_mbps = 1;
    let site = Site::start_with(slow, 1).await;
    site.upstreams[0].always(Behaviour::AnswerLong {
        bytes: 1_000_000,
        patience: Duration::from_secs(30),
    });
    assert_eq!(site.get("/download/1").await.body.len(), 1_000_000);
    eventually("the link is busy", || {
        metric(&site, "box_utilization") == 100.0
    })
    .await;
    eventually("it is idle", || metric(&site, "box_utilization") == 0.0).await;
}

/// Guards against metrics of look-ups that miss answers or boxes.
#[tokio::test]
async fn look_ups_are_counted() {
    let site = Site::start(1).await;
    let context = site.handle.as_ref().unwrap().context();
    for _ in 0..3 {
        let answer = context.directory_answer(&Zone::new("west-a"), &Region::new("west"));
        assert_eq!(answer.addresses, [site.clients]);
    }
    assert_eq!(metric(&site, "lookup_answers_total"), 3.0);
    assert_eq!(metric(&site, "lookup_listed_total{size=\"large\"}"), 3.0);
    assert_eq!(metric(&site, "lookup_listed_total{size=\"small\"}"), 0.0);
}
