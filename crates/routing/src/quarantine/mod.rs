//! Holds back requests under which upstreams end.
//!
//! A run that ends with its upstream's connection is told to the request's counters, two
//! boxes by rendezvous on its digest. After [`RUNS_TO_SUSPECT`] such runs, one after another and
//! none answered, they tell all boxes: the request goes where its own digest says, away from
//! others about the same object, and each box tells when one of its runs is answered. After
//! [`RUNS_TO_SHUT_OUT`] it is shut out. What boxes tell each other are the runs themselves, so
//! that all come to the same verdict in whatever order they hear.

mod message;
mod record;
mod status;
mod teller;

pub use message::{ReportError, RunReport, ToldRun};
pub use record::{BrokenRun, Suspect, Verdict};
pub use status::ShutOutStatus;
pub use teller::QuarantineBox;

use crate::request_digest::{RequestDigest, RequestShape};
use brasswinch_types::{BoxId, Millis, Workspace};
use record::{Level, Record};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use teller::Teller;

/// Broken runs, one after another, from which a request is suspected. One happens to every
/// request at an upstream that ends; a second one, at another, seldom does.
const RUNS_TO_SUSPECT: usize = 2;

/// Broken runs, one after another, from which it is shut out: what the platform allows.
const RUNS_TO_SHUT_OUT: usize = 3;

/// Most requests that are remembered, some 300 bytes each.
const MOST_REQUESTS: usize = 4_096;

/// Most of one workspace, so that none pushes out what is known of others' requests.
const MOST_OF_A_WORKSPACE: usize = 512;

/// What became of what is known of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// Upstreams ended under it twice, one after the other.
    Suspected,
    /// It is held back.
    ShutOut,
    /// One of its runs was answered.
    Cleared,
    /// Its time is over; one more broken run shuts it out again.
    LetOut,
}

/// A change, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct QuarantineNews {
    /// The request.
    pub digest: RequestDigest,
    /// Its service and workspace.
    pub suspect: Suspect,
    /// What became of it.
    pub change: QuarantineChange,
    /// The runs that decided it.
    pub runs: Vec<BrokenRun>,
}

/// What one box knows of requests under which upstreams ended.
#[derive(Debug)]
pub struct Quarantine {
    records: BTreeMap<RequestDigest, Record>,
    /// Of all records; may hold some of records that are gone.
    shapes: HashSet<RequestShape>,
    teller: Teller,
    /// Requests that this box counts and that were shut out.
    unconfirmed: Vec<RequestDigest>,
    news: Vec<QuarantineNews>,
}

impl Quarantine {
    /// Nothing is known.
    pub fn new(me: BoxId) -> Self {
        Self {
            records: BTreeMap::new(),
            shapes: HashSet::new(),
            teller: Teller::new(me),
            unconfirmed: Vec::new(),
            news: Vec::new(),
        }
    }

    /// Whether something may be known of a request of this shape.
    pub fn may_know(&self, shape: RequestShape) -> bool {
        self.shapes.contains(&shape)
    }

    /// What is known of a request.
    pub fn verdict(&self, digest: RequestDigest, now: Millis) -> Verdict {
        let record = self.records.get(&digest);
        record.map_or(Verdict::Unknown, |record| record.verdict(now))
    }

    /// An upstream ended under the request at this box.
    pub fn broke(&mut self, digest: RequestDigest, suspect: &Suspect, run: BrokenRun, now: Millis) {
        self.record(digest, suspect).add_run(run);
        self.changed(digest, true, now);
    }

    /// An upstream answered the request at this box: it did not end under it.
    pub fn answered(&mut self, digest: RequestDigest, now: Millis) {
        let Some(record) = self.records.get_mut(&digest) else {
            return;
        };
        if record.answered(now) {
            self.changed(digest, true, now);
        }
    }

    /// Takes the word of the box at `from`, and tells it what it doesn't know: it may have
    /// been frozen, or cut off, while others were told.
    ///
    /// # Errors
    ///
    /// Refuses a report that can't be true; nothing of it is taken.
    pub fn hear(
        &mut self,
        report: &RunReport,
        from: SocketAddr,
        now: Millis,
    ) -> Result<(), ReportError> {
        report.check()?;
        let digest = report.digest;
        let record = self.record(digest, &report.suspect);
        let is_changed = record.merge(report, now);
        let knows_less = report.runs.len() < record.runs().len();
        if knows_less && record.level(now) >= Level::LetOut {
            let whole = record.report(digest, now);
            self.teller.answer(from, whole, now);
        }
        if is_changed {
            self.changed(digest, false, now);
        }
        Ok(())
    }

    /// Takes what the platform's store holds, and tells all boxes what is new in it.
    ///
    /// # Errors
    ///
    /// Refuses a report that can't be true; nothing of it is taken.
    pub fn confirmed(&mut self, report: &RunReport, now: Millis) -> Result<(), ReportError> {
        report.check()?;
        let record = self.record(report.digest, &report.suspect);
        if record.merge(report, now) {
            self.changed(report.digest, true, now);
        }
        Ok(())
    }

    /// Requests that were shut out since the last time and that this box has to confirm in the
    /// platform's store, each with how long.
    pub fn take_unconfirmed(&mut self, now: Millis) -> Vec<(RunReport, Millis)> {
        let unconfirmed = std::mem::take(&mut self.unconfirmed);
        let shut_out = unconfirmed.into_iter().filter_map(|digest| {
            let record = self.records.get(&digest)?;
            match record.verdict(now) {
                Verdict::ShutOut { for_ms } => Some((record.report(digest, now), for_ms)),
                _ => None,
            }
        });
        shut_out.collect()
    }

    /// Takes the boxes that serve.
    pub fn set_boxes(&mut self, boxes: Vec<QuarantineBox>, now: Millis) {
        let newcomers = self.teller.set_boxes(boxes);
        if newcomers.is_empty() {
            return;
        }
        let told_to_all = |record: &Record| record.level(now) >= Level::Suspected;
        for (digest, record) in &self.records {
            if told_to_all(record) && self.teller.counts_beside(*digest, &newcomers) {
                let report = record.report(*digest, now);
                self.teller.tell(&newcomers, &report, now);
            }
        }
    }

    /// Looks at what time has changed.
    pub fn tick(&mut self, now: Millis) {
        let mut let_out = Vec::new();
        for (digest, record) in &mut self.records {
            if record.seen_level(now) == Some(Level::LetOut) {
                let_out.push(*digest);
            }
        }
        for digest in let_out {
            self.note(digest, QuarantineChange::LetOut);
        }
        let held = self.records.len();
        self.records.retain(|_, record| !record.is_over(now));
        if self.records.len() != held {
            self.recollect_shapes();
        }
    }

    /// Reports to be sent now, each with where to.
    pub fn take_reports(&mut self, now: Millis) -> Vec<(SocketAddr, RunReport)> {
        self.teller.take(now)
    }

    /// What changed since the last time.
    pub fn take_news(&mut self) -> Vec<QuarantineNews> {
        std::mem::take(&mut self.news)
    }

    /// What operators see: requests that are suspected or shut out.
    pub fn status(&self, now: Millis) -> Vec<ShutOutStatus> {
        let known = self.records.iter();
        known
            .filter_map(|(digest, record)| ShutOutStatus::of(*digest, record, now))
            .collect()
    }

    fn recollect_shapes(&mut self) {
        let records = self.records.values();
        self.shapes = records.map(|record| record.suspect().shape).collect();
    }

    /// Tells others of a change and notes it for the log.
    fn changed(&mut self, digest: RequestDigest, is_mine: bool, now: Millis) {
        let Some(record) = self.records.get_mut(&digest) else {
            return;
        };
        let report = record.report(digest, now);
        let change = match record.seen_level(now) {
            Some(Level::Suspected) => Some(QuarantineChange::Suspected),
            Some(Level::ShutOut) => Some(QuarantineChange::ShutOut),
            Some(Level::Clear) => Some(QuarantineChange::Cleared),
            _ => None,
        };
        if is_mine {
            self.teller.tell_counters(&report, now);
        }
        if let Some(change) = change {
            let counts = self.teller.counts(digest);
            if is_mine || counts {
                self.teller.tell_all(&report, now);
            }
            if counts && change == QuarantineChange::ShutOut {
                self.unconfirmed.push(digest);
            }
            self.note(digest, change);
        }
    }

    fn note(&mut self, digest: RequestDigest, change: QuarantineChange) {
        let Some(record) = self.records.get(&digest) else {
            return;
        };
        self.news.push(QuarantineNews {
            digest,
            suspect: record.suspect().clone(),
            change,
            runs: record.runs().to_vec(),
        });
    }

    /// What is known of a request, from now on.
    fn record(&mut self, digest: RequestDigest, suspect: &Suspect) -> &mut Record {
        self.make_room(digest, suspect);
        self.shapes.insert(suspect.shape);
        let known = self.records.entry(digest);
        known.or_insert_with(|| Record::new(suspect.clone()))
    }

    /// Forgets the request of least weight where there are too many: of the same workspace
    /// where that has its part, else of the one that has most.
    fn make_room(&mut self, digest: RequestDigest, suspect: &Suspect) {
        if self.records.len() < MOST_OF_A_WORKSPACE || self.records.contains_key(&digest) {
            return;
        }
        let mut by_workspace: BTreeMap<Option<&Workspace>, usize> = BTreeMap::new();
        for record in self.records.values() {
            let workspace = record.suspect().workspace.as_ref();
            *by_workspace.entry(workspace).or_default() += 1;
        }
        let own = by_workspace.get(&suspect.workspace.as_ref());
        let crowded = if own.is_some_and(|held| *held >= MOST_OF_A_WORKSPACE) {
            suspect.workspace.clone()
        } else if self.records.len() >= MOST_REQUESTS {
            let most = by_workspace.iter().max_by_key(|(_, held)| **held);
            most.and_then(|(workspace, _)| workspace.cloned())
        } else {
            return;
        };
        let of_workspace = self
            .records
            .iter()
            .filter(|(_, record)| record.suspect().workspace == crowded);
        let least = of_workspace.min_by_key(|(_, record)| record.weight());
        if let Some(least) = least.map(|(digest, _)| *digest) {
            self.records.remove(&least);
        }
        if self.shapes.len() > 2 * MOST_REQUESTS {
            self.recollect_shapes();
        }
    }
}
