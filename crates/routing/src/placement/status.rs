//! What placement believes of each service's upstreams, for operators.

use super::Placement;
use super::entry::Entry;
use brasswinch_types::{Millis, Service, UpstreamId};
use serde::{Deserialize, Serialize};

/// The upstreams of a service, each counted once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The service.
    pub service: Service,
    /// Take any request.
    pub usable: usize,
    /// Take a few requests: they were started or taken back lately.
    pub cold: usize,
    /// Name a limit that leaves this box no room now.
    pub held_off: usize,
    /// Asked this box for rest.
    pub resting: usize,
    /// Failed lately, and are tried now and then.
    pub left_out: usize,
    /// Say that they leave.
    pub leaving: usize,
    /// Stand in a zone that is to get nothing.
    pub evacuated: usize,
    /// Another upstream has their address.
    pub replaced: usize,
    /// Stay in use though their entries were lost, together with many others.
    pub kept: Vec<KeptUpstream>,
}

/// An upstream that stays in use without an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeptUpstream {
    /// The upstream.
    pub upstream: UpstreamId,
    /// How long ago the box heard that the entry was lost, in milliseconds.
    pub lost_ms: Millis,
    /// How much longer it stays in use, in milliseconds.
    pub kept_for_ms: Millis,
}

impl ServiceStatus {
    fn new(service: Service) -> Self {
        Self {
            service,
            usable: 0,
            cold: 0,
            held_off: 0,
            resting: 0,
            left_out: 0,
            leaving: 0,
            evacuated: 0,
            replaced: 0,
            kept: Vec::new(),
        }
    }

    fn count(&mut self, entry: &Entry, now: Millis) {
        if let Some(kept) = kept(entry, now) {
            return self.kept.push(kept);
        }
        let count = if entry.is_leaving() {
            &mut self.leaving
        } else if entry.is_evacuated {
            &mut self.evacuated
        } else if entry.is_replaced {
            &mut self.replaced
        } else if entry.said.is_resting(now) {
            &mut self.resting
        } else if !entry.is_usable(now) {
            &mut self.left_out
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

fn kept(entry: &Entry, now: Millis) -> Option<KeptUpstream> {
    let lost = entry.lost?;
    Some(KeptUpstream {
        upstream: entry.record.id.clone(),
        lost_ms: now.saturating_sub(lost.heard_at),
        kept_for_ms: lost.kept_until.saturating_sub(now),
    })
}

impl Placement {
    /// What is believed of each service's upstreams, by the services' names.
    pub fn status(&self, now: Millis) -> Vec<ServiceStatus> {
        let status = |(name, upstreams): (&Service, &super::ServiceUpstreams)| {
            let mut status = ServiceStatus::new(name.clone());
            let held = upstreams.entries.iter().filter(|entry| entry.is_held(now));
            held.for_each(|entry| status.count(entry, now));
            status
        };
        let mut all: Vec<ServiceStatus> = self.services.iter().map(status).collect();
        all.sort_by(|a, b| a.service.cmp(&b.service));
        all
    }
}
