//! Whether a box follows the store itself, and how that goes.

use crate::context::Context;
use crate::follow::Following;
use crate::store::StoreFailure;
use brasswinch_routing::{Scope, StoreDuty, Swim, Watchers};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

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

/// Which boxes follow the store, and how this one does.
#[derive(Debug)]
pub(crate) struct Watching {
    watches_store: watch::Sender<bool>,
    watchers: Mutex<Arc<Watchers>>,
    following: Mutex<FollowingScopes>,
}

impl Watching {
    /// A box that starts follows the store.
    pub(crate) fn new(swim: &Swim) -> Self {
        Self {
            watches_store: watch::Sender::new(true),
            watchers: Mutex::new(Arc::new(Watchers::of(swim))),
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
        let watchers = Watchers::of(&self.swim());
        let watches = watchers.duty != StoreDuty::Hears;
        *lock(&self.watching.watchers) = Arc::new(watchers);
        self.watching.watches_store.send_if_modified(|held| {
            let is_new = *held != watches;
            *held = watches;
            is_new
        });
    }

    /// The boxes that follow the store.
    pub(crate) fn watchers(&self) -> Arc<Watchers> {
        Arc::clone(&lock(&self.watching.watchers))
    }

    /// What this box does to know of the store's changes.
    pub(crate) fn duty(&self) -> StoreDuty {
        self.watchers().duty
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
