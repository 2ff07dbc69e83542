//! Chooses the peer to request the store's updates from.
//!
//! Nearby peers come first, since requests to them are cheap. When many boxes fail together,
//! though, all nearby peers may be dead before this is detected, and each costs a timeout. So
//! after a failed request the peer with the newest revision is chosen, wherever it is: only
//! live boxes receive new revisions.

use crate::change::Revision;
use brasswinch_types::Millis;
use std::collections::HashMap;
use std::net::SocketAddr;

/// How long a peer is avoided after a failed request. An avoided peer is chosen only if every
/// candidate is avoided.
const AVOID_MS: Millis = 2_000;

/// The distance to another box.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same zone.
    Zone,
    /// In the same region.
    Region,
    /// In another region.
    Elsewhere,
}

/// A peer that has newer data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its peer address.
    pub peer: SocketAddr,
    /// The distance to it.
    pub distance: Distance,
    /// The latest revision that it has of the requested scope.
    pub revision: Revision,
}

/// Selects peers, and avoids those whose last request failed.
#[derive(Clone, Debug, Default)]
pub struct PeerSelector {
    avoided: HashMap<SocketAddr, Millis>,
    last_request_failed: bool,
}

impl PeerSelector {
    /// Chooses one of `candidates`; `random`, from 0 to 1, decides between equally good ones.
    pub fn choose(
        &mut self,
        candidates: &[Candidate],
        random: f64,
        now: Millis,
    ) -> Option<Candidate> {
        self.avoided.retain(|_, until| *until > now);
        let rank = |candidate: &Candidate| {
            let is_avoided = self.avoided.contains_key(&candidate.peer);
            if self.last_request_failed {
                let unknown = u64::MAX - candidate.revision.0;
                (is_avoided, unknown, candidate.distance)
            } else {
                (is_avoided, 0, candidate.distance)
            }
        };
        let best = candidates.iter().map(rank).min()?;
        let equals: Vec<&Candidate> = candidates.iter().filter(|c| rank(c) == best).collect();
        let drawn = (random * equals.len() as f64) as usize;
        equals.get(drawn.min(equals.len() - 1)).map(|c| **c)
    }

    /// Records that `peer` answered a request.
    pub fn record_success(&mut self, peer: SocketAddr) {
        self.avoided.remove(&peer);
        self.last_request_failed = false;
    }

    /// Records that a request to `peer` failed.
    pub fn record_failure(&mut self, peer: SocketAddr, now: Millis) {
        self.avoided.insert(peer, now + AVOID_MS);
        self.last_request_failed = true;
    }
}
