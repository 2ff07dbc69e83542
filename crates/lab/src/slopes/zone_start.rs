//! A zone's boxes all starting at once: real daemons in this process.

use super::fit::Series;
use crate::deployment::{Site, Spec};
use crate::fleet;
use crate::http::LabError;
use std::time::Instant;

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
        let daemons = fleet::start_all(&site, |settings| {
            // Two seeds, as a fleet would give: the rest is learned.
            settings.this_box.peers.seeds.truncate(2);
        })?;
        fleet::serve_policy(&site, &daemons, &policy).await?;
        time.add(count, began.elapsed().as_secs_f64());
        let counts = site.platform.counts();
        writes.add(count, counts.writes as f64);
        reads.add(count, counts.reads as f64);
        fleet::stop_all(daemons).await;
    }
    Ok(vec![time, writes, reads])
}
