//! Workspaces that compete for a service: metric, status and the workspace of a request.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_lab::routed_upstream::Behaviour;
use brasswinch_routing::{Change, KeyDigest, WorkspaceConfig};
use brasswinch_types::Workspace;
use bytes::Bytes;
use common::{Answer, Site, call, config, eventually, request};
use http::Request;
use http_body_util::Full;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Longer than the test needs the requests in flight.
const PROCESSING_TIME: Duration = Duration::from_secs(3);

/// Requests that fill the queue of an upstream with four slots up to the highest limit.
const FULL: usize = 11;

/// Workspaces besides `large`.
const SMALL: usize = 9;

/// Returns a request with the key of a workspace, which is its name.
fn request_of(workspace: &str) -> Request<Full<Bytes>> {
    let mut request = request("GET", "/safe/a", "");
    let key = format!("Bearer {workspace}").parse().unwrap();
    request.headers_mut().insert("authorization", key);
    request
}

fn names() -> impl Iterator<Item = String> {
    let small = (1..=SMALL).map(|number| format!("w{number}"));
    std::iter::once("large".to_owned()).chain(small)
}

async fn send(site: &Site, workspace: &str) -> Answer {
    call(site.clients, request_of(workspace)).await.unwrap()
}

/// Guards against a box that doesn't tell placement the workspace of a request, and against an
/// overload that operators can't attribute to a workspace.
#[tokio::test]
async fn a_workspace_over_its_share_shows_in_the_metric_and_the_status() {
    let site = Site::start(1).await;
    let context = Arc::clone(site.handle.as_ref().unwrap().context());
    let metric = "brasswinch_service_share_limited_total{service=\"desk\"}";
    assert!(context.metrics_text().contains(&format!("{metric} 0")));
    let mut config = config(2);
    for name in names() {
        let workspace = WorkspaceConfig {
            keys: BTreeSet::from([KeyDigest::of(name.as_bytes())]),
            ..WorkspaceConfig::default()
        };
        config.workspaces.insert(Workspace::new(&name), workspace);
    }
    site.store.write(Change::Config(Arc::new(config)));
    let in_force = || context.status().config_version == Some(2);
    eventually("the workspaces are configured", in_force).await;
    site.upstreams[0].always(Behaviour::AnswerAfter(PROCESSING_TIME));
    for number in 0..FULL {
        let workspace = match number {
            0..=2 => format!("w{}", number + 1),
            _ => "large".to_owned(),
        };
        tokio::spawn(call(site.clients, request_of(&workspace)));
    }
    eventually("the upstream's queue is full", || site.seen() == FULL).await;
    for name in names().skip(1) {
        assert_eq!(send(&site, &name).await.status, 503, "{name}");
    }
    assert!(context.metrics_text().contains(&format!("{metric} 0")));
    assert_eq!(send(&site, "large").await.status, 503);
    let metrics = context.metrics_text();
    assert!(metrics.contains(&format!("{metric} 1")), "{metrics}");
    let status = context.status().to_string();
    let line = "large over its fair share: 8 of 9 requests admitted";
    assert!(status.contains(line), "{status}");
}
