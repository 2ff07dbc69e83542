//! Measures how a daemon's cost grows with size, for `docs/CAPACITY.md`.
//!
//! One real daemon runs in this process among made-up peers that speak the real
//! protocol. Each axis is measured at four sizes or more and fitted by a straight line.

mod daemon_cost;
mod fit;
mod lookups;
mod peers;
mod scale;
mod zone_start;

use crate::http::LabError;
use fit::Series;

/// Reads the bytes allocated by this process.
pub type AllocatedBytes = fn() -> usize;

/// Runs the measurements whose name starts with `only`, and prints the table.
pub async fn run(only: &str, as_json: bool, allocated: AllocatedBytes) -> Result<(), LabError> {
    let mut all: Vec<Series> = Vec::new();
    let wanted = |name: &str| name.starts_with(only);
    if wanted("blocks") {
        all.extend(lookups::blocks(allocated));
    }
    if wanted("decisions") {
        all.extend(lookups::decisions()?);
    }
    if wanted("socket") {
        all.push(lookups::through_the_socket().await?);
    }
    if wanted("members") {
        all.extend(daemon_cost::members(allocated).await?);
    }
    if wanted("sites") {
        all.extend(daemon_cost::sites(allocated).await?);
    }
    if wanted("neighbours") {
        all.extend(daemon_cost::neighbours().await?);
    }
    if wanted("far-links") {
        all.extend(daemon_cost::far_links().await?);
    }
    if wanted("changes") {
        all.extend(daemon_cost::changes().await?);
    }
    if wanted("zone-start") {
        all.extend(zone_start::boxes().await?);
    }
    for series in &all {
        if as_json {
            println!("{}", series.json());
        } else {
            println!("{series}");
        }
    }
    Ok(())
}
