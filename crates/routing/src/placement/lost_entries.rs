//! Tells upstreams that left from upstreams whose entries the store lost.
//!
//! An upstream that leaves takes its own entry away. Where many entries go at the same
//! moment it is rather their leases that ran out, because the store was away or cut off
//! from a part of the upstreams; those that live write them again.
//!
//! One that leaves meanwhile looks like the others. So what is kept is kept for a time
//! from when its entry was last known to be there: it left after that, and gets nothing
//! longer than that time after it left, however long the news took. Only where the store
//! itself has failed this box since, the time counts from now.

use super::entry::{Entry, Lost};
use crate::fleet_state::FleetState;
use brasswinch_types::{Millis, Service};
use std::collections::HashMap;

/// Where more than this part of a service's upstreams lose their entries at once, the
/// store is taken to have lost the entries rather than the service its upstreams.
const SERVICE_LOSS_PART: f64 = 0.34;

/// Where more than this part of the upstreams of all services lose their entries at once,
/// the store itself is taken to have been away.
const FLEET_LOSS_PART: f64 = 0.5;

/// Time in which upstreams that live are back once the store has been away.
const BACK_AFTER_OUTAGE_MS: Millis = 2_000;

/// The entries that an update no longer brought, and how many it brought.
pub(super) struct Losses {
    lost: Vec<Entry>,
    left: HashMap<Service, usize>,
}

impl Losses {
    /// `left` are the entries that each service still has.
    pub(super) fn new(lost: Vec<Entry>, left: HashMap<Service, usize>) -> Self {
        Self { lost, left }
    }

    /// The entries that stay in use for now. `keep_ms` is how long those of a service
    /// stay that lost many at once.
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
                // Where nothing tells when it was there, it isn't kept.
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

    /// Services that lost more than one of their upstreams, and a large part of them.
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
