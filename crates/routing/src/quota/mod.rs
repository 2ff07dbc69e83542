//! Enforces each workspace's quota across all boxes.
//!
//! One box, the workspace's coordinator, counts its requests. It is chosen by rendezvous hashing
//! among the serving boxes. A box first asks the coordinator for a grant before each request,
//! until the coordinator replies that the workspace is below its limit. From then on the box sends
//! requests without a grant and reports each one as it sends it, so that a workspace far below its
//! limit costs a message each way and no latency. Before the coordinator's bucket runs empty, it
//! broadcasts that the workspace is near its limit. Boxes then need a grant for each request
//! again, and the coordinator refuses at once what the bucket doesn't hold. A box that gets no
//! reply from the coordinator admits a fraction of its own share.
//!
//! Boxes lend the coordinator their shares of a quota ([`loan`]). The shares that all coordinators
//! and all isolated boxes use add up to one at most. While a workspace is near its limit, the
//! coordinator's bucket fills at the rate of the loans. In any time span `W`, the requests sent by
//! all boxes are then at most
//!
//! ```text
//! rate * W                                all shares, whoever holds them
//!   + BURST_FRACTION * burst              each bucket that was full when the limit was neared
//!   + INITIAL_FRACTION * overage          initial level of a new coordinator's bucket
//!   + LOCAL_BURST * N                     each box that is isolated or starts
//!   + MAX_PENDING_COUNTS * N              requests sent before boxes received the broadcast
//! ```
//!
//! where the bounds allow `overage = (rate * W + burst) * bounds.overage + bounds.slack` requests
//! beyond the quota ([`QuotaBounds`]). Quotas so small that the slack covers two coordinators with
//! the whole quota each need no loans: boxes send too seldom to lend.

mod admission;
mod bounds;
mod class;
mod coordinator;
mod counter;
mod fleet;
mod grants;
mod loan;
mod local;
mod local_class;
mod message;
mod queued;
mod status;
mod waiting;

use crate::fleet_size::KnownSize;
use crate::refusals::with_jitter;
use crate::workspace::QuotaLimit;
pub use admission::{Admission, QueuedReply, ToCoordinator};
pub use bounds::QuotaBounds;
use brasswinch_types::{BoxId, Millis, Workspace};
use class::MAX_WAIT_MS;
pub use class::{QueuedGrant, QuotaClass, UndecidedGrant};
use coordinator::QuotaCoordinator;
pub use fleet::QuotaBox;
pub use loan::QuotaLoan;
use local::LocalQuota;
pub use message::{QuotaCount, QuotaReply};
pub use status::{QuotaClassStatus, QuotaStatus};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// How long a box waits for the reply to a request that waits at the coordinator, beyond the
/// longest wait, in milliseconds: the timeout of any reply.
const QUEUED_REPLY_GRACE_MS: Millis = 60;

/// One box's state of all quotas.
#[derive(Debug)]
pub struct Quotas {
    me: BoxId,
    boxes: Vec<(QuotaBox, u64)>,
    /// Most boxes ever known at once, this one included.
    max_known_boxes: usize,
    /// Size of the fleet, including boxes that this one doesn't know.
    fleet_size: KnownSize,
    /// When the number of known boxes last grew.
    grew_at: Option<Millis>,
    is_settled: bool,
    bounds: QuotaBounds,
    /// When this box may lend. By then, loans from before its restart have expired.
    may_lend_from: Option<Millis>,
    /// Cache of coordinators; cleared when the boxes change.
    coordinators: HashMap<Workspace, Option<QuotaBox>>,
    local_quotas: HashMap<Workspace, LocalQuota>,
    coordinated: QuotaCoordinator,
}

impl Quotas {
    /// Creates the state of the box `me`.
    pub fn new(me: BoxId, bounds: QuotaBounds) -> Self {
        Self {
            me,
            boxes: Vec::new(),
            max_known_boxes: 0,
            fleet_size: KnownSize::default(),
            grew_at: None,
            is_settled: false,
            bounds,
            may_lend_from: None,
            coordinators: HashMap::new(),
            local_quotas: HashMap::new(),
            coordinated: QuotaCoordinator::new(bounds),
        }
    }

    /// Decides whether a request of `workspace` may be sent. `id` identifies the request; `random`
    /// is from 0 to 1.
    pub fn admit(
        &mut self,
        workspace: &Workspace,
        limit: QuotaLimit,
        class: QuotaClass,
        id: u64,
        random: f64,
        now: Millis,
    ) -> Admission {
        let is_settled = self.is_settled(now);
        let even_rate = self.even_rate(limit, now);
        let coordinator = self.coordinator(workspace).cloned();
        let local = self.local_quotas.entry(workspace.clone()).or_default();
        local.set_coordinator(coordinator.as_ref().map(|coordinator| coordinator.address));
        let local_class = local.class(class.class);
        if let Some(retry_after_ms) = local_class.refuse_locally(random, now) {
            return Admission::Refuse { retry_after_ms };
        }
        let Some(coordinator) = coordinator else {
            return local.admit_without_reply(class.class, even_rate, now);
        };
        if coordinator.id == self.me && !is_settled {
            return local.admit_without_reply(class.class, even_rate, now);
        }
        let count = QuotaCount {
            refused_locally: local_class.take_refused_locally(),
            ..QuotaCount::needing_grant(workspace, id, class)
        };
        if coordinator.id == self.me {
            let admission =
                self.admit_as_coordinator(count, coordinator.address, limit, random, now);
            return admission;
        }
        let loan = self.lend(workspace, coordinator.address, limit, now);
        let local = self.local_quotas.entry(workspace.clone()).or_default();
        let outgoing = ToCoordinator {
            address: coordinator.address,
            count: QuotaCount {
                // When half of 75 boxes were cut off, sending without a grant for 150 ms after
                // each change of coordinator made up 300 to 450 of the 2,409 requests allowed in a
                // window.
                needs_grant: local.must_ask(now) || !is_settled,
                loan,
                ..count
            },
        };
        if local.is_coordinator_unreachable(now) {
            return local.admit_unreachable(even_rate, outgoing, now);
        }
        local.expect_reply(now);
        let local_class = local.class(class.class);
        if outgoing.count.needs_grant {
            local_class.count_asked();
            return Admission::Ask(outgoing);
        }
        local_class.count_granted();
        Admission::Send(Some(outgoing))
    }

    /// Returns this box's even share of a quota, in requests per second. 0 at first: the number of
    /// boxes that admit requests on their own is unknown, so there is no rate to apply.
    fn even_rate(&mut self, limit: QuotaLimit, now: Millis) -> f64 {
        if !self.is_settled(now) {
            return 0.0;
        }
        limit.rate_per_s / self.sharing_boxes() as f64
    }

    /// Lends this box's share of a quota to the coordinator at `to`, where that is allowed.
    fn lend(
        &mut self,
        workspace: &Workspace,
        to: SocketAddr,
        limit: QuotaLimit,
        now: Millis,
    ) -> Option<QuotaLoan> {
        let may_lend = self.may_lend_from.is_some_and(|from| now >= from);
        if !may_lend || !self.is_settled(now) || !self.bounds.needs_loans(limit) {
            return None;
        }
        let sharing_boxes = self.sharing_boxes();
        self.local_quotas
            .get_mut(workspace)?
            .lend(to, sharing_boxes, now)
    }

    /// Admits a request where this box, at `address`, is the coordinator.
    fn admit_as_coordinator(
        &mut self,
        count: QuotaCount,
        address: SocketAddr,
        limit: QuotaLimit,
        random: f64,
        now: Millis,
    ) -> Admission {
        let count = QuotaCount {
            loan: self.lend(&count.workspace, address, limit, now),
            ..count
        };
        let local = self
            .local_quotas
            .entry(count.workspace.clone())
            .or_default();
        local.class(count.class).count_asked();
        let reply = self.coordinated.handle_count(&count, address, limit, now);
        let Some(reply) = reply else {
            return local.admit_without_reply(count.class, 0.0, now);
        };
        let class = QuotaClass::of_count(&count);
        self.handle_grant_reply(&reply, address, class, random, now)
    }

    /// Handles the reply of the coordinator at `from` to a request of `class` that needs a grant.
    /// Returns whether the request may be sent, waits for a second reply, or when the client
    /// should retry. If a former coordinator refused a request that may wait, its wait ends at
    /// once, so that [`Quotas::handle_wait_end`] asks the current one. After that query the caller
    /// passes a `class` whose requests may not wait, so that there is only one.
    pub fn handle_grant_reply(
        &mut self,
        reply: &QuotaReply,
        from: SocketAddr,
        class: QuotaClass,
        random: f64,
        now: Millis,
    ) -> Admission {
        let workspace = &reply.workspace;
        let me = self.me.clone();
        let coordinator = self.coordinator(workspace);
        let is_current = coordinator.is_some_and(|it| it.address == from);
        let is_own = is_current && coordinator.is_some_and(|it| it.id == me);
        let local = self.local_quotas.entry(workspace.clone()).or_default();
        local.handle_reply(reply, from, now);
        let local_class = local.class(class.class);
        if reply.wait_ms.is_some() && !reply.is_granted && class.max_wait_ms > 0 {
            local_class.wait(reply.id);
            let grace_ms = if is_own { 0 } else { QUEUED_REPLY_GRACE_MS };
            return Admission::Wait(QueuedGrant {
                id: reply.id,
                address: from,
                workspace: workspace.clone(),
                class,
                until: now + class.max_wait_ms.min(MAX_WAIT_MS) + grace_ms,
            });
        }
        if !is_current && !reply.is_granted && class.max_wait_ms > 0 {
            // The end of the wait asks the current coordinator.
            return Admission::Wait(QueuedGrant {
                id: reply.id,
                address: from,
                workspace: workspace.clone(),
                class,
                until: now,
            });
        }
        local_class.stop_waiting(reply.id, reply.is_granted);
        if reply.is_granted {
            local_class.count_granted();
            return Admission::Send(None);
        }
        local_class.count_refused();
        // A box asks itself at no cost. A former coordinator, which refuses all that wait, doesn't
        // know what the current one would grant.
        if is_current && !is_own {
            local_class.start_local_refusal(reply.retry_after_ms, random, now);
        }
        Admission::Refuse {
            retry_after_ms: with_jitter(reply.retry_after_ms, random),
        }
    }

    /// Handles a missing reply. Returns the message for one more attempt where a coordinator may
    /// be using this box's share; otherwise decides by this box's own share.
    pub fn handle_timeout(
        &mut self,
        message: ToCoordinator,
        limit: QuotaLimit,
        is_last: bool,
        now: Millis,
    ) -> Admission {
        let even_rate = limit.rate_per_s / self.sharing_boxes() as f64;
        let (class, workspace) = (message.count.class, message.count.workspace.clone());
        let local = self.local_quotas.entry(workspace).or_default();
        if local.is_lent(now) && !is_last {
            return Admission::Ask(message);
        }
        let local_class = local.class(class);
        local_class.stop_waiting(message.count.id, false);
        local.admit_without_reply(class, even_rate, now)
    }

    /// Handles a reply or broadcast of the box at `from` that no request waits for. Returns the
    /// loan that a broadcast asks for: a coordinator whose workspace is near its limit needs the
    /// boxes' shares.
    pub fn handle_reply(
        &mut self,
        reply: &QuotaReply,
        from: SocketAddr,
        limit: QuotaLimit,
        now: Millis,
    ) -> Option<ToCoordinator> {
        let coordinator = self.coordinator(&reply.workspace)?.address;
        let local = self
            .local_quotas
            .entry(reply.workspace.clone())
            .or_default();
        local.set_coordinator(Some(coordinator));
        local.handle_reply(reply, from, now);
        if reply.id != 0 || coordinator != from {
            return None;
        }
        let loan = self.lend(&reply.workspace, from, limit, now)?;
        let count = QuotaCount {
            loan: Some(loan),
            ..QuotaCount::without_reply(&reply.workspace, 0)
        };
        Some(ToCoordinator {
            address: from,
            count,
        })
    }

    /// Counts a request that the box at `from` has sent or asks to send, or withdraws. Returns
    /// `None` for a withdrawal, and while this box doesn't know whether it is the coordinator.
    pub fn handle_count(
        &mut self,
        count: &QuotaCount,
        from: SocketAddr,
        limit: QuotaLimit,
        now: Millis,
    ) -> Option<QuotaReply> {
        let is_settled = self.is_settled(now);
        if !is_settled {
            return None;
        }
        self.coordinated.handle_count(count, from, limit, now)
    }

    /// Corrects the count of a request of `workspace` that ran once more (`runs` 1) or did not run
    /// (`runs` -1). Returns the message to the coordinator.
    pub fn correct(
        &mut self,
        workspace: &Workspace,
        limit: QuotaLimit,
        runs: i32,
        now: Millis,
    ) -> Option<ToCoordinator> {
        let count = QuotaCount::without_reply(workspace, runs);
        let me = self.me.clone();
        let coordinator = self.coordinator(workspace)?;
        let address = coordinator.address;
        if coordinator.id == me {
            self.coordinated.handle_count(&count, address, limit, now);
            return None;
        }
        Some(ToCoordinator { address, count })
    }

    /// Grants requests that wait, and repeats due broadcasts; to be called every 20 ms.
    pub fn tick(&mut self, now: Millis) {
        self.coordinated.tick(now);
    }

    /// Takes the messages to broadcast to all other boxes.
    pub fn take_broadcasts(&mut self) -> Vec<QuotaReply> {
        self.coordinated.take_broadcasts()
    }

    /// Removes workspaces that no longer have a quota.
    pub fn retain(&mut self, is_limited: impl Fn(&Workspace) -> bool) {
        self.local_quotas
            .retain(|workspace, _| is_limited(workspace));
        self.coordinators
            .retain(|workspace, _| is_limited(workspace));
        self.coordinated.retain(is_limited);
    }

    /// Returns the status of each quota, ordered by workspace.
    pub fn status(&self, now: Millis) -> Vec<QuotaStatus> {
        let local_quotas: BTreeMap<&Workspace, &LocalQuota> = self.local_quotas.iter().collect();
        let status = |(workspace, local): (&Workspace, &LocalQuota)| {
            let classes = local.class_status();
            let refused = classes
                .iter()
                .map(|class| class.refused + class.refused_locally);
            QuotaStatus {
                workspace: workspace.clone(),
                sent: classes.iter().map(|class| class.granted).sum(),
                refused: refused.sum(),
                is_near_limit: local.is_near_limit(),
                is_coordinator_unreachable: local.is_coordinator_unreachable(now),
                level: self.coordinated.level(workspace),
                classes,
            }
        };
        local_quotas.into_iter().map(status).collect()
    }
}
