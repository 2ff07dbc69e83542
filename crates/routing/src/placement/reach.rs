//! What placement knows of upstreams for a box that checks, or has lost, its own path to them.

use super::Placement;
use super::entry::Entry;
use crate::upstream::UpstreamIncarnation;
use crate::upstream_reach::CheckCandidate;
use brasswinch_types::Millis;
use std::net::SocketAddr;

impl Placement {
    /// Forgets which upstreams could not be reached or did not answer, because the cause was this
    /// box's own path.
    pub fn forget_failures(&mut self) {
        let entries = self.services.values_mut();
        let entries = entries.flat_map(|service| &mut service.entries);
        entries.for_each(|entry| entry.load.forget_failures());
    }

    /// Returns the address of an upstream if it accepts requests.
    pub fn accepting_address(
        &self,
        incarnation: &UpstreamIncarnation,
        now: Millis,
    ) -> Option<SocketAddr> {
        let entry = self.entry_of(incarnation)?;
        entry.accepts_requests(now).then_some(entry.record.address)
    }

    /// Returns the addresses of all upstreams that accept requests, to check the own path.
    pub fn check_candidates(&self, now: Millis) -> Vec<CheckCandidate<SocketAddr>> {
        let accepting = |entry: &&Entry| entry.accepts_requests(now);
        let candidate = |entry: &Entry| CheckCandidate {
            zone: entry.record.zone.clone(),
            target: entry.record.address,
        };
        let entries = self.services.values().flat_map(|service| &service.entries);
        entries.filter(accepting).map(candidate).collect()
    }

    /// Returns the number of upstreams that accept requests.
    pub fn accepting_count(&self, now: Millis) -> usize {
        let entries = self.services.values().flat_map(|service| &service.entries);
        entries.filter(|entry| entry.accepts_requests(now)).count()
    }
}
