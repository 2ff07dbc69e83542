//! The classes of requests that compete for a workspace's quota.

use super::message::QuotaCount;
use super::{Admission, ToCoordinator};
use crate::rendezvous::object_hash;
use brasswinch_types::{Millis, Workspace};
use std::net::SocketAddr;

/// Longest time that a request waits for a grant, in milliseconds. Beyond it, waiting is worth less
/// to the client than a refusal with a retry time.
pub(super) const MAX_WAIT_MS: Millis = 500;

/// Fraction of a route's latency goal, and of the time to a request's deadline, that the request
/// may wait for a grant: 1 / this number.
const WAIT_DIVISOR: Millis = 4;

/// A request's class: the requests of one route of a workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaClass {
    /// Hash of the route's name; 0 if unknown.
    pub class: u64,
    /// The route's priority; 0 is the most urgent.
    pub priority: u32,
    /// Longest time that the request may wait for a grant, in milliseconds; 0 if it may not wait.
    pub max_wait_ms: Millis,
}

impl QuotaClass {
    /// Returns the class of the route `name`, whose requests may not wait.
    pub fn of_route(name: &str, priority: u32) -> Self {
        Self {
            // 0 stands for an unknown route.
            class: object_hash("quota-class", name.as_bytes()).max(1),
            priority,
            max_wait_ms: 0,
        }
    }

    /// Lets the request wait for as long as its latency goal and the time to its deadline allow,
    /// both in milliseconds.
    #[must_use]
    pub fn waiting_within(self, latency_goal_ms: Millis, left_ms: Millis) -> Self {
        let max_wait_ms = latency_goal_ms.min(left_ms) / WAIT_DIVISOR;
        Self {
            max_wait_ms: max_wait_ms.min(MAX_WAIT_MS),
            ..self
        }
    }

    /// Returns the class of the request that `count` reports.
    pub(super) fn of_count(count: &QuotaCount) -> Self {
        Self {
            class: count.class,
            priority: count.priority,
            max_wait_ms: count.max_wait_ms.min(MAX_WAIT_MS),
        }
    }
}

/// A request that waits for a grant at its workspace's coordinator.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedGrant {
    /// The request's id, which the reply repeats.
    pub id: u64,
    /// The coordinator's address; this box's own if it is the coordinator.
    pub address: SocketAddr,
    /// The workspace.
    pub workspace: Workspace,
    /// The request's class.
    pub class: QuotaClass,
    /// When this box stops waiting for the reply and calls [`super::Quotas::handle_wait_end`].
    pub until: Millis,
}

impl From<&ToCoordinator> for QueuedGrant {
    /// Returns the grant that the coordinator may have queued for the request `message` asks
    /// about, for its withdrawal before a reply came.
    fn from(message: &ToCoordinator) -> Self {
        Self {
            id: message.count.id,
            address: message.address,
            workspace: message.count.workspace.clone(),
            class: QuotaClass::of_count(&message.count),
            until: 0,
        }
    }
}

/// What a coordinator may still have queued or granted for one request, to be withdrawn if the
/// request ends without being sent.
#[derive(Debug, Default)]
pub struct UndecidedGrant {
    queued: Option<QueuedGrant>,
    /// Queries sent to the coordinator that `queued` names.
    queries: u32,
}

impl UndecidedGrant {
    /// Records that `query` is sent.
    pub fn record_query(&mut self, query: &ToCoordinator) {
        let is_repeat = self
            .queued
            .as_ref()
            .is_some_and(|queued| queued.address == query.address);
        self.queries = if is_repeat { self.queries + 1 } else { 1 };
        self.queued = Some(QueuedGrant::from(query));
    }

    /// Records the decision that a coordinator's reply led to. A refusal may answer an earlier
    /// query than the last one, which the coordinator may queue or grant, so it is final only if
    /// one query was sent.
    pub fn record_decision(&mut self, admission: &Admission) {
        match admission {
            Admission::Wait(queued) => self.queued = Some(queued.clone()),
            Admission::Refuse { .. } if self.queries > 1 => {}
            Admission::Send(_) | Admission::Refuse { .. } => self.queued = None,
            Admission::Ask(_) => {}
        }
    }

    /// Takes what is to be withdrawn.
    pub fn take(&mut self) -> Option<QueuedGrant> {
        self.queued.take()
    }
}
