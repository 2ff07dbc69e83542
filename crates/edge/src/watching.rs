//! Whether a box follows the store itself, and how that goes.

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

/// How long a box that starts waits to hear from others what the store holds, before it asks
/// the store itself. Where all boxes of a fleet start at once only the seeds ask: without
/// it 1,406 answers of the store told 295 boxes something in their first 4 s (one day's log).
const HEAR_FIRST: Duration = Duration::from_secs(2);

/// How long a box has had a duty before it takes it up, and has been without it before it
/// lays it down, while there are others. Boxes that start know few others at first, and
/// each would be the first of those that it knows: 45 calls where 16 boxes start, with it
/// under 32 (counted by a store in memory).
const SETTLE_MS: Millis = 1_000;

/// How long a box leaves the store to one that said it is trying to reach it: that one
/// tries again within 1.2 s, and says so when that fails.
const LEAVE_TO_OTHERS_MS: Millis = 1_500;

/// How each scope is being followed.
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

/// A box's duty, and the one that it is to have.
#[derive(Debug)]
struct Duty {
    watchers: Arc<Watchers>,
    /// The duty that is taken up.
    settled: StoreDuty,
    /// Since when it is to have the newest one, in milliseconds.
    since: Millis,
}

impl Duty {
    /// A box that asks the store first follows it until others do.
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

/// Which boxes follow the store, and how this one does.
#[derive(Debug)]
pub(crate) struct Watching {
    watches_store: watch::Sender<bool>,
    /// Whether this box asks the store though it has not heard from others yet.
    asks_first: AtomicBool,
    /// Until when others are trying to reach the store, in milliseconds.
    tried_until: AtomicU64,
    duty: Mutex<Duty>,
    following: Mutex<FollowingScopes>,
}

impl Watching {
    /// A box that others are told to ask, or that was told of no others, asks the store at
    /// once.
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
    /// Whether this box follows the store itself.
    pub(crate) fn watches_store(&self) -> bool {
        *self.watching.watches_store.borrow()
    }

    /// Waits until this box is to follow the store itself.
    pub(crate) async fn is_to_watch(&self) {
        let mut changes = self.watching.watches_store.subscribe();
        let _ = changes.wait_for(|watches| *watches).await;
    }

    /// Decides anew whether this box follows the store itself.
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

    /// Whether what the store holds is known, of old or from others.
    pub(crate) fn knows_store(&self) -> bool {
        let fleet = self.fleet();
        let is_known = |scope: &Scope| fleet.newest(*scope).is_some();
        SCOPES.iter().all(is_known)
    }

    /// Asks the store in the end where nobody else tells what it holds.
    pub(crate) async fn hear_first(&self) {
        sleep(HEAR_FIRST.mul_f64(0.75 + 0.5 * rand::random::<f64>())).await;
        self.watching.asks_first.store(true, Ordering::Relaxed);
        self.update_watching();
    }

    /// The store doesn't answer another box, which goes on trying.
    pub(crate) fn is_being_tried(&self) {
        let until = self.clock.now() + LEAVE_TO_OTHERS_MS;
        self.watching.tried_until.store(until, Ordering::Relaxed);
    }

    /// Whether another box is trying to reach the store.
    pub(crate) fn leaves_store_to_others(&self) -> bool {
        self.clock.now() < self.watching.tried_until.load(Ordering::Relaxed)
    }

    /// Takes up a duty that has lasted long enough.
    pub(crate) fn settle_duty(&self) {
        let is_settled = lock(&self.watching.duty).is_settled();
        if !is_settled {
            self.update_watching();
        }
    }

    /// The boxes that follow the store or pass news on.
    pub(crate) fn watchers(&self) -> Arc<Watchers> {
        Arc::clone(&lock(&self.watching.duty).watchers)
    }

    /// What this box does to know of the store's changes.
    pub(crate) fn duty(&self) -> StoreDuty {
        lock(&self.watching.duty).settled
    }

    /// How `scope` is being followed.
    pub(crate) fn following(&self, scope: Scope) -> Following {
        *lock(&self.watching.following).of(scope)
    }

    /// Takes how `scope` is being followed.
    pub(crate) fn set_following(&self, scope: Scope, following: Following) {
        *lock(&self.watching.following).of(scope) = following;
    }

    /// Takes whether the store answers.
    pub(crate) fn set_reaches_store(&self, reaches_store: bool) {
        self.swim().set_reaches_store(reaches_store);
    }

    /// The store gave no answer. Where it is away or out of reach, it may lose entries of
    /// upstreams that live.
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
