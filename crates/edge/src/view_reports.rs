//! Reports to other boxes up to which revision, and as of when, this box knows the store.
//!
//! The leader reports to the boxes that follow the store, and each of those to its zone: two
//! hops for any fleet size.

use crate::context::{Context, SCOPES};
use brasswinch_routing::{KnownView, Liveness, Revision, Scope, StoreDuty, SwimMessage, Watermark};
use brasswinch_types::{BoxId, Millis, Zone};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Minimum interval between two reports that carry no new revision, only a younger view.
const MIN_REPORT_INTERVAL_MS: Millis = 150;

/// The next report and the last one sent.
#[derive(Debug, Default)]
struct PendingReport {
    /// Whether a report is pending, at least to the own zone.
    is_due: bool,
    /// Whether it also goes to the other boxes that follow or relay the store.
    to_followers: bool,
    /// Whether to report that the store does not respond and that this box, or one that
    /// reported so, is retrying.
    is_failing: bool,
    /// When the last report was sent, in milliseconds.
    sent_at: Millis,
    /// The revisions in the last report.
    sent_revisions: Vec<Option<Revision>>,
}

/// Pending reports on this box's view of the store.
#[derive(Debug, Default)]
pub(crate) struct ViewReports {
    pending: Mutex<PendingReport>,
    /// Wakes the task that sends reports.
    pub(crate) wake: Notify,
}

impl ViewReports {
    fn pending(&self) -> MutexGuard<'_, PendingReport> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Context {
    /// Schedules a report after the store has answered a follower.
    pub(crate) fn report_after_follow(&self) {
        self.schedule_report(self.duty() == StoreDuty::Lead);
    }

    /// Schedules a report after a stale view was refreshed from the store. While the store fails
    /// the followers, other zones rely on this box too.
    pub(crate) fn report_after_refresh(&self) {
        let has_duty = self.duty() != StoreDuty::Listen;
        self.schedule_report(has_duty || self.relies_on_failing_followers());
    }

    /// Schedules a report to the own zone.
    pub(crate) fn report_to_zone(&self) {
        self.schedule_report(false);
    }

    /// Schedules a report that the store does not respond and that this box retries.
    pub(crate) fn report_store_failure(&self) {
        self.view_reports.pending().is_failing = true;
        self.schedule_report(self.duty().follows_store());
    }

    fn schedule_report(&self, to_followers: bool) {
        let mut pending = self.view_reports.pending();
        pending.is_due = true;
        pending.to_followers |= to_followers;
        drop(pending);
        self.view_reports.wake.notify_one();
    }

    /// Returns the pending report and its receivers, if one is due. New revisions are sent at
    /// once; reports without any are rate-limited.
    pub(crate) fn take_view_report(&self) -> Option<(SwimMessage, Vec<SocketAddr>)> {
        let mut pending = self.view_reports.pending();
        if !pending.is_due {
            return None;
        }
        let now = self.clock.now();
        let revisions = self.revisions();
        if pending.sent_revisions == revisions
            && now.saturating_sub(pending.sent_at) < MIN_REPORT_INTERVAL_MS
        {
            return None;
        }
        let (to_followers, failing) = (pending.to_followers, pending.is_failing);
        *pending = PendingReport {
            is_due: false,
            to_followers: false,
            is_failing: false,
            sent_at: now,
            sent_revisions: revisions,
        };
        drop(pending);
        let views = self.known_views();
        if views.is_empty() {
            return None;
        }
        let mut receivers = self.zone_peers();
        if to_followers {
            receivers.extend(&self.watchers().others);
            receivers.sort_unstable();
            receivers.dedup();
        }
        let id = self.settings.id.clone();
        Some((SwimMessage::Known { id, views, failing }, receivers))
    }

    /// Handles another box's report on its view and on whether the store fails to respond to
    /// it.
    pub(crate) fn handle_view_report(&self, id: &BoxId, views: &[KnownView], failing: bool) {
        let Some(zone) = self.zone_of(id) else {
            return;
        };
        let mut is_younger = false;
        for view in views {
            is_younger |= self.merge_view(view);
        }
        if failing {
            self.record_follower_failure();
        }
        let is_other_zone = zone != self.settings.zone;
        if !is_other_zone || self.duty() == StoreDuty::Listen {
            return;
        }
        if failing {
            self.view_reports.pending().is_failing = true;
        }
        if failing || is_younger {
            self.report_to_zone();
        }
    }

    /// Merges one view of another box; returns whether it makes this box's view younger.
    fn merge_view(&self, view: &KnownView) -> bool {
        // Views older than this process are of no use.
        let age = Millis::from(view.age_ms);
        let Some(as_of) = self.clock.now().checked_sub(age) else {
            return false;
        };
        let watermark = Watermark {
            revision: view.revision,
            at: view.at,
            as_of,
        };
        let mut fleet = self.fleet();
        let before = fleet.complete_as_of(view.scope);
        fleet.record_watermark(view.scope, watermark);
        fleet.complete_as_of(view.scope) > before
    }

    /// Returns the age of the complete view of `scope` in milliseconds; `None` before the first
    /// one.
    pub(crate) fn view_age_ms(&self, scope: Scope) -> Option<Millis> {
        let as_of = self.fleet().complete_as_of(scope)?;
        Some(self.clock.now().saturating_sub(as_of))
    }

    fn known_views(&self) -> Vec<KnownView> {
        let now = self.clock.now();
        let fleet = self.fleet();
        let view = |scope: Scope| {
            let age_ms = now.saturating_sub(fleet.complete_as_of(scope)?);
            Some(KnownView {
                scope,
                revision: fleet.newest(scope)?,
                at: fleet.resume_after(scope)?,
                age_ms: u32::try_from(age_ms).ok()?,
            })
        };
        SCOPES.into_iter().filter_map(view).collect()
    }

    fn revisions(&self) -> Vec<Option<Revision>> {
        let fleet = self.fleet();
        SCOPES.iter().map(|scope| fleet.newest(*scope)).collect()
    }

    fn zone_of(&self, id: &BoxId) -> Option<Zone> {
        let swim = self.swim();
        swim.member(id).map(|member| member.record.zone.clone())
    }

    /// Returns the peer addresses of the live boxes in the own zone.
    fn zone_peers(&self) -> Vec<SocketAddr> {
        let swim = self.swim();
        swim.members()
            .filter(|member| member.liveness == Liveness::Alive)
            .filter(|member| member.record.zone == self.settings.zone)
            .map(|member| member.record.peer_address)
            .collect()
    }
}
