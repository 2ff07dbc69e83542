//! Quarantines requests that crash upstreams.
//!
//! A crash here is an attempt whose connection to the upstream broke without a response. The box
//! that sees it reports it to the request's coordinators, two boxes chosen by rendezvous hashing
//! on the request's digest. After [`CRASHES_TO_SUSPECT`] crashes, one after another with no
//! answered attempt in between, they broadcast that the request is suspected. It is then
//! placed by its own digest, apart from other requests for the same object, and each box reports
//! when an attempt is answered. After [`CRASHES_TO_QUARANTINE`] crashes the request is
//! quarantined. Boxes exchange the crashes themselves, so that all reach the same verdict in
//! whatever order reports arrive.

mod message;
mod record;
mod sender;
mod status;

pub use message::{CrashReport, ReportError, ReportedCrash};
pub use record::{Suspect, UpstreamCrash, Verdict};
pub use sender::QuarantineBox;
pub use status::QuarantineStatus;

use crate::request_digest::{RequestDigest, RequestShape};
use brasswinch_types::{BoxId, Millis, Workspace};
use record::{Level, Record};
use sender::ReportSender;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;

/// Number of sequential crashes from which a request is suspected. Any request may be running when
/// its upstream crashes; a second crash at another upstream is rare.
const CRASHES_TO_SUSPECT: usize = 2;

/// Number of sequential crashes from which a request is quarantined: as many as the platform
/// allows.
const CRASHES_TO_QUARANTINE: usize = 3;

/// Most requests on record, some 300 bytes each.
const MAX_REQUESTS: usize = 4_096;

/// Most requests of one workspace on record, so that no workspace displaces the records of others.
const MAX_REQUESTS_PER_WORKSPACE: usize = 512;

/// A change in what is known of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// Upstreams crashed twice in sequence while running it.
    Suspected,
    /// It is quarantined.
    Quarantined,
    /// One of its attempts was answered.
    Cleared,
    /// Its quarantine has expired; one more crash quarantines it again.
    Released,
}

/// A change to be logged.
#[derive(Clone, Debug, PartialEq)]
pub struct QuarantineEvent {
    /// The request.
    pub digest: RequestDigest,
    /// Its service and workspace.
    pub suspect: Suspect,
    /// The change.
    pub change: QuarantineChange,
    /// The crashes that led to it.
    pub crashes: Vec<UpstreamCrash>,
}

/// One box's records of requests during which upstreams crashed.
#[derive(Debug)]
pub struct Quarantine {
    records: BTreeMap<RequestDigest, Record>,
    /// Shapes of all records; may include shapes of removed records.
    shapes: HashSet<RequestShape>,
    sender: ReportSender,
    /// Newly quarantined requests that this box coordinates.
    unconfirmed: Vec<RequestDigest>,
    events: Vec<QuarantineEvent>,
}

impl Quarantine {
    /// Creates an empty state of the box `me`.
    pub fn new(me: BoxId) -> Self {
        Self {
            records: BTreeMap::new(),
            shapes: HashSet::new(),
            sender: ReportSender::new(me),
            unconfirmed: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Whether a request of this shape may be on record.
    pub fn may_have_record(&self, shape: RequestShape) -> bool {
        self.shapes.contains(&shape)
    }

    /// Returns the verdict on a request.
    pub fn verdict(&self, digest: RequestDigest, now: Millis) -> Verdict {
        let record = self.records.get(&digest);
        record.map_or(Verdict::Unknown, |record| record.verdict(now))
    }

    /// Records that an upstream crashed while running the request, as this box saw it.
    pub fn record_crash(
        &mut self,
        digest: RequestDigest,
        suspect: &Suspect,
        crash: UpstreamCrash,
        now: Millis,
    ) {
        self.record(digest, suspect).add_crash(crash);
        self.publish_change(digest, true, now);
    }

    /// Records that an upstream answered the request at this box.
    pub fn record_answer(&mut self, digest: RequestDigest, now: Millis) {
        let Some(record) = self.records.get_mut(&digest) else {
            return;
        };
        if record.record_answer(now) {
            self.publish_change(digest, true, now);
        }
    }

    /// Handles a report of the box at `from`, and replies with the crashes that it doesn't know:
    /// it may have been frozen or cut off when others were informed.
    ///
    /// # Errors
    ///
    /// Returns an error if the report can't be true; nothing of it is recorded.
    pub fn handle_report(
        &mut self,
        report: &CrashReport,
        from: SocketAddr,
        now: Millis,
    ) -> Result<(), ReportError> {
        report.check()?;
        let digest = report.digest;
        let record = self.record(digest, &report.suspect);
        let is_changed = record.merge(report, now);
        let lacks_crashes = report.crashes.len() < record.crashes().len();
        if lacks_crashes && record.level(now) >= Level::Released {
            let full_report = record.report(digest, now);
            self.sender.reply(from, full_report, now);
        }
        if is_changed {
            self.publish_change(digest, false, now);
        }
        Ok(())
    }

    /// Merges a report from the platform's store, and informs all boxes of what is new in it.
    ///
    /// # Errors
    ///
    /// Returns an error if the report can't be true; nothing of it is recorded.
    pub fn merge_stored(&mut self, report: &CrashReport, now: Millis) -> Result<(), ReportError> {
        report.check()?;
        let record = self.record(report.digest, &report.suspect);
        if record.merge(report, now) {
            self.publish_change(report.digest, true, now);
        }
        Ok(())
    }

    /// Takes the newly quarantined requests that this box has to write to the platform's store,
    /// each with the remaining time of its quarantine, in milliseconds.
    pub fn take_unconfirmed(&mut self, now: Millis) -> Vec<(CrashReport, Millis)> {
        let unconfirmed = std::mem::take(&mut self.unconfirmed);
        let quarantined = unconfirmed.into_iter().filter_map(|digest| {
            let record = self.records.get(&digest)?;
            match record.verdict(now) {
                Verdict::Quarantined { for_ms } => Some((record.report(digest, now), for_ms)),
                _ => None,
            }
        });
        quarantined.collect()
    }

    /// Marks the quarantined requests that this box coordinates as not stored, because the store
    /// may have lost them.
    pub fn confirm_again(&mut self, now: Millis) {
        for (digest, record) in &self.records {
            let is_quarantined = record.level(now) == Level::Quarantined;
            if is_quarantined && self.sender.is_coordinator(*digest) {
                self.unconfirmed.push(*digest);
            }
        }
    }

    /// Sets the serving boxes, and informs new ones of suspected and quarantined requests.
    pub fn set_boxes(&mut self, boxes: Vec<QuarantineBox>, now: Millis) {
        let new_boxes = self.sender.set_boxes(boxes);
        if new_boxes.is_empty() {
            return;
        }
        let was_broadcast = |record: &Record| record.level(now) >= Level::Suspected;
        for (digest, record) in &self.records {
            if was_broadcast(record) && self.sender.is_coordinator_without(*digest, &new_boxes) {
                let report = record.report(*digest, now);
                self.sender.send(&new_boxes, &report, now);
            }
        }
    }

    /// Releases requests whose quarantine has expired, and removes expired records.
    pub fn tick(&mut self, now: Millis) {
        let mut released = Vec::new();
        for (digest, record) in &mut self.records {
            if record.take_level_change(now) == Some(Level::Released) {
                released.push(*digest);
            }
        }
        for digest in released {
            self.push_event(digest, QuarantineChange::Released);
        }
        let count = self.records.len();
        self.records.retain(|_, record| !record.is_expired(now));
        if self.records.len() != count {
            self.rebuild_shapes();
        }
    }

    /// Takes the reports to send now, each with its destination.
    pub fn take_reports(&mut self, now: Millis) -> Vec<(SocketAddr, CrashReport)> {
        self.sender.take(now)
    }

    /// Takes the changes since the last call.
    pub fn take_events(&mut self) -> Vec<QuarantineEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the status of suspected and quarantined requests.
    pub fn status(&self, now: Millis) -> Vec<QuarantineStatus> {
        let known = self.records.iter();
        known
            .filter_map(|(digest, record)| QuarantineStatus::of(*digest, record, now))
            .collect()
    }

    fn rebuild_shapes(&mut self) {
        let records = self.records.values();
        self.shapes = records.map(|record| record.suspect().shape).collect();
    }

    /// Reports a change to other boxes and records an event for the log.
    fn publish_change(&mut self, digest: RequestDigest, must_report: bool, now: Millis) {
        let Some(record) = self.records.get_mut(&digest) else {
            return;
        };
        let report = record.report(digest, now);
        let change = match record.take_level_change(now) {
            Some(Level::Suspected) => Some(QuarantineChange::Suspected),
            Some(Level::Quarantined) => Some(QuarantineChange::Quarantined),
            Some(Level::Clear) => Some(QuarantineChange::Cleared),
            _ => None,
        };
        if must_report {
            self.sender.send_to_coordinators(&report, now);
        }
        if let Some(change) = change {
            let is_coordinator = self.sender.is_coordinator(digest);
            if must_report || is_coordinator {
                self.sender.broadcast(&report, now);
            }
            if is_coordinator && change == QuarantineChange::Quarantined {
                self.unconfirmed.push(digest);
            }
            self.push_event(digest, change);
        }
    }

    fn push_event(&mut self, digest: RequestDigest, change: QuarantineChange) {
        let Some(record) = self.records.get(&digest) else {
            return;
        };
        self.events.push(QuarantineEvent {
            digest,
            suspect: record.suspect().clone(),
            change,
            crashes: record.crashes().to_vec(),
        });
    }

    /// Returns the record of a request; creates it if there is none.
    fn record(&mut self, digest: RequestDigest, suspect: &Suspect) -> &mut Record {
        self.evict_if_full(digest, suspect);
        self.shapes.insert(suspect.shape);
        let known = self.records.entry(digest);
        known.or_insert_with(|| Record::new(suspect.clone()))
    }

    /// Removes the record with the lowest priority if there are too many: one of the same
    /// workspace if that has reached its maximum, otherwise one of the workspace with the most
    /// records.
    fn evict_if_full(&mut self, digest: RequestDigest, suspect: &Suspect) {
        if self.records.len() < MAX_REQUESTS_PER_WORKSPACE || self.records.contains_key(&digest) {
            return;
        }
        let mut by_workspace: BTreeMap<Option<&Workspace>, usize> = BTreeMap::new();
        for record in self.records.values() {
            let workspace = record.suspect().workspace.as_ref();
            *by_workspace.entry(workspace).or_default() += 1;
        }
        let own = by_workspace.get(&suspect.workspace.as_ref());
        let evict_from = if own.is_some_and(|count| *count >= MAX_REQUESTS_PER_WORKSPACE) {
            suspect.workspace.clone()
        } else if self.records.len() >= MAX_REQUESTS {
            let most = by_workspace.iter().max_by_key(|(_, count)| **count);
            most.and_then(|(workspace, _)| workspace.cloned())
        } else {
            return;
        };
        let of_workspace = self
            .records
            .iter()
            .filter(|(_, record)| record.suspect().workspace == evict_from);
        let lowest = of_workspace.min_by_key(|(_, record)| record.retention_priority());
        if let Some(lowest) = lowest.map(|(digest, _)| *digest) {
            self.records.remove(&lowest);
        }
        if self.shapes.len() > 2 * MAX_REQUESTS {
            self.rebuild_shapes();
        }
    }
}
