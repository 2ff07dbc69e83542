//! Tasks that poll the platform and pass the results to the control thread.
//!
//! Only some boxes of each zone watch; the others hear from them. What is asked of
//! the platform then grows with the number of zones, not of boxes.

use super::{Command, StoredEntry};
use crate::config_store::{CONFIG_PREFIX, entry_from};
use crate::context::Context;
use brasswinch_observe::{Event, emit};
use brasswinch_store::{BoxList, Store, StoreError, StoredValue, WatchEvent};
use brasswinch_types::ConfigEntry;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// First pause after a failed call; doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after a failed call.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Starts the tasks.
pub(super) fn spawn(context: &Arc<Context>, store: Store, watching: watch::Receiver<bool>) {
    tokio::spawn(watch_config(Arc::clone(context), store, watching.clone()));
    tokio::spawn(read_list(Arc::clone(context), watching));
}

async fn watch_config(context: Arc<Context>, store: Store, mut watching: watch::Receiver<bool>) {
    let mut pause = FIRST_PAUSE;
    loop {
        if watching.wait_for(|watching| *watching).await.is_err() {
            return;
        }
        match watch_once(&context, &store, &mut watching).await {
            Ok(()) => pause = FIRST_PAUSE,
            Err(error) => {
                context.tell(Command::StoreFailed(error.to_string()));
                tokio::time::sleep(jittered(pause)).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Reads everything, then follows changes until the next full reading is due.
async fn watch_once(
    context: &Context,
    store: &Store,
    watching: &mut watch::Receiver<bool>,
) -> Result<(), StoreError> {
    let listing = store.list(CONFIG_PREFIX).await?;
    let from = listing.revision + 1;
    let entries = listing
        .values
        .into_iter()
        .filter_map(stored_entry)
        .collect();
    context.tell(Command::StoreListing(entries));
    let mut changes = store.watch(CONFIG_PREFIX, from).await?;
    let interval_ms = context.settings.this_box.platform.compare_interval_ms;
    let until = Instant::now() + jittered(Duration::from_millis(interval_ms));
    loop {
        tokio::select! {
            batch = changes.next() => {
                let entries: Vec<ConfigEntry> = batch?
                    .events
                    .into_iter()
                    .filter_map(changed_entry)
                    .collect();
                if !entries.is_empty() {
                    context.tell(Command::StoreChanges(entries));
                }
            }
            () = tokio::time::sleep_until(until) => return Ok(()),
            _ = watching.wait_for(|watching| !*watching) => return Ok(()),
        }
    }
}

fn stored_entry(value: StoredValue) -> Option<StoredEntry> {
    let Some(entry) = entry_from(&value.value) else {
        emit(Event::ConfigMalformed, format_args!("{}", value.key));
        return None;
    };
    Some(StoredEntry {
        entry,
        revision: value.revision,
    })
}

/// Entries are withdrawn by a tombstone, so a deleted key carries no information.
fn changed_entry(event: WatchEvent) -> Option<ConfigEntry> {
    match event {
        WatchEvent::Put(value) => stored_entry(value).map(|stored| stored.entry),
        WatchEvent::Delete(_) => None,
    }
}

async fn read_list(context: Arc<Context>, mut watching: watch::Receiver<bool>) {
    let settings = &context.settings.this_box;
    let timeout = Duration::from_millis(settings.platform.call_timeout_ms);
    let local = Some(settings.peer_address.ip());
    let list = BoxList::new(settings.platform.list_address, local, timeout);
    let interval = Duration::from_millis(settings.platform.list_interval_ms);
    loop {
        if watching.wait_for(|watching| *watching).await.is_err() {
            return;
        }
        match list.read().await {
            Ok(listed) => context.tell(Command::BoxesListed(listed)),
            Err(error) => emit(Event::ListUnreachable, format_args!("{error}")),
        }
        tokio::time::sleep(jittered(interval)).await;
    }
}

/// The duration give or take a fifth, so that boxes don't ask in step.
fn jittered(duration: Duration) -> Duration {
    duration.mul_f64(0.8 + 0.4 * rand::random::<f64>())
}
