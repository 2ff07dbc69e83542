//! Recent grants of a coordinator, so that a repeated request for one takes no further token.

use super::class::MAX_WAIT_MS;
use brasswinch_types::Millis;
use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;

/// How long a grant is remembered: the longest wait, two reply timeouts of 60 ms, and the
/// messages' delay.
const GRANT_RETENTION_MS: Millis = MAX_WAIT_MS + 200;

/// A box's request. Ids are random; the address keeps apart requests of two boxes that use the
/// same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct RequestKey {
    pub(super) from: SocketAddr,
    pub(super) id: u64,
}

/// The requests that were granted recently.
#[derive(Debug, Default)]
pub(super) struct Grants {
    keys: HashSet<RequestKey>,
    by_time: VecDeque<(Millis, RequestKey)>,
}

impl Grants {
    /// Records a grant.
    pub(super) fn insert(&mut self, key: RequestKey, now: Millis) {
        if key.id != 0 && self.keys.insert(key) {
            self.by_time.push_back((now, key));
        }
    }

    /// Whether the request was granted recently.
    pub(super) fn contains(&mut self, key: RequestKey, now: Millis) -> bool {
        while let Some((at, oldest)) = self.by_time.front() {
            if now.saturating_sub(*at) < GRANT_RETENTION_MS {
                break;
            }
            self.keys.remove(oldest);
            self.by_time.pop_front();
        }
        self.keys.contains(&key)
    }

    /// Forgets a recent grant. Returns whether there was one.
    pub(super) fn remove(&mut self, key: RequestKey, now: Millis) -> bool {
        if !self.contains(key, now) {
            return false;
        }
        self.by_time.retain(|(_, other)| *other != key);
        self.keys.remove(&key)
    }
}
