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

/// Runs every measurement and prints the table.
pub async fn run(as_json: bool, allocated: AllocatedBytes) -> Result<(), LabError> {
    let mut all: Vec<Series> = Vec::new();
    all.extend(lookups::blocks(allocated));
    all.extend(lookups::decisions()?);
    all.push(lookups::through_the_socket().await?);
    all.extend(daemon_cost::members(allocated).await?);
    all.extend(daemon_cost::sites(allocated).await?);
    all.extend(daemon_cost::neighbours().await?);
    all.extend(daemon_cost::far_links().await?);
    all.extend(daemon_cost::changes().await?);
    all.extend(zone_start::boxes().await?);
    for series in &all {
        if as_json {
            println!("{}", series.json());
        } else {
            println!("{series}");
        }
    }
    Ok(())
}
