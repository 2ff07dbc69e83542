//! A zone's boxes all starting at once: real daemons in this process.

use super::fit::Series;
use crate::deployment::{OPERATOR_TOKEN, Site, Spec};
use crate::http::{LabClient, LabError};
use brasswinch_daemon::{DaemonHandle, StatusView, start};
use serde_json::json;
use std::time::{Duration, Instant};

/// Longest wait for the zone.
const PATIENCE: Duration = Duration::from_secs(60);

/// Time until every box serves and holds its share, and what it asked of the platform.
pub(super) async fn boxes() -> Result<Vec<Series>, LabError> {
    let mut time = Series::new("zone start until all load is held, s", "boxes of the zone");
    let mut writes = Series::new("zone start, writes to the store", "boxes of the zone");
    let mut reads = Series::new(
        "zone start, reads of the store and list",
        "boxes of the zone",
    );
    for count in [5, 10, 20, 40] {
        let mut spec = Spec::kavach(count, 10);
        spec.regions = vec!["guj-west"];
        spec.zones_per_region = 1;
        let policy = spec.policy(0.2, 5.0);
        let site = Site::start(spec).await?;
        let began = Instant::now();
        let mut daemons = Vec::new();
        for index in 1..=count {
            let mut settings = site.settings(0, index);
            // Two seeds, as a fleet would give: the rest is learned.
            settings.this_box.peers.seeds.truncate(2);
            let daemon = start(settings)?;
            site.box_listens(&site.box_name(0, index), daemon.addresses().peer);
            daemons.push(daemon);
        }
        wait_until_held(&daemons, &policy).await?;
        time.add(count, began.elapsed().as_secs_f64());
        let counts = site.platform.counts();
        writes.add(count, counts.writes as f64);
        reads.add(count, counts.reads as f64);
        for daemon in &daemons {
            daemon.stop();
        }
        let stopped =
            tokio::task::spawn_blocking(move || daemons.into_iter().for_each(|d| d.wait()));
        let _ = stopped.await;
    }
    Ok(vec![time, writes, reads])
}

async fn wait_until_held(daemons: &[DaemonHandle], policy: &str) -> Result<(), LabError> {
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
    while began.elapsed() < PATIENCE {
        let status: StatusView = client.get(admin, "/v1/status", token).await?;
        let serving = status
            .boxes
            .iter()
            .filter(|b| b.heard && b.state == "serving");
        // Ten targets of four slots, all held by boxes that are heard.
        let held = status
            .services
            .iter()
            .all(|service| service.zones.values().all(|load| load.total == 40));
        if serving.count() == daemons.len() && held {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(LabError::Answer(
        "the zone did not come to hold its load".into(),
    ))
}
