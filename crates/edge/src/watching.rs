//! Manages a box's duty towards the store and whether it watches the store itself.

use crate::context::{Context, SCOPES};
use crate::follow::Following;
use crate::settings::EdgeSettings;
use crate::store::StoreFailure;
use brasswinch_routing::{Liveness, Scope, StoreDuty, Swim, Watchers};
use brasswinch_types::Millis;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Average time that a starting box waits for updates from other boxes before it asks the store
/// itself. Where all boxes start at once, only the seeds then ask: without this delay 295 boxes
/// received 1,406 updates from the store in their first 4 s.
const HEAR_FIRST: Duration = Duration::from_secs(2);

/// Minimum time before a change of duty takes effect while there are other boxes. A starting
/// box knows few others and would select itself: 16 starting boxes made 45 store calls without
/// this delay, under 32 with it.
const SETTLE_MS: Millis = 1_000;

/// How long a box leaves the store to another that reported it is retrying. That one retries,
/// and reports failures, within 1.2 s.
const LEAVE_TO_OTHERS_MS: Millis = 1_500;

/// Follow state of each scope.
#[derive(Debug, Default)]
struct FollowingScopes {
    operator: Following,
    upstreams: Following,
}

impl FollowingScopes {
    fn of(&mut self, scope: Scope) -> &mut Following {
        match scope {
            Scope::Operator => &mut self.operator,
            Scope::Upstreams => &mut self.upstreams,
        }
    }
}

/// The duty in effect and the one most recently selected.
#[derive(Debug)]
struct Duty {
    watchers: Arc<Watchers>,
    /// The duty in effect.
    settled: StoreDuty,
    /// When the most recently selected duty last changed, in milliseconds.
    since: Millis,
}

impl Duty {
    /// A box that starts with the store follows it until others do.
    fn new(watchers: Watchers, asks_first: bool) -> Self {
        let settled = if asks_first {
            StoreDuty::Follows
        } else {
            StoreDuty::Hears
        };
        Self {
            watchers: Arc::new(watchers),
            settled,
            since: 0,
        }
    }

    fn take(&mut self, watchers: Watchers, is_alone: bool, now: Millis) {
        let newest = watchers.duty;
        if newest != self.watchers.duty {
            self.since = now;
        }
        let has_lasted = now.saturating_sub(self.since) >= SETTLE_MS;
        let is_only_one = is_alone && newest != StoreDuty::Hears;
        if is_only_one || has_lasted {
            self.settled = newest;
        }
        self.watchers = Arc::new(watchers);
    }

    fn is_settled(&self) -> bool {
        self.settled == self.watchers.duty
    }
}

/// Which boxes follow the store, and this box's own state.
#[derive(Debug)]
pub(crate) struct Watching {
    watches_store: watch::Sender<bool>,
    /// Whether this box asks the store before it has received updates from others.
    asks_first: AtomicBool,
    /// Until when the store is left to another box that retries, in milliseconds.
    tried_until: AtomicU64,
    duty: Mutex<Duty>,
    following: Mutex<FollowingScopes>,
}

impl Watching {
    /// A box without seeds, or that is a seed itself, asks the store at once.
    pub(crate) fn new(settings: &EdgeSettings, swim: &Swim) -> Self {
        let me = settings.addresses.peers;
        let asks_first = settings.seeds.is_empty() || settings.seeds.contains(&me);
        Self {
            watches_store: watch::Sender::new(asks_first),
            asks_first: AtomicBool::new(asks_first),
            tried_until: AtomicU64::new(0),
            duty: Mutex::new(Duty::new(Watchers::of(swim), asks_first)),
            following: Mutex::default(),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Context {
    /// Returns whether this box watches the store itself.
    pub(crate) fn watches_store(&self) -> bool {
        *self.watching.watches_store.borrow()
    }

    /// Waits until this box is to watch the store itself.
    pub(crate) async fn is_to_watch(&self) {
        let mut changes = self.watching.watches_store.subscribe();
        let _ = changes.wait_for(|watches| *watches).await;
    }

    /// Updates the duty and whether this box watches the store itself.
    pub(crate) fn update_watching(&self) {
        let (watchers, is_alone) = {
            let swim = self.swim();
            let mut members = swim.members();
            let has_others = members.any(|member| member.liveness == Liveness::Alive);
            (Watchers::of(&swim), !has_others)
        };
        let now = self.clock.now();
        lock(&self.watching.duty).take(watchers, is_alone, now);
        let asks_first = self.watching.asks_first.load(Ordering::Relaxed);
        let watches = self.duty().follows_store() || (asks_first && !self.knows_store());
        self.watching.watches_store.send_if_modified(|held| {
            let is_new = *held != watches;
            *held = watches;
            is_new
        });
    }

    /// Returns whether a view of every scope is known.
    pub(crate) fn knows_store(&self) -> bool {
        let fleet = self.fleet();
        let is_known = |scope: &Scope| fleet.newest(*scope).is_some();
        SCOPES.iter().all(is_known)
    }

    /// Falls back to the store if other boxes don't provide its contents in time.
    pub(crate) async fn hear_first(&self) {
        sleep(HEAR_FIRST.mul_f64(0.75 + 0.5 * rand::random::<f64>())).await;
        self.watching.asks_first.store(true, Ordering::Relaxed);
        self.update_watching();
    }

    /// Leaves the store for a while to another box that reported it is retrying.
    pub(crate) fn is_being_tried(&self) {
        let until = self.clock.now() + LEAVE_TO_OTHERS_MS;
        self.watching.tried_until.store(until, Ordering::Relaxed);
    }

    /// Returns whether the store is left to another box that is retrying.
    pub(crate) fn leaves_store_to_others(&self) -> bool {
        self.clock.now() < self.watching.tried_until.load(Ordering::Relaxed)
    }

    /// Puts a newly selected duty into effect once it has lasted long enough.
    pub(crate) fn settle_duty(&self) {
        let is_settled = lock(&self.watching.duty).is_settled();
        if !is_settled {
            self.update_watching();
        }
    }

    /// Returns the boxes that follow or relay the store.
    pub(crate) fn watchers(&self) -> Arc<Watchers> {
        Arc::clone(&lock(&self.watching.duty).watchers)
    }

    /// Returns this box's duty in effect.
    pub(crate) fn duty(&self) -> StoreDuty {
        lock(&self.watching.duty).settled
    }

    /// Returns the follow state of `scope`.
    pub(crate) fn following(&self, scope: Scope) -> Following {
        *lock(&self.watching.following).of(scope)
    }

    /// Sets the follow state of `scope`.
    pub(crate) fn set_following(&self, scope: Scope, following: Following) {
        *lock(&self.watching.following).of(scope) = following;
    }

    /// Sets whether the store responds to this box.
    pub(crate) fn set_reaches_store(&self, reaches_store: bool) {
        self.swim().set_reaches_store(reaches_store);
    }

    /// Handles a failed store call. A store that is unavailable or cut off may lose entries of
    /// upstreams that are alive.
    pub(crate) fn store_failed(&self, error: &StoreFailure) {
        if matches!(
            error,
            StoreFailure::Unavailable(_) | StoreFailure::NotWhole(_)
        ) {
            let now = self.clock.now();
            self.fleet().store_failed(now);
        }
    }
}
