//! Follows the store: a listing, then watches, and a listing again after a gap.

use crate::context::Context;
use crate::store::{FleetStore, StoreFailure};
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{Revision, Scope};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How long a watch waits at the store. Bounds how long a lost answer goes unnoticed.
const WATCH_WAIT: Duration = Duration::from_secs(4);

/// Time beyond the wait after which a watch counts as lost.
const WATCH_MARGIN: Duration = Duration::from_millis(800);

/// Changes that come within this time of each other are fetched with one call.
const GATHER: Duration = Duration::from_millis(250);

/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause after failed calls.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Follows `scope` for as long as the process runs, whenever this box is to.
pub(crate) async fn follow<S: FleetStore>(context: Arc<Context>, store: Arc<S>, scope: Scope) {
    let mut pause = FIRST_PAUSE;
    let mut after: Option<Revision> = None;
    let mut is_reached = true;
    loop {
        context.is_to_watch().await;
        // What other boxes told counts as well.
        let known = context.fleet().newest(scope);
        let followed = match after.max(known) {
            None => list(&context, &*store, scope).await,
            Some(after) => watch(&context, &*store, scope, after).await,
        };
        let is_answered = matches!(followed, Ok(_) | Err(StoreFailure::HistoryGone));
        context.set_reaches_store(is_answered);
        if is_answered != is_reached {
            is_reached = is_answered;
            report(scope, &followed);
        }
        match followed {
            Ok(at) => {
                after = Some(at);
                pause = FIRST_PAUSE;
            }
            Err(StoreFailure::HistoryGone) => match list(&context, &*store, scope).await {
                Ok(at) => after = Some(at),
                Err(_) => sleep(pause).await,
            },
            Err(_) => {
                sleep(pause.mul_f64(0.5 + rand::random::<f64>())).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

fn report(scope: Scope, followed: &Result<Revision, StoreFailure>) {
    match followed {
        Err(error) if *error != StoreFailure::HistoryGone => {
            emit(Event::StoreUnreachable, format_args!("{scope:?}: {error}"));
        }
        _ => emit(Event::StoreReached, format_args!("{scope:?}")),
    }
}

async fn list<S: FleetStore>(
    context: &Context,
    store: &S,
    scope: Scope,
) -> Result<Revision, StoreFailure> {
    let snapshot = store.list(scope).await?;
    let at = snapshot.at;
    let now = context.clock.now();
    context.fleet().apply_snapshot(snapshot, now);
    context.publish();
    context.told(scope, &"listing");
    Ok(at)
}

async fn watch<S: FleetStore>(
    context: &Context,
    store: &S,
    scope: Scope,
    after: Revision,
) -> Result<Revision, StoreFailure> {
    let watching = store.watch(scope, after, WATCH_WAIT);
    let watched = timeout(WATCH_WAIT + WATCH_MARGIN, watching)
        .await
        .map_err(|_| StoreFailure::Unavailable("a watch was lost".into()))??;
    if watched.changes.is_empty() {
        return Ok(watched.at);
    }
    let now = context.clock.now();
    let changed = context.fleet().apply_changes(scope, watched.changes, now);
    if changed {
        context.publish();
    }
    context.told(scope, &"watch");
    sleep(GATHER).await;
    Ok(watched.at)
}
