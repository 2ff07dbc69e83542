//! Requests that wait for a grant, as seen by their box.

use super::grants::RequestKey;
use super::{
    Admission, QueuedGrant, QueuedReply, QuotaBox, QuotaClass, QuotaCount, Quotas, ToCoordinator,
};
use crate::workspace::QuotaLimit;
use brasswinch_types::Millis;

impl Quotas {
    /// Handles that the wait of `queued` ended without a reply. Returns the last query to the
    /// coordinator, with the same id, whose missing reply is passed to
    /// [`Quotas::handle_timeout`] with `is_last`; or the decision if this box is the coordinator.
    pub fn handle_wait_end(
        &mut self,
        queued: QueuedGrant,
        limit: QuotaLimit,
        random: f64,
        now: Millis,
    ) -> Admission {
        let class = QuotaClass {
            max_wait_ms: 0,
            ..queued.class
        };
        let is_settled = self.is_settled(now);
        let even_rate = self.even_rate(limit, now);
        let coordinator = self.coordinator(&queued.workspace).cloned();
        let me = self.me.clone();
        let local = self
            .local_quotas
            .entry(queued.workspace.clone())
            .or_default();
        let is_known = |it: &QuotaBox| it.id != me || is_settled;
        let Some(coordinator) = coordinator.filter(is_known) else {
            local.class(class.class).stop_waiting(queued.id, false);
            return local.admit_without_reply(class.class, even_rate, now);
        };
        let count = QuotaCount::needing_grant(&queued.workspace, queued.id, class);
        if coordinator.id == me {
            return self.admit_as_coordinator(count, coordinator.address, limit, random, now);
        }
        local.set_coordinator(Some(coordinator.address));
        local.expect_reply(now);
        Admission::Ask(ToCoordinator {
            address: coordinator.address,
            count,
        })
    }

    /// Withdraws a request whose client has disconnected. Returns the message to the coordinator,
    /// unless that is this box.
    pub fn withdraw(&mut self, queued: &QueuedGrant, now: Millis) -> Option<ToCoordinator> {
        let workspace = &queued.workspace;
        if let Some(local) = self.local_quotas.get_mut(workspace) {
            local
                .class(queued.class.class)
                .stop_waiting(queued.id, false);
        }
        let is_own = self
            .boxes
            .iter()
            .any(|(quota_box, _)| quota_box.id == self.me && quota_box.address == queued.address);
        if is_own {
            let key = RequestKey {
                from: queued.address,
                id: queued.id,
            };
            self.coordinated.withdraw(workspace, key, now);
            return None;
        }
        let count = QuotaCount {
            id: queued.id,
            withdraw: true,
            ..QuotaCount::without_reply(workspace, 0)
        };
        Some(ToCoordinator {
            address: queued.address,
            count,
        })
    }

    /// Takes the replies to requests that waited for a grant, to be sent after each count, each
    /// request of this box and each tick. A reply for this box itself is delivered to its own
    /// pending requests.
    pub fn take_grants(&mut self, now: Millis) -> Vec<QueuedReply> {
        let mut replies = self.coordinated.take_replies();
        for queued in &mut replies {
            queued.reply.stamp = now;
        }
        replies
    }

    /// Returns whether requests wait for a grant at this box, so that [`Quotas::tick`] has to be
    /// called every 20 ms.
    pub fn has_waiting(&self) -> bool {
        self.coordinated.has_waiting()
    }

    /// Returns whether this box refused requests since the last call because too many wait for a
    /// grant.
    pub fn take_queue_full(&mut self) -> bool {
        self.coordinated.take_was_full()
    }
}
