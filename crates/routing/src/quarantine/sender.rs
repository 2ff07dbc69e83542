//! Sends reports to a request's coordinators or to all boxes.

use super::message::CrashReport;
use crate::rendezvous::{object_hash, weighted_score};
use crate::request_digest::RequestDigest;
use brasswinch_types::{BoxId, Millis};
use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;

/// Number of coordinators of a request: one of them may be dead or frozen without being detected
/// yet.
const COORDINATORS: usize = 2;

/// Number of times that a change is broadcast, since datagrams are lost occasionally.
const BROADCASTS: u32 = 2;

/// Interval between these broadcasts.
const REBROADCAST_INTERVAL_MS: Millis = 300;

/// Most datagrams returned by one call, so that broadcasts to a large fleet are spread over
/// several calls rather than overflow a queue.
const MAX_DATAGRAMS_PER_CALL: usize = 512;

/// A serving box.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuarantineBox {
    /// The box.
    pub id: BoxId,
    /// Its incarnation: a restarted box has no records.
    pub incarnation: u64,
    /// Address for datagrams.
    pub address: SocketAddr,
}

/// An outgoing report.
#[derive(Debug)]
struct Outgoing {
    to: SocketAddr,
    report: CrashReport,
    /// When the report was created.
    created_at: Millis,
}

/// A report to be broadcast again.
#[derive(Debug)]
struct Rebroadcast {
    at: Millis,
    rounds_left: u32,
    report: CrashReport,
    created_at: Millis,
}

/// The other boxes, and the reports to be sent to them.
#[derive(Debug)]
pub(super) struct ReportSender {
    me: BoxId,
    /// All boxes except this one.
    others: Vec<QuarantineBox>,
    queue: VecDeque<Outgoing>,
    rebroadcasts: VecDeque<Rebroadcast>,
}

impl ReportSender {
    pub(super) fn new(me: BoxId) -> Self {
        Self {
            me,
            others: Vec::new(),
            queue: VecDeque::new(),
            rebroadcasts: VecDeque::new(),
        }
    }

    /// Sets the serving boxes; returns those that are new.
    pub(super) fn set_boxes(&mut self, boxes: Vec<QuarantineBox>) -> Vec<QuarantineBox> {
        let mut others = boxes;
        others.retain(|peer| peer.id != self.me);
        if self.others == others {
            return Vec::new();
        }
        let known: HashSet<&QuarantineBox> = self.others.iter().collect();
        let is_new = |peer: &&QuarantineBox| !known.contains(peer);
        let new_boxes = others.iter().filter(is_new).cloned().collect();
        self.others = others;
        new_boxes
    }

    /// Whether this box coordinates the request.
    pub(super) fn is_coordinator(&self, digest: RequestDigest) -> bool {
        self.is_coordinator_without(digest, &[])
    }

    /// Whether this box coordinates the request when the boxes in `without` are left out.
    pub(super) fn is_coordinator_without(
        &self,
        digest: RequestDigest,
        without: &[QuarantineBox],
    ) -> bool {
        let own = score(digest, &self.me);
        let others = self.others.iter().filter(|peer| !without.contains(peer));
        let higher = others.filter(|peer| score(digest, &peer.id) > own);
        higher.count() < COORDINATORS
    }

    /// Sends a report to the request's coordinators.
    pub(super) fn send_to_coordinators(&mut self, report: &CrashReport, now: Millis) {
        let mut ranked: Vec<&QuarantineBox> = self.others.iter().collect();
        ranked.sort_by(|a, b| score(report.digest, &b.id).total_cmp(&score(report.digest, &a.id)));
        let coordinators = ranked.into_iter().take(COORDINATORS).cloned();
        let coordinators: Vec<QuarantineBox> = coordinators.collect();
        self.send(&coordinators, report, now);
    }

    /// Sends a report to these boxes.
    pub(super) fn send(&mut self, boxes: &[QuarantineBox], report: &CrashReport, now: Millis) {
        self.queue.extend(boxes.iter().map(|peer| Outgoing {
            to: peer.address,
            report: report.clone(),
            created_at: now,
        }));
    }

    /// Replies to the box at `to`.
    pub(super) fn reply(&mut self, to: SocketAddr, report: CrashReport, now: Millis) {
        self.queue.push_back(Outgoing {
            to,
            report,
            created_at: now,
        });
    }

    /// Broadcasts a report, and schedules the repetition.
    pub(super) fn broadcast(&mut self, report: &CrashReport, now: Millis) {
        let others = self.others.clone();
        self.send(&others, report, now);
        self.rebroadcasts.push_back(Rebroadcast {
            at: now + REBROADCAST_INTERVAL_MS,
            rounds_left: BROADCASTS - 1,
            report: report.clone(),
            created_at: now,
        });
    }

    /// Takes the reports to send now.
    pub(super) fn take(&mut self, now: Millis) -> Vec<(SocketAddr, CrashReport)> {
        while self.rebroadcasts.front().is_some_and(|next| next.at <= now) {
            let Some(mut rebroadcast) = self.rebroadcasts.pop_front() else {
                break;
            };
            let others = self.others.clone();
            self.send(&others, &rebroadcast.report, rebroadcast.created_at);
            rebroadcast.rounds_left -= 1;
            if rebroadcast.rounds_left > 0 {
                rebroadcast.at = now + REBROADCAST_INTERVAL_MS;
                self.rebroadcasts.push_back(rebroadcast);
            }
        }
        let count = self.queue.len().min(MAX_DATAGRAMS_PER_CALL);
        let outgoing = self.queue.drain(..count);
        outgoing
            .map(|mut outgoing| {
                outgoing
                    .report
                    .age_by(now.saturating_sub(outgoing.created_at));
                (outgoing.to, outgoing.report)
            })
            .collect()
    }
}

fn score(digest: RequestDigest, id: &BoxId) -> f64 {
    let object = object_hash("quarantine", &digest.to_bytes());
    let box_hash = object_hash("box", id.as_str().as_bytes());
    weighted_score(object, box_hash, 1.0)
}
