//! The other boxes' records, and which of these boxes are alive.
//!
//! Only a box itself writes its record. Records are ordered by incarnation and
//! sequence, so they can be relayed and merged in any order. Liveness is not part
//! of the record: it follows from the heartbeats that a box receives on its own
//! links, and from those that boxes with a link to another zone relay from there.

use crate::load_reports::ServiceLoad;
use brasswinch_types::{BoxId, Incarnation, Millis, Region, ServiceTag, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The life-cycle state of a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BoxState {
    /// Collecting the state it needs; look-ups don't return it yet.
    Starting,
    /// Serving.
    Serving,
    /// Finishing its running requests; accepts no new ones.
    Leaving,
}

/// A box's description of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BoxRecord {
    /// The box.
    pub id: BoxId,
    /// Identifies the run of its daemon. Later runs have larger values.
    pub incarnation: Incarnation,
    /// Increases with each change of the record.
    pub sequence: u64,
    /// The box's zone.
    pub zone: Zone,
    /// The zone's region.
    pub region: Region,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Its life-cycle state.
    pub state: BoxState,
}

impl BoxRecord {
    fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }
}

/// Number of heartbeat intervals without a heartbeat after which a box counts as silent.
/// The box announces the interval with its heartbeats.
const SILENT_AFTER_INTERVALS: u64 = 4;

#[derive(Clone, Debug)]
struct Member {
    record: BoxRecord,
    /// When the box counts as silent unless another heartbeat arrives; `None` if it does now.
    alive_until: Option<Millis>,
    config_digest: u64,
    loads: BTreeMap<ServiceTag, ServiceLoad>,
}

/// The known state of the other boxes.
#[derive(Debug)]
pub struct Members {
    me: BoxId,
    members: BTreeMap<BoxId, Member>,
}

/// The result of merging a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordMerge {
    /// The record is new or newer and should be relayed.
    Newer,
    /// The record was known already, outdated or about the local box.
    Known,
}

impl Members {
    /// Creates an empty list of members for the box `me`.
    pub fn new(me: BoxId) -> Self {
        Self {
            me,
            members: BTreeMap::new(),
        }
    }

    /// Stores a record if it is newer than the one held. A new incarnation starts out silent
    /// and without loads.
    pub fn merge(&mut self, record: BoxRecord) -> RecordMerge {
        if record.id == self.me {
            return RecordMerge::Known;
        }
        match self.members.get_mut(&record.id) {
            Some(member) if !record.supersedes(&member.record) => RecordMerge::Known,
            Some(member) => {
                if record.incarnation != member.record.incarnation {
                    member.loads.clear();
                    member.alive_until = None;
                }
                member.record = record;
                RecordMerge::Newer
            }
            None => {
                let member = Member {
                    record,
                    alive_until: None,
                    config_digest: 0,
                    loads: BTreeMap::new(),
                };
                self.members.insert(member.record.id.clone(), member);
                RecordMerge::Newer
            }
        }
    }

    /// Records a heartbeat of `id`, received directly or relayed by a neighbour; the next is
    /// due within `interval_ms`. Heartbeats of another incarnation are ignored.
    pub fn record_heartbeat(
        &mut self,
        id: &BoxId,
        incarnation: Incarnation,
        interval_ms: Millis,
        now: Millis,
    ) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        if member.record.incarnation != incarnation {
            return;
        }
        let until = now + interval_ms * SILENT_AFTER_INTERVALS;
        member.alive_until = Some(member.alive_until.map_or(until, |held| held.max(until)));
    }

    /// Records that the link to `id` broke; it counts as silent until its next heartbeat.
    pub fn record_link_loss(&mut self, id: &BoxId) {
        if let Some(member) = self.members.get_mut(id) {
            member.alive_until = None;
        }
    }

    /// Records the configuration digest and the loads of a heartbeat. Loads that the
    /// heartbeat omits are unchanged.
    pub fn report(&mut self, id: &BoxId, config_digest: u64, loads: Vec<ServiceLoad>) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        member.config_digest = config_digest;
        let by_service = loads.into_iter().map(|load| (load.service, load));
        member.loads.extend(by_service);
    }

    /// Returns the record of `id`.
    pub fn record(&self, id: &BoxId) -> Option<&BoxRecord> {
        self.members.get(id).map(|member| &member.record)
    }

    /// Returns the records of all other boxes.
    pub fn records(&self) -> impl Iterator<Item = &BoxRecord> {
        self.members.values().map(|member| &member.record)
    }

    /// Returns the configuration digest that `id` last reported; 0 before its first report.
    pub fn config_digest(&self, id: &BoxId) -> Option<u64> {
        self.members.get(id).map(|member| member.config_digest)
    }

    /// Whether a heartbeat of `id` arrived recently.
    pub fn is_alive(&self, id: &BoxId, now: Millis) -> bool {
        self.members
            .get(id)
            .and_then(|member| member.alive_until)
            .is_some_and(|until| now < until)
    }

    /// Returns the boxes of `zone` that are alive and serving.
    pub fn serving_in(&self, zone: &Zone, now: Millis) -> Vec<&BoxRecord> {
        self.records()
            .filter(|record| &record.zone == zone && record.state == BoxState::Serving)
            .filter(|record| self.is_alive(&record.id, now))
            .collect()
    }

    /// Returns the load that `id` last reported for `service`.
    pub fn load_of(&self, id: &BoxId, service: ServiceTag) -> Option<&ServiceLoad> {
        self.members.get(id)?.loads.get(&service)
    }

    /// Returns all known boxes of `zone`, alive or silent.
    pub fn known_in(&self, zone: &Zone) -> Vec<&BoxRecord> {
        self.records()
            .filter(|record| &record.zone == zone)
            .collect()
    }

    /// Returns the known boxes of `zone` that are silent.
    pub fn silent_in(&self, zone: &Zone, now: Millis) -> Vec<BoxId> {
        self.known_in(zone)
            .into_iter()
            .filter(|record| !self.is_alive(&record.id, now))
            .map(|record| record.id.clone())
            .collect()
    }

    /// Removes the boxes for which `gone` is true: those gone from the platform's list.
    pub fn forget(&mut self, gone: impl Fn(&BoxId) -> bool) {
        self.members.retain(|id, _| !gone(id));
    }
}
