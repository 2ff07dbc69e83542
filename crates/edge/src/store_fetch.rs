//! Fetches updates from the store: a listing, or the changes since a revision.

use crate::context::Context;
use crate::store::{FleetStore, OnReplyStart, StoreFailure};
use crate::store_calls::{CallReason, StoreCall};
use brasswinch_routing::{Change, Revised, Revision, Scope, Watermark};
use brasswinch_types::Millis;
use std::time::Duration;
use tokio::time::Instant;

/// A reply that takes longer is a large configuration on a slow link, such as half a megabyte
/// at 10 Mbit/s.
const SLOW_TRANSFER: Duration = Duration::from_millis(400);

/// Summary of a reply of the store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FetchSummary {
    /// Whether the transfer was so slow that more may have been written meanwhile.
    pub(crate) is_slow: bool,
    /// Whether a watch returned changes.
    pub(crate) has_changes: bool,
    /// Whether a watch returned a configuration.
    pub(crate) has_config: bool,
}

/// Lists `scope` and applies the result.
///
/// # Errors
///
/// Fails if the store gives no usable reply.
pub(crate) async fn list<S: FleetStore>(
    context: &Context,
    store: &S,
    scope: Scope,
    reason: CallReason,
) -> Result<FetchSummary, StoreFailure> {
    context.store_calls.count(StoreCall::List, reason);
    let (began, as_of) = (Instant::now(), context.clock.now());
    let snapshot = store.list(scope).await?;
    let is_slow = is_slow(scope, began.elapsed());
    let at = snapshot.at;
    let age = context.view_age_ms(scope);
    let has_changed = context
        .fleet()
        .apply_snapshot(snapshot, context.clock.now());
    record_view(context, scope, at, as_of);
    context.publish();
    context.announce_progress(scope, age, &"listing");
    Ok(FetchSummary {
        is_slow: is_slow && has_changed,
        has_changes: false,
        has_config: false,
    })
}

/// Parameters of a watch.
pub(crate) struct WatchCall<'a> {
    pub(crate) scope: Scope,
    /// The revision to resume after.
    pub(crate) after: Revision,
    /// How long to wait for a change.
    pub(crate) wait: Duration,
    /// Called when the reply begins.
    pub(crate) on_reply_start: OnReplyStart<'a>,
    pub(crate) reason: CallReason,
}

/// Watches a scope for changes after a revision and applies them.
///
/// # Errors
///
/// Fails if the store gives no usable reply or no longer has the changes.
pub(crate) async fn watch<S: FleetStore>(
    context: &Context,
    store: &S,
    call: WatchCall<'_>,
) -> Result<FetchSummary, StoreFailure> {
    let WatchCall {
        scope,
        after,
        wait,
        on_reply_start,
        reason,
    } = call;
    context.store_calls.count(StoreCall::Watch, reason);
    let (began, called_at) = (Instant::now(), context.clock.now());
    let watched = store.watch(scope, after, wait, on_reply_start).await?;
    let has_changes = !watched.changes.is_empty();
    let summary = FetchSummary {
        is_slow: is_slow(scope, watched.transfer),
        has_changes,
        has_config: watched.changes.iter().any(is_config),
    };
    // A watch that waited its full time without changes confirms the view up to the end of the
    // wait; one that ended earlier only confirms it up to when the call began.
    let waited = wait.as_millis() as Millis;
    let as_of = if has_changes || began.elapsed() < wait {
        called_at
    } else {
        called_at + waited
    };
    let age = context.view_age_ms(scope);
    let now = context.clock.now();
    let has_changed = context.fleet().apply_changes(scope, watched.changes, now);
    record_view(context, scope, watched.at, as_of);
    if has_changed {
        context.publish();
    }
    if has_changes {
        context.announce_progress(scope, age, &"watch");
    }
    Ok(summary)
}

/// Records that the view is complete up to revision `at`, as of `as_of`.
fn record_view(context: &Context, scope: Scope, at: Revision, as_of: Millis) {
    let mut fleet = context.fleet();
    if let Some(revision) = fleet.newest(scope) {
        let watermark = Watermark {
            revision,
            at,
            as_of,
        };
        fleet.record_watermark(scope, watermark);
    }
}

/// Each upstream has its own entry, and few of them change during a transfer.
fn is_slow(scope: Scope, transfer: Duration) -> bool {
    scope == Scope::Operator && transfer > SLOW_TRANSFER
}

fn is_config(change: &Revised) -> bool {
    matches!(change.change, Change::Config(_))
}
