//! Sends the current shares to starting boxes.

use super::state::Control;
use crate::steering::Steering;
use brasswinch_decide::members::BoxState;
use brasswinch_peer::OriginShares;
use brasswinch_types::{BoxId, Region, ServiceKey};
use std::sync::PoisonError;

impl Control {
    pub(super) fn shares_in_use(&self) -> Vec<OriginShares> {
        let mut in_use = Vec::new();
        for service in self.context.services.values() {
            for (index, cell) in service.steering.iter().enumerate() {
                let guard = cell.lock().unwrap_or_else(PoisonError::into_inner);
                let (Some(steering), Some(origin)) = (&*guard, self.context.regions.get(index))
                else {
                    continue;
                };
                in_use.push(OriginShares {
                    service: service.key.clone(),
                    origin: origin.clone(),
                    shares: steering.shares().clone(),
                });
            }
        }
        in_use
    }

    /// Starts steering where a serving peer steers now, never at the plan's target.
    pub(super) fn on_shares(&mut self, peer: &BoxId, shares: Vec<OriginShares>) {
        if self.record.state != BoxState::Starting {
            return;
        }
        let serving = self
            .members
            .record(peer)
            .is_some_and(|record| record.state == BoxState::Serving);
        if !serving {
            return;
        }
        self.shares_heard = true;
        let now = self.now();
        for origin in shares {
            if let Some(cell) = self.steering_cell(&origin.service, &origin.origin) {
                let mut guard = cell.lock().unwrap_or_else(PoisonError::into_inner);
                guard.get_or_insert_with(|| Steering::new(origin.shares, now));
            }
        }
    }

    pub(super) fn steering_cell(
        &self,
        service: &ServiceKey,
        origin: &Region,
    ) -> Option<&std::sync::Mutex<Option<Steering>>> {
        let index = self.context.region_index(origin)?;
        self.context.services.get(service)?.steering.get(index)
    }
}
