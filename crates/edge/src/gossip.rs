//! Runs the membership protocol over datagrams, encoded in CBOR.

use crate::context::Context;
use crate::datagram::Datagram;
use crate::members_transfer;
use crate::peer_traffic::Direction;
use crate::utilization::UtilizationMeter;
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{Liveness, MovingAverage, SwimMessage};
use brasswinch_types::{BoxId, Millis};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Interval of the protocol's timer checks.
const TICK_INTERVAL: Duration = Duration::from_millis(75);

/// Minimum interval between two publications of the member list, which changes constantly in a
/// large fleet.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(150);

/// Maximum size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Interval of the own load measurements.
const LOAD_INTERVAL_MS: Millis = 2_000;

/// Most boxes that one event names. Where a whole fleet starts or a zone is lost, the log does not
/// grow with the number of boxes.
const MAX_LOGGED_BOXES: usize = 4;

/// Runs the membership protocol for as long as the process runs.
pub(crate) async fn run_membership(context: Arc<Context>, socket: Arc<UdpSocket>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut load = OwnLoad::default();
    let mut generation = 0;
    let mut published_at = Instant::now();
    let mut alive = BTreeSet::new();
    let mut invalid = BTreeSet::new();
    loop {
        let out = tokio::select! {
            _ = ticks.tick() => {
                load.measure(&context);
                context.settle_duty();
                context.tick_quotas();
                context.tick_quarantine();
                let now = context.clock.now();
                context.swim().tick(now, &mut rand::rng())
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => receive(&context, &buffer[..length], from),
                // Errors report a peer's closed port; the protocol detects the missing
                // heartbeats anyway.
                Err(_) => Vec::new(),
            },
            () = context.has_updates.notified() => context.swim().announce_update(&mut rand::rng()),
            () = context.view_reports.wake.notified() => Vec::new(),
        };
        send(&context, &socket, out).await;
        send_view_report(&context, &socket).await;
        members_transfer::start_if_needed(&context);
        let newest = context.swim().generation();
        if newest != generation && published_at.elapsed() >= PUBLISH_INTERVAL {
            generation = newest;
            published_at = Instant::now();
            context.publish_members();
            log_membership_changes(&context, &mut alive);
            log_invalid_sizes(&context, &mut invalid);
        }
    }
}

/// Logs which boxes joined and left since the last call.
fn log_membership_changes(context: &Context, alive: &mut BTreeSet<BoxId>) {
    let swim = context.swim();
    let reachable: BTreeSet<BoxId> = swim
        .members()
        .filter(|member| member.liveness != Liveness::Dead)
        .map(|member| member.record.id.clone())
        .collect();
    log_boxes(Event::MemberHeard, reachable.difference(alive));
    log_boxes(Event::MemberSilent, alive.difference(&reachable));
    *alive = reachable;
}

/// Logs which boxes publish sizes that can't be right, unless they did at the last call.
fn log_invalid_sizes(context: &Context, invalid: &mut BTreeSet<BoxId>) {
    let swim = context.swim();
    let found: BTreeSet<BoxId> = swim
        .alive_boxes()
        .filter(|record| record.resources().has_invalid())
        .map(|record| record.id.clone())
        .collect();
    for id in found.difference(invalid) {
        emit(
            Event::PeerMalformed,
            format_args!("{id} publishes sizes that can't be right; they count as unknown"),
        );
    }
    *invalid = found;
}

/// Logs one event for all of `boxes`, with the names of the first few.
fn log_boxes<'a>(event: Event, boxes: impl Iterator<Item = &'a BoxId>) {
    let boxes: Vec<&str> = boxes.map(BoxId::as_str).collect();
    if boxes.is_empty() {
        return;
    }
    let named = &boxes[..boxes.len().min(MAX_LOGGED_BOXES)];
    emit(
        event,
        format_args!("boxes={} first={}", boxes.len(), named.join(",")),
    );
}

/// Announces to some members that this box leaves.
pub(crate) async fn announce_leave(context: &Context, socket: &UdpSocket) {
    let out = context.swim().announce_leave(&mut rand::rng());
    send(context, socket, out).await;
}

fn receive(context: &Context, datagram: &[u8], from: SocketAddr) -> Vec<(SocketAddr, SwimMessage)> {
    let decoded = ciborium::from_reader::<Datagram, _>(datagram);
    if let Ok(message) = &decoded {
        context
            .peer_traffic
            .count(message.into(), Direction::Received, datagram.len());
    }
    match decoded {
        Ok(Datagram::AdviceQuery(query)) => context.handle_advice_query(&query, from),
        Ok(Datagram::Advice(advice)) => context.handle_advice(advice, from),
        Ok(Datagram::CompletionReport(completion)) => context.handle_completion(&completion),
        Ok(Datagram::QuotaCount(count)) => context.handle_quota_count(&count, from),
        Ok(Datagram::QuotaReply(reply)) => context.handle_quota_reply(reply, from),
        Ok(Datagram::CrashReport(report)) => context.handle_crash_report(&report, from),
        Ok(Datagram::LimitQuery(query)) => context.handle_limit_query(&query, from),
        Ok(Datagram::LimitReply(reply)) => context.handle_limit_reply(reply),
        Ok(Datagram::LimitUpdate(update)) => context.handle_limit_update(&update),
        Ok(Datagram::ColdNotice(notice)) => context.handle_cold_notice(&notice),
        Ok(Datagram::Swim(message)) => {
            if let SwimMessage::Known { id, views, failing } = &message {
                context.handle_view_report(id, views, *failing);
            }
            let now = context.clock.now();
            let out = context.swim().receive(from, message, now, &mut rand::rng());
            context.peer_updates.notify();
            return out;
        }
        Err(error) => emit(Event::PeerMalformed, format_args!("{from}: {error}")),
    }
    Vec::new()
}

/// Sends a report on the view of the store, if one is due.
async fn send_view_report(context: &Context, socket: &UdpSocket) {
    if let Some((message, receivers)) = context.take_view_report() {
        send_to_all(context, socket, message, &receivers).await;
    }
}

async fn send(context: &Context, socket: &UdpSocket, out: Vec<(SocketAddr, SwimMessage)>) {
    for (to, message) in out {
        send_to_all(context, socket, message, &[to]).await;
    }
}

async fn send_to_all(
    context: &Context,
    socket: &UdpSocket,
    message: SwimMessage,
    receivers: &[SocketAddr],
) {
    let message = Datagram::Swim(message);
    let mut datagram = Vec::with_capacity(512);
    if let Err(error) = ciborium::into_writer(&message, &mut datagram) {
        emit(
            Event::PeerMalformed,
            format_args!("cannot encode a message: {error}"),
        );
        return;
    }
    for to in receivers {
        context
            .peer_traffic
            .count((&message).into(), Direction::Sent, datagram.len());
        // Datagram loss is expected: the protocol retries, and later messages carry newer
        // state.
        let _ = socket.send_to(&datagram, to).await;
    }
}

/// Measures the request rate of clients at this box, and its utilization.
#[derive(Debug, Default)]
struct OwnLoad {
    measured_at: Millis,
    requests: u64,
    per_s: MovingAverage,
    utilization: UtilizationMeter,
    average_utilization: MovingAverage,
}

impl OwnLoad {
    fn measure(&mut self, context: &Context) {
        let now = context.clock.now();
        let elapsed = now.saturating_sub(self.measured_at);
        if elapsed < LOAD_INTERVAL_MS {
            return;
        }
        let requests = context.requests.load(Ordering::Relaxed);
        let newest = (requests - self.requests) as f64 * 1_000.0 / elapsed as f64;
        self.measured_at = now;
        self.requests = requests;
        if requests > 0 {
            let per_s = self.per_s.add(newest);
            context.swim().set_requests_per_s(per_s as f32);
        }
        let utilization = self.utilization.measure(context, elapsed);
        let measured = &context.metrics.utilization;
        measured.store(utilization, Ordering::Relaxed);
        let average = self.average_utilization.add(f64::from(utilization));
        context.swim().set_utilization(average.round() as u32);
        context.publish_members();
    }
}
