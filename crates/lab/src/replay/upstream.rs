//! An upstream: a few slots, a queue, and the objects that it has seen lately.

use brasswinch_routing::LoadReport;
use std::collections::VecDeque;

/// Requests that it works on at once.
pub(super) const SLOTS: u32 = 6;

/// Requests that may wait; it refuses more at once.
const MOST_WAITING: usize = 18;

/// Objects that it remembers.
const MOST_KNOWN: usize = 21;

/// Work of a request about an object that it doesn't know, in milliseconds.
const FIRST_WORK_MS: f64 = 1_120.0;

/// Spread of the work, each way.
const WORK_SPREAD: f64 = 0.15;

/// Part of the work that is left where the object is known.
const KNOWN_PART: f64 = 0.3;

/// A request that works or waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Job {
    pub(super) request: usize,
    pub(super) object: u64,
}

/// A job that has begun: how long it works, and whether the object was known.
#[derive(Clone, Copy, Debug)]
pub(super) struct Begun {
    pub(super) job: Job,
    pub(super) work_ms: f64,
    pub(super) is_known: bool,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Upstream {
    running: u32,
    waiting: VecDeque<Job>,
    known: VecDeque<u64>,
    /// Current duration of its work, in percent of the usual one; `None` if it doesn't change.
    duration_percent: Option<u32>,
    reports_duration: bool,
}

impl Upstream {
    /// Takes a job; `None` where it won't run it, else what begins now, if anything does.
    pub(super) fn take(&mut self, job: Job, random: f64) -> Option<Option<Begun>> {
        if self.running < SLOTS {
            return Some(Some(self.begin(job, random)));
        }
        if self.waiting.len() >= MOST_WAITING {
            return None;
        }
        self.waiting.push_back(job);
        Some(None)
    }

    /// A job is done; the next one begins, if one waits.
    pub(super) fn done(&mut self, random: f64) -> Option<Begun> {
        self.running -= 1;
        let next = self.waiting.pop_front()?;
        Some(self.begin(next, random))
    }

    /// Sets the current duration of its work, in percent of the usual one.
    pub(super) fn set_duration(&mut self, percent: u32, is_reported: bool) {
        self.duration_percent = Some(percent);
        self.reports_duration = is_reported;
    }

    /// Forgets all objects.
    pub(super) fn forget(&mut self) {
        self.known.clear();
    }

    /// Requests there, in multiples of its slots.
    pub(super) fn fullness(&self) -> f64 {
        let held = self.running as usize + self.waiting.len();
        held as f64 / f64::from(SLOTS)
    }

    /// The load that it reports.
    pub(super) fn report(&self) -> LoadReport {
        LoadReport {
            running: self.running,
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            slots: SLOTS,
            duration_percent: self.duration_percent.filter(|_| self.reports_duration),
        }
    }

    /// Records an object when a run of it begins. Returns whether it was known.
    fn learn(&mut self, object: u64) -> bool {
        let held = self.known.iter().position(|held| *held == object);
        if let Some(place) = held {
            self.known.remove(place);
        }
        self.known.push_back(object);
        if self.known.len() > MOST_KNOWN {
            self.known.pop_front();
        }
        held.is_some()
    }

    fn begin(&mut self, job: Job, random: f64) -> Begun {
        self.running += 1;
        let is_known = self.learn(job.object);
        let part = if is_known { KNOWN_PART } else { 1.0 };
        let slowness = f64::from(self.duration_percent.unwrap_or(100)) / 100.0;
        let spread = 1.0 + WORK_SPREAD * (2.0 * random - 1.0);
        Begun {
            job,
            work_ms: FIRST_WORK_MS * part * spread * slowness,
            is_known,
        }
    }
}
