//! Tracks whether this box reaches upstreams, and checks it; [`UpstreamReach`] decides.

use crate::context::Context;
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{CHECK_INTERVAL_MS, UpstreamPath, UpstreamReach, draw_sample};
use brasswinch_types::UpstreamId;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Interval between checks while the path is lost.
const CHECK_INTERVAL: Duration = Duration::from_millis(CHECK_INTERVAL_MS);

/// How long a connection of a check has to stay open. A connection that a middlebox accepts and
/// resets reaches nothing.
const MIN_OPEN_TIME: Duration = Duration::from_millis(50);

/// The state of this box's path to upstreams.
#[derive(Debug, Default)]
pub(crate) struct UpstreamPathTasks {
    reach: Mutex<UpstreamReach>,
    /// Wakes requests that wait for the result of a check.
    checked: Notify,
}

impl UpstreamPathTasks {
    fn lock(&self) -> MutexGuard<'_, UpstreamReach> {
        self.reach.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Context {
    /// Returns whether this box reaches upstreams, as last checked.
    pub(crate) fn upstream_path(&self) -> UpstreamPath {
        self.upstream_path.lock().path()
    }

    /// Returns whether this box reaches upstreams, after the check in progress, if there is one.
    pub(crate) async fn settled_upstream_path(&self) -> UpstreamPath {
        loop {
            let checked = self.upstream_path.checked.notified();
            {
                let reach = self.upstream_path.lock();
                if !reach.is_checking() {
                    return reach.path();
                }
            }
            checked.await;
        }
    }

    /// Records that an upstream was reached.
    pub(crate) fn record_upstream_reached(&self) {
        self.upstream_path.lock().record_reached();
    }

    /// Records that an upstream was not reached, and starts a check if one is due.
    pub(crate) fn record_upstream_unreached(self: &Arc<Self>, upstream: &UpstreamId) {
        let now = self.clock.now();
        let known = self.placement().accepting_count(now);
        let mut reach = self.upstream_path.lock();
        reach.record_failure(upstream, known, now);
        if reach.start_check_if_due(known, now) {
            tokio::spawn(check_until_reached(Arc::clone(self)));
        }
    }

    fn start_check_if_due(&self) -> bool {
        let now = self.clock.now();
        let known = self.placement().accepting_count(now);
        self.upstream_path.lock().start_check_if_due(known, now)
    }

    fn end_check(&self, has_reached: bool) {
        let changed = self.upstream_path.lock().end_check(has_reached);
        if let Some(path) = changed {
            self.apply_upstream_path(path);
        }
        self.upstream_path.checked.notify_waiters();
    }

    fn apply_upstream_path(&self, path: UpstreamPath) {
        let event = match path {
            UpstreamPath::Direct => Event::UpstreamPathRestored,
            UpstreamPath::Lost => Event::UpstreamPathLost,
        };
        emit(event, format_args!("{}", self.settings.id));
        self.placement().forget_failures();
        self.pool.close_all();
        self.swim()
            .set_reaches_upstreams(path == UpstreamPath::Direct);
        self.has_updates.notify_one();
    }
}

/// Checks the path, and goes on until an upstream is reached.
async fn check_until_reached(context: Arc<Context>) {
    loop {
        let has_reached = reaches_any(&context).await;
        context.end_check(has_reached);
        if context.upstream_path() == UpstreamPath::Direct {
            return;
        }
        sleep(CHECK_INTERVAL).await;
        while !context.start_check_if_due() {
            sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Returns whether any upstream of a sample can be reached.
async fn reaches_any(context: &Arc<Context>) -> bool {
    let now = context.clock.now();
    let candidates = context.placement().check_candidates(now);
    let mut attempts = JoinSet::new();
    for candidate in draw_sample(candidates, &mut rand::rng()) {
        attempts.spawn(reaches(Arc::clone(context), candidate.target));
    }
    while let Some(attempt) = attempts.join_next().await {
        if matches!(attempt, Ok(true)) {
            return true;
        }
    }
    false
}

async fn reaches(context: Arc<Context>, address: SocketAddr) -> bool {
    let Ok(stream) = context.pool.open_stream(address).await else {
        return false;
    };
    // An upstream sends nothing unasked, so the connection becomes readable when it ends.
    timeout(MIN_OPEN_TIME, stream.readable()).await.is_err()
}
