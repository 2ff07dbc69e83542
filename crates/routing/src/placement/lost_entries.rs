//! Distinguishes upstreams that left from upstreams whose entries the store lost.
//!
//! An upstream that leaves deletes its own entry. If many entries vanish at once, their leases
//! have probably expired because the store was down or cut off from some of the upstreams; those
//! that still run write their entries again.
//!
//! An upstream that leaves during such a loss looks the same. Lost entries are therefore retained
//! for a limited time from when they were last known to exist: an upstream that left did so after
//! that, so it gets requests for at most that time after it left, however long the update took.
//! Only if the store itself has failed for this box since then does the time start now.

use super::entry::{Entry, Lost};
use crate::fleet_state::FleetState;
use brasswinch_types::{Millis, Service};
use std::collections::HashMap;

/// If more than this fraction of a service's upstreams lose their entries at once, the store is
/// assumed to have lost the entries, and not the service its upstreams.
const SERVICE_LOSS_FRACTION: f64 = 0.34;

/// If more than this fraction of all services' upstreams lose their entries at once, the store
/// itself is assumed to have been down.
const FLEET_LOSS_FRACTION: f64 = 0.5;

/// Time in which running upstreams write their entries again after a store outage.
const OUTAGE_RECOVERY_MS: Millis = 2_000;

/// Entries that are missing from an update, and the number that remain.
pub(super) struct LostEntries {
    lost: Vec<Entry>,
    remaining: HashMap<Service, usize>,
}

impl LostEntries {
    /// Creates the comparison; `remaining` is the number of remaining entries of each service.
    pub(super) fn new(lost: Vec<Entry>, remaining: HashMap<Service, usize>) -> Self {
        Self { lost, remaining }
    }

    /// Returns the entries that stay in use for now. `retain_ms` is the retention time after a loss
    /// that affects one service.
    pub(super) fn retained(self, retain_ms: Millis, fleet: &FleetState, now: Millis) -> Vec<Entry> {
        let after_outage_ms = if self.is_fleet_loss() {
            retain_ms.max(OUTAGE_RECOVERY_MS)
        } else {
            retain_ms
        };
        let retained_until = |entry: &Entry| {
            let lost = fleet.lost_entry(&entry.record.id)?;
            if lost.store_failed {
                return Some(now + after_outage_ms);
            }
            Some(lost.present_as_of? + retain_ms)
        };
        let mass_losses = self.mass_losses();
        let mut retained = self.lost;
        retained.retain_mut(|entry| {
            if entry.lost.is_none() && mass_losses.contains(&entry.record.service) {
                // An entry with an unknown time of last existence isn't retained.
                entry.lost = Some(Lost {
                    detected_at: now,
                    retained_until: retained_until(entry).unwrap_or(now),
                });
            }
            entry.lost.is_some_and(|lost| now < lost.retained_until)
        });
        retained
    }

    fn is_fleet_loss(&self) -> bool {
        let remaining: usize = self.remaining.values().sum();
        exceeds_fraction(FLEET_LOSS_FRACTION, self.lost.len(), remaining)
    }

    /// Returns the services that lost more than one upstream and a large fraction of them.
    fn mass_losses(&self) -> Vec<Service> {
        let mut lost: HashMap<&Service, usize> = HashMap::new();
        for entry in &self.lost {
            *lost.entry(&entry.record.service).or_default() += 1;
        }
        lost.into_iter()
            .filter(|(service, lost)| {
                let remaining = self.remaining.get(*service).copied().unwrap_or(0);
                *lost > 1 && exceeds_fraction(SERVICE_LOSS_FRACTION, *lost, remaining)
            })
            .map(|(service, _)| service.clone())
            .collect()
    }
}

fn exceeds_fraction(fraction: f64, lost: usize, remaining: usize) -> bool {
    lost as f64 > (lost + remaining) as f64 * fraction
}
