//! Splits the requests of a route among its services in exact proportions.
//!
//! Uses smooth weighted round robin: each pick credits every service with its weight and takes the
//! one with the most credit, so that every run of picks follows the weights.

use crate::config::Backend;
use brasswinch_types::Service;

/// The state of one route's split on one box.
#[derive(Clone, Debug)]
pub struct WeightedSplit {
    backends: Vec<Backend>,
    credits: Vec<f64>,
}

impl WeightedSplit {
    /// Starts at a random point (`start` from 0 to 1), so that boxes don't all begin with the same
    /// service.
    pub fn new(backends: &[Backend], start: f64) -> Self {
        let credits = backends
            .iter()
            .map(|backend| backend.weight * start)
            .collect();
        Self {
            backends: backends.to_vec(),
            credits,
        }
    }

    /// Whether this state belongs to the split among `backends`.
    pub fn is_for(&self, backends: &[Backend]) -> bool {
        self.backends == backends
    }

    /// Returns the service of the next request.
    pub fn pick(&mut self) -> Option<Service> {
        let total: f64 = self.backends.iter().map(|backend| backend.weight).sum();
        let mut best: Option<usize> = None;
        for (index, backend) in self.backends.iter().enumerate() {
            self.credits[index] += backend.weight;
            let more = best.is_none_or(|best| self.credits[index] > self.credits[best]);
            if more && backend.weight > 0.0 {
                best = Some(index);
            }
        }
        let best = best?;
        self.credits[best] -= total;
        Some(self.backends[best].service.clone())
    }
}
