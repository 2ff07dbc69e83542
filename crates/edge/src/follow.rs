//! Follows the store: a listing, then watches, and a listing again after a gap.

use crate::context::Context;
use crate::store::{FleetStore, StoreFailure};
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{Change, Revised, Revision, Scope};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long a watch waits at the store. Bounds how long a lost answer goes unnoticed.
const WATCH_WAIT: Duration = Duration::from_secs(4);

/// The same while the store doesn't answer: a watch that was sent during an outage may
/// never be answered, and must not keep the box from noticing that the store is back.
const TRIAL_WAIT: Duration = Duration::ZERO;

/// Changes that come within this time of each other are fetched with one call.
const GATHER: Duration = Duration::from_millis(250);

/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause after failed calls, in a small fleet.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// The longest pause grows by this for each box: in an outage all of them try, and one
/// that gets an answer tells the others.
const PAUSE_PER_BOX: Duration = Duration::from_millis(8);

/// An answer that takes longer than this to come is a large configuration on a slow link:
/// half a megabyte takes as long at 10 Mbit/s.
const SLOW_TRANSFER: Duration = Duration::from_millis(400);

/// Where an answer of the store left the box.
#[derive(Clone, Copy, Debug)]
struct Followed {
    /// Where to go on from.
    at: Revision,
    /// Whether it came so slowly that more may have been written meanwhile.
    is_slow: bool,
    /// Whether a watch brought a configuration.
    has_config: bool,
}

/// Follows `scope` for as long as the process runs, whenever this box is to.
pub(crate) async fn follow<S: FleetStore>(context: Arc<Context>, store: Arc<S>, scope: Scope) {
    let mut pause = FIRST_PAUSE;
    let mut after: Option<Revision> = None;
    let mut had_config = false;
    // Whether to go on with a listing. A watch brings each version that was written since,
    // whole, in one answer or one after the other; a listing brings the last one.
    let mut is_behind = false;
    let mut is_reached = true;
    loop {
        context.is_to_watch().await;
        // What other boxes told counts as well.
        let known = context.fleet().newest(scope);
        let wait = if is_reached { WATCH_WAIT } else { TRIAL_WAIT };
        let followed = match after.max(known).filter(|_| !is_behind) {
            None => list(&context, &*store, scope).await,
            Some(after) => watch(&context, &*store, scope, after, wait).await,
        };
        let is_answered = matches!(followed, Ok(_) | Err(StoreFailure::HistoryGone));
        context.set_reaches_store(is_answered);
        if is_answered != is_reached {
            is_reached = is_answered;
            report(scope, &followed);
        }
        match followed {
            Ok(followed) => {
                after = Some(followed.at);
                is_behind = followed.is_slow || (followed.has_config && had_config);
                had_config = followed.has_config;
                pause = FIRST_PAUSE;
            }
            Err(StoreFailure::HistoryGone) => match list(&context, &*store, scope).await {
                Ok(followed) => {
                    after = Some(followed.at);
                    is_behind = followed.is_slow;
                }
                Err(_) => sleep(pause).await,
            },
            Err(error) => {
                // The next answer to the same question would be larger still.
                is_behind |= matches!(error, StoreFailure::NotWhole(_));
                sleep(pause.mul_f64(0.5 + rand::random::<f64>())).await;
                pause = (pause * 2).min(longest_pause(context.sharing_boxes()));
            }
        }
    }
}

fn longest_pause(boxes: usize) -> Duration {
    let boxes = u32::try_from(boxes).unwrap_or(u32::MAX);
    LONGEST_PAUSE.max(PAUSE_PER_BOX.saturating_mul(boxes))
}

fn report(scope: Scope, followed: &Result<Followed, StoreFailure>) {
    match followed {
        Err(error) if *error != StoreFailure::HistoryGone => {
            emit(Event::StoreUnreachable, format_args!("{scope:?}: {error}"));
        }
        _ => emit(Event::StoreReached, format_args!("{scope:?}")),
    }
}

/// Upstreams have an entry each, and few of them change while an answer comes.
fn is_slow(scope: Scope, transfer: Duration) -> bool {
    scope == Scope::Operator && transfer > SLOW_TRANSFER
}

fn is_config(change: &Revised) -> bool {
    matches!(change.change, Change::Config(_))
}

async fn list<S: FleetStore>(
    context: &Context,
    store: &S,
    scope: Scope,
) -> Result<Followed, StoreFailure> {
    let began = Instant::now();
    let snapshot = store.list(scope).await?;
    let is_slow = is_slow(scope, began.elapsed());
    let at = snapshot.at;
    let now = context.clock.now();
    let has_changed = context.fleet().apply_snapshot(snapshot, now);
    context.publish();
    context.told(scope, &"listing");
    Ok(Followed {
        at,
        is_slow: is_slow && has_changed,
        has_config: false,
    })
}

async fn watch<S: FleetStore>(
    context: &Context,
    store: &S,
    scope: Scope,
    after: Revision,
    wait: Duration,
) -> Result<Followed, StoreFailure> {
    let watched = store.watch(scope, after, wait).await?;
    let followed = Followed {
        at: watched.at,
        is_slow: is_slow(scope, watched.transfer),
        has_config: watched.changes.iter().any(is_config),
    };
    if watched.changes.is_empty() {
        return Ok(followed);
    }
    let now = context.clock.now();
    let changed = context.fleet().apply_changes(scope, watched.changes, now);
    if changed {
        context.publish();
    }
    context.told(scope, &"watch");
    sleep(GATHER).await;
    Ok(followed)
}
