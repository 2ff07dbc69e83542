//! Shuts a box down gracefully.

use crate::clock::Clock;
use crate::context::{Context, Lifecycle};
use crate::gossip;
use crate::server::CLOSE_GRACE;
use crate::start::STAGE_POLL;
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{ExpectedTime, StopSchedule};
use brasswinch_types::Millis;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, sleep_until};

/// A planned stop, if one has begun.
#[derive(Debug)]
pub(crate) struct Shutdown {
    schedule: StopSchedule,
    /// Set when the box is asked to stop, by the box's clock.
    began: OnceLock<Millis>,
}

impl Shutdown {
    pub(crate) fn new(grace_s: f64) -> Self {
        let grace = Duration::from_secs_f64(grace_s);
        Self {
            schedule: StopSchedule::new(grace),
            began: OnceLock::new(),
        }
    }

    /// Returns whether a request may be sent now, as [`StopSchedule::admits`] decides; always true
    /// unless the box is stopping.
    pub(crate) fn admits(&self, clock: &Clock, expected: impl FnOnce() -> ExpectedTime) -> bool {
        let since_stop = self.since_stop(clock);
        since_stop.is_none_or(|since_stop| self.schedule.admits(since_stop, &expected()))
    }

    fn since_stop(&self, clock: &Clock) -> Option<Duration> {
        let began = self.began.get()?;
        Some(Duration::from_millis(clock.now().saturating_sub(*began)))
    }
}

/// Stops a box. Returns when the process may end.
pub(crate) async fn stop(context: &Arc<Context>, socket: &Arc<UdpSocket>) {
    let began = Instant::now();
    let _ = context.shutdown.began.set(context.clock.now());
    let schedule = context.shutdown.schedule;
    context.advance(Lifecycle::Leaving);
    emit(Event::Leaving, format_args!("{}", context.settings.id));
    gossip::announce_leave(context, socket).await;
    sleep_until(began + schedule.closes_after()).await;
    context.advance(Lifecycle::Closed);
    let ends_at = began + schedule.ends_after();
    // Open connections may still receive requests that were sent before they close.
    sleep(CLOSE_GRACE + STAGE_POLL).await;
    while is_busy(context) && Instant::now() < ends_at {
        sleep(STAGE_POLL).await;
    }
    log_stopped(context, began.elapsed());
}

/// Whether a connection of a client is open: it closes when its client has its last response. A
/// tunnel may carry a request of another box; those without one are closed by that box.
fn is_busy(context: &Context) -> bool {
    context.open_connections.load(Ordering::Relaxed) > 0 || context.carried_tunnels.open() > 0
}

/// Logs what is still in progress when the process ends.
fn log_stopped(context: &Context, took: Duration) {
    let id = &context.settings.id;
    let took_ms = took.as_millis();
    let connections = context.open_connections.load(Ordering::Relaxed);
    let closing = context.connection_closes.closing();
    let requests = context.in_flight.load(Ordering::Relaxed);
    let tunnels = context.carried_tunnels.open();
    let unacknowledged = context.connection_closes.unacknowledged();
    emit(
        Event::Stopped,
        format_args!(
            "{id} after_ms={took_ms} connections={connections} closing={closing} \
             requests={requests} tunnels={tunnels} unacknowledged_total={unacknowledged}"
        ),
    );
}
