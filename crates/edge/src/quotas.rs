//! Exchanges messages with the coordinators of workspaces' quotas; [`Quotas`] decides.

use crate::context::Context;
use crate::datagram::Datagram;
use crate::grant_replies::GrantReplies;
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{
    MemberRecord, QueuedGrant, QueuedReply, QuotaBounds, QuotaBox, QuotaCount, QuotaLimit,
    QuotaReply, QuotaStatus, Quotas, SteeringConfig, ToCoordinator,
};
use brasswinch_types::{BoxId, Millis, Workspace};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

/// Interval at which requests that wait for a grant are granted or expire, while any wait here.
const QUEUE_TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Minimum interval between two events that the queue is full, which each refused request finds.
const QUEUE_FULL_EVENT_INTERVAL_MS: Millis = 1_000;

/// This box's state of the quotas, and the requests that wait for a coordinator.
#[derive(Debug)]
pub(crate) struct QuotaTasks {
    quotas: Mutex<Quotas>,
    pub(crate) grant_replies: GrantReplies,
    /// Wakes the queue's timer when a request begins to wait at this box.
    pub(crate) queue_wake: Notify,
    /// When an event last reported that the queue is full; 0 if never.
    queue_full_reported_at: AtomicU64,
}

impl QuotaTasks {
    pub(crate) fn new(me: BoxId, bounds: QuotaBounds) -> Self {
        Self {
            quotas: Mutex::new(Quotas::new(me, bounds)),
            grant_replies: GrantReplies::default(),
            queue_wake: Notify::new(),
            queue_full_reported_at: AtomicU64::new(0),
        }
    }

    pub(crate) fn quotas(&self) -> MutexGuard<'_, Quotas> {
        self.quotas.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Context {
    pub(crate) fn send_to_coordinator(&self, message: Option<ToCoordinator>) {
        if let Some(ToCoordinator { address, count }) = message {
            self.send_datagram(&Datagram::QuotaCount(count), address);
        }
    }

    pub(crate) fn correct_quota(&self, workspace: &Workspace, limit: QuotaLimit, runs: i32) {
        let now = self.clock.now();
        let message = self.quotas.quotas().correct(workspace, limit, runs, now);
        self.send_to_coordinator(message);
        self.send_quota_messages();
    }

    /// Withdraws a request whose client has disconnected, or which no longer waits for its grant.
    pub(crate) fn withdraw_from_quota(&self, queued: &QueuedGrant) {
        let now = self.clock.now();
        let message = self.quotas.quotas().withdraw(queued, now);
        self.send_to_coordinator(message);
        self.send_quota_messages();
    }

    /// Replies to another box's count.
    pub(crate) fn handle_quota_count(&self, count: &QuotaCount, from: SocketAddr) {
        let Some(limit) = self.quota_limit(&count.workspace) else {
            // Configurations may differ for a moment; the other box decides by itself
            // meanwhile.
            return;
        };
        let now = self.clock.now();
        let reply = self.quotas.quotas().handle_count(count, from, limit, now);
        // Corrections and withdrawals need no reply.
        if let Some(reply) = reply.filter(|_| count.id != 0 && !count.withdraw) {
            if reply.wait_ms.is_some() {
                self.quotas.queue_wake.notify_one();
            }
            self.send_datagram(&Datagram::QuotaReply(reply), from);
        }
        self.send_quota_messages();
    }

    /// Handles a coordinator's reply or broadcast.
    pub(crate) fn handle_quota_reply(&self, reply: QuotaReply, from: SocketAddr) {
        let Some(reply) = self.quotas.grant_replies.deliver(reply) else {
            return;
        };
        let Some(limit) = self.quota_limit(&reply.workspace) else {
            return;
        };
        let now = self.clock.now();
        let message = self.quotas.quotas().handle_reply(&reply, from, limit, now);
        self.send_to_coordinator(message);
    }

    fn quota_limit(&self, workspace: &Workspace) -> Option<QuotaLimit> {
        let in_force = self.in_force.load();
        let config = &in_force.as_ref()?.config;
        config.workspaces.get(workspace)?.quota
    }

    /// Sends the grants of requests that waited, the refusals of those that waited too long, and
    /// broadcasts which workspaces have reached their quota, where that is due.
    pub(crate) fn send_quota_messages(&self) {
        let now = self.clock.now();
        let mut quotas = self.quotas.quotas();
        let replies = quotas.take_grants(now);
        let broadcasts = quotas.take_broadcasts();
        let others: Vec<SocketAddr> = if broadcasts.is_empty() {
            Vec::new()
        } else {
            quotas.others().collect()
        };
        drop(quotas);
        replies
            .into_iter()
            .for_each(|reply| self.send_queued_reply(reply));
        for broadcast in broadcasts {
            let workspace = &broadcast.workspace;
            emit(
                Event::WorkspaceAtQuota,
                format_args!("workspace={workspace}"),
            );
            let datagram = Datagram::QuotaReply(broadcast);
            others
                .iter()
                .for_each(|other| self.send_datagram(&datagram, *other));
        }
    }

    fn send_queued_reply(&self, queued: QueuedReply) {
        let QueuedReply { address, reply } = queued;
        if address == self.settings.addresses.peers {
            // A request that is gone has been withdrawn.
            let _ = self.quotas.grant_replies.deliver(reply);
            return;
        }
        self.send_datagram(&Datagram::QuotaReply(reply), address);
    }

    /// Runs the timers of the quotas.
    pub(crate) fn tick_quotas(&self) {
        let now = self.clock.now();
        let mut quotas = self.quotas.quotas();
        quotas.tick(now);
        let is_full = quotas.take_queue_full();
        drop(quotas);
        if is_full {
            self.report_queue_full(now);
        }
        self.send_quota_messages();
    }

    fn report_queue_full(&self, now: Millis) {
        let reported_at = &self.quotas.queue_full_reported_at;
        let last = reported_at.load(Ordering::Relaxed);
        if last == 0 || now.saturating_sub(last) >= QUEUE_FULL_EVENT_INTERVAL_MS {
            reported_at.store(now, Ordering::Relaxed);
            emit(Event::QuotaQueueFull, format_args!("{}", self.settings.id));
        }
    }

    /// Sets the serving boxes and the number of live ones.
    pub(crate) fn set_quota_boxes(&self) {
        let swim = self.swim();
        let boxes = swim.serving_boxes().map(quota_box).collect();
        let count = swim.alive_boxes().count();
        drop(swim);
        let now = self.clock.now();
        let mut quotas = self.quotas.quotas();
        quotas.set_fleet_size(self.known_fleet_size());
        quotas.set_boxes(boxes, count, now);
        drop(quotas);
        // Requests that wait here for a quota that another box now coordinates are refused.
        self.send_quota_messages();
    }

    /// Drops quotas that `config` no longer contains.
    pub(crate) fn retain_quotas(&self, config: &SteeringConfig) {
        let workspaces = &config.workspaces;
        self.quotas.quotas().retain(|name| {
            let workspace = workspaces.get(name);
            workspace.is_some_and(|workspace| workspace.quota.is_some())
        });
    }

    /// Returns whether this box knows the coordinators of the quotas.
    pub(crate) fn knows_quota_coordinators(&self) -> bool {
        self.quotas.quotas().is_settled(self.clock.now())
    }

    /// Returns the status of the quotas at this box for operators.
    pub(crate) fn quota_status(&self) -> Vec<QuotaStatus> {
        self.quotas.quotas().status(self.clock.now())
    }
}

/// Grants requests that wait at this box as tokens accrue, for as long as the process runs. Sleeps
/// while none waits.
pub(crate) async fn run_queue_timer(context: Arc<Context>) {
    loop {
        context.quotas.queue_wake.notified().await;
        while context.quotas.quotas().has_waiting() {
            sleep(QUEUE_TICK_INTERVAL).await;
            context.tick_quotas();
        }
    }
}

fn quota_box(record: &MemberRecord) -> QuotaBox {
    QuotaBox {
        id: record.id.clone(),
        address: record.peer_address,
    }
}
