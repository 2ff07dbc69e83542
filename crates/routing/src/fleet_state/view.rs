//! As of when a box knows all of a scope.
//!
//! All times are of the box's own steady clock. Others tell how old their view is, never
//! what time it is, so a clock that jumps changes nothing.

use crate::change::Revision;
use brasswinch_types::Millis;
use std::collections::VecDeque;

/// Claims that wait until the box knows what they speak of. One comes every few hundred
/// milliseconds, and one that has waited for eight others is no longer worth knowing.
const MOST_CLAIMS: usize = 8;

/// A statement about one scope: everything that the store had acknowledged at `as_of` has
/// a revision of at most `revision`, and nothing up to `at` is later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The last change of the scope.
    pub revision: Revision,
    /// The store's revision up to which there is no later one.
    pub at: Revision,
    /// When that was so, by the clock of the box that keeps the claim, in milliseconds.
    pub as_of: Millis,
}

/// What is known of the age of one scope.
#[derive(Debug, Default)]
pub(super) struct View {
    as_of: Option<Millis>,
    at: Revision,
    /// Claims about changes that the box lacks.
    awaited: VecDeque<Claim>,
}

impl View {
    /// As of when everything is known; `None` before that was ever so.
    pub(super) fn as_of(&self) -> Option<Millis> {
        self.as_of
    }

    /// The store's revision up to which everything is known.
    pub(super) fn at(&self) -> Revision {
        self.at
    }

    /// The latest revision that a claim speaks of and that isn't known yet.
    pub(super) fn awaited(&self) -> Option<Revision> {
        self.awaited.iter().map(|claim| claim.revision).max()
    }

    /// Takes a claim, where everything up to `newest` is known.
    pub(super) fn take(&mut self, claim: Claim, newest: Option<Revision>) {
        if self.as_of.is_some_and(|as_of| as_of >= claim.as_of) {
            return;
        }
        if self.awaited.len() >= MOST_CLAIMS {
            self.awaited.pop_front();
        }
        self.awaited.push_back(claim);
        self.settle(newest);
    }

    /// Takes that everything up to `newest` is known now.
    pub(super) fn settle(&mut self, newest: Option<Revision>) {
        let (as_of, at) = (&mut self.as_of, &mut self.at);
        self.awaited.retain(|claim| {
            let is_known = newest >= Some(claim.revision);
            if is_known {
                *as_of = (*as_of).max(Some(claim.as_of));
                *at = (*at).max(claim.at);
            }
            !is_known
        });
    }
}
