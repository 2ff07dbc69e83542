//! What callers ask for: objects of their region, some more often than others.

use rand::rngs::StdRng;
use rand::{Rng, RngExt};

/// How unequal the rates of objects are: the n-th is asked for n^-0.2 times as often.
const SKEW: f64 = 0.2;

/// The objects of one region's callers.
#[derive(Clone, Debug)]
pub(super) struct Objects {
    cumulative: Vec<f64>,
    first: u64,
}

impl Objects {
    /// `count` objects, numbered from `first`.
    pub(super) fn new(first: u64, count: usize) -> Self {
        let mut sum = 0.0;
        let cumulative = (1..=count.max(1)).map(|rank| {
            sum += (rank as f64).powf(-SKEW);
            sum
        });
        Self {
            cumulative: cumulative.collect(),
            first,
        }
    }

    /// One of them.
    pub(super) fn draw(&self, random: &mut StdRng) -> u64 {
        let sum = self.cumulative.last().copied().unwrap_or(1.0);
        let drawn = random.random::<f64>() * sum;
        let rank = self.cumulative.partition_point(|held| *held < drawn);
        self.first + rank as u64
    }
}

/// Time until the next of events that come `per_s` times a second, in milliseconds.
pub(super) fn pause_ms(per_s: f64, random: &mut impl Rng) -> f64 {
    let uniform: f64 = random.random();
    -(1.0 - uniform).ln() * 1_000.0 / per_s
}
