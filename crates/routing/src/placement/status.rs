//! The state of each service's upstreams, for operators.

use super::Placement;
use super::entry::Entry;
use super::fair_share::CountedShare;
use brasswinch_types::{Millis, Service, UpstreamId};
use serde::{Deserialize, Serialize};

/// Upstream counts of a service; each upstream is counted once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The service.
    pub service: Service,
    /// Upstreams that accept any request.
    pub usable: usize,
    /// Upstreams that get few requests: they started recently, or their zone was put back into
    /// service recently.
    pub cold: usize,
    /// Upstreams whose limit leaves this box no capacity now.
    pub held_off: usize,
    /// Upstreams that asked this box to back off.
    #[serde(rename = "resting")]
    pub backing_off: usize,
    /// Upstreams that failed recently and are probed now and then.
    #[serde(rename = "left_out")]
    pub excluded: usize,
    /// Upstreams that announced that they are leaving.
    pub leaving: usize,
    /// Upstreams in an evacuated zone.
    pub evacuated: usize,
    /// Upstreams whose address another upstream now uses.
    pub replaced: usize,
    /// Upstreams that stay in use although their entries were lost together with many others.
    #[serde(rename = "kept")]
    pub retained: Vec<RetainedUpstream>,
    /// Requests of workspaces over their fair share that got shorter queues.
    #[serde(default)]
    pub share_limited: u64,
    /// Workspaces that compete for the service while it is overloaded, at most 256, those with
    /// most admitted requests first; otherwise empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<CountedShare>,
}

/// An upstream that is retained without an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetainedUpstream {
    /// The upstream.
    pub upstream: UpstreamId,
    /// How long ago this box learned that the entry was lost, in milliseconds.
    pub lost_ms: Millis,
    /// How much longer it stays in use, in milliseconds.
    #[serde(rename = "kept_for_ms")]
    pub retained_for_ms: Millis,
}

impl ServiceStatus {
    fn new(service: Service) -> Self {
        Self {
            service,
            usable: 0,
            cold: 0,
            held_off: 0,
            backing_off: 0,
            excluded: 0,
            leaving: 0,
            evacuated: 0,
            replaced: 0,
            retained: Vec::new(),
            share_limited: 0,
            workspaces: Vec::new(),
        }
    }

    fn count(&mut self, entry: &Entry, now: Millis) {
        if let Some(retained) = retained(entry, now) {
            return self.retained.push(retained);
        }
        let count = if entry.is_leaving() {
            &mut self.leaving
        } else if entry.is_evacuated {
            &mut self.evacuated
        } else if entry.is_replaced {
            &mut self.replaced
        } else if entry.signals.is_backing_off(now) {
            &mut self.backing_off
        } else if !entry.is_usable(now) {
            &mut self.excluded
        } else if entry.is_held_off(now) {
            &mut self.held_off
        } else if entry.is_cold(now) {
            &mut self.cold
        } else {
            &mut self.usable
        };
        *count += 1;
    }
}

fn retained(entry: &Entry, now: Millis) -> Option<RetainedUpstream> {
    let lost = entry.lost?;
    Some(RetainedUpstream {
        upstream: entry.record.id.clone(),
        lost_ms: now.saturating_sub(lost.detected_at),
        retained_for_ms: lost.retained_until.saturating_sub(now),
    })
}

impl Placement {
    /// Returns the upstream status of each service, sorted by service name.
    pub fn status(&self, now: Millis) -> Vec<ServiceStatus> {
        let status = |(name, upstreams): (&Service, &super::ServiceUpstreams)| {
            let mut status = ServiceStatus::new(name.clone());
            status.share_limited = upstreams.share_limited;
            status.workspaces = upstreams.shares.shares(now);
            let current = upstreams
                .entries
                .iter()
                .filter(|entry| entry.is_current(now));
            current.for_each(|entry| status.count(entry, now));
            status
        };
        let mut all: Vec<ServiceStatus> = self.services.iter().map(status).collect();
        all.sort_by(|a, b| a.service.cmp(&b.service));
        all
    }
}
