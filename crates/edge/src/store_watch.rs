//! Manages a box's duty towards the store and whether it watches the store itself.

use crate::context::{Context, SCOPES};
use crate::follow::Following;
use crate::settings::EdgeSettings;
use crate::store::StoreFailure;
use brasswinch_routing::{Liveness, Scope, StoreDuty, StoreProbing, Swim, Watchers};
use brasswinch_types::Millis;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Average time that a starting box waits for updates from other boxes before it calls the
/// store itself. Where all boxes start at once, only the seeds then call it: without this delay
/// 295 boxes received 1,406 updates from the store in their first 4 s.
const PEERS_FIRST_DELAY: Duration = Duration::from_secs(2);

/// Minimum time before a change of duty takes effect while there are other boxes. A starting
/// box knows few others and would select itself: 16 starting boxes made 45 store calls without
/// this delay, under 32 with it.
const DUTY_SETTLE_MS: Millis = 1_000;

/// How long a follower's report of a failure counts. It retries, and reports again, within 1.2 s.
const FAILURE_REPORT_MS: Millis = 1_500;

/// Follow state of each scope.
#[derive(Debug, Default)]
struct FollowStates {
    operator: Following,
    upstreams: Following,
}

impl FollowStates {
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
    /// Creates the duty of a starting box: one that starts with the store follows it until
    /// others do.
    fn new(watchers: Watchers, starts_with_store: bool) -> Self {
        let settled = if starts_with_store {
            StoreDuty::Follow
        } else {
            StoreDuty::Listen
        };
        Self {
            watchers: Arc::new(watchers),
            settled,
            since: 0,
        }
    }

    /// Records the newly selected duty, and puts it into effect once it has lasted long enough.
    fn select(&mut self, watchers: Watchers, is_alone: bool, now: Millis) {
        let newest = watchers.duty;
        if newest != self.watchers.duty {
            self.since = now;
        }
        let has_lasted = now.saturating_sub(self.since) >= DUTY_SETTLE_MS;
        let is_only_one = is_alone && newest != StoreDuty::Listen;
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
pub(crate) struct StoreWatch {
    watches_store: watch::Sender<bool>,
    /// Whether this box calls the store before it has received updates from others.
    starts_with_store: AtomicBool,
    /// Until when the last report of a follower that the store fails counts, in milliseconds.
    followers_failing_until: AtomicU64,
    /// When this box may call the store although its followers fail.
    probing: Mutex<StoreProbing>,
    duty: Mutex<Duty>,
    following: Mutex<FollowStates>,
}

impl StoreWatch {
    /// Creates the state; a box without seeds, or that is a seed itself, calls the store at
    /// once.
    pub(crate) fn new(settings: &EdgeSettings, swim: &Swim) -> Self {
        let me = settings.addresses.peers;
        let starts_with_store = settings.seeds.is_empty() || settings.seeds.contains(&me);
        Self {
            watches_store: watch::Sender::new(starts_with_store),
            starts_with_store: AtomicBool::new(starts_with_store),
            followers_failing_until: AtomicU64::new(0),
            probing: Mutex::default(),
            duty: Mutex::new(Duty::new(Watchers::of(swim), starts_with_store)),
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
        *self.store_watch.watches_store.borrow()
    }

    /// Waits until this box is to watch the store itself.
    pub(crate) async fn wait_until_watching(&self) {
        let mut changes = self.store_watch.watches_store.subscribe();
        let _ = changes.wait_for(|watches| *watches).await;
    }

    /// Updates the duty and whether this box watches the store itself.
    pub(crate) fn update_duty(&self) {
        let (watchers, is_alone) = {
            let swim = self.swim();
            let mut members = swim.members();
            let has_others = members.any(|member| member.liveness == Liveness::Alive);
            (Watchers::of(&swim), !has_others)
        };
        let now = self.clock.now();
        lock(&self.store_watch.duty).select(watchers, is_alone, now);
        let starts_with_store = self.store_watch.starts_with_store.load(Ordering::Relaxed);
        let watches = self.duty().follows_store() || (starts_with_store && !self.has_store_view());
        self.store_watch.watches_store.send_if_modified(|current| {
            let has_changed = *current != watches;
            *current = watches;
            has_changed
        });
    }

    /// Returns whether a view of every scope is known.
    pub(crate) fn has_store_view(&self) -> bool {
        let fleet = self.fleet();
        let is_known = |scope: &Scope| fleet.newest(*scope).is_some();
        SCOPES.iter().all(is_known)
    }

    /// Falls back to the store if other boxes don't provide its contents in time.
    pub(crate) async fn fall_back_to_store(&self) {
        sleep(PEERS_FIRST_DELAY.mul_f64(0.75 + 0.5 * rand::random::<f64>())).await;
        self.store_watch
            .starts_with_store
            .store(true, Ordering::Relaxed);
        self.update_duty();
    }

    /// Records that a follower reported that the store fails it and that it is retrying.
    pub(crate) fn record_follower_failure(&self) {
        let until = self.clock.now() + FAILURE_REPORT_MS;
        self.store_watch
            .followers_failing_until
            .store(until, Ordering::Relaxed);
    }

    /// Returns whether this box relies on followers, and one of them has reported lately that the
    /// store fails it.
    pub(crate) fn relies_on_failing_followers(&self) -> bool {
        let failing_until = &self.store_watch.followers_failing_until;
        let is_reported = self.clock.now() < failing_until.load(Ordering::Relaxed);
        is_reported && !self.duty().follows_store()
    }

    /// Returns whether this box leaves the store to a follower that retries: its own last call has
    /// not been answered either.
    pub(crate) fn defers_to_follower(&self) -> bool {
        let is_due = lock(&self.store_watch.probing).is_due(self.clock.now());
        self.relies_on_failing_followers() && !is_due
    }

    /// Records the start of a store call, or a failed one.
    pub(crate) fn record_store_call(&self) {
        let (boxes, now) = (self.sharing_boxes(), self.clock.now());
        lock(&self.store_watch.probing).record_call(boxes, rand::random(), now);
    }

    /// Records that the store has responded to this box.
    pub(crate) fn record_store_response(&self) {
        lock(&self.store_watch.probing).record_response();
    }

    /// Puts a newly selected duty into effect once it has lasted long enough.
    pub(crate) fn settle_duty(&self) {
        let is_settled = lock(&self.store_watch.duty).is_settled();
        if !is_settled {
            self.update_duty();
        }
    }

    /// Returns the boxes that follow or relay the store.
    pub(crate) fn watchers(&self) -> Arc<Watchers> {
        Arc::clone(&lock(&self.store_watch.duty).watchers)
    }

    /// Returns this box's duty in effect.
    pub(crate) fn duty(&self) -> StoreDuty {
        lock(&self.store_watch.duty).settled
    }

    /// Returns the follow state of `scope`.
    pub(crate) fn following(&self, scope: Scope) -> Following {
        *lock(&self.store_watch.following).of(scope)
    }

    /// Sets the follow state of `scope`.
    pub(crate) fn set_following(&self, scope: Scope, following: Following) {
        *lock(&self.store_watch.following).of(scope) = following;
    }

    /// Sets whether the store responds to this box.
    pub(crate) fn set_reaches_store(&self, reaches_store: bool) {
        self.swim().set_reaches_store(reaches_store);
    }

    /// Handles a failed store call. A store that is unavailable or cut off may lose entries of
    /// upstreams that are alive.
    pub(crate) fn handle_store_failure(&self, error: &StoreFailure) {
        if matches!(
            error,
            StoreFailure::Unavailable(_) | StoreFailure::Incomplete(_)
        ) {
            let now = self.clock.now();
            self.fleet().record_store_failure(now);
        }
    }
}
