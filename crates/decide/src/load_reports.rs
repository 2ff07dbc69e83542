//! Load reports between boxes, and which of them are worth sending.
//!
//! Heartbeats are many; most loads stay about as they were. A report is sent when the
//! idle part changed by an eighth of the whole, came to or from nothing, or when a full
//! report is due, which makes good what a new or lossy link has missed.

use brasswinch_types::ServiceTag;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A change of idle slots by this part of all is worth a report.
const WORTH_PART: u32 = 8;

/// Every so many heartbeats all loads are sent.
const FULL_EVERY: u32 = 8;

/// The load of one service at one box or in one zone. A short array on links.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Wire", into = "Wire")]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceTag,
    /// Slots that work could be started on.
    pub idle: u32,
    /// All slots.
    pub total: u32,
}

/// Service, idle, total.
type Wire = (ServiceTag, u32, u32);

impl From<Wire> for ServiceLoad {
    fn from((service, idle, total): Wire) -> Self {
        Self {
            service,
            idle,
            total,
        }
    }
}

impl From<ServiceLoad> for Wire {
    fn from(load: ServiceLoad) -> Self {
        (load.service, load.idle, load.total)
    }
}

/// Chooses the loads to send.
#[derive(Clone, Debug, Default)]
pub struct LoadReporter {
    sent: BTreeMap<ServiceTag, ServiceLoad>,
    heartbeats: u32,
}

impl LoadReporter {
    /// The loads to send with the next heartbeat.
    pub fn due(&mut self, loads: Vec<ServiceLoad>) -> Vec<ServiceLoad> {
        let full = self.heartbeats.is_multiple_of(FULL_EVERY);
        self.heartbeats = self.heartbeats.wrapping_add(1);
        let due: Vec<ServiceLoad> = loads
            .into_iter()
            .filter(|load| full || self.is_worth_sending(load))
            .collect();
        for load in &due {
            self.sent.insert(load.service, *load);
        }
        due
    }

    /// Makes the next report a full one, for a link that is new.
    pub fn send_all_next(&mut self) {
        self.heartbeats = 0;
    }

    fn is_worth_sending(&self, load: &ServiceLoad) -> bool {
        let Some(sent) = self.sent.get(&load.service) else {
            return true;
        };
        let worth = (load.total / WORTH_PART).max(1);
        sent.total != load.total
            || (sent.idle == 0) != (load.idle == 0)
            || sent.idle.abs_diff(load.idle) >= worth
    }
}
