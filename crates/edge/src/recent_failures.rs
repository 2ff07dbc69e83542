//! Boxes that failed lately and are skipped for a while.

use brasswinch_types::BoxId;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Boxes that failed, each with when to try it again.
#[derive(Debug)]
pub(crate) struct RecentFailures {
    skipped_for: Duration,
    until: Mutex<HashMap<BoxId, Instant>>,
}

impl RecentFailures {
    /// Creates an empty record; a box that fails is skipped for `skipped_for`.
    pub(crate) fn new(skipped_for: Duration) -> Self {
        Self {
            skipped_for,
            until: Mutex::default(),
        }
    }

    /// Whether the box is to be skipped now.
    pub(crate) fn contains(&self, id: &BoxId) -> bool {
        let mut until = self.lock();
        until.retain(|_, until| Instant::now() < *until);
        until.contains_key(id)
    }

    /// Records that the box works.
    pub(crate) fn remove(&self, id: &BoxId) {
        self.lock().remove(id);
    }

    /// Records that the box failed.
    pub(crate) fn insert(&self, id: &BoxId) {
        let until = Instant::now() + self.skipped_for;
        self.lock().insert(id.clone(), until);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<BoxId, Instant>> {
        self.until.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
