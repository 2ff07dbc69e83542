//! Replays the start of a whole fleet on the membership protocol of many boxes.
//!
//! All boxes run in one process, on their own [`Swim`] and [`FleetSize`]; the network is modelled.
//! So a start of 1,000 boxes takes seconds, and every message is counted by kind.
//!
//! [`Swim`]: brasswinch_routing::Swim
//! [`FleetSize`]: brasswinch_routing::FleetSize

mod network;
mod outcome;
mod play;

pub use outcome::{StartOutcome, Traffic};
pub use play::{StartPattern, play};

/// Replays the start of fleets of `sizes` boxes and prints what it showed.
pub fn report(sizes: &[usize], seeds: u64) {
    for boxes in sizes {
        for seed in 0..seeds {
            let outcome = play(&StartPattern::all_at_once(*boxes), seed);
            println!("boxes={boxes} seed={seed}\n{outcome}");
        }
    }
}
