//! The homes of an object and their state.

use super::UpstreamRequest;
use super::advice::Advice;
use super::service_upstreams::{ServiceUpstreams, is_usable, rendezvous_score};
use crate::rendezvous::object_hash;
use brasswinch_types::{Millis, Region};

/// A home of an object, as seen when a request for the object arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct HomeSnapshot {
    /// Its index among the service's upstreams.
    pub(super) index: usize,
    /// Requests there, as a multiple of its slots.
    pub(super) fullness: f64,
    /// Whether it has recently served a request for the object.
    pub(super) has_served: bool,
}

impl UpstreamRequest<'_> {
    /// Returns the hash of the object; a random one from `random` (0 to 1) if the request names
    /// none.
    pub(super) fn object_hash(&self, random: f64) -> u64 {
        match self.object {
            Some(object) => object_hash(self.service.as_str(), object),
            None => (random * u64::MAX as f64) as u64,
        }
    }
}

impl ServiceUpstreams {
    /// Returns the object's homes in the order of `regions`, one for each region with a usable
    /// warm upstream. In the first region the advised upstream replaces the home if it is usable.
    pub(super) fn home_snapshots(
        &self,
        object: u64,
        regions: &[Region],
        request: &UpstreamRequest<'_>,
        advice: Option<&Advice>,
        now: Millis,
    ) -> Vec<HomeSnapshot> {
        let advised = advice.and_then(|advice| self.advised(advice, regions, request, now));
        let own = |region: &Region| {
            let index = self.home_in(object, region, request, now)?;
            let entry = &self.entries[index];
            Some(HomeSnapshot {
                index,
                fullness: entry.fullness(now),
                has_served: entry.has_served(object),
            })
        };
        let is_first = |position: usize| position == 0;
        let homes = regions.iter().enumerate();
        homes
            .filter_map(|(position, region)| {
                advised
                    .filter(|_| is_first(position))
                    .or_else(|| own(region))
            })
            .collect()
    }

    /// Returns the home of an object in `region`: by rendezvous hashing among its usable warm
    /// upstreams.
    pub(super) fn home_in(
        &self,
        object: u64,
        region: &Region,
        request: &UpstreamRequest<'_>,
        now: Millis,
    ) -> Option<usize> {
        let score = |index: &usize| rendezvous_score(object, &self.entries[*index]);
        (0..self.entries.len())
            .filter(|index| {
                let entry = &self.entries[*index];
                &entry.region == region && is_usable(entry, request, now) && !entry.is_cold(now)
            })
            .max_by(|a, b| score(a).total_cmp(&score(b)))
    }

    /// Returns the upstream that the coordinator advises, if this box may use it too.
    fn advised(
        &self,
        advice: &Advice,
        regions: &[Region],
        request: &UpstreamRequest<'_>,
        now: Millis,
    ) -> Option<HomeSnapshot> {
        let mut entries = self.entries.iter();
        let index = entries.position(|entry| entry.record.id == advice.upstream)?;
        let entry = &self.entries[index];
        let is_allowed = entry.record.started == advice.started
            && regions.first() == Some(&entry.region)
            && is_usable(entry, request, now)
            && !entry.is_cold(now);
        is_allowed.then_some(HomeSnapshot {
            index,
            fullness: f64::from(advice.fullness),
            has_served: advice.has_served,
        })
    }
}
