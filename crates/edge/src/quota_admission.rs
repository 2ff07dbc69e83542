//! Admits requests of workspaces with quotas: asks the coordinator, and waits for its grant.

use crate::clock::{Clock, Deadline};
use crate::context::Context;
use crate::datagram::Datagram;
use crate::failure::Failure;
use crate::grant_replies::GrantReceiver;
use brasswinch_routing::{
    Admission, KnownWorkspace, QueuedGrant, QuotaClass, QuotaLimit, QuotaReply, Route,
    ToCoordinator, UndecidedGrant,
};
use brasswinch_types::{Millis, Workspace};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Timeout for a coordinator's reply. A round trip to another region takes 25 ms; the rest
/// allows for a busy processor.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);

/// Returns the class of a request of `route` with this deadline, for its workspace's quota.
pub(crate) fn quota_class(route: &Route, deadline: &Deadline) -> QuotaClass {
    let latency_goal_ms = (route.latency_goal_s * 1_000.0) as Millis;
    let left_ms = Clock::millis(deadline.left());
    QuotaClass::of_route(&route.name, route.priority).waiting_within(latency_goal_ms, left_ms)
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
    /// Counts a request of `workspace`, if it has a quota with capacity left. Waits for a grant as
    /// long as `class` allows; if the future is dropped meanwhile, the request is withdrawn.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        workspace: &KnownWorkspace,
        class: QuotaClass,
    ) -> Result<Option<Permit>, Failure> {
        let Some(limit) = workspace.config.quota else {
            return Ok(None);
        };
        let (admission, replies) = self.start_admission(workspace, limit, class);
        let admission = match replies {
            Some(replies) => {
                let request = GrantRequest::new(self, limit, class, replies);
                request.decide(admission).await
            }
            None => admission,
        };
        self.send_quota_messages();
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
            // `GrantRequest::decide` returns neither.
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

    /// Returns the first decision about a request, and the receiver of the replies where a
    /// coordinator has to decide.
    fn start_admission(
        &self,
        workspace: &KnownWorkspace,
        limit: QuotaLimit,
        class: QuotaClass,
    ) -> (Admission, Option<GrantReceiver<'_>>) {
        let id = rand::random();
        let now = self.clock.now();
        let mut quotas = self.quotas.quotas();
        let admission = quotas.admit(&workspace.name, limit, class, id, rand::random(), now);
        if matches!(admission, Admission::Wait(_)) {
            self.quotas.queue_wake.notify_one();
        }
        let needs_reply = matches!(admission, Admission::Ask(_) | Admission::Wait(_));
        // Registered before the lock is released: other tasks take grants for this box.
        let replies = needs_reply.then(|| self.quotas.grant_replies.register(id));
        (admission, replies)
    }
}

/// A request that needs a grant of its quota's coordinator. Dropping it before the coordinator
/// has decided withdraws the request, so that no token is spent on a client that is gone.
struct GrantRequest<'a> {
    context: &'a Context,
    limit: QuotaLimit,
    class: QuotaClass,
    replies: GrantReceiver<'a>,
    /// What the coordinator may have queued or granted.
    undecided: UndecidedGrant,
    has_waited: bool,
}

impl<'a> GrantRequest<'a> {
    fn new(
        context: &'a Context,
        limit: QuotaLimit,
        class: QuotaClass,
        replies: GrantReceiver<'a>,
    ) -> Self {
        Self {
            context,
            limit,
            class,
            replies,
            undecided: UndecidedGrant::default(),
            has_waited: false,
        }
    }

    /// Returns whether the request may be sent, after as many messages and as long a wait as that
    /// takes: a query, one more if no reply comes, a wait, and one query after it.
    async fn decide(mut self, first: Admission) -> Admission {
        self.undecided.record_decision(&first);
        let mut admission = first;
        let mut is_last = false;
        loop {
            admission = match admission {
                Admission::Ask(query) => {
                    let next = self.query(query, is_last).await;
                    is_last = true;
                    next
                }
                Admission::Wait(queued) => {
                    let next = self.wait(queued).await;
                    is_last = true;
                    next
                }
                Admission::Send(message) => {
                    // This box's own share may have admitted it. The coordinator then keeps a
                    // grant whose reply was lost, which errs towards fewer requests.
                    self.undecided.take();
                    return Admission::Send(message);
                }
                refused @ Admission::Refuse { .. } => return refused,
            };
        }
    }

    /// Sends a query and waits for the reply.
    async fn query(&mut self, query: ToCoordinator, is_last: bool) -> Admission {
        self.undecided.record_query(&query);
        let datagram = Datagram::QuotaCount(query.count.clone());
        self.context.send_datagram(&datagram, query.address);
        let deadline = Instant::now() + REPLY_TIMEOUT;
        while let Some(reply) = self.replies.next_until(deadline).await {
            // After its wait, a request that still waits gets no more than this timeout.
            if self.has_waited && still_waits(&reply) {
                continue;
            }
            return self.handle_reply(&reply, query.address);
        }
        let now = self.context.clock.now();
        let mut quotas = self.context.quotas.quotas();
        quotas.handle_timeout(query, self.limit, is_last, now)
    }

    /// Waits for the reply that follows the one that the request waits.
    async fn wait(&mut self, queued: QueuedGrant) -> Admission {
        self.has_waited = true;
        let left_ms = queued.until.saturating_sub(self.context.clock.now());
        let deadline = Instant::now() + Duration::from_millis(left_ms);
        while let Some(reply) = self.replies.next_until(deadline).await {
            if still_waits(&reply) {
                continue;
            }
            return self.handle_reply(&reply, queued.address);
        }
        // The query that follows is the last one.
        self.class.max_wait_ms = 0;
        let now = self.context.clock.now();
        let mut quotas = self.context.quotas.quotas();
        quotas.handle_wait_end(queued, self.limit, rand::random(), now)
    }

    fn handle_reply(&mut self, reply: &QuotaReply, from: SocketAddr) -> Admission {
        let now = self.context.clock.now();
        let mut quotas = self.context.quotas.quotas();
        let admission = quotas.handle_grant_reply(reply, from, self.class, rand::random(), now);
        self.undecided.record_decision(&admission);
        admission
    }
}

impl Drop for GrantRequest<'_> {
    fn drop(&mut self) {
        if let Some(queued) = self.undecided.take() {
            self.context.withdraw_from_quota(&queued);
        }
    }
}

/// Whether a reply says that the request waits for its grant.
fn still_waits(reply: &QuotaReply) -> bool {
    reply.wait_ms.is_some() && !reply.is_granted
}
