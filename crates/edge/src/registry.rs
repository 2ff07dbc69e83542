//! Registers the box in the store under a lease, and finds boxes there that the
//! membership doesn't know.
//!
//! Seeds may be stale or down, and two groups of boxes that never heard of each other
//! would stay apart. The store's list of boxes is where they meet.

use crate::context::{Context, Lifecycle};
use crate::store::{BoxRegistry, LeaseId, Registration, StoreFailure};
use crate::store_calls::{CallReason, StoreCall};
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{Liveness, StoreDuty};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// How long a registration outlives its box.
const LEASE_TTL: Duration = Duration::from_secs(30);

/// Between two renewals: two may fail.
const RENEW_AFTER: Duration = Duration::from_secs(9);

/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_secs(1);

/// Longest pause after failed calls.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// Between two looks at whether this box is one of those that are listed.
const DUTY_POLL: Duration = Duration::from_secs(1);

/// How many looks in a row have to say so: boxes that start know few others at first.
const DUTY_LOOKS: u32 = 3;

/// Between two looks at the list of boxes, in a small fleet.
const LOOK_AFTER: Duration = Duration::from_secs(20);

/// Looks become rarer by this for each box: the list grows with them.
const LOOK_PER_BOX: Duration = Duration::from_millis(50);

/// How long a box that hears nobody waits for its seeds before it looks.
const ALONE_FOR: Duration = Duration::from_secs(2);

/// Keeps the box registered from when it serves until it leaves, if it is one of those that
/// follow the store or pass news on: a few boxes of each zone are enough to meet at.
pub(crate) async fn stay_registered<S: BoxRegistry>(context: Arc<Context>, store: Arc<S>) {
    context.reached(Lifecycle::Serving).await;
    let mut pause = FIRST_PAUSE;
    while context.lifecycle() == Lifecycle::Serving {
        if !has_duty(&context).await {
            continue;
        }
        let registration = own_registration(&context);
        context.count_call(StoreCall::Register);
        match store.register(&registration, LEASE_TTL).await {
            Ok(lease) => {
                emit(Event::Registered, format_args!("lease={}", lease.0));
                pause = FIRST_PAUSE;
                hold(&context, &*store, lease).await;
            }
            Err(_) => {
                sleep(around(pause)).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Whether the box has a duty for others for as long as `DUTY_LOOKS` take.
async fn has_duty(context: &Context) -> bool {
    for _ in 0..DUTY_LOOKS {
        if context.duty() == StoreDuty::Hears {
            sleep(around(DUTY_POLL)).await;
            return false;
        }
        sleep(DUTY_POLL).await;
    }
    context.lifecycle() == Lifecycle::Serving
}

/// Renews `lease` until it is over or the box leaves.
async fn hold<S: BoxRegistry>(context: &Context, store: &S, lease: LeaseId) {
    loop {
        tokio::select! {
            () = sleep(around(RENEW_AFTER)) => {}
            () = context.reached(Lifecycle::Leaving) => {
                context.count_call(StoreCall::Withdraw);
                // If the call is lost, the lease runs out by itself.
                let _ = store.withdraw(lease).await;
                return;
            }
        }
        context.count_call(StoreCall::Renew);
        if store.renew(lease).await == Err(StoreFailure::LeaseOver) {
            return;
        }
    }
}

/// Looks for boxes that the membership doesn't know, for as long as the process runs.
pub(crate) async fn find_strangers<S: BoxRegistry>(context: Arc<Context>, store: Arc<S>) {
    let mut pause = ALONE_FOR;
    loop {
        if is_alone(&context) {
            sleep(around(pause)).await;
            pause = (pause * 2).min(LOOK_AFTER);
        } else {
            pause = ALONE_FOR;
            sleep(around(look_after(context.sharing_boxes()))).await;
        }
        if !is_alone(&context) && !context.watches_store() {
            continue;
        }
        context.count_call(StoreCall::Registered);
        if let Ok(registrations) = store.registered().await {
            let addresses = registrations
                .iter()
                .map(|registration| registration.peer_address);
            let strangers = context.swim().introduce(addresses);
            if strangers > 0 {
                emit(Event::StrangersFound, format_args!("boxes={strangers}"));
            }
        }
    }
}

impl Context {
    fn count_call(&self, call: StoreCall) {
        self.store_calls.count(call, CallReason::Meet);
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

fn is_alone(context: &Context) -> bool {
    let swim = context.swim();
    let mut members = swim.members();
    !members.any(|member| member.liveness == Liveness::Alive)
}

fn look_after(boxes: usize) -> Duration {
    let boxes = u32::try_from(boxes).unwrap_or(u32::MAX);
    LOOK_AFTER.max(LOOK_PER_BOX.saturating_mul(boxes))
}

/// Spreads calls that boxes would make at the same moment.
fn around(pause: Duration) -> Duration {
    pause.mul_f64(0.75 + 0.5 * rand::random::<f64>())
}
