//! A box that hears that others know more, and gets it from none of them, asks the store
//! itself: they may be frozen, out of reach, busy, or speak another version.

use crate::context::Context;
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{Revision, Scope};
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// How long other boxes are relied on. Bounds on what operators write are 2 s and more.
const PATIENCE: Duration = Duration::from_millis(1_200);

/// Boxes that are left behind together spread over this time for each box that there is,
/// so that in a large fleet those that are first can tell the others.
const SPREAD_PER_BOX: Duration = Duration::from_millis(2);

/// The scopes in which the box is left behind.
#[derive(Default)]
pub(crate) struct LeftBehind {
    operator: AtomicBool,
    upstreams: AtomicBool,
}

impl LeftBehind {
    /// Whether it is in any.
    pub(crate) fn is_any(&self) -> bool {
        self.operator.load(Ordering::Relaxed) || self.upstreams.load(Ordering::Relaxed)
    }

    /// Sets whether it is in `scope`; says whether it was.
    fn swap(&self, scope: Scope, is_left: bool) -> bool {
        let flag = match scope {
            Scope::Operator => &self.operator,
            Scope::Upstreams => &self.upstreams,
        };
        flag.swap(is_left, Ordering::Relaxed)
    }
}

/// What a box waits for in one scope.
#[derive(Clone, Copy)]
struct Awaited {
    /// Up to where others were heard to know.
    revision: Revision,
    /// When the store is to be asked for it.
    ask_store_at: Instant,
}

/// How long others have known more of one scope. In a large fleet somebody always does:
/// what counts is whether this box gets what it has heard of.
#[derive(Default)]
pub(crate) struct Behind {
    awaited: Option<Awaited>,
}

impl Behind {
    /// Nobody knows more.
    pub(crate) fn ended(&mut self, context: &Context, scope: Scope) {
        self.awaited = None;
        relies_on_others(context, scope);
    }

    /// Others know more, as they may have done before.
    pub(crate) fn goes_on(&mut self, context: &Context, scope: Scope) {
        let known = context.fleet().newest(scope);
        let awaited = self
            .awaited
            .filter(|awaited| known < Some(awaited.revision));
        let Some(awaited) = awaited else {
            self.awaited = Some(Awaited {
                revision: context.swim().newest_heard(scope),
                ask_store_at: Instant::now() + patience(context),
            });
            relies_on_others(context, scope);
            return;
        };
        if Instant::now() < awaited.ask_store_at || context.left_behind.swap(scope, true) {
            return;
        }
        emit(Event::LeftBehind, format_args!("scope={scope:?}"));
        context.update_watching();
    }

    /// Others know more while one of them is asked, which may take long.
    pub(crate) async fn goes_on_during(
        &mut self,
        context: &Context,
        scope: Scope,
        asking: impl Future<Output = ()>,
    ) {
        let mut asking = pin!(asking);
        let Some(Awaited { ask_store_at, .. }) = self.awaited else {
            return asking.await;
        };
        tokio::select! {
            () = &mut asking => return,
            () = sleep_until(ask_store_at) => {}
        }
        self.goes_on(context, scope);
        asking.await;
    }
}

/// The store needn't be asked (any more).
fn relies_on_others(context: &Context, scope: Scope) {
    if context.left_behind.swap(scope, false) {
        context.update_watching();
    }
}

fn patience(context: &Context) -> Duration {
    let boxes = u32::try_from(context.sharing_boxes()).unwrap_or(u32::MAX);
    PATIENCE + SPREAD_PER_BOX.saturating_mul(boxes).mul_f64(rand::random())
}
