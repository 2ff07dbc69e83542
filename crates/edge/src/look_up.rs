//! Answers directory look-ups: which boxes a client may use.

use crate::context::Context;
use brasswinch_routing::{CandidateBox, Liveness, MemberRecord, MemberState, select_boxes};
use brasswinch_types::{Region, Zone};
use std::net::SocketAddr;

/// How long a client may cache a look-up's answer, unless the configured bound is shorter.
const LOOKUP_TTL_S: f64 = 2.0;

/// The answer to a directory look-up.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectoryAnswer {
    /// Addresses of boxes, in no order of preference.
    pub addresses: Vec<SocketAddr>,
    /// How long the answer may be cached, in seconds.
    pub ttl_s: f64,
}

impl Context {
    /// Returns boxes for a client of `zone`, chosen from the serving boxes of its region, or of all
    /// regions if none is known there.
    pub fn directory_answer(&self, zone: &Zone, region: &Region) -> DirectoryAnswer {
        let swim = self.swim();
        let mut all: Vec<&MemberRecord> = swim
            .members()
            .filter(|member| member.liveness == Liveness::Alive)
            .map(|member| &member.record)
            .filter(|record| record.state == MemberState::Serving)
            .collect();
        if self.is_ready() || all.is_empty() {
            all.push(swim.me());
        }
        let region = self.settings.zones.get(zone).unwrap_or(region);
        let is_near =
            |record: &&&MemberRecord| self.settings.zones.get(&record.zone) == Some(region);
        let mut near: Vec<CandidateBox> = all
            .iter()
            .filter(is_near)
            .map(|record| candidate_box(record))
            .collect();
        if near.is_empty() {
            near = all.iter().map(|record| candidate_box(record)).collect();
        }
        drop(swim);
        let selection = select_boxes(&near, zone, &mut rand::rng());
        self.metrics.count_look_up(&selection);
        DirectoryAnswer {
            addresses: selection.addresses,
            ttl_s: LOOKUP_TTL_S.min(self.settings.bounds.max_lookup_ttl_s),
        }
    }
}

fn candidate_box(record: &MemberRecord) -> CandidateBox {
    CandidateBox {
        address: record.caller_address,
        zone: record.zone.clone(),
        resources: record.resources(),
        utilization: record.utilization,
        requests_per_s: record.requests_per_s,
        is_cut_off: record.is_cut_off(),
    }
}
