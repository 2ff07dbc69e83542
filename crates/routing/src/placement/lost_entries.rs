//! Distinguishes upstreams that left from upstreams whose entries the store lost.
//!
//! An upstream that leaves deletes its own entry. If many entries vanish at once, their leases
//! have probably expired because the store was down or cut off from some of the upstreams; those
//! that still run write their entries again.
//!
//! An upstream that leaves during such a loss looks the same. Lost entries are therefore retained
//! for a limited time from when they were last known to exist: an upstream that left did so after
//! that, so it gets no requests for longer than that time after it left, however long the update
//! took. Only if the store itself has failed for this box since then does the time start now.

use super::entry::{Entry, Lost};
use crate::fleet_state::FleetState;
use brasswinch_types::{Millis, Service};
use std::collections::HashMap;

/// If more than this fraction of a service's upstreams lose their entries at once, the store is
/// assumed to have lost the entries, and not the service its upstreams.
const SERVICE_LOSS_PART: f64 = 0.34;

/// If more than this fraction of all services' upstreams lose their entries at once, the store
/// itself is assumed to have been down.
const FLEET_LOSS_PART: f64 = 0.5;

/// Time in which running upstreams write their entries again after a store outage.
const BACK_AFTER_OUTAGE_MS: Millis = 2_000;

/// Entries that are missing from an update, and the number that remain.
pub(super) struct Losses {
    lost: Vec<Entry>,
    left: HashMap<Service, usize>,
}

impl Losses {
    /// Creates the comparison; `left` is the number of remaining entries of each service.
    pub(super) fn new(lost: Vec<Entry>, left: HashMap<Service, usize>) -> Self {
        Self { lost, left }
    }

    /// Returns the entries that stay in use for now. `keep_ms` is the retention time after a loss
    /// that affects one service.
    pub(super) fn kept(self, keep_ms: Millis, fleet: &FleetState, now: Millis) -> Vec<Entry> {
        let after_outage_ms = if self.is_fleet_loss() {
            keep_ms.max(BACK_AFTER_OUTAGE_MS)
        } else {
            keep_ms
        };
        let kept_until = |entry: &Entry| {
            let lost = fleet.lost_entry(&entry.record.id)?;
            if lost.store_failed {
                return Some(now + after_outage_ms);
            }
            Some(lost.present_as_of? + keep_ms)
        };
        let mass_losses = self.mass_losses();
        let mut kept = self.lost;
        kept.retain_mut(|entry| {
            if entry.lost.is_none() && mass_losses.contains(&entry.record.service) {
                // An entry with an unknown time of last existence isn't retained.
                entry.lost = Some(Lost {
                    heard_at: now,
                    kept_until: kept_until(entry).unwrap_or(now),
                });
            }
            entry.lost.is_some_and(|lost| now < lost.kept_until)
        });
        kept
    }

    fn is_fleet_loss(&self) -> bool {
        let left: usize = self.left.values().sum();
        is_more_than(FLEET_LOSS_PART, self.lost.len(), left)
    }

    /// Returns the services that lost more than one upstream and a large fraction of them.
    fn mass_losses(&self) -> Vec<Service> {
        let mut lost: HashMap<&Service, usize> = HashMap::new();
        for entry in &self.lost {
            *lost.entry(&entry.record.service).or_default() += 1;
        }
        lost.into_iter()
            .filter(|(service, lost)| {
                let left = self.left.get(*service).copied().unwrap_or(0);
                *lost > 1 && is_more_than(SERVICE_LOSS_PART, *lost, left)
            })
            .map(|(service, _)| service.clone())
            .collect()
    }
}

fn is_more_than(part: f64, lost: usize, left: usize) -> bool {
    lost as f64 > (lost + left) as f64 * part
}
