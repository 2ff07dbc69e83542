//! Registers the box in the store under a lease, and discovers boxes there that the membership
//! doesn't know.
//!
//! Seeds may be outdated or down, and two groups of boxes that don't know each other would stay
//! separate. They discover each other through the store's list of boxes.

use crate::context::{Context, Lifecycle};
use crate::store::{BoxRegistry, LeaseId, Registration, StoreFailure};
use crate::store_calls::{CallReason, StoreCall};
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{Liveness, StoreDuty};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// How long a registration remains after its box has died.
const LEASE_TTL: Duration = Duration::from_secs(30);

/// Renewal interval; two renewals in a row may fail.
const RENEW_INTERVAL: Duration = Duration::from_secs(9);

/// Initial backoff after a failed call.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum backoff after failed calls.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Interval of the checks whether this box has to be registered.
const DUTY_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Consecutive checks that have to agree, as a starting box knows few others at first.
const DUTY_CHECKS: u32 = 3;

/// Interval between two reads of the list of boxes in a small fleet.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(20);

/// Increase of that interval per box, as the list grows with the fleet.
const DISCOVERY_INTERVAL_PER_BOX: Duration = Duration::from_millis(50);

/// How long a box without live peers waits for its seeds before it reads the list.
const ISOLATION_WAIT: Duration = Duration::from_secs(2);

/// Registers the box and renews its lease while it serves and has a duty to follow or relay the
/// store. A few registered boxes per zone are enough for discovery.
pub(crate) async fn stay_registered<S: BoxRegistry>(context: Arc<Context>, store: Arc<S>) {
    context.reached(Lifecycle::Serving).await;
    let mut backoff = INITIAL_BACKOFF;
    while context.lifecycle() == Lifecycle::Serving {
        if !has_duty(&context).await {
            continue;
        }
        let registration = own_registration(&context);
        context.count_call(StoreCall::Register);
        match store.register(&registration, LEASE_TTL).await {
            Ok(lease) => {
                emit(Event::Registered, format_args!("lease={}", lease.id));
                backoff = INITIAL_BACKOFF;
                keep_lease(&context, &*store, lease).await;
            }
            Err(_) => {
                sleep(with_jitter(backoff)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Returns whether the box has a store duty in `DUTY_CHECKS` consecutive checks.
async fn has_duty(context: &Context) -> bool {
    for _ in 0..DUTY_CHECKS {
        if context.duty() == StoreDuty::Listen {
            sleep(with_jitter(DUTY_POLL_INTERVAL)).await;
            return false;
        }
        sleep(DUTY_POLL_INTERVAL).await;
    }
    context.lifecycle() == Lifecycle::Serving
}

/// Renews `lease` until it ends or the box leaves.
async fn keep_lease<S: BoxRegistry>(context: &Context, store: &S, lease: LeaseId) {
    loop {
        tokio::select! {
            () = sleep(with_jitter(RENEW_INTERVAL)) => {}
            () = context.reached(Lifecycle::Leaving) => {
                context.count_call(StoreCall::Withdraw);
                // If the call is lost, the lease expires by itself.
                let _ = store.withdraw(lease).await;
                return;
            }
        }
        context.count_call(StoreCall::Renew);
        if store.renew(lease).await == Err(StoreFailure::LeaseEnded) {
            return;
        }
    }
}

/// Discovers boxes that the membership doesn't know, for as long as the process runs.
pub(crate) async fn discover_boxes<S: BoxRegistry>(context: Arc<Context>, store: Arc<S>) {
    let mut backoff = ISOLATION_WAIT;
    loop {
        if is_isolated(&context) {
            sleep(with_jitter(backoff)).await;
            backoff = (backoff * 2).min(DISCOVERY_INTERVAL);
        } else {
            backoff = ISOLATION_WAIT;
            sleep(with_jitter(discovery_interval(context.sharing_boxes()))).await;
        }
        if !is_isolated(&context) && !context.watches_store() {
            continue;
        }
        context.count_call(StoreCall::Registered);
        if let Ok(registrations) = store.registered().await {
            let addresses = registrations
                .iter()
                .map(|registration| registration.peer_address);
            let discovered = context.swim().set_contacts(addresses);
            if discovered > 0 {
                emit(Event::StrangersFound, format_args!("boxes={discovered}"));
            }
        }
    }
}

impl Context {
    fn count_call(&self, call: StoreCall) {
        self.store_calls.count(call, CallReason::Discovery);
    }
}

fn own_registration(context: &Context) -> Registration {
    let swim = context.swim();
    Registration {
        id: swim.me().id.clone(),
        incarnation: swim.me().incarnation,
        peer_address: swim.me().peer_address,
    }
}

fn is_isolated(context: &Context) -> bool {
    let swim = context.swim();
    let mut members = swim.members();
    !members.any(|member| member.liveness == Liveness::Alive)
}

fn discovery_interval(boxes: usize) -> Duration {
    let boxes = u32::try_from(boxes).unwrap_or(u32::MAX);
    DISCOVERY_INTERVAL.max(DISCOVERY_INTERVAL_PER_BOX.saturating_mul(boxes))
}

/// Adds jitter, so that boxes do not call the store at the same moment.
fn with_jitter(backoff: Duration) -> Duration {
    backoff.mul_f64(0.75 + 0.5 * rand::random::<f64>())
}
