//! Real daemons in this process, for the demo and for measurements.

use crate::deployment::{OPERATOR_TOKEN, Site};
use crate::http::{LabClient, LabError};
use brasswinch_daemon::{DaemonHandle, StatusView, start};
use brasswinch_settings::Settings;
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Longest wait for a fleet to serve.
const READY: Duration = Duration::from_secs(60);

/// Starts every box of a site, with its settings changed as the caller likes.
pub fn start_all(
    site: &Site,
    mut change: impl FnMut(&mut Settings),
) -> Result<Vec<DaemonHandle>, LabError> {
    let mut daemons = Vec::new();
    for zone in 0..site.spec.zones() {
        for index in 1..=site.spec.boxes_per_zone {
            let mut settings = site.settings(zone, index);
            change(&mut settings);
            let daemon = start(settings)?;
            site.box_listens(&site.box_name(zone, index), daemon.addresses().peer);
            daemons.push(daemon);
        }
    }
    Ok(daemons)
}

/// Submits a policy at the first box and waits until that box sees every box serving and
/// the whole load of every service held.
pub async fn serve_policy(
    site: &Site,
    daemons: &[DaemonHandle],
    policy: &str,
) -> Result<(), LabError> {
    let client = LabClient::default();
    let token = Some(OPERATOR_TOKEN);
    let Some(first) = daemons.first() else {
        return Ok(());
    };
    let admin = first.addresses().admin;
    client
        .post(admin, "/v1/policy", token, &json!({ "source": policy }))
        .await?;
    let began = Instant::now();
    while began.elapsed() < READY {
        let status = status(&client, admin).await?;
        let serving = status
            .boxes
            .iter()
            .filter(|known| known.heard && known.state == "serving");
        if serving.count() == daemons.len() && holds_all(site, &status) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(LabError::Answer("the boxes did not come to serve".into()))
}

/// A box's report of the system's status.
pub async fn status(client: &LabClient, admin: SocketAddr) -> Result<StatusView, LabError> {
    client.get(admin, "/v1/status", Some(OPERATOR_TOKEN)).await
}

/// Stops all daemons and waits for them.
pub async fn stop_all(daemons: Vec<DaemonHandle>) {
    for daemon in &daemons {
        daemon.stop();
    }
    let waits = tokio::task::spawn_blocking(move || daemons.into_iter().for_each(|d| d.wait()));
    let _ = waits.await;
}

fn holds_all(site: &Site, status: &StatusView) -> bool {
    let regions = site.spec.regions.len() as u32;
    status.services.iter().all(|service| {
        let held: u32 = service.zones.values().map(|load| load.total).sum();
        held == site.spec.region_slots(&service.service) * regions
    })
}
