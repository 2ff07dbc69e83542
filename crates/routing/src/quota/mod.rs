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

mod class;
mod coordinator;
mod loan;
mod local;
mod message;
mod status;

use crate::fleet_size::KnownSize;
use crate::refusals::with_jitter;
use crate::rendezvous::{object_hash, weighted_score};
use crate::workspace::QuotaLimit;
use brasswinch_types::{BoxId, Millis, Workspace};
pub use class::{QueuedGrant, QuotaClass};
use coordinator::QuotaCoordinator;
use loan::LEASE_MS;
pub use loan::QuotaLoan;
use local::LocalQuota;
pub use message::{QuotaCount, QuotaReply};
pub use status::{QuotaClassStatus, QuotaStatus};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Time without a newly discovered box after which a box that has started knows all boxes: they
/// exchange their member lists at once, and a lost message is sent again within 300 ms.
const SETTLE_MS: Millis = 500;

/// How far requests may exceed a quota, as set by operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window in which requests are counted, in seconds.
    pub window_s: f64,
    /// Fraction of the window's allowed requests by which they may be exceeded.
    pub overage: f64,
    /// Requests by which any quota may be exceeded in a window, in addition to the fraction.
    pub slack: f64,
}

impl QuotaBounds {
    /// Returns how many requests beyond `limit` may run in a window.
    pub fn overage(&self, limit: QuotaLimit) -> f64 {
        self.in_window(limit) * self.overage + self.slack
    }

    /// Returns how many requests `limit` allows in a window.
    fn in_window(&self, limit: QuotaLimit) -> f64 {
        limit.rate_per_s * self.window_s + limit.burst
    }

    /// Whether two boxes that each grant the whole quota would exceed what is allowed.
    fn needs_loans(&self, limit: QuotaLimit) -> bool {
        self.in_window(limit) > self.overage(limit)
    }
}

/// A serving box, as seen by quotas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaBox {
    /// The box.
    pub id: BoxId,
    /// Address for messages of other boxes.
    pub address: SocketAddr,
}

/// A message to a workspace's coordinator.
#[derive(Clone, Debug, PartialEq)]
pub struct ToCoordinator {
    /// The coordinator's address.
    pub address: SocketAddr,
    /// The message.
    pub count: QuotaCount,
}

/// The decision about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// The request may be sent. The message goes to the coordinator, unless that is this box.
    Send(Option<ToCoordinator>),
    /// The coordinator must grant the request first.
    Ask(ToCoordinator),
    /// The request waits for a grant at the coordinator. The reply has its id: from another box it
    /// arrives as a datagram, from this one in [`Quotas::take_grants`], which may happen before
    /// the caller of [`Quotas::admit`] handles this variant.
    Wait(QueuedGrant),
    /// The request must not be sent.
    Refuse {
        /// Time until a request may be admitted again, in milliseconds.
        retry_after_ms: Millis,
    },
}

/// A reply about a request that waited for a grant.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedReply {
    /// The address of the box that waits; this box's own for its own requests.
    pub address: SocketAddr,
    /// The reply.
    pub reply: QuotaReply,
}

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

    /// Sets the fleet's size, this box included.
    pub fn set_fleet_size(&mut self, fleet_size: KnownSize) {
        self.fleet_size = fleet_size;
    }

    /// Returns the number of boxes that share each quota, at least 1.
    fn sharing_boxes(&self) -> usize {
        let boxes = match self.fleet_size {
            KnownSize::Reported(boxes) => boxes,
            KnownSize::Observed | KnownSize::Pending => self.max_known_boxes,
        };
        boxes.max(1)
    }

    /// Sets the serving boxes, including this one if it serves, and the number of known boxes,
    /// serving or not.
    pub fn set_boxes(&mut self, boxes: Vec<QuotaBox>, known_boxes: usize, now: Millis) {
        self.may_lend_from.get_or_insert(now + LEASE_MS);
        let known_boxes = known_boxes.max(boxes.len());
        if known_boxes > self.max_known_boxes {
            self.grew_at = Some(now);
        }
        self.max_known_boxes = self.max_known_boxes.max(known_boxes);
        let reachable_fraction = boxes.len() as f64 / self.sharing_boxes() as f64;
        self.coordinated.set_reachable_fraction(reachable_fraction);
        if self.boxes.iter().map(|(quota_box, _)| quota_box).eq(&boxes) {
            return;
        }
        let hashed = |quota_box: QuotaBox| {
            let hash = object_hash("quota", quota_box.id.as_str().as_bytes());
            (quota_box, hash)
        };
        self.boxes = boxes.into_iter().map(hashed).collect();
        self.coordinators.clear();
        let coordinated: Vec<Workspace> = self.coordinated.workspaces().cloned().collect();
        for workspace in coordinated {
            let is_coordinator = self.is_coordinator(&workspace);
            self.coordinated
                .set_is_coordinator(&workspace, is_coordinator);
        }
    }

    /// Whether this box knows the fleet. After its start it discovers the other boxes one by one,
    /// and until then it would grant alone what all boxes together may grant. A box that knows no
    /// other may be cut off.
    pub fn is_settled(&mut self, now: Millis) -> bool {
        let knows_size = match self.fleet_size {
            KnownSize::Reported(_) => true,
            KnownSize::Pending => false,
            KnownSize::Observed => self.max_known_boxes > 1,
        };
        let settled_at = self.grew_at.map(|grew_at| grew_at + SETTLE_MS);
        let is_quiet = settled_at.is_some_and(|settled_at| now >= settled_at);
        self.is_settled |= knows_size && is_quiet;
        self.is_settled
    }

    /// Returns the coordinator of `workspace`; `None` while no serving box is known.
    pub fn coordinator(&mut self, workspace: &Workspace) -> Option<&QuotaBox> {
        let boxes = &self.boxes;
        let coordinator = self
            .coordinators
            .entry(workspace.clone())
            .or_insert_with(|| {
                let object = object_hash("workspace", workspace.as_str().as_bytes());
                let score = |(_, hash): &&(QuotaBox, u64)| weighted_score(object, *hash, 1.0);
                let highest = boxes.iter().max_by(|a, b| score(a).total_cmp(&score(b)))?;
                Some(highest.0.clone())
            });
        coordinator.as_ref()
    }

    fn is_coordinator(&mut self, workspace: &Workspace) -> bool {
        let me = self.me.clone();
        self.coordinator(workspace)
            .is_some_and(|coordinator| coordinator.id == me)
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
        let even_rate = limit.rate_per_s / self.sharing_boxes() as f64;
        let is_settled = self.is_settled(now);
        let coordinator = self.coordinator(workspace).cloned();
        let local = self.local_quotas.entry(workspace.clone()).or_default();
        local.set_coordinator(coordinator.as_ref().map(|coordinator| coordinator.address));
        if let Some(retry_after_ms) = local.refuse_locally(random, now) {
            return Admission::Refuse { retry_after_ms };
        }
        // The number of boxes that admit requests on their own is unknown at first, so there is no
        // rate to apply.
        let even_rate = if is_settled { even_rate } else { 0.0 };
        let Some(coordinator) = coordinator else {
            return local.admit_without_reply(even_rate, now);
        };
        if coordinator.id == self.me && !is_settled {
            return local.admit_without_reply(even_rate, now);
        }
        if coordinator.id == self.me {
            return self.admit_as_coordinator(workspace, coordinator.address, limit, random, now);
        }
        let loan = self.lend(workspace, coordinator.address, limit, now);
        let local = self.local_quotas.entry(workspace.clone()).or_default();
        let outgoing = ToCoordinator {
            address: coordinator.address,
            count: QuotaCount {
                id,
                workspace: workspace.clone(),
                runs: 1,
                // When half of 75 boxes were cut off, sending without a grant for 150 ms after
                // each change of coordinator made up 300 to 450 of the 2,409 requests allowed in a
                // window.
                needs_grant: local.must_ask(now) || !is_settled,
                refused_locally: local.take_refused_locally(),
                loan,
                class: class.class,
                priority: class.priority,
                max_wait_ms: class.max_wait_ms,
                withdraw: false,
            },
        };
        if local.is_coordinator_unreachable(now) {
            return local.admit_unreachable(even_rate, Some(outgoing), now);
        }
        local.expect_reply(now);
        if outgoing.count.needs_grant {
            return Admission::Ask(outgoing);
        }
        local.count_sent();
        Admission::Send(Some(outgoing))
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
        workspace: &Workspace,
        address: SocketAddr,
        limit: QuotaLimit,
        random: f64,
        now: Millis,
    ) -> Admission {
        let count = QuotaCount {
            id: 0,
            workspace: workspace.clone(),
            runs: 1,
            needs_grant: true,
            refused_locally: 0,
            loan: self.lend(workspace, address, limit, now),
            class: 0,
            priority: 0,
            max_wait_ms: 0,
            withdraw: false,
        };
        let reply = self.coordinated.handle_count(&count, address, limit, now);
        let local = self.local_quotas.entry(workspace.clone()).or_default();
        local.handle_reply(&reply, address, now);
        if reply.is_granted {
            local.count_sent();
            return Admission::Send(None);
        }
        local.count_refused();
        Admission::Refuse {
            retry_after_ms: with_jitter(reply.retry_after_ms, random),
        }
    }

    /// Handles the reply of the coordinator at `from` to a request of `class` that needs a grant.
    /// Returns whether the request may be sent, waits for a second reply, or when the client
    /// should retry.
    pub fn handle_grant_reply(
        &mut self,
        reply: &QuotaReply,
        from: SocketAddr,
        _class: QuotaClass,
        random: f64,
        now: Millis,
    ) -> Admission {
        let local = self
            .local_quotas
            .entry(reply.workspace.clone())
            .or_default();
        local.handle_reply(reply, from, now);
        if reply.is_granted {
            local.count_sent();
            return Admission::Send(None);
        }
        local.start_local_refusal(random, now);
        local.count_refused();
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
        let workspace = message.count.workspace.clone();
        let local = self.local_quotas.entry(workspace).or_default();
        if local.is_lent(now) && !is_last {
            return Admission::Ask(message);
        }
        local.admit_without_reply(even_rate, now)
    }

    /// Handles that the wait of `queued` ended without a reply. Returns the last query to the
    /// coordinator, with the same id, whose missing reply is passed to
    /// [`Quotas::handle_timeout`] with `is_last`; or the decision if this box is the coordinator.
    pub fn handle_wait_end(
        &mut self,
        queued: QueuedGrant,
        _limit: QuotaLimit,
        random: f64,
        _now: Millis,
    ) -> Admission {
        Admission::Refuse {
            retry_after_ms: with_jitter(queued.class.max_wait_ms, random),
        }
    }

    /// Withdraws a request whose client has disconnected. Returns the message to the coordinator,
    /// unless that is this box.
    pub fn withdraw(&mut self, queued: &QueuedGrant, _now: Millis) -> Option<ToCoordinator> {
        let me = self.me.clone();
        if self.coordinator(&queued.workspace)?.id == me {
            return None;
        }
        Some(ToCoordinator {
            address: queued.address,
            count: QuotaCount {
                id: queued.id,
                workspace: queued.workspace.clone(),
                runs: 0,
                needs_grant: false,
                refused_locally: 0,
                loan: None,
                class: queued.class.class,
                priority: queued.class.priority,
                max_wait_ms: 0,
                withdraw: true,
            },
        })
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
            id: 0,
            workspace: reply.workspace.clone(),
            runs: 0,
            needs_grant: false,
            refused_locally: 0,
            loan: Some(loan),
            class: 0,
            priority: 0,
            max_wait_ms: 0,
            withdraw: false,
        };
        Some(ToCoordinator {
            address: from,
            count,
        })
    }

    /// Counts a request that the box at `from` has sent or asks to send. Returns `None` while this
    /// box doesn't know whether it is the coordinator.
    pub fn handle_count(
        &mut self,
        count: &QuotaCount,
        from: SocketAddr,
        limit: QuotaLimit,
        now: Millis,
    ) -> Option<QuotaReply> {
        let is_settled = self.is_settled(now);
        is_settled.then(|| self.coordinated.handle_count(count, from, limit, now))
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
        let count = QuotaCount {
            id: 0,
            workspace: workspace.clone(),
            runs,
            needs_grant: false,
            refused_locally: 0,
            loan: None,
            class: 0,
            priority: 0,
            max_wait_ms: 0,
            withdraw: false,
        };
        let me = self.me.clone();
        let coordinator = self.coordinator(workspace)?;
        let address = coordinator.address;
        if coordinator.id == me {
            self.coordinated.handle_count(&count, address, limit, now);
            return None;
        }
        Some(ToCoordinator { address, count })
    }

    /// Repeats due broadcasts; to be called every few tens of milliseconds.
    pub fn tick(&mut self, now: Millis) {
        self.coordinated.tick(now);
    }

    /// Takes the replies to requests that waited for a grant, to be sent after each count, each
    /// request of this box and each tick. A reply for this box itself is delivered to its own
    /// pending requests.
    pub fn take_grants(&mut self, _now: Millis) -> Vec<QueuedReply> {
        Vec::new()
    }

    /// Takes the messages to broadcast to all other boxes.
    pub fn take_broadcasts(&mut self) -> Vec<QuotaReply> {
        self.coordinated.take_broadcasts()
    }

    /// Returns the addresses of the other boxes.
    pub fn others(&self) -> impl Iterator<Item = SocketAddr> {
        let others = self
            .boxes
            .iter()
            .filter(|(quota_box, _)| quota_box.id != self.me);
        others.map(|(quota_box, _)| quota_box.address)
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
        let status = |(workspace, local): (&Workspace, &LocalQuota)| QuotaStatus {
            workspace: workspace.clone(),
            sent: local.sent_total(),
            refused: local.refused_total(),
            is_near_limit: local.is_near_limit(),
            is_coordinator_unreachable: local.is_coordinator_unreachable(now),
            level: self.coordinated.level(workspace),
            classes: Vec::new(),
        };
        local_quotas.into_iter().map(status).collect()
    }
}
