//! Replays a load on the decisions of many boxes, without sockets or clocks.
//!
//! All boxes of a fleet run in one process, on their own [`Placement`]; callers, the network
//! and upstreams are modelled. So two ways of placing can be compared in seconds, by what
//! callers got, by how long requests waited, and by how well a box knew the load of the
//! upstream that it chose.
//!
//! [`Placement`]: brasswinch_routing::Placement

mod fleet;
mod network;
mod objects;
mod outcome;
mod pattern;
mod play;
mod upstream;

pub use outcome::{Outcome, WindowOutcome, WorkspaceOutcome};
pub use pattern::{Disturbance, LoadPattern, REGIONS, SpeedChanges, WorkspaceLoads, patterns};
pub use play::{Knowledge, play};

/// Replays each load whose name begins with `only` on fleets of `sizes` boxes, by each way
/// of knowing upstreams' load, and prints what it showed.
pub fn report(only: &str, sizes: &[usize], seeds: u64) {
    for boxes in sizes {
        let chosen = patterns(*boxes).into_iter();
        for pattern in chosen.filter(|pattern| pattern.name.starts_with(only)) {
            report_pattern(&pattern, seeds);
        }
    }
}

fn report_pattern(pattern: &LoadPattern, seeds: u64) {
    for knowledge in [Knowledge::Own, Knowledge::Keeper] {
        for seed in 0..seeds {
            let outcome = play(pattern, knowledge, seed);
            println!(
                "{:12} boxes={:<4} {knowledge:?} seed={seed} {outcome}",
                pattern.name, pattern.boxes
            );
        }
    }
}
