//! Which boxes a look-up names.
//!
//! Callers stay in their zone where it has boxes enough: the way is short, and each zone's
//! boxes get what its callers send. Where it has few, or is asked for much more than the
//! rest of its region, the region's boxes are named. Where there are more than an answer
//! holds, it is drawn anew for each, larger boxes more often, so that no two answers need
//! be alike and every box gets its part.

use brasswinch_types::Zone;
use rand::{Rng, RngExt};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Most boxes in an answer.
pub const MOST_NAMED: usize = 64;

/// Fewest boxes of the caller's zone that are named alone: with fewer the loss of one is
/// felt, and a caller that skips it has hardly another.
const LEAST_OF_ZONE: usize = 8;

/// A zone whose boxes are sent this many times the requests of its region's on average has
/// no room for all of its callers.
const CROWDED: f64 = 2.0;

/// A box that serves, as a look-up sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedBox {
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Where it stands.
    pub zone: Zone,
    /// How much it bears, in any unit that all boxes share; 0 where that isn't known.
    pub size: u32,
    /// Requests a second that its callers send; `None` where that wasn't heard.
    pub requests_per_s: Option<f32>,
}

impl NamedBox {
    /// Where nothing is known of sizes all boxes are alike.
    fn weight(&self) -> f64 {
        f64::from(self.size.max(1))
    }
}

/// The boxes that a caller in `zone` is told of; `near` are those of its region.
pub fn named(near: &[NamedBox], zone: &Zone, random: &mut impl Rng) -> Vec<SocketAddr> {
    let own: Vec<&NamedBox> = near.iter().filter(|held| &held.zone == zone).collect();
    let stays = own.len() >= LEAST_OF_ZONE && !is_crowded(near, zone);
    let candidates = if stays { own } else { near.iter().collect() };
    draw(candidates, random)
}

/// Whether the zone's boxes are sent so much more than the region's that it has no room.
fn is_crowded(near: &[NamedBox], zone: &Zone) -> bool {
    let mut loads: BTreeMap<&Zone, (f64, f64)> = BTreeMap::new();
    for held in near {
        // Other boxes tell it; a number that can't be one counts as not heard.
        let heard = held.requests_per_s;
        let Some(rate) = heard.filter(|rate| rate.is_finite() && *rate >= 0.0) else {
            continue;
        };
        let (rates, weights) = loads.entry(&held.zone).or_default();
        *rates += f64::from(rate);
        *weights += held.weight();
    }
    let per_size = |(rates, weights): &(f64, f64)| rates / weights.max(1.0);
    let Some(own) = loads.get(zone).map(per_size) else {
        return false;
    };
    let all: f64 = loads.values().map(per_size).sum();
    own > all / loads.len() as f64 * CROWDED
}

/// All candidates, or as many as an answer holds, drawn by size without putting back
/// (Efraimidis and Spirakis, 2006: the largest of `uniform^(1/weight)`).
fn draw(candidates: Vec<&NamedBox>, random: &mut impl Rng) -> Vec<SocketAddr> {
    if candidates.len() <= MOST_NAMED {
        return candidates.iter().map(|held| held.address).collect();
    }
    let mut drawn: Vec<(f64, SocketAddr)> = candidates
        .iter()
        .map(|held| {
            let uniform: f64 = random.random();
            (uniform.powf(1.0 / held.weight()), held.address)
        })
        .collect();
    drawn.sort_by(|a, b| b.0.total_cmp(&a.0));
    drawn.truncate(MOST_NAMED);
    drawn.into_iter().map(|(_, address)| address).collect()
}
