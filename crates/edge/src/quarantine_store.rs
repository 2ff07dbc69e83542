//! Keeps in the platform's store which requests are shut out.
//!
//! A fleet that loses all its boxes, a box that starts and one that is cut off from the others
//! have no one else to learn it from. Writes are rare: a few for each request that is shut out.

use crate::context::Context;
use crate::store::{QuarantineStore, StoreFailure};
use crate::store_calls::{CallReason, StoreCall};
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{Liveness, RunReport};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_secs(1);

/// Tries to keep one request: the store may be away for a while.
const MOST_TRIES: u32 = 30;

/// Between two looks of a box that is cut off from others.
const LOOK_AFTER: Duration = Duration::from_secs(2);

/// Part of the boxes known in the last minute below which a box takes itself for cut off. The
/// loss of a zone of six leaves 0.83 of them.
const LEAST_HEARD: f64 = 0.75;

/// Keeps what this box shuts out as one of those that count, for as long as the process runs.
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
    report: &RunReport,
    ttl: Duration,
) {
    for _ in 0..MOST_TRIES {
        context
            .store_calls
            .count(StoreCall::Confirm, CallReason::Quarantine);
        match store.confirm(report, ttl).await {
            Ok(_) => return,
            Err(error) => report_failure(&error),
        }
        sleep(PAUSE).await;
    }
}

fn report_failure(error: &StoreFailure) {
    emit(Event::StoreUnreachable, format_args!("quarantine: {error}"));
}

/// Looks for requests that others have shut out: once as soon as the box follows the store,
/// and again and again while it hears few of the others.
pub(crate) async fn look<S: QuarantineStore>(context: Arc<Context>, store: Arc<S>) {
    context.is_to_watch().await;
    while !look_once(&context, &*store).await {
        sleep(PAUSE).await;
    }
    loop {
        sleep(LOOK_AFTER).await;
        if context.hears_few() {
            look_once(&context, &*store).await;
        }
    }
}

async fn look_once<S: QuarantineStore>(context: &Context, store: &S) -> bool {
    context
        .store_calls
        .count(StoreCall::Confirmed, CallReason::Quarantine);
    match store.confirmed().await {
        Ok(reports) => {
            reports
                .iter()
                .for_each(|report| context.hear_confirmed(report));
            true
        }
        // It is tried again; until then the box counts by itself.
        Err(error) => {
            report_failure(&error);
            false
        }
    }
}

impl Context {
    /// Whether most of the others fell silent lately: this box may be cut off.
    fn hears_few(&self) -> bool {
        let swim = self.swim();
        let alive = swim
            .members()
            .filter(|member| member.liveness == Liveness::Alive);
        let (alive, known) = (alive.count() + 1, swim.members().count() + 1);
        (alive as f64) < LEAST_HEARD * known as f64
    }
}
