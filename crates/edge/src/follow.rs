//! Follows the store: lists, then watches, and lists again after a gap.

use crate::context::Context;
use crate::store::{FleetStore, StoreFailure};
use crate::store_calls::CallReason;
use crate::store_fetch::{FetchSummary, WatchCall, list, watch};
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
const RETRY_WATCH_WAIT: Duration = Duration::ZERO;

/// Changes within this interval are fetched with one call.
const BATCH_INTERVAL: Duration = Duration::from_millis(250);

/// How long a box whose store calls failed is ranked behind others as a follower. Meanwhile it
/// makes no calls, so nothing else would show that the store is reachable again.
const FAILED_FOLLOWER_PENALTY: Duration = Duration::from_secs(10);

/// Initial backoff after a failed call.
pub(crate) const INITIAL_BACKOFF: Duration = Duration::from_millis(150);

/// Maximum backoff in a small fleet.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Increase of the maximum backoff per box. In an outage all boxes may retry; the first that
/// succeeds updates the others.
const MAX_BACKOFF_PER_BOX: Duration = Duration::from_millis(8);

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
    let mut backoff = INITIAL_BACKOFF;
    let mut had_config = false;
    // Whether to list next. A watch returns every version written since the last one in full;
    // a listing returns only the latest.
    let mut is_behind = false;
    let mut is_reached = true;
    loop {
        if !context.watches_store() {
            context.set_following(scope, Following::Not);
            wait_until_watching(&context).await;
        }
        context.set_following(scope, Following::Busy);
        let wait = if is_reached {
            WATCH_WAIT
        } else {
            RETRY_WATCH_WAIT
        };
        let after = context.fleet().resume_after(scope);
        let fetched = match after.filter(|_| !is_behind) {
            None => list(&context, &*store, scope, CallReason::Follow).await,
            Some(after) => {
                if !wait.is_zero() {
                    context.set_following(scope, Following::Waiting);
                }
                let on_reply_start = || context.set_following(scope, Following::Busy);
                let call = WatchCall {
                    scope,
                    after,
                    wait,
                    on_reply_start: &on_reply_start,
                    reason: CallReason::Follow,
                };
                watch(&context, &*store, call).await
            }
        };
        context.set_following(scope, Following::Busy);
        let is_answered = matches!(fetched, Ok(_) | Err(StoreFailure::HistoryGone));
        context.set_reaches_store(is_answered);
        if is_answered {
            context.record_store_response();
        } else {
            context.record_store_call();
            context.report_store_failure();
        }
        if is_answered != is_reached {
            is_reached = is_answered;
            log_reachability(scope, &fetched);
        }
        match fetched {
            Ok(fetched) => {
                is_behind = fetched.is_slow || (fetched.has_config && had_config);
                had_config = fetched.has_config;
                backoff = INITIAL_BACKOFF;
                context.report_after_follow();
                if fetched.has_changes {
                    sleep(BATCH_INTERVAL).await;
                }
            }
            Err(StoreFailure::HistoryGone) => {
                match list(&context, &*store, scope, CallReason::Gap).await {
                    Ok(fetched) => {
                        is_behind = fetched.is_slow;
                        context.report_after_follow();
                    }
                    Err(error) => {
                        context.handle_store_failure(&error);
                        sleep(backoff).await;
                    }
                }
            }
            Err(error) => {
                context.handle_store_failure(&error);
                // Another watch from the same revision would return even more.
                is_behind |= matches!(error, StoreFailure::Incomplete(_));
                sleep(backoff.mul_f64(0.5 + rand::random::<f64>())).await;
                backoff = (backoff * 2).min(context.max_follower_backoff());
            }
        }
    }
}

impl Context {
    /// Returns the maximum backoff. Boxes with the duty to follow the store are few, but every
    /// box without a view of it may retry too.
    fn max_follower_backoff(&self) -> Duration {
        if self.duty().follows_store() {
            MAX_BACKOFF
        } else {
            max_backoff(self.sharing_boxes())
        }
    }
}

/// Waits until this box is to watch the store.
async fn wait_until_watching(context: &Context) {
    if timeout(FAILED_FOLLOWER_PENALTY, context.wait_until_watching())
        .await
        .is_err()
    {
        context.set_reaches_store(true);
        context.wait_until_watching().await;
    }
}

pub(crate) fn max_backoff(boxes: usize) -> Duration {
    let boxes = u32::try_from(boxes).unwrap_or(u32::MAX);
    MAX_BACKOFF.max(MAX_BACKOFF_PER_BOX.saturating_mul(boxes))
}

fn log_reachability(scope: Scope, fetched: &Result<FetchSummary, StoreFailure>) {
    match fetched {
        Err(error) if *error != StoreFailure::HistoryGone => {
            emit(Event::StoreUnreachable, format_args!("{scope:?}: {error}"));
        }
        _ => emit(Event::StoreReached, format_args!("{scope:?}")),
    }
}
