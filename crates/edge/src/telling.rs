//! Tells other boxes how much of the store this one knows, and as of when.
//!
//! The box that confirms for all tells those that follow the store, and each of those tells
//! its zone: two steps, whatever the fleet's size.

use crate::context::{Context, SCOPES};
use brasswinch_routing::{Claim, KnownView, Liveness, Revision, Scope, StoreDuty, SwimMessage};
use brasswinch_types::{BoxId, Millis, Zone};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Least time between two messages that tell nothing but that a view has grown younger.
const LEAST_APART_MS: Millis = 150;

/// What is to be told, and what was.
#[derive(Debug, Default)]
struct Due {
    /// Whether the boxes of the own zone are to be told, at least.
    is_due: bool,
    /// Whether the others that follow the store or pass news on are as well.
    to_followers: bool,
    /// Whether the store does not answer, and this box, or one that it heard, tries again.
    is_failing: bool,
    /// When anybody was last told, in milliseconds.
    told_at: Millis,
    /// The revisions that were told then.
    told: Vec<Option<Revision>>,
}

/// What is to be told of this box's view of the store.
#[derive(Debug, Default)]
pub(crate) struct Telling {
    due: Mutex<Due>,
    /// Wakes what tells it.
    pub(crate) wake: Notify,
}

impl Telling {
    fn due(&self) -> MutexGuard<'_, Due> {
        self.due.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Context {
    /// The store has answered, to one that follows it.
    pub(crate) fn followed(&self) {
        self.tell(self.duty() == StoreDuty::Confirms);
    }

    /// The store has said what is missing from a view that had grown old.
    pub(crate) fn confirmed(&self) {
        self.tell(self.duty() != StoreDuty::Hears);
    }

    /// Tells the own zone.
    pub(crate) fn tell_zone(&self) {
        self.tell(false);
    }

    /// The store has not answered a box that tries again.
    pub(crate) fn tell_failing(&self) {
        self.telling.due().is_failing = true;
        self.tell(self.duty().follows_store());
    }

    fn tell(&self, to_followers: bool) {
        let mut due = self.telling.due();
        due.is_due = true;
        due.to_followers |= to_followers;
        drop(due);
        self.telling.wake.notify_one();
    }

    /// The message that is due, if one is, and whom it goes to. News go at once; where there
    /// is none, a message follows another after a while.
    pub(crate) fn take_telling(&self) -> Option<(SwimMessage, Vec<SocketAddr>)> {
        let mut due = self.telling.due();
        if !due.is_due {
            return None;
        }
        let now = self.clock.now();
        let revisions = self.revisions();
        if due.told == revisions && now.saturating_sub(due.told_at) < LEAST_APART_MS {
            return None;
        }
        let (to_followers, failing) = (due.to_followers, due.is_failing);
        *due = Due {
            is_due: false,
            to_followers: false,
            is_failing: false,
            told_at: now,
            told: revisions,
        };
        drop(due);
        let views = self.known_views();
        if views.is_empty() {
            return None;
        }
        let mut receivers = self.neighbours();
        if to_followers {
            receivers.extend(&self.watchers().others);
            receivers.sort_unstable();
            receivers.dedup();
        }
        let id = self.settings.id.clone();
        Some((SwimMessage::Known { id, views, failing }, receivers))
    }

    /// Takes how much another box knows, and whether the store fails it.
    pub(crate) fn hear_known(&self, id: &BoxId, views: &[KnownView], failing: bool) {
        let Some(zone) = self.zone_of(id) else {
            return;
        };
        let mut is_younger = false;
        for view in views {
            is_younger |= self.hear_view(view);
        }
        if failing {
            self.is_being_tried();
        }
        let is_from_elsewhere = zone != self.settings.zone;
        if !is_from_elsewhere || self.duty() == StoreDuty::Hears {
            return;
        }
        if failing {
            self.telling.due().is_failing = true;
        }
        if failing || is_younger {
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

    fn revisions(&self) -> Vec<Option<Revision>> {
        let fleet = self.fleet();
        SCOPES.iter().map(|scope| fleet.newest(*scope)).collect()
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
