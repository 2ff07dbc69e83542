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

/// Follows `scope` for as long as the process runs.
pub(crate) async fn follow<S: FleetStore>(context: Arc<Context>, store: Arc<S>, scope: Scope) {
    let mut pause = FIRST_PAUSE;
    let mut after: Option<Revision> = None;
    let mut is_reached = true;
    loop {
        let followed = match after {
            None => list(&context, &*store, scope).await,
            Some(after) => watch(&context, &*store, scope, after).await,
        };
        let is_answered = followed.is_ok();
        if is_answered != is_reached {
            is_reached = is_answered;
            report(scope, &followed);
        }
        match followed {
            Ok(at) => {
                after = Some(at);
                pause = FIRST_PAUSE;
            }
            Err(StoreFailure::HistoryGone) => after = None,
            Err(_) => {
                sleep(pause.mul_f64(0.5 + rand::random::<f64>())).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

fn report(scope: Scope, followed: &Result<Revision, StoreFailure>) {
    match followed {
        Ok(_) => emit(Event::StoreReached, format_args!("{scope:?}")),
        Err(error) => emit(Event::StoreUnreachable, format_args!("{scope:?}: {error}")),
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
        context.fleet().follow(scope, watched.at);
        return Ok(watched.at);
    }
    let now = context.clock.now();
    {
        let mut fleet = context.fleet();
        for change in watched.changes {
            fleet.apply(change, now);
        }
        fleet.follow(scope, watched.at);
    }
    context.publish();
    sleep(GATHER).await;
    Ok(watched.at)
}
