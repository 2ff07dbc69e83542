//! Refreshes a box's view from the store when it has become stale.
//!
//! Updates reach a box through several hops from the boxes that follow the store, and each hop
//! may fail or be slow: boxes may be dead, frozen or cut off, or a connection may stall. So
//! each box tracks as of when its view is complete, and calls the store itself before the view
//! is so old that a guaranteed time limit could be missed: see
//! [`ViewLimits`](brasswinch_routing::ViewLimits).

use crate::context::Context;
use crate::follow::{Following, INITIAL_BACKOFF, max_backoff};
use crate::store::{FleetStore, StoreFailure};
use crate::store_calls::CallReason;
use crate::store_fetch::{WatchCall, list, watch};
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{Scope, StoreDuty};
use brasswinch_types::Millis;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Poll interval while there is no view yet, or another call to the store is in progress.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Refreshes the view of `scope` whenever it becomes stale, for as long as the process runs.
pub(crate) async fn keep_fresh<S: FleetStore>(context: Arc<Context>, store: Arc<S>, scope: Scope) {
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let age_ms = wait_until_stale(&context, scope).await;
        if context.following(scope) == Following::Busy {
            // The call in progress will refresh the view.
            sleep(POLL_INTERVAL).await;
            continue;
        }
        if context.defers_to_follower() {
            sleep(POLL_INTERVAL).await;
            continue;
        }
        if context.duty() != StoreDuty::Lead {
            emit(
                Event::ViewOld,
                format_args!(
                    "scope={scope:?} age_ms={age_ms} followers_fail={}",
                    context.relies_on_failing_followers()
                ),
            );
        }
        context.record_store_call();
        let answered = refresh(&context, &*store, scope).await;
        if context.duty().follows_store() {
            context.set_reaches_store(answered.is_ok());
        }
        match answered {
            Ok(()) => {
                backoff = INITIAL_BACKOFF;
                context.record_store_response();
                context.report_after_refresh();
            }
            Err(error) => {
                if backoff == INITIAL_BACKOFF {
                    emit(Event::StoreUnreachable, format_args!("{scope:?}: {error}"));
                }
                context.handle_store_failure(&error);
                if context.duty() != StoreDuty::Listen {
                    context.report_store_failure();
                }
                sleep(backoff.mul_f64(0.5 + rand::random::<f64>())).await;
                backoff = (backoff * 2).min(max_backoff(context.sharing_boxes()));
            }
        }
    }
}

/// Waits until the view is stale; returns its age in milliseconds.
async fn wait_until_stale(context: &Context, scope: Scope) -> Millis {
    let random = rand::random();
    loop {
        let Some(age_ms) = context.view_age_ms(scope) else {
            sleep(POLL_INTERVAL).await;
            continue;
        };
        let limit_ms = if context.relies_on_failing_followers() {
            let boxes = context.sharing_boxes();
            context.view_limits.substitute_limit_ms(boxes, random)
        } else {
            context.view_limits.limit_ms(context.duty(), random)
        };
        if age_ms >= limit_ms {
            return age_ms;
        }
        sleep(Duration::from_millis(limit_ms - age_ms)).await;
    }
}

async fn refresh<S: FleetStore>(
    context: &Context,
    store: &S,
    scope: Scope,
) -> Result<(), StoreFailure> {
    let reason = if context.relies_on_failing_followers() {
        CallReason::FollowersFail
    } else {
        CallReason::ViewOld
    };
    let after = context.fleet().resume_after(scope);
    let answered = match after {
        Some(after) => {
            let call = WatchCall {
                scope,
                after,
                wait: Duration::ZERO,
                // The other scope doesn't wait for a long transfer.
                on_reply_start: &|| context.record_store_response(),
                reason,
            };
            watch(context, store, call).await
        }
        None => list(context, store, scope, reason).await,
    };
    match answered {
        Err(StoreFailure::HistoryGone | StoreFailure::Incomplete(_)) => {
            let listed = list(context, store, scope, CallReason::Gap).await;
            listed.map(|_| ())
        }
        answered => answered.map(|_| ()),
    }
}
