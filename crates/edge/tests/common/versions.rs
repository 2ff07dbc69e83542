//! Versions of the configuration that a box is seen to use.

use super::{MAX_CONDITION_WAIT, call, config, request, route};
use brasswinch_edge::EdgeHandle;
use brasswinch_routing::{Change, RouteKind};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Returns a version of the configuration with a route of its own.
pub fn with_route(version: u64) -> Change {
    let mut newer = config(version);
    let prefix = format!("/new{version}/");
    let added = route(&prefix, RouteKind::Repeatable, "desk");
    newer.routes.push(added);
    Change::Config(Arc::new(newer))
}

/// Waits until the route added in `version` is active. There are no upstreams, so it answers
/// 503.
pub async fn has_route(edge: &EdgeHandle, version: u64) {
    let path = format!("/new{version}/1");
    let clients = edge.addresses().clients;
    let began = Instant::now();
    while call(clients, request("GET", &path, ""))
        .await
        .unwrap()
        .status
        != 503
    {
        assert!(
            began.elapsed() < MAX_CONDITION_WAIT,
            "version {version} never became active"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
