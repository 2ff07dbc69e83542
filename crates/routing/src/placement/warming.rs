//! Requests for upstreams that would otherwise get none: cold ones, which all boxes pace together,
//! and new ones that have never been used.

use super::UpstreamRequest;
use super::service_upstreams::{ServiceUpstreams, is_usable};
use crate::cold_pacing::ColdPacing;
use crate::rendezvous::weighted_score;
use brasswinch_types::Millis;

/// An upstream without a request for this long after it joined gets one regardless of load, since
/// nothing else shows that it serves.
const FIRST_USE_MS: Millis = 4_000;

/// The boxes that warm cold upstreams, and this box's random draw.
pub(super) struct Warming<'a> {
    pub(super) boxes: &'a [u64],
    /// Number of boxes in the whole fleet, reachable or not.
    pub(super) fleet_size: usize,
    pub(super) me: u64,
    pub(super) random: f64,
}

impl Warming<'_> {
    /// Whether this box is one of the boxes that warm the upstream.
    fn is_warmer(&self, upstream: u64) -> bool {
        self.rank(upstream) < ColdPacing::warmers(self.boxes.len())
    }

    /// Whether this box is the first of the boxes that warm the upstream.
    fn is_first(&self, upstream: u64) -> bool {
        self.rank(upstream) == 0
    }

    /// Returns the number of boxes ranked before this one for the upstream.
    fn rank(&self, upstream: u64) -> usize {
        let own_score = weighted_score(upstream, self.me, 1.0);
        let boxes = self.boxes.iter();
        boxes
            .filter(|other| weighted_score(upstream, **other, 1.0) > own_score)
            .count()
    }
}

impl ServiceUpstreams {
    /// Returns an upstream that joined a while ago and has never received a request, if this box
    /// is the one to send the first.
    pub(super) fn never_used(
        &self,
        request: &UpstreamRequest<'_>,
        warming: &Warming<'_>,
        now: Millis,
    ) -> Option<usize> {
        self.entries.iter().position(|entry| {
            !entry.is_used
                && now.saturating_sub(entry.joined_at) >= FIRST_USE_MS
                && is_usable(entry, request, now)
                && entry.fullness(now) < 1.0
                && warming.is_first(entry.hash)
        })
    }

    /// Returns a cold upstream that is due for a request, if this box is one of those that warm
    /// it.
    pub(super) fn cold(
        &mut self,
        request: &UpstreamRequest<'_>,
        warming: &Warming<'_>,
        now: Millis,
    ) -> Option<usize> {
        let boxes = warming.boxes.len();
        let fraction = ColdPacing::group_fraction(boxes, warming.fleet_size);
        let cold_per_s = self.cold_per_s * fraction;
        self.entries.iter_mut().position(|entry| {
            is_usable(entry, request, now)
                && entry.is_cold(now)
                && warming.is_warmer(entry.hash)
                && entry.pacing.admit(cold_per_s, boxes, warming.random, now)
        })
    }
}
