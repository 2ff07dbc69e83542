//! Persists quarantined requests in the store.
//!
//! A starting box, one that is cut off from the others and a fleet that lost all its boxes have
//! no other source. Writes are rare: a few per quarantined request.

use crate::context::Context;
use crate::store::{QuarantineStore, StoreFailure};
use crate::store_calls::{CallReason, StoreCall};
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{CrashReport, Liveness};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Maximum attempts to store one request, as the store may be unavailable for a while.
const MAX_ATTEMPTS: u32 = 30;

/// Poll interval of a box that is cut off from others.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Fraction of live boxes, of those known in the last minute, below which a box considers
/// itself cut off. The loss of one zone of six leaves 0.83.
const MIN_ALIVE_FRACTION: f64 = 0.75;

/// Stores the requests that this box quarantines as a coordinator, for as long as the process
/// runs.
pub(crate) async fn confirm<S: QuarantineStore>(context: Arc<Context>, store: Arc<S>) {
    loop {
        context.quarantine.has_unconfirmed.notified().await;
        for (report, ttl) in context.take_unconfirmed() {
            confirm_one(&context, &*store, &report, ttl).await;
        }
    }
}

async fn confirm_one<S: QuarantineStore>(
    context: &Context,
    store: &S,
    report: &CrashReport,
    ttl: Duration,
) {
    for _ in 0..MAX_ATTEMPTS {
        context
            .store_calls
            .count(StoreCall::Confirm, CallReason::Quarantine);
        match store.confirm(report, ttl).await {
            Ok(_) => return,
            Err(error) => report_failure(&error),
        }
        sleep(RETRY_PAUSE).await;
    }
}

fn report_failure(error: &StoreFailure) {
    emit(Event::StoreUnreachable, format_args!("quarantine: {error}"));
}

/// Loads requests that others have quarantined: once as soon as the box watches the store, and
/// repeatedly while it is cut off.
pub(crate) async fn load<S: QuarantineStore>(context: Arc<Context>, store: Arc<S>) {
    context.wait_until_watching().await;
    while !load_once(&context, &*store).await {
        sleep(RETRY_PAUSE).await;
    }
    loop {
        sleep(POLL_INTERVAL).await;
        if context.is_cut_off() {
            load_once(&context, &*store).await;
        }
    }
}

async fn load_once<S: QuarantineStore>(context: &Context, store: &S) -> bool {
    context
        .store_calls
        .count(StoreCall::Confirmed, CallReason::Quarantine);
    match store.confirmed().await {
        Ok(reports) => {
            reports
                .iter()
                .for_each(|report| context.merge_stored_quarantine(report));
            true
        }
        // The read is retried; until then the box uses its own records.
        Err(error) => {
            report_failure(&error);
            false
        }
    }
}

impl Context {
    /// Returns whether many known boxes are unreachable: this box may be cut off.
    fn is_cut_off(&self) -> bool {
        let swim = self.swim();
        let alive = swim
            .members()
            .filter(|member| member.liveness == Liveness::Alive);
        let (alive, known) = (alive.count() + 1, swim.members().count() + 1);
        (alive as f64) < MIN_ALIVE_FRACTION * known as f64
    }
}
