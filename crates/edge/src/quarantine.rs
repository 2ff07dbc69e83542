//! Quarantines requests that crash upstreams, at this box and fleet-wide; [`Quarantine`]
//! decides.

use crate::clock::Clock;
use crate::context::Context;
use crate::datagram::Datagram;
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{
    CrashReport, MemberRecord, Quarantine, QuarantineBox, QuarantineChange, QuarantineEvent,
    QuarantineStatus, RequestDigest, RequestShape, Suspect, UpstreamCrash, UpstreamIncarnation,
    Verdict,
};
use brasswinch_types::BoxId;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// This box's state of the quarantine.
#[derive(Debug)]
pub(crate) struct QuarantineTasks {
    quarantine: Mutex<Quarantine>,
    /// Wakes the task that stores newly quarantined requests.
    pub(crate) has_unconfirmed: Notify,
}

impl QuarantineTasks {
    pub(crate) fn new(me: BoxId) -> Self {
        Self {
            quarantine: Mutex::new(Quarantine::new(me)),
            has_unconfirmed: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Context {
    /// Returns whether there may be a record of a request of this shape.
    pub(crate) fn may_be_quarantined(&self, shape: RequestShape) -> bool {
        self.quarantine.lock().may_have_record(shape)
    }

    /// Returns the verdict on a request.
    pub(crate) fn quarantine_verdict(&self, digest: RequestDigest) -> Verdict {
        let now = self.clock.now();
        self.quarantine.lock().verdict(digest, now)
    }

    /// Records that the upstream of `incarnation` broke the connection during the request that
    /// was sent at `began`.
    pub(crate) fn record_run_crash(
        &self,
        digest: RequestDigest,
        suspect: &Suspect,
        incarnation: &UpstreamIncarnation,
        began: Instant,
    ) {
        let now = self.clock.now();
        let crash = UpstreamCrash {
            upstream: incarnation.upstream.clone(),
            started: incarnation.started,
            began: now.saturating_sub(Clock::millis(began.elapsed())),
            ended: now,
        };
        self.quarantine
            .lock()
            .record_crash(digest, suspect, crash, now);
        self.send_crash_reports();
    }

    /// Records that an upstream answered the request.
    pub(crate) fn record_run_answer(&self, digest: RequestDigest) {
        let now = self.clock.now();
        self.quarantine.lock().record_answer(digest, now);
        self.send_crash_reports();
    }

    /// Handles another box's report on a request.
    pub(crate) fn handle_crash_report(&self, report: &CrashReport, from: SocketAddr) {
        let now = self.clock.now();
        let merged = self.quarantine.lock().handle_report(report, from, now);
        match merged {
            Ok(()) => self.send_crash_reports(),
            Err(error) => emit(Event::PeerMalformed, format_args!("{from}: {error}")),
        }
    }

    /// Expires records and sends due reports.
    pub(crate) fn tick_quarantine(&self) {
        let now = self.clock.now();
        self.quarantine.lock().tick(now);
        self.send_crash_reports();
    }

    /// Sets the serving boxes.
    pub(crate) fn set_quarantine_boxes(&self) {
        let swim = self.swim();
        let boxes = swim.serving_boxes().map(quarantine_box).collect();
        drop(swim);
        let now = self.clock.now();
        self.quarantine.lock().set_boxes(boxes, now);
        self.send_crash_reports();
    }

    /// Takes the requests that have yet to be stored, each with its remaining duration.
    pub(crate) fn take_unconfirmed(&self) -> Vec<(CrashReport, Duration)> {
        let now = self.clock.now();
        let unconfirmed = self.quarantine.lock().take_unconfirmed(now);
        let unconfirmed = unconfirmed.into_iter();
        unconfirmed
            .map(|(report, for_ms)| (report, Duration::from_millis(for_ms)))
            .collect()
    }

    /// Stores the quarantined requests of this box again.
    pub(crate) fn confirm_quarantine_again(&self) {
        let now = self.clock.now();
        self.quarantine.lock().confirm_again(now);
        self.quarantine.has_unconfirmed.notify_one();
    }

    /// Merges the store's report on a request.
    pub(crate) fn merge_stored_quarantine(&self, report: &CrashReport) {
        let now = self.clock.now();
        let merged = self.quarantine.lock().merge_stored(report, now);
        match merged {
            Ok(()) => self.send_crash_reports(),
            Err(error) => emit(Event::ConfigMalformed, format_args!("quarantine: {error}")),
        }
    }

    /// Returns the quarantine status for operators.
    pub(crate) fn quarantine_status(&self) -> Vec<QuarantineStatus> {
        let now = self.clock.now();
        self.quarantine.lock().status(now)
    }

    fn send_crash_reports(&self) {
        let now = self.clock.now();
        let mut quarantine = self.quarantine.lock();
        let reports = quarantine.take_reports(now);
        let events = quarantine.take_events();
        drop(quarantine);
        for (to, report) in reports {
            self.send_datagram(&Datagram::CrashReport(report), to);
        }
        events.iter().for_each(log_event);
        if events
            .iter()
            .any(|event| event.change == QuarantineChange::Quarantined)
        {
            self.quarantine.has_unconfirmed.notify_one();
        }
    }
}

fn quarantine_box(record: &MemberRecord) -> QuarantineBox {
    QuarantineBox {
        id: record.id.clone(),
        incarnation: record.incarnation,
        address: record.peer_address,
    }
}

fn log_event(event: &QuarantineEvent) {
    let kind = match event.change {
        QuarantineChange::Suspected => Event::RequestSuspected,
        QuarantineChange::Quarantined => Event::RequestShutOut,
        QuarantineChange::Cleared => Event::RequestCleared,
        QuarantineChange::Released => Event::RequestLetOut,
    };
    let (digest, service) = (event.digest, &event.suspect.service);
    let workspace = event.suspect.workspace.as_ref();
    let workspace = workspace.map_or("-", |workspace| workspace.as_str());
    let crashes = CrashList(&event.crashes);
    emit(
        kind,
        format_args!("digest={digest} service={service} workspace={workspace} {crashes}"),
    );
}

/// Formats crashes for a log line: each upstream, and how long the request ran there.
struct CrashList<'a>(&'a [UpstreamCrash]);

impl fmt::Display for CrashList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "upstreams={}", self.0.len())?;
        self.0.iter().try_for_each(|crash| {
            let ran_ms = crash.ended.saturating_sub(crash.began);
            write!(f, " {}:{ran_ms}ms", crash.upstream)
        })
    }
}
