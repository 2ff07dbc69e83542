//! Answers callers that ask which box to use.

use crate::context::Context;
use brasswinch_routing::{Liveness, MemberState};
use brasswinch_types::{Region, Zone};
use std::net::SocketAddr;

/// Most addresses in a look-up's answer.
const MOST_ADDRESSES: usize = 64;

/// How long a look-up's answer may be kept, unless the bound is shorter.
const LOOKUP_TTL_S: f64 = 2.0;

/// Where a client may go.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectoryAnswer {
    /// Boxes, any of which will do.
    pub addresses: Vec<SocketAddr>,
    /// How long the answer may be kept, in seconds.
    pub ttl_s: f64,
}

impl Context {
    /// Where a client of `zone` may go: the serving boxes of its region, or, where none
    /// is known, of all.
    pub fn directory_answer(&self, zone: &Zone, region: &Region) -> DirectoryAnswer {
        let swim = self.swim();
        let mut all: Vec<(&Zone, SocketAddr)> = swim
            .members()
            .filter(|member| member.liveness == Liveness::Alive)
            .filter(|member| member.record.state == MemberState::Serving)
            .map(|member| (&member.record.zone, member.record.caller_address))
            .collect();
        if self.is_ready() || all.is_empty() {
            all.push((&self.settings.zone, self.settings.addresses.clients));
        }
        let region = self.settings.zones.get(zone).unwrap_or(region);
        let near: Vec<SocketAddr> = all
            .iter()
            .filter(|(zone, _)| self.settings.zones.get(*zone) == Some(region))
            .map(|(_, address)| *address)
            .collect();
        let mut addresses = near;
        if addresses.is_empty() {
            addresses = all.into_iter().map(|(_, address)| address).collect();
        }
        addresses.truncate(MOST_ADDRESSES);
        DirectoryAnswer {
            addresses,
            ttl_s: LOOKUP_TTL_S.min(self.settings.bounds.longest_lookup_ttl_s),
        }
    }
}
