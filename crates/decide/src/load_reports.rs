//! Load reports between boxes, and the choice of the loads to send.
//!
//! Heartbeats are frequent and most loads barely change between them. A load is sent when
//! its idle slots changed by an eighth of the total, when they reached or left zero, when
//! the total changed, or when a full report is due. Full reports repair what a new or
//! lossy link has missed.

use brasswinch_types::ServiceTag;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A load is sent when its idle slots changed by at least 1/`MIN_CHANGE_DIVISOR` of the total.
const MIN_CHANGE_DIVISOR: u32 = 8;

/// Number of heartbeats from one full report to the next.
const FULL_REPORT_HEARTBEATS: u32 = 8;

/// The load of one service at one box or in one zone. Serialized as a short array.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Wire", into = "Wire")]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceTag,
    /// Slots on which a request can start now.
    pub idle: u32,
    /// Total slots.
    pub total: u32,
}

/// The serialized form: service, idle, total.
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

/// Chooses the loads to send with each heartbeat.
#[derive(Clone, Debug, Default)]
pub struct LoadReporter {
    sent: BTreeMap<ServiceTag, ServiceLoad>,
    heartbeats: u32,
}

impl LoadReporter {
    /// Returns the loads to send with the next heartbeat and records them as sent.
    pub fn due(&mut self, loads: Vec<ServiceLoad>) -> Vec<ServiceLoad> {
        let full = self.heartbeats.is_multiple_of(FULL_REPORT_HEARTBEATS);
        self.heartbeats = self.heartbeats.wrapping_add(1);
        let due: Vec<ServiceLoad> = loads
            .into_iter()
            .filter(|load| full || self.has_changed_enough(load))
            .collect();
        for load in &due {
            self.sent.insert(load.service, *load);
        }
        due
    }

    /// Makes the next report a full one, for a new link.
    pub fn send_all_next(&mut self) {
        self.heartbeats = 0;
    }

    fn has_changed_enough(&self, load: &ServiceLoad) -> bool {
        let Some(sent) = self.sent.get(&load.service) else {
            return true;
        };
        let min_change = (load.total / MIN_CHANGE_DIVISOR).max(1);
        sent.total != load.total
            || (sent.idle == 0) != (load.idle == 0)
            || sent.idle.abs_diff(load.idle) >= min_change
    }
}
