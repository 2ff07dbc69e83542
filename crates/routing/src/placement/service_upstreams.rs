//! The upstreams of one service and the choice among them.

use super::advice::Advice;
use super::basis::{AdvisedHome, Basis, Home, HomeState};
use super::entry::Entry;
use super::fair_share::FairShares;
use super::homes::HomeSnapshot;
use super::spill::SpillWindow;
use super::warming::Warming;
use super::{Choice, Refusal, UpstreamRequest};
use crate::refusals::with_added_jitter;
use crate::region_plan::RegionPlan;
use crate::rendezvous::{object_hash, weighted_score};
use crate::workspace::Rank;
use brasswinch_types::{Millis, Region, Workspace};

/// Queue limit: requests at an upstream, as a multiple of its slots, from which on it gets no
/// more. With this limit, `MAX_QUEUE_LAST_RESORT` and `MAX_QUEUE_BEFORE_LEAVING` at 2.4, 2.6 and
/// 2.2 instead of 1.7, 1.9 and 1.6, the total answer value was higher by 0.014 ± 0.014 where
/// upstreams have three slots (4 paired days).
const MAX_QUEUE: f64 = 2.4;

/// Queue limit for a request for an object that the upstream has not served for this box: such a
/// request takes longer, and a queue of them leaves the upstream no time to serve known objects
/// faster. It raises a day's total answer value by 0.005 ± 0.004 (12 paired days).
const MAX_QUEUE_UNSERVED: f64 = 1.35;

/// Queue limit if no other region may take the request: it waits instead of being refused, as long
/// as it can still be served.
const MAX_QUEUE_LAST_RESORT: f64 = 2.6;

/// Requests at a home that has served the object, as a multiple of its slots, below which a
/// request waits there and doesn't take a free slot elsewhere: a first run takes about three times
/// as long and leaves a copy that is seldom requested again. Compared with not waiting, 1.6 raised
/// the total answer value by 0.010 ± 0.002 and 0.006 ± 0.002 (two loads, 12 paired days each).
const MAX_QUEUE_BEFORE_LEAVING: f64 = 2.2;

/// Fraction of each queue limit that less urgent requests may use while urgent requests of the
/// service are refused; the rest is reserved for urgent ones. It raises the total answer value by
/// 0.0013 ± 0.0013 where services share routes of two ranks, with no effect shown elsewhere (12
/// paired days each).
const LESS_URGENT_QUEUE_FRACTION: f64 = 0.8;

/// How long the reservation lasts after an urgent request was refused.
const URGENT_RESERVATION_MS: Millis = 2_000;

/// Fraction of each queue limit that a workspace over its fair share of an overloaded service may
/// use; the rest is left to the other workspaces.
const OVER_SHARE_QUEUE_FRACTION: f64 = 0.6;

/// How long a service counts as disturbed after all of its upstreams are back.
const DISTURBED_MS: Millis = 3_000;

/// Maximum age of a load report that tells whether a slot is idle.
const MAX_REPORT_AGE_MS: Millis = 1_000;

/// Shortest retry time sent to refused callers.
const MIN_RETRY_MS: Millis = 150;

/// The upstreams of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceUpstreams {
    pub(super) entries: Vec<Entry>,
    pub(super) plan: RegionPlan,
    pub(super) cold_per_s: f64,
    /// Longest cold period of its upstreams.
    pub(super) cold_period_ms: Millis,
    /// Rank of the most urgent requests for the service.
    pub(super) most_urgent: Rank,
    /// Whether this box has received a request for the service.
    pub(super) is_in_use: bool,
    urgent_reserved_until: Millis,
    pub(super) shares: FairShares,
    /// Requests to which the limits of a workspace over its share applied.
    pub(super) share_limited: u64,
    spills: SpillWindow,
    disturbed_until: Millis,
}

impl ServiceUpstreams {
    pub(super) fn choose(
        &mut self,
        request: &UpstreamRequest<'_>,
        advice: Option<&Advice>,
        warming: &Warming<'_>,
        now: Millis,
    ) -> Result<Choice, Refusal> {
        self.is_in_use = true;
        self.spills.roll(now);
        self.spills.count_request();
        let object = request.object_hash(warming.random);
        let regions = self.ranked_regions(object, request, now);
        let homes = self.home_snapshots(object, &regions, request, advice, now);
        let mut basis = self.basis(object, &regions, request, now);
        basis.advised = advice.map(AdvisedHome::from);
        let ordinary_fraction = self.ordinary_queue_fraction(request, now);
        let queue_fraction = self.queue_fraction(request, ordinary_fraction, now);
        let chosen = self
            .never_used(request, warming, now)
            .or_else(|| at_home(&homes, queue_fraction))
            .or_else(|| self.free_elsewhere(&homes))
            .or_else(|| self.start_in_queue(&homes, queue_fraction, now))
            .or_else(|| self.cold(request, warming, now));
        // A refusal only because of the workspace's share shows no lack of capacity for others.
        let is_refused_for_share = chosen.is_none()
            && queue_fraction < ordinary_fraction
            && (at_home(&homes, ordinary_fraction).is_some()
                || self.in_queue(&homes, ordinary_fraction, now).is_some());
        let is_short_of_capacity = chosen.is_none() && !is_refused_for_share;
        if is_short_of_capacity && request.rank <= self.most_urgent {
            self.urgent_reserved_until = now + URGENT_RESERVATION_MS;
        }
        if chosen.is_none() && regions.is_empty() && !self.has_candidates(request, now) {
            return Err(Refusal::NoUpstream);
        }
        if let Some(workspace) = sharing_workspace(request) {
            self.shares.count(workspace, chosen.is_some(), now);
        }
        if let Some(index) = chosen {
            return Ok(self.start(index, basis, now));
        }
        // Without a home, all upstreams are cold, resting, held off or tried, and none was full.
        if is_short_of_capacity && !homes.is_empty() && !is_restricted(request) {
            self.shares.record_refusal(now);
        }
        Err(Refusal::Busy {
            retry_after_ms: with_added_jitter(self.available_in_ms(request, now), warming.random),
            basis,
        })
    }

    /// Returns the time until a retry is useful, in milliseconds: the minimum if only queues are
    /// full; if limits and backoffs block all upstreams, no earlier than the first of them ends.
    fn available_in_ms(&self, request: &UpstreamRequest<'_>, now: Millis) -> Millis {
        let entries = self.entries.iter();
        let accepting =
            entries.filter(|entry| entry.accepts_requests(now) && is_allowed(entry, request));
        let first_free = accepting
            .map(|entry| entry.available_at().unwrap_or(0))
            .min();
        let wait_ms = first_free.map_or(0, |at| at.saturating_sub(now));
        wait_ms.max(MIN_RETRY_MS)
    }

    fn start(&mut self, index: usize, basis: Basis, now: Millis) -> Choice {
        let entry = &mut self.entries[index];
        let has_idle_slot = has_idle_slot(entry, &basis, now);
        entry.load.started();
        entry.is_used = true;
        Choice {
            basis,
            upstream: entry.record.id.clone(),
            started: entry.record.started,
            service: entry.record.service.clone(),
            address: entry.record.address,
            zone: entry.record.zone.clone(),
            has_idle_slot,
            lost_ms: entry.lost_ms(now),
        }
    }

    /// Returns the state of the object's home in the first region, whether or not it is usable.
    fn basis(
        &self,
        object: u64,
        regions: &[Region],
        request: &UpstreamRequest<'_>,
        now: Millis,
    ) -> Basis {
        let region = regions.first();
        let score = |entry: &&Entry| rendezvous_score(object, entry);
        let home = self
            .entries
            .iter()
            .filter(|entry| Some(&entry.region) == region && entry.accepts_requests(now))
            .max_by(|a, b| score(a).total_cmp(&score(b)));
        Basis {
            object,
            home: home.map(|entry| Home {
                upstream: entry.record.id.clone(),
                state: HomeState::of(entry, is_usable(entry, request, now), now),
                fullness: entry.fullness(now),
                report_age_ms: entry.load.report_age_ms(now),
                has_served: entry.has_served(object),
            }),
            advised: None,
            may_leave_region: self.spills.may_spill(),
        }
    }

    fn has_candidates(&self, request: &UpstreamRequest<'_>, now: Millis) -> bool {
        self.entries
            .iter()
            .any(|entry| entry.accepts_requests(now) && is_allowed(entry, request))
    }

    /// Returns the regions with upstreams that accept requests, the one of the object's home
    /// first.
    pub(super) fn ranked_regions(
        &self,
        object: u64,
        request: &UpstreamRequest<'_>,
        now: Millis,
    ) -> Vec<Region> {
        let mut ranked: Vec<(f64, f64, &Region)> = Vec::new();
        for entry in &self.entries {
            let is_known = ranked.iter().any(|(_, _, region)| *region == &entry.region);
            if is_known || !entry.accepts_requests(now) || !is_allowed(entry, request) {
                continue;
            }
            let region_hash = object_hash("region", entry.region.as_str().as_bytes());
            let share = self.plan.share(&entry.region);
            let tie = weighted_score(object, region_hash, 1.0);
            ranked.push((
                weighted_score(object, region_hash, share),
                tie,
                &entry.region,
            ));
        }
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.total_cmp(&a.1)));
        ranked
            .into_iter()
            .map(|(_, _, region)| region.clone())
            .collect()
    }

    /// Returns a home in another region with a free slot, within the spill window.
    fn free_elsewhere(&mut self, homes: &[HomeSnapshot]) -> Option<usize> {
        if !self.spills.may_spill() {
            return None;
        }
        let mut elsewhere = homes.iter().skip(1);
        let free = elsewhere.find(|home| home.fullness < 1.0)?;
        self.spills.count_spill();
        Some(free.index)
    }

    /// Returns the first home whose queue is short enough, within the spill window; otherwise the
    /// first of all, up to a higher queue limit. Counts a spill if it is in another region.
    fn start_in_queue(
        &mut self,
        homes: &[HomeSnapshot],
        queue_fraction: f64,
        now: Millis,
    ) -> Option<usize> {
        let index = self.in_queue(homes, queue_fraction, now)?;
        if homes.first().is_some_and(|first| first.index != index) {
            self.spills.count_spill();
        }
        Some(index)
    }

    /// Returns the same home without counting a spill.
    fn in_queue(&self, homes: &[HomeSnapshot], queue_fraction: f64, now: Millis) -> Option<usize> {
        let may_leave = self.is_disturbed(now) || self.spills.may_queue_elsewhere();
        let first = homes.first()?;
        let has_queue_space = |home: &&HomeSnapshot| {
            let queue = if home.has_served {
                MAX_QUEUE
            } else {
                MAX_QUEUE_UNSERVED
            };
            home.fullness < queue_limit(queue, queue_fraction)
        };
        let reachable = if may_leave { homes.len() } else { 1 };
        let found = homes[..reachable].iter().find(has_queue_space);
        let last_resort = queue_limit(MAX_QUEUE_LAST_RESORT, queue_fraction);
        found
            .or_else(|| (first.fullness < last_resort).then_some(first))
            .map(|home| home.index)
    }

    /// Returns the fraction of each queue limit that the request may use. If both limits apply,
    /// the lower one counts: they leave the same room to others.
    fn queue_fraction(
        &mut self,
        request: &UpstreamRequest<'_>,
        ordinary_fraction: f64,
        now: Millis,
    ) -> f64 {
        let workspace = sharing_workspace(request);
        if workspace.is_some_and(|workspace| self.shares.is_over_share(workspace, now)) {
            self.share_limited += 1;
            return OVER_SHARE_QUEUE_FRACTION;
        }
        ordinary_fraction
    }

    /// Returns the fraction of each queue limit that a request may use whose workspace isn't over
    /// its share.
    fn ordinary_queue_fraction(&self, request: &UpstreamRequest<'_>, now: Millis) -> f64 {
        if request.rank > self.most_urgent && now < self.urgent_reserved_until {
            LESS_URGENT_QUEUE_FRACTION
        } else {
            1.0
        }
    }

    pub(super) fn slots_in(&self, region: &Region, now: Millis) -> f64 {
        self.entries
            .iter()
            .filter(|entry| &entry.region == region && entry.accepts_requests(now))
            .filter(|entry| !entry.is_cold(now))
            .map(|entry| f64::from(entry.record.slots))
            .sum()
    }

    /// Marks the service as disturbed if an upstream is out of full service: the others then take
    /// over its load, in any region.
    pub(super) fn review_disturbance(&mut self, now: Millis) {
        if self.entries.iter().any(|entry| entry.is_disturbed(now)) {
            self.disturbed_until = now + DISTURBED_MS;
        }
    }

    fn is_disturbed(&self, now: Millis) -> bool {
        now < self.disturbed_until
    }
}

/// Whether an upstream is known to have an idle slot.
// The estimate of its load alone is no knowledge: without a report it counts only the requests of
// this box, and an old report has lost most of its weight.
fn has_idle_slot(entry: &Entry, basis: &Basis, now: Millis) -> bool {
    let advised = basis.advised.as_ref();
    let advised = advised.filter(|advised| advised.upstream == entry.record.id);
    let is_known_idle = match advised {
        Some(advised) => advised.fullness < 1.0,
        None => entry
            .load
            .report_age_ms(now)
            .is_some_and(|age| age <= MAX_REPORT_AGE_MS),
    };
    is_known_idle && entry.fullness(now) < 1.0
}

/// Returns the first home if a slot is free or the wait is short.
fn at_home(homes: &[HomeSnapshot], queue_fraction: f64) -> Option<usize> {
    let home = homes.first()?;
    let limit = if home.has_served {
        queue_limit(MAX_QUEUE_BEFORE_LEAVING, queue_fraction)
    } else {
        1.0
    };
    (home.fullness < limit).then_some(home.index)
}

/// Returns the part of a queue limit that a request may use. Free slots are open to all.
fn queue_limit(limit: f64, fraction: f64) -> f64 {
    (limit * fraction).max(1.0)
}

/// Returns the rendezvous score of an upstream for an object, weighted by its slots.
pub(super) fn rendezvous_score(object: u64, entry: &Entry) -> f64 {
    weighted_score(object, entry.hash, f64::from(entry.record.slots.max(1)))
}

/// Returns whether the workspace of a request restricts its regions. Such requests compete for a
/// part of the capacity only, so the shares of the whole service don't apply to them.
fn is_restricted(request: &UpstreamRequest<'_>) -> bool {
    let regions = request.regions.workspace;
    regions.is_some_and(|regions| !regions.is_empty())
}

/// Returns the workspace that the shares of the service apply to, if any.
fn sharing_workspace<'a>(request: &UpstreamRequest<'a>) -> Option<&'a Workspace> {
    request.workspace.filter(|_| !is_restricted(request))
}

fn is_allowed(entry: &Entry, request: &UpstreamRequest<'_>) -> bool {
    request.regions.allow(&entry.region)
}

pub(super) fn is_usable(entry: &Entry, request: &UpstreamRequest<'_>, now: Millis) -> bool {
    entry.accepts_requests(now)
        && is_allowed(entry, request)
        && entry.is_usable(now)
        && !entry.is_held_off(now)
        && !request.tried.contains(&entry.record.id)
}
