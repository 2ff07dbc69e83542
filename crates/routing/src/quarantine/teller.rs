//! Who is told of a request: its counters, or all boxes.

use super::message::RunReport;
use crate::rendezvous::{object_hash, weighted_score};
use crate::request_digest::RequestDigest;
use brasswinch_types::{BoxId, Millis};
use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;

/// Boxes that count a request's runs: one of them may be dead or frozen without being known
/// to be.
const COUNTERS: usize = 2;

/// Times that all boxes are told of a change: datagrams are lost now and then.
const TELLINGS: u32 = 2;

/// Between two of these times.
const TELL_AGAIN_MS: Millis = 300;

/// Most datagrams that are sent at one moment, so that a large fleet is told over some moments
/// rather than over a full queue.
const MOST_AT_ONCE: usize = 512;

/// A box that serves.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuarantineBox {
    /// The box.
    pub id: BoxId,
    /// Its run: one that has started again knows nothing.
    pub incarnation: u64,
    /// Where it takes datagrams.
    pub address: SocketAddr,
}

/// A report on its way out.
#[derive(Debug)]
struct Outgoing {
    to: SocketAddr,
    report: RunReport,
    /// When it was true.
    made_at: Millis,
}

/// A report that is to be sent to all boxes once more.
#[derive(Debug)]
struct Again {
    at: Millis,
    left: u32,
    report: RunReport,
    made_at: Millis,
}

/// Knows the boxes, and what they are still to be told.
#[derive(Debug)]
pub(super) struct Teller {
    me: BoxId,
    /// All others.
    others: Vec<QuarantineBox>,
    queue: VecDeque<Outgoing>,
    again: VecDeque<Again>,
}

impl Teller {
    pub(super) fn new(me: BoxId) -> Self {
        Self {
            me,
            others: Vec::new(),
            queue: VecDeque::new(),
            again: VecDeque::new(),
        }
    }

    /// Takes the boxes that serve; gives those that are new.
    pub(super) fn set_boxes(&mut self, boxes: Vec<QuarantineBox>) -> Vec<QuarantineBox> {
        let mut others = boxes;
        others.retain(|held| held.id != self.me);
        if self.others == others {
            return Vec::new();
        }
        let known: HashSet<&QuarantineBox> = self.others.iter().collect();
        let is_new = |found: &&QuarantineBox| !known.contains(found);
        let newcomers = others.iter().filter(is_new).cloned().collect();
        self.others = others;
        newcomers
    }

    /// Whether this box counts the request's runs.
    pub(super) fn counts(&self, digest: RequestDigest) -> bool {
        self.counts_beside(digest, &[])
    }

    /// Whether it does so among the boxes that aren't in `without`.
    pub(super) fn counts_beside(&self, digest: RequestDigest, without: &[QuarantineBox]) -> bool {
        let mine = score(digest, &self.me);
        let others = self.others.iter().filter(|held| !without.contains(held));
        let better = others.filter(|held| score(digest, &held.id) > mine);
        better.count() < COUNTERS
    }

    /// Tells the request's counters.
    pub(super) fn tell_counters(&mut self, report: &RunReport, now: Millis) {
        let mut ranked: Vec<&QuarantineBox> = self.others.iter().collect();
        ranked.sort_by(|a, b| score(report.digest, &b.id).total_cmp(&score(report.digest, &a.id)));
        let counters = ranked.into_iter().take(COUNTERS).cloned();
        let counters: Vec<QuarantineBox> = counters.collect();
        self.tell(&counters, report, now);
    }

    /// Tells these boxes.
    pub(super) fn tell(&mut self, boxes: &[QuarantineBox], report: &RunReport, now: Millis) {
        self.queue.extend(boxes.iter().map(|held| Outgoing {
            to: held.address,
            report: report.clone(),
            made_at: now,
        }));
    }

    /// Answers the box at `to`.
    pub(super) fn answer(&mut self, to: SocketAddr, report: RunReport, now: Millis) {
        self.queue.push_back(Outgoing {
            to,
            report,
            made_at: now,
        });
    }

    /// Tells all boxes, and again a little later.
    pub(super) fn tell_all(&mut self, report: &RunReport, now: Millis) {
        let others = self.others.clone();
        self.tell(&others, report, now);
        self.again.push_back(Again {
            at: now + TELL_AGAIN_MS,
            left: TELLINGS - 1,
            report: report.clone(),
            made_at: now,
        });
    }

    /// What is to be sent now.
    pub(super) fn take(&mut self, now: Millis) -> Vec<(SocketAddr, RunReport)> {
        while self.again.front().is_some_and(|next| next.at <= now) {
            let Some(mut again) = self.again.pop_front() else {
                break;
            };
            let others = self.others.clone();
            self.tell(&others, &again.report, again.made_at);
            again.left -= 1;
            if again.left > 0 {
                again.at = now + TELL_AGAIN_MS;
                self.again.push_back(again);
            }
        }
        let count = self.queue.len().min(MOST_AT_ONCE);
        let out = self.queue.drain(..count);
        out.map(|mut out| {
            out.report.grow_older(now.saturating_sub(out.made_at));
            (out.to, out.report)
        })
        .collect()
    }
}

fn score(digest: RequestDigest, id: &BoxId) -> f64 {
    let object = object_hash("quarantine", &digest.to_bytes());
    let place = object_hash("box", id.as_str().as_bytes());
    weighted_score(object, place, 1.0)
}
