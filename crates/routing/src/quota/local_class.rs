//! A box's state of the classes of one workspace.

use super::QuotaClassStatus;
use crate::refusals::with_jitter;
use brasswinch_types::Millis;
use std::collections::{BTreeMap, HashSet};

/// How long a box refuses requests of a class without asking after the coordinator refused one:
/// each box then asks three to five times a second, whatever the traffic.
const LOCAL_REFUSAL_MS: Millis = 200;

/// Most classes of a workspace that a box tells apart. The requests of others are treated as those
/// of unknown class.
const MAX_CLASSES: usize = 128;

/// Most ids of waiting requests that are remembered; more requests don't wait at a coordinator.
const MAX_WAITING_IDS: usize = 4_096;

/// A box's state of one class.
#[derive(Debug, Default)]
pub(super) struct LocalClass {
    refuse_until: Millis,
    /// The coordinator's last retry time for refused clients, in milliseconds.
    retry_after_ms: Millis,
    /// Requests refused without asking since the last message to the coordinator.
    refused_locally: u32,
    /// Ids of the requests that wait at the coordinator.
    waiting_ids: HashSet<u64>,
    status: QuotaClassStatus,
}

impl LocalClass {
    /// Refuses a request without asking, if the coordinator refused one of the class recently.
    /// Returns when the client may retry, in milliseconds.
    pub(super) fn refuse_locally(&mut self, random: f64, now: Millis) -> Option<Millis> {
        if now >= self.refuse_until {
            return None;
        }
        self.refused_locally = self.refused_locally.saturating_add(1);
        self.status.refused_locally += 1;
        let refuse_for_ms = self.refuse_until - now;
        Some(with_jitter(self.retry_after_ms.max(refuse_for_ms), random))
    }

    /// Starts a period in which requests are refused without asking. The coordinator asks clients
    /// to retry after `retry_after_ms`.
    pub(super) fn start_local_refusal(&mut self, retry_after_ms: Millis, random: f64, now: Millis) {
        self.retry_after_ms = retry_after_ms;
        self.refuse_until = now + with_jitter(LOCAL_REFUSAL_MS, random);
    }

    pub(super) fn take_refused_locally(&mut self) -> u32 {
        std::mem::take(&mut self.refused_locally)
    }

    /// Counts a request that needs a grant.
    pub(super) fn count_asked(&mut self) {
        self.status.asked += 1;
    }

    /// Counts an admitted request.
    pub(super) fn count_granted(&mut self) {
        self.status.granted += 1;
    }

    /// Counts a refused request.
    pub(super) fn count_refused(&mut self) {
        self.status.refused += 1;
    }

    /// Records that the request `id` waits at the coordinator.
    pub(super) fn wait(&mut self, id: u64) {
        if self.waiting_ids.len() < MAX_WAITING_IDS && self.waiting_ids.insert(id) {
            self.status.waited += 1;
        }
    }

    /// Records that the request `id` no longer waits.
    pub(super) fn stop_waiting(&mut self, id: u64, is_granted: bool) {
        if self.waiting_ids.remove(&id) && !is_granted {
            self.status.expired += 1;
        }
    }
}

/// The classes of one workspace.
#[derive(Debug, Default)]
pub(super) struct LocalClasses {
    classes: BTreeMap<u64, LocalClass>,
}

impl LocalClasses {
    /// Returns the state of a class.
    pub(super) fn get(&mut self, class: u64) -> &mut LocalClass {
        let is_untold = self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(&class);
        self.classes
            .entry(if is_untold { 0 } else { class })
            .or_default()
    }

    /// Returns the counts of each class, ordered by class.
    pub(super) fn status(&self) -> Vec<QuotaClassStatus> {
        let status = |(class, local): (&u64, &LocalClass)| QuotaClassStatus {
            class: *class,
            ..local.status
        };
        self.classes.iter().map(status).collect()
    }
}
