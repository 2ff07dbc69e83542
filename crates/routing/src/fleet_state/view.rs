//! The time as of which a box's view of a scope is complete.
//!
//! All times are of the box's own monotonic clock. Peers send the age of their view and not a
//! time, so wall clock jumps have no effect.

use crate::change::Revision;
use brasswinch_types::Millis;
use std::collections::VecDeque;

/// Most watermarks that are pending until the box knows their revision. One arrives every few
/// hundred milliseconds, so one that eight others have followed is too old to be of use.
const MAX_PENDING_WATERMARKS: usize = 8;

/// A watermark of one scope: every change that the store had acknowledged at `as_of` has a
/// revision of at most `revision`, and there is no later change up to revision `at`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watermark {
    /// The last change of the scope.
    pub revision: Revision,
    /// The store's revision up to which there is no later change of the scope.
    pub at: Revision,
    /// When this was true, in milliseconds of the local box's clock.
    pub as_of: Millis,
}

/// How complete the view of one scope is.
#[derive(Debug, Default)]
pub(super) struct View {
    as_of: Option<Millis>,
    at: Revision,
    /// Watermarks whose revision the box doesn't know yet.
    pending: VecDeque<Watermark>,
}

impl View {
    /// Returns the time as of which the view is complete; `None` if it never was.
    pub(super) fn as_of(&self) -> Option<Millis> {
        self.as_of
    }

    /// Returns the store's revision up to which everything is known.
    pub(super) fn at(&self) -> Revision {
        self.at
    }

    /// Returns the latest pending revision.
    pub(super) fn pending_revision(&self) -> Option<Revision> {
        self.pending
            .iter()
            .map(|watermark| watermark.revision)
            .max()
    }

    /// Records a watermark; everything up to `newest` is known.
    pub(super) fn record(&mut self, watermark: Watermark, newest: Option<Revision>) {
        if self.as_of.is_some_and(|as_of| as_of >= watermark.as_of) {
            return;
        }
        if self.pending.len() >= MAX_PENDING_WATERMARKS {
            self.pending.pop_front();
        }
        self.pending.push_back(watermark);
        self.apply_pending(newest);
    }

    /// Applies the pending watermarks up to `newest`, the revision up to which everything is known.
    pub(super) fn apply_pending(&mut self, newest: Option<Revision>) {
        let (as_of, at) = (&mut self.as_of, &mut self.at);
        self.pending.retain(|watermark| {
            let is_known = newest >= Some(watermark.revision);
            if is_known {
                *as_of = (*as_of).max(Some(watermark.as_of));
                *at = (*at).max(watermark.at);
            }
            !is_known
        });
    }
}
