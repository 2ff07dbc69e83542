//! Asks the store whenever a box's view of it has grown old.
//!
//! Boxes hear of changes from those that follow the store, by many steps, each of which may
//! fail or take long: others may be dead, frozen, cut off, or a connection silent. So each
//! box knows as of when its view is whole, and asks the store itself before the view is so
//! old that a bound on what was written could be broken. [`ViewLimits`] has the sum.

use crate::context::Context;
use crate::follow::{FIRST_PAUSE, Following, longest_pause};
use crate::store::{FleetStore, StoreFailure};
use crate::store_news::{list, watch};
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{Scope, StoreDuty};
use brasswinch_types::Millis;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Part of the shortest bound that a view may be old before its box asks the store. What is
/// left has to do for the call (two ways and an answer, 0.1 s), and for a request on its way
/// to an upstream (a new connection over 35 ms takes 0.1 s): 0.8 s of 2.
const OLDEST_PART: f64 = 0.6;

/// Shortest age, in milliseconds, at which a box asks, however short the bounds: the store
/// is not to be asked without a pause.
const LEAST_OLDEST_MS: f64 = 500.0;

/// Of that, the part after which the box that confirms for all asks again. Everybody has
/// what it learns a tenth of a second later: 0.08 of the whole at 1.2 s.
const CONFIRM_PART: f64 = 0.6;

/// The same for the others that follow the store, where nothing was confirmed to them.
const FOLLOWERS_PART: f64 = 0.8;

/// The same for all others: drawn from here to the whole, so that one of them asks first
/// and tells the others.
const OTHERS_PART: f64 = 0.9;

/// Between two looks while nothing is known yet, or the store is being asked otherwise.
const POLL: Duration = Duration::from_millis(100);

/// How old a box lets its view of the store become.
///
/// What was written `t` ago is known, or the store is being asked, where `t` is over the
/// oldest view allowed. With the longest a call takes where nothing is wrong, and the
/// longest way of a request, it is in force in time while
///
/// `OLDEST_PART × bound + call + way ≤ bound`.
///
/// A box that can't ask serves on by what it knows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ViewLimits {
    oldest_ms: f64,
}

impl ViewLimits {
    /// `bound_s` is the shortest time in which anything written has to be in force.
    pub(crate) fn new(bound_s: f64) -> Self {
        let oldest_ms = bound_s * 1_000.0 * OLDEST_PART;
        Self {
            oldest_ms: oldest_ms.max(LEAST_OLDEST_MS),
        }
    }

    /// The age, in milliseconds, at which a box with this duty asks the store; `random` is
    /// drawn from 0 to 1.
    fn limit_ms(&self, duty: StoreDuty, random: f64) -> Millis {
        let part = match duty {
            StoreDuty::Confirms => CONFIRM_PART,
            StoreDuty::Follows => FOLLOWERS_PART,
            StoreDuty::Hears => OTHERS_PART + (1.0 - OTHERS_PART) * random,
        };
        (self.oldest_ms * part) as Millis
    }
}

/// Keeps the view of `scope` young for as long as the process runs.
pub(crate) async fn keep_young<S: FleetStore>(context: Arc<Context>, store: Arc<S>, scope: Scope) {
    let mut pause = FIRST_PAUSE;
    loop {
        let age_ms = grown_old(&context, scope).await;
        if context.following(scope) == Following::Busy {
            // Its next answer makes the view young.
            sleep(POLL).await;
            continue;
        }
        if context.duty() != StoreDuty::Confirms {
            emit(
                Event::ViewOld,
                format_args!("scope={scope:?} age_ms={age_ms}"),
            );
        }
        match ask(&context, &*store, scope).await {
            Ok(()) => {
                pause = FIRST_PAUSE;
                context.confirmed();
            }
            Err(error) => {
                context.store_failed(&error);
                sleep(pause.mul_f64(0.5 + rand::random::<f64>())).await;
                pause = (pause * 2).min(longest_pause(context.sharing_boxes()));
            }
        }
    }
}

/// Waits until the view is too old; returns its age in milliseconds.
async fn grown_old(context: &Context, scope: Scope) -> Millis {
    let random = rand::random();
    loop {
        let Some(age_ms) = context.view_age_ms(scope) else {
            sleep(POLL).await;
            continue;
        };
        let limit_ms = context.view_limits.limit_ms(context.duty(), random);
        if age_ms >= limit_ms {
            return age_ms;
        }
        sleep(Duration::from_millis(limit_ms - age_ms)).await;
    }
}

async fn ask<S: FleetStore>(
    context: &Context,
    store: &S,
    scope: Scope,
) -> Result<(), StoreFailure> {
    let after = context.fleet().asked_to(scope);
    let answered = match after {
        Some(after) => watch(context, store, scope, after, Duration::ZERO, &|| {}).await,
        None => list(context, store, scope).await,
    };
    match answered {
        Err(StoreFailure::HistoryGone | StoreFailure::NotWhole(_)) => {
            list(context, store, scope).await.map(|_| ())
        }
        answered => answered.map(|_| ()),
    }
}
