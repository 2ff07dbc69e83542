//! Tells other boxes how much of the store this one knows, and as of when.
//!
//! The box that confirms for all tells those that follow the store, and each of those tells
//! its zone: two steps, whatever the fleet's size.

use crate::context::{Context, SCOPES};
use brasswinch_routing::{Claim, KnownView, Liveness, Revision, Scope, StoreDuty, SwimMessage};
use brasswinch_types::{BoxId, Millis, Zone};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tokio::sync::Notify;

/// Least time between two messages that tell nothing but that a view has grown younger.
const LEAST_APART_MS: Millis = 150;

/// What is to be told, and wakes what tells it.
#[derive(Debug, Default)]
pub(crate) struct Telling {
    /// To the boxes of the own zone.
    zone: AtomicBool,
    /// To the others that follow the store.
    followers: AtomicBool,
    /// When the zone was last told, in milliseconds.
    told_at: AtomicU64,
    /// The sum of the revisions that the zone was last told.
    told_revisions: AtomicU64,
    pub(crate) due: Notify,
}

impl Context {
    /// The store has answered, to one that follows it.
    pub(crate) fn followed(&self) {
        if self.duty() == StoreDuty::Confirms {
            self.telling.followers.store(true, Ordering::Relaxed);
        }
        self.tell_zone();
    }

    /// The store has said what is missing from a view that had grown old.
    pub(crate) fn confirmed(&self) {
        if self.duty() != StoreDuty::Hears {
            self.telling.followers.store(true, Ordering::Relaxed);
        }
        self.tell_zone();
    }

    /// Tells the zone, unless it has just been told the same.
    pub(crate) fn tell_zone(&self) {
        let telling = &self.telling;
        let told_at = telling.told_at.load(Ordering::Relaxed);
        let is_news = telling.told_revisions.load(Ordering::Relaxed) != self.revisions();
        if is_news || self.clock.now().saturating_sub(told_at) >= LEAST_APART_MS {
            telling.zone.store(true, Ordering::Relaxed);
            telling.due.notify_one();
        }
    }

    /// The message that is due, and whom it goes to.
    pub(crate) fn take_telling(&self) -> Option<(SwimMessage, Vec<SocketAddr>)> {
        let telling = &self.telling;
        let to_zone = telling.zone.swap(false, Ordering::Relaxed);
        let to_followers = telling.followers.swap(false, Ordering::Relaxed);
        let views = self.known_views();
        if views.is_empty() {
            return None;
        }
        let mut receivers = Vec::new();
        if to_followers {
            receivers = self.watchers().others.clone();
        }
        if to_zone {
            let revisions = self.revisions();
            telling.told_at.store(self.clock.now(), Ordering::Relaxed);
            telling.told_revisions.store(revisions, Ordering::Relaxed);
            receivers.extend(self.neighbours());
            receivers.sort_unstable();
            receivers.dedup();
        }
        let id = self.settings.id.clone();
        Some((SwimMessage::Known { id, views }, receivers))
    }

    /// Takes how much another box knows.
    pub(crate) fn hear_known(&self, id: &BoxId, views: &[KnownView]) {
        let zone = self.zone_of(id);
        let Some(zone) = zone else {
            return;
        };
        let mut is_younger = false;
        for view in views {
            is_younger |= self.hear_view(view);
        }
        let is_from_elsewhere = zone != self.settings.zone;
        if is_younger && is_from_elsewhere && self.duty() != StoreDuty::Hears {
            self.tell_zone();
        }
    }

    /// Takes one view of another box; says whether the own one is younger with it.
    fn hear_view(&self, view: &KnownView) -> bool {
        // What is older than this process is of no use.
        let age = Millis::from(view.age_ms);
        let Some(as_of) = self.clock.now().checked_sub(age) else {
            return false;
        };
        let claim = Claim {
            revision: view.revision,
            at: view.at,
            as_of,
        };
        let mut fleet = self.fleet();
        let before = fleet.whole_as_of(view.scope);
        fleet.claim(view.scope, claim);
        fleet.whole_as_of(view.scope) > before
    }

    /// How long ago everything in `scope` was known, in milliseconds; `None` before that was
    /// ever so.
    pub(crate) fn view_age_ms(&self, scope: Scope) -> Option<Millis> {
        let as_of = self.fleet().whole_as_of(scope)?;
        Some(self.clock.now().saturating_sub(as_of))
    }

    fn known_views(&self) -> Vec<KnownView> {
        let now = self.clock.now();
        let fleet = self.fleet();
        let view = |scope: Scope| {
            let age_ms = now.saturating_sub(fleet.whole_as_of(scope)?);
            Some(KnownView {
                scope,
                revision: fleet.newest(scope)?,
                at: fleet.asked_to(scope)?,
                age_ms: u32::try_from(age_ms).ok()?,
            })
        };
        SCOPES.into_iter().filter_map(view).collect()
    }

    /// Both revisions in one number, which changes when either does: they only grow.
    fn revisions(&self) -> u64 {
        let fleet = self.fleet();
        let revision = |scope| fleet.newest(scope).unwrap_or_default();
        let sum = |sum: u64, Revision(revision)| sum.wrapping_add(revision);
        SCOPES.into_iter().map(revision).fold(0, sum)
    }

    fn zone_of(&self, id: &BoxId) -> Option<Zone> {
        let swim = self.swim();
        swim.member(id).map(|member| member.record.zone.clone())
    }

    /// Where the living boxes of the own zone are reached.
    fn neighbours(&self) -> Vec<SocketAddr> {
        let swim = self.swim();
        swim.members()
            .filter(|member| member.liveness == Liveness::Alive)
            .filter(|member| member.record.zone == self.settings.zone)
            .map(|member| member.record.peer_address)
            .collect()
    }
}
