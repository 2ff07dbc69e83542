//! The boxes that share the quotas, and which of them coordinates which quota.

use super::Quotas;
use super::loan::LEASE_MS;
use crate::fleet_size::KnownSize;
use crate::rendezvous::{object_hash, weighted_score};
use brasswinch_types::{BoxId, Millis, Workspace};
use std::net::SocketAddr;

/// Time without a newly discovered box after which a box that has started knows all boxes: they
/// exchange their member lists at once, and a lost message is sent again within 300 ms.
const SETTLE_MS: Millis = 500;

/// A serving box, as seen by quotas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaBox {
    /// The box.
    pub id: BoxId,
    /// Address for messages of other boxes.
    pub address: SocketAddr,
}

impl Quotas {
    /// Sets the fleet's size, this box included.
    pub fn set_fleet_size(&mut self, fleet_size: KnownSize) {
        self.fleet_size = fleet_size;
    }

    /// Returns the number of boxes that share each quota, at least 1.
    pub(super) fn sharing_boxes(&self) -> usize {
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
                .set_is_coordinator(&workspace, is_coordinator, now);
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

    pub(super) fn is_coordinator(&mut self, workspace: &Workspace) -> bool {
        let me = self.me.clone();
        self.coordinator(workspace)
            .is_some_and(|coordinator| coordinator.id == me)
    }

    /// Returns the addresses of the other boxes.
    pub fn others(&self) -> impl Iterator<Item = SocketAddr> {
        let others = self
            .boxes
            .iter()
            .filter(|(quota_box, _)| quota_box.id != self.me);
        others.map(|(quota_box, _)| quota_box.address)
    }
}
