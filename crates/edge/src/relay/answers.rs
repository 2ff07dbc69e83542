//! Answers to other boxes' questions. When a configuration of thousands of routes changes,
//! or many boxes start together, all ask the same: a large answer is made once.

use super::Question;
use super::transfer::{Packed, TransferError, pack};
use crate::context::Context;
use brasswinch_routing::Revision;
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

/// Answers that are kept. After a change boxes lack one version, or two, or all.
const KEPT_ANSWERS: usize = 4;

/// Answers under this size are made anew each time, in bytes.
const KEEP_FROM: usize = 8 * 1024;

/// An answer, and what it was made for.
struct Kept {
    question: Question,
    /// Up to where this box knew the scope.
    at: Option<Revision>,
    packed: Packed,
}

/// The last large answers.
#[derive(Default)]
pub(super) struct AnswerCache {
    kept: Mutex<VecDeque<Kept>>,
}

impl AnswerCache {
    /// The answer to `question`: what its asker lacks. A box that knows nothing itself
    /// says so.
    pub(super) fn answer(
        &self,
        context: &Context,
        question: Question,
    ) -> Result<Packed, TransferError> {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let fleet = context.fleet();
        let at = fleet.newest(question.scope);
        let same = |kept: &&Kept| kept.question == question && kept.at == at;
        if let Some(same) = kept.iter().find(same) {
            return Ok(same.packed.clone());
        }
        let missing = fleet.missing(question.scope, question.after, question.config);
        drop(fleet);
        let packed = pack(&missing)?;
        if packed.len() >= KEEP_FROM {
            kept.truncate(KEPT_ANSWERS - 1);
            kept.push_front(Kept {
                question,
                at,
                packed: packed.clone(),
            });
        }
        Ok(packed)
    }
}
