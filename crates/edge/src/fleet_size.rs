//! Tracks the fleet size, which the store holds and other boxes report.
//!
//! The store holds the size even while no box is running, and a box that starts during a
//! network partition reads it before it serves. Boxes that don't watch the store get it from
//! membership messages.

use crate::context::Context;
use crate::store::FleetSizeStore;
use crate::store_calls::{CallReason, StoreCall};
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{FleetSize, KnownSize, StoreDuty};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

/// Initial backoff after a failed call; short because requests wait for a starting box.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);

/// Maximum backoff after failed calls.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Interval between checks whether to update the stored size. The boxes of a starting fleet
/// discover each other within two seconds, so their size is written once.
const REVIEW_INTERVAL: Duration = Duration::from_secs(3);

/// The fleet size and its last logged state.
#[derive(Debug, Default)]
pub(crate) struct KnownFleetSize {
    size: Mutex<FleetSize>,
    logged: Mutex<KnownSize>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Reads the fleet size from the store as soon as this box watches the store, and updates it
/// there while this box is the leader.
pub(crate) async fn sync<S: FleetSizeStore>(context: Arc<Context>, store: Arc<S>) {
    context.wait_until_watching().await;
    let mut backoff = INITIAL_BACKOFF;
    while !read(&context, &*store).await {
        sleep(backoff.mul_f64(0.5 + rand::random::<f64>())).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
    let mut era = context.fleet().era();
    loop {
        sleep(REVIEW_INTERVAL).await;
        let newest_era = context.fleet().era();
        let is_due = newest_era != era || lock(&context.fleet_size.size).to_store().is_some();
        if context.duty() != StoreDuty::Lead || !is_due {
            continue;
        }
        era = newest_era;
        // Another box may have written since this one read the size.
        if read(&context, &*store).await {
            write(&context, &*store).await;
        }
    }
}

/// Reads the size from the store; returns whether the store answered.
async fn read<S: FleetSizeStore>(context: &Context, store: &S) -> bool {
    context
        .store_calls
        .count(StoreCall::FleetSize, CallReason::SharedRates);
    match store.fleet_size().await {
        Ok(stored) => {
            lock(&context.fleet_size.size).set_stored(stored.unwrap_or(0));
            context.publish_members();
            true
        }
        // The read is retried; until then the box uses the size that other boxes report.
        Err(error) => {
            emit(Event::StoreUnreachable, format_args!("fleet size: {error}"));
            false
        }
    }
}

async fn write<S: FleetSizeStore>(context: &Context, store: &S) {
    let Some(boxes) = lock(&context.fleet_size.size).to_store() else {
        return;
    };
    context
        .store_calls
        .count(StoreCall::SetFleetSize, CallReason::SharedRates);
    match store.set_fleet_size(boxes).await {
        Ok(()) => {
            lock(&context.fleet_size.size).set_stored(boxes);
            context.publish_members();
        }
        // The next check retries the write.
        Err(error) => emit(Event::StoreUnreachable, format_args!("fleet size: {error}")),
    }
}

impl KnownFleetSize {
    /// Returns the fleet size that this box assumes.
    pub(crate) fn boxes(&self) -> usize {
        lock(&self.size).boxes()
    }
}

impl Context {
    /// Returns the fleet size as far as known, for limits that the whole fleet shares.
    pub(crate) fn known_fleet_size(&self) -> KnownSize {
        lock(&self.fleet_size.size).known(self.clock.now())
    }

    /// Updates the size from the live boxes, and announces the size known to this box.
    pub(crate) fn publish_fleet_size(&self) {
        let now = self.clock.now();
        let mut swim = self.swim();
        let mut size = lock(&self.fleet_size.size);
        let has_changed = size.observe_members(&mut swim, now);
        let known = size.known(now);
        drop(size);
        let reachable = swim.alive_boxes().count();
        drop(swim);
        if has_changed {
            self.has_updates.notify_one();
        }
        self.log_fleet_size(known, reachable);
    }

    fn log_fleet_size(&self, known: KnownSize, reachable: usize) {
        let logged = std::mem::replace(&mut *lock(&self.fleet_size.logged), known);
        if known == logged {
            return;
        }
        match known {
            KnownSize::Pending => {}
            KnownSize::Reported(boxes) => {
                emit(
                    Event::FleetSize,
                    format_args!("boxes={boxes} heard={reachable}"),
                );
            }
            KnownSize::Observed => emit(Event::FleetSizeUnknown, format_args!("heard={reachable}")),
        }
    }
}
