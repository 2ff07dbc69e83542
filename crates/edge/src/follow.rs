//! Follows the store: lists, then watches, and lists again after a gap.

use crate::context::Context;
use crate::store::{FleetStore, StoreFailure};
use crate::store_calls::CallReason;
use crate::store_news::{Told, WatchCall, list, watch};
use brasswinch_observe::{Event, emit};
use brasswinch_routing::Scope;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How long a watch waits at the store. Each watch without a change costs another call; a lost
/// reply is detected much sooner by the age of the view.
const WATCH_WAIT: Duration = Duration::from_secs(12);

/// Watch wait while the store doesn't respond. A watch sent during an outage may never get a
/// reply, and must not delay the detection of the store's return.
const TRIAL_WAIT: Duration = Duration::ZERO;

/// Changes within this interval are fetched with one call.
const GATHER: Duration = Duration::from_millis(250);

/// How long a box whose store calls failed is ranked behind others as a follower. Meanwhile it
/// makes no calls, so nothing else would show that the store is reachable again.
const FAILED_FOR: Duration = Duration::from_secs(10);

/// Initial backoff after a failed call.
pub(crate) const FIRST_PAUSE: Duration = Duration::from_millis(150);

/// Maximum backoff in a small fleet.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Increase of the maximum backoff per box. In an outage all boxes may retry; the first that
/// succeeds updates the others.
const PAUSE_PER_BOX: Duration = Duration::from_millis(8);

/// State of a box that follows a scope.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Following {
    /// Other boxes provide updates.
    #[default]
    Not,
    /// A watch waits at the store, or its reply is lost.
    Waiting,
    /// A call is in progress or starts shortly.
    Busy,
}

/// Follows `scope` whenever this box is to, for as long as the process runs.
pub(crate) async fn follow<S: FleetStore>(context: Arc<Context>, store: Arc<S>, scope: Scope) {
    let mut pause = FIRST_PAUSE;
    let mut had_config = false;
    // Whether to list next. A watch returns every version written since the last one in full;
    // a listing returns only the latest.
    let mut is_behind = false;
    let mut is_reached = true;
    loop {
        if !context.watches_store() {
            context.set_following(scope, Following::Not);
            is_to_watch(&context).await;
        }
        context.set_following(scope, Following::Busy);
        let wait = if is_reached { WATCH_WAIT } else { TRIAL_WAIT };
        let after = context.fleet().asked_to(scope);
        let told = match after.filter(|_| !is_behind) {
            None => list(&context, &*store, scope, CallReason::Follow).await,
            Some(after) => {
                if !wait.is_zero() {
                    context.set_following(scope, Following::Waiting);
                }
                let begun = || context.set_following(scope, Following::Busy);
                let asked = WatchCall {
                    scope,
                    after,
                    wait,
                    begun: &begun,
                    reason: CallReason::Follow,
                };
                watch(&context, &*store, asked).await
            }
        };
        context.set_following(scope, Following::Busy);
        let is_answered = matches!(told, Ok(_) | Err(StoreFailure::HistoryGone));
        context.set_reaches_store(is_answered);
        if !is_answered {
            context.tell_failing();
        }
        if is_answered != is_reached {
            is_reached = is_answered;
            report(scope, &told);
        }
        match told {
            Ok(told) => {
                is_behind = told.is_slow || (told.has_config && had_config);
                had_config = told.has_config;
                pause = FIRST_PAUSE;
                context.followed();
                if told.has_changes {
                    sleep(GATHER).await;
                }
            }
            Err(StoreFailure::HistoryGone) => {
                match list(&context, &*store, scope, CallReason::Gap).await {
                    Ok(told) => {
                        is_behind = told.is_slow;
                        context.followed();
                    }
                    Err(error) => {
                        context.store_failed(&error);
                        sleep(pause).await;
                    }
                }
            }
            Err(error) => {
                context.store_failed(&error);
                // Another watch from the same revision would return even more.
                is_behind |= matches!(error, StoreFailure::NotWhole(_));
                sleep(pause.mul_f64(0.5 + rand::random::<f64>())).await;
                pause = (pause * 2).min(context.longest_follower_pause());
            }
        }
    }
}

impl Context {
    /// Returns the maximum backoff. Boxes with the duty to follow the store are few, but every
    /// box without a view of it may retry too.
    fn longest_follower_pause(&self) -> Duration {
        if self.duty().follows_store() {
            LONGEST_PAUSE
        } else {
            longest_pause(self.sharing_boxes())
        }
    }
}

/// Waits until this box is to watch the store.
async fn is_to_watch(context: &Context) {
    if timeout(FAILED_FOR, context.is_to_watch()).await.is_err() {
        context.set_reaches_store(true);
        context.is_to_watch().await;
    }
}

pub(crate) fn longest_pause(boxes: usize) -> Duration {
    let boxes = u32::try_from(boxes).unwrap_or(u32::MAX);
    LONGEST_PAUSE.max(PAUSE_PER_BOX.saturating_mul(boxes))
}

fn report(scope: Scope, told: &Result<Told, StoreFailure>) {
    match told {
        Err(error) if *error != StoreFailure::HistoryGone => {
            emit(Event::StoreUnreachable, format_args!("{scope:?}: {error}"));
        }
        _ => emit(Event::StoreReached, format_args!("{scope:?}")),
    }
}
