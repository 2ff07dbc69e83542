//! Chooses which box to ask for news of the store.
//!
//! A near one first, since it is cheap. But where many boxes died together the near ones
//! may all be dead without anybody having noticed yet, and each of them costs a time-out:
//! after a question that failed, the one that knows most is asked, wherever it stands. Only
//! living boxes learn what is new.

use crate::change::Revision;
use brasswinch_types::Millis;
use std::collections::HashMap;
use std::net::SocketAddr;

/// How long a box that did not help is asked only where nobody else knows more.
const AVOID_MS: Millis = 2_000;

/// How far another box is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same zone.
    Zone,
    /// In the same region.
    Region,
    /// In another region.
    Elsewhere,
}

/// A box that knows more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Where it is asked.
    pub peer: SocketAddr,
    /// How far it is.
    pub distance: Distance,
    /// Up to where it knows what is asked for.
    pub revision: Revision,
}

/// Remembers which boxes did not help.
#[derive(Clone, Debug, Default)]
pub struct NewsSources {
    avoided: HashMap<SocketAddr, Millis>,
    last_failed: bool,
}

impl NewsSources {
    /// One of `candidates`; among equal ones `random`, from 0 to 1, decides.
    pub fn choose(
        &mut self,
        candidates: &[Candidate],
        random: f64,
        now: Millis,
    ) -> Option<Candidate> {
        self.avoided.retain(|_, until| *until > now);
        let rank = |candidate: &Candidate| {
            let is_avoided = self.avoided.contains_key(&candidate.peer);
            if self.last_failed {
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

    /// The box at `peer` told what it was asked for.
    pub fn helped(&mut self, peer: SocketAddr) {
        self.avoided.remove(&peer);
        self.last_failed = false;
    }

    /// The box at `peer` did not.
    pub fn failed(&mut self, peer: SocketAddr, now: Millis) {
        self.avoided.insert(peer, now + AVOID_MS);
        self.last_failed = true;
    }
}
