//! Knows how many boxes the fleet has, from the store and from other boxes.
//!
//! The store holds the size so that it outlives all boxes: one that starts in a cut reads it
//! before it serves. Boxes that don't ask the store are told by those that do, with the
//! membership's messages.

use crate::context::Context;
use crate::store::FleetSizeStore;
use crate::store_calls::{CallReason, StoreCall};
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{FleetSize, KnownSize, StoreDuty};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

/// First pause after a call that failed: requests wait for a box that starts.
const FIRST_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause after failed calls.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Between two looks at whether the store should hold another size. A fleet that starts has
/// met within two seconds, and is written once.
const REVIEW_AFTER: Duration = Duration::from_secs(3);

/// The fleet's size, and what was last logged of it.
#[derive(Debug, Default)]
pub(crate) struct KnownFleetSize {
    size: Mutex<FleetSize>,
    logged: Mutex<KnownSize>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Asks the store for the fleet's size as soon as this box asks it for anything, and keeps it
/// right there while this box is the one that confirms what the store holds.
pub(crate) async fn keep<S: FleetSizeStore>(context: Arc<Context>, store: Arc<S>) {
    context.is_to_watch().await;
    let mut pause = FIRST_PAUSE;
    while !read(&context, &*store).await {
        sleep(pause.mul_f64(0.5 + rand::random::<f64>())).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
    loop {
        sleep(REVIEW_AFTER).await;
        if context.duty() != StoreDuty::Confirms
            || lock(&context.fleet_size.size).to_record().is_none()
        {
            continue;
        }
        // Another box may have written since this one read.
        if read(&context, &*store).await {
            write(&context, &*store).await;
        }
    }
}

/// Reads the size that the store holds; says whether the store answered.
async fn read<S: FleetSizeStore>(context: &Context, store: &S) -> bool {
    context
        .store_calls
        .count(StoreCall::FleetSize, CallReason::SharedRates);
    match store.fleet_size().await {
        Ok(recorded) => {
            lock(&context.fleet_size.size).recorded(recorded.unwrap_or(0));
            context.publish_members();
            true
        }
        // It is read again; until then the box goes by what others tell.
        Err(error) => {
            emit(Event::StoreUnreachable, format_args!("fleet size: {error}"));
            false
        }
    }
}

async fn write<S: FleetSizeStore>(context: &Context, store: &S) {
    let Some(boxes) = lock(&context.fleet_size.size).to_record() else {
        return;
    };
    context
        .store_calls
        .count(StoreCall::SetFleetSize, CallReason::SharedRates);
    match store.set_fleet_size(boxes).await {
        Ok(()) => {
            lock(&context.fleet_size.size).recorded(boxes);
            context.publish_members();
        }
        // The next look writes it.
        Err(error) => emit(Event::StoreUnreachable, format_args!("fleet size: {error}")),
    }
}

impl KnownFleetSize {
    /// The most boxes that this one was told of or heard.
    pub(crate) fn boxes(&self) -> usize {
        lock(&self.size).boxes()
    }
}

impl Context {
    /// How many boxes share what the whole fleet may do, as far as this box knows.
    pub(crate) fn known_fleet_size(&self) -> KnownSize {
        lock(&self.fleet_size.size).known(self.clock.now())
    }

    /// Takes who is heard, and tells what this box knows of the fleet's size.
    pub(crate) fn publish_fleet_size(&self) {
        let now = self.clock.now();
        let mut swim = self.swim();
        let heard = swim.heard_boxes().count();
        let sizes = swim
            .heard_boxes()
            .filter(|record| record.id != self.settings.id);
        let told = sizes.map(|record| record.fleet_size).max().unwrap_or(0);
        let mut size = lock(&self.fleet_size.size);
        size.hear(heard, told, now);
        let (known, to_tell) = (size.known(now), size.to_tell());
        drop(size);
        let is_news = swim.set_fleet_size(to_tell);
        drop(swim);
        if is_news {
            self.has_news.notify_one();
        }
        self.log_fleet_size(known, heard);
    }

    fn log_fleet_size(&self, known: KnownSize, heard: usize) {
        let logged = std::mem::replace(&mut *lock(&self.fleet_size.logged), known);
        if known == logged {
            return;
        }
        match known {
            KnownSize::Awaited => {}
            KnownSize::Told(boxes) => {
                emit(
                    Event::FleetSize,
                    format_args!("boxes={boxes} heard={heard}"),
                );
            }
            KnownSize::Heard => emit(Event::FleetSizeUnknown, format_args!("heard={heard}")),
        }
    }
}
