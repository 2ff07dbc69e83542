//! What a box knows of the other boxes, and which of them it can reach.
//!
//! A record is written by its box alone and orders itself by incarnation and
//! sequence, so records can be relayed and merged in any order. Liveness is not
//! in the record: it is what each box hears over its own links, plus what boxes
//! linked to another zone say of the neighbours they hear there.

use crate::load_reports::ServiceLoad;
use brasswinch_types::{BoxId, Incarnation, Millis, Region, ServiceTag, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What a box is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BoxState {
    /// Learning what it may use; look-ups don't hand it out yet.
    Starting,
    /// Serving.
    Serving,
    /// Finishing what it runs; takes nothing new.
    Leaving,
}

/// A box's own word about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BoxRecord {
    /// The box.
    pub id: BoxId,
    /// This run of its daemon. Later runs are larger.
    pub incarnation: Incarnation,
    /// Goes up with each change of the record.
    pub sequence: u64,
    /// Where it stands.
    pub zone: Zone,
    /// The zone's region.
    pub region: Region,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where peers reach it.
    pub peer_address: SocketAddr,
    /// What it is doing.
    pub state: BoxState,
}

impl BoxRecord {
    fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }
}

/// Time without a heartbeat after which a box counts as silent, in intervals that its
/// last heartbeat announced.
const SILENT_AFTER_INTERVALS: u64 = 4;

#[derive(Clone, Debug)]
struct Member {
    record: BoxRecord,
    /// Until when the last heartbeat counts.
    heard_until: Option<Millis>,
    config_digest: u64,
    loads: BTreeMap<ServiceTag, ServiceLoad>,
}

/// Everything known of the other boxes.
#[derive(Debug)]
pub struct Members {
    me: BoxId,
    members: BTreeMap<BoxId, Member>,
}

/// What became of a record that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordMerge {
    /// New or newer: relay it.
    Newer,
    /// Nothing new.
    Known,
}

impl Members {
    /// Knows nobody yet.
    pub fn new(me: BoxId) -> Self {
        Self {
            me,
            members: BTreeMap::new(),
        }
    }

    /// Takes a record if it is newer than the one held.
    pub fn merge(&mut self, record: BoxRecord) -> RecordMerge {
        if record.id == self.me {
            return RecordMerge::Known;
        }
        match self.members.get_mut(&record.id) {
            Some(member) if !record.supersedes(&member.record) => RecordMerge::Known,
            Some(member) => {
                if record.incarnation != member.record.incarnation {
                    member.loads.clear();
                    member.heard_until = None;
                }
                member.record = record;
                RecordMerge::Newer
            }
            None => {
                let member = Member {
                    record,
                    heard_until: None,
                    config_digest: 0,
                    loads: BTreeMap::new(),
                };
                self.members.insert(member.record.id.clone(), member);
                RecordMerge::Newer
            }
        }
    }

    /// A heartbeat of `id` arrived, directly or by a neighbour's word; the next is due
    /// within `interval_ms`.
    pub fn heard(
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
        member.heard_until = Some(member.heard_until.map_or(until, |held| held.max(until)));
    }

    /// The link to `id` broke: it counts as silent until someone hears it again.
    pub fn lost(&mut self, id: &BoxId) {
        if let Some(member) = self.members.get_mut(id) {
            member.heard_until = None;
        }
    }

    /// Takes the configuration digest of a heartbeat and the loads that it reports;
    /// loads that it leaves out are as they were.
    pub fn report(&mut self, id: &BoxId, config_digest: u64, loads: Vec<ServiceLoad>) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        member.config_digest = config_digest;
        let by_service = loads.into_iter().map(|load| (load.service, load));
        member.loads.extend(by_service);
    }

    /// The record held of `id`.
    pub fn record(&self, id: &BoxId) -> Option<&BoxRecord> {
        self.members.get(id).map(|member| &member.record)
    }

    /// The records of all other boxes.
    pub fn records(&self) -> impl Iterator<Item = &BoxRecord> {
        self.members.values().map(|member| &member.record)
    }

    /// The configuration digest that `id` last reported.
    pub fn config_digest(&self, id: &BoxId) -> Option<u64> {
        self.members.get(id).map(|member| member.config_digest)
    }

    /// Whether `id` was heard recently.
    pub fn is_heard(&self, id: &BoxId, now: Millis) -> bool {
        self.members
            .get(id)
            .and_then(|member| member.heard_until)
            .is_some_and(|until| now < until)
    }

    /// The boxes of `zone` that are heard and serving.
    pub fn serving_in(&self, zone: &Zone, now: Millis) -> Vec<&BoxRecord> {
        self.records()
            .filter(|record| &record.zone == zone && record.state == BoxState::Serving)
            .filter(|record| self.is_heard(&record.id, now))
            .collect()
    }

    /// The load that `id` last reported for `service`.
    pub fn load_of(&self, id: &BoxId, service: ServiceTag) -> Option<&ServiceLoad> {
        self.members.get(id)?.loads.get(&service)
    }

    /// The boxes of `zone`, heard or not.
    pub fn known_in(&self, zone: &Zone) -> Vec<&BoxRecord> {
        self.records()
            .filter(|record| &record.zone == zone)
            .collect()
    }

    /// The boxes of `zone` that are known but not heard.
    pub fn silent_in(&self, zone: &Zone, now: Millis) -> Vec<BoxId> {
        self.known_in(zone)
            .into_iter()
            .filter(|record| !self.is_heard(&record.id, now))
            .map(|record| record.id.clone())
            .collect()
    }

    /// Drops records of boxes that the platform's list shows gone.
    pub fn forget(&mut self, gone: impl Fn(&BoxId) -> bool) {
        self.members.retain(|id, _| !gone(id));
    }
}
