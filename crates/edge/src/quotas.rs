//! Exchanges messages with the coordinators of workspaces' quotas; [`Quotas`] decides.

use crate::context::Context;
use crate::datagram::Datagram;
use crate::failure::Failure;
use crate::pending_replies::PendingReplies;
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{
    Admission, KnownWorkspace, MemberRecord, QuotaBounds, QuotaBox, QuotaClass, QuotaCount,
    QuotaLimit, QuotaReply, QuotaStatus, Quotas, SteeringConfig, ToCoordinator,
};
use brasswinch_types::{BoxId, Millis, Workspace};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Timeout for a coordinator's reply. A round trip to another region takes 25 ms; the rest
/// allows for a busy processor.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);

/// This box's state of the quotas, and the requests that wait for a coordinator.
#[derive(Debug)]
pub(crate) struct QuotaTasks {
    quotas: Mutex<Quotas>,
    pending_replies: PendingReplies<QuotaReply>,
}

impl QuotaTasks {
    pub(crate) fn new(me: BoxId, bounds: QuotaBounds) -> Self {
        Self {
            quotas: Mutex::new(Quotas::new(me, bounds)),
            pending_replies: PendingReplies::default(),
        }
    }

    fn quotas(&self) -> MutexGuard<'_, Quotas> {
        self.quotas.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that is counted in its workspace's quota.
pub(crate) struct Permit {
    context: Arc<Context>,
    workspace: Workspace,
    limit: QuotaLimit,
    /// Number of upstreams that may have run the request.
    runs: u32,
}

impl Permit {
    /// Records that an upstream may run the request.
    pub(crate) fn runs(&mut self) {
        self.runs += 1;
        if self.runs > 1 {
            self.context.correct_quota(&self.workspace, self.limit, 1);
        }
    }

    /// Records that the upstream it was sent to did not run the request.
    pub(crate) fn did_not_run(&mut self) {
        if self.runs > 1 {
            self.context.correct_quota(&self.workspace, self.limit, -1);
        }
        self.runs = self.runs.saturating_sub(1);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.runs == 0 {
            self.context.correct_quota(&self.workspace, self.limit, -1);
        }
    }
}

impl Context {
    /// Counts a request of `workspace`, if it has a quota with capacity left.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        workspace: &KnownWorkspace,
    ) -> Result<Option<Permit>, Failure> {
        let Some(limit) = workspace.config.quota else {
            return Ok(None);
        };
        let id = rand::random();
        let now = self.clock.now();
        let admission = self.quotas.quotas().admit(
            &workspace.name,
            limit,
            QuotaClass::default(),
            id,
            rand::random(),
            now,
        );
        let admission = match admission {
            Admission::Ask(query) => self.query_quota(query, limit).await,
            decided => decided,
        };
        self.broadcast_at_quota();
        match admission {
            Admission::Send(message) => {
                self.send_to_coordinator(message);
                Ok(Some(Permit {
                    context: Arc::clone(self),
                    workspace: workspace.name.clone(),
                    limit,
                    runs: 0,
                }))
            }
            // A timeout of the last query yields a decision, never another query; requests without
            // a class don't wait.
            Admission::Ask(_) | Admission::Wait(_) => Err(Failure::OverQuota {
                workspace: workspace.name.clone(),
                retry_after_ms: REPLY_TIMEOUT.as_millis() as Millis,
            }),
            Admission::Refuse { retry_after_ms } => Err(Failure::OverQuota {
                workspace: workspace.name.clone(),
                retry_after_ms,
            }),
        }
    }

    /// Queries a quota's coordinator, and once more if the reply doesn't come.
    async fn query_quota(&self, query: ToCoordinator, limit: QuotaLimit) -> Admission {
        match self.query_quota_once(query, limit, false).await {
            Admission::Ask(again) => self.query_quota_once(again, limit, true).await,
            decided => decided,
        }
    }

    async fn query_quota_once(
        &self,
        query: ToCoordinator,
        limit: QuotaLimit,
        is_last: bool,
    ) -> Admission {
        let waiting = self.quotas.pending_replies.wait(query.count.id);
        let datagram = Datagram::QuotaCount(query.count.clone());
        self.send_datagram(&datagram, query.address);
        let reply = waiting.within(REPLY_TIMEOUT).await;
        let now = self.clock.now();
        let mut quotas = self.quotas.quotas();
        match reply {
            Some(reply) => quotas.handle_grant_reply(
                &reply,
                query.address,
                QuotaClass::default(),
                rand::random(),
                now,
            ),
            None => quotas.handle_timeout(query, limit, is_last, now),
        }
    }

    fn send_to_coordinator(&self, message: Option<ToCoordinator>) {
        if let Some(ToCoordinator { address, count }) = message {
            self.send_datagram(&Datagram::QuotaCount(count), address);
        }
    }

    fn correct_quota(&self, workspace: &Workspace, limit: QuotaLimit, runs: i32) {
        let now = self.clock.now();
        let message = self.quotas.quotas().correct(workspace, limit, runs, now);
        self.send_to_coordinator(message);
        self.broadcast_at_quota();
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
        // A correction needs no reply.
        if let Some(reply) = reply.filter(|_| count.id != 0) {
            self.send_datagram(&Datagram::QuotaReply(reply), from);
        }
        self.broadcast_at_quota();
    }

    /// Handles a coordinator's reply or broadcast.
    pub(crate) fn handle_quota_reply(&self, reply: QuotaReply, from: SocketAddr) {
        let Some(reply) = self.quotas.pending_replies.answered(reply.id, reply) else {
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

    /// Broadcasts which workspaces have reached their quota, where that is due.
    fn broadcast_at_quota(&self) {
        let mut quotas = self.quotas.quotas();
        let broadcasts = quotas.take_broadcasts();
        if broadcasts.is_empty() {
            return;
        }
        let others: Vec<SocketAddr> = quotas.others().collect();
        drop(quotas);
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

    /// Runs the timers of the quotas.
    pub(crate) fn tick_quotas(&self) {
        self.quotas.quotas().tick(self.clock.now());
        self.broadcast_at_quota();
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

fn quota_box(record: &MemberRecord) -> QuotaBox {
    QuotaBox {
        id: record.id.clone(),
        address: record.peer_address,
    }
}
