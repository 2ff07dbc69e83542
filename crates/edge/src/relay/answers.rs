//! Answers to other boxes' questions. When a configuration of thousands of routes changes,
//! or many boxes start together, all ask the same: a large answer is made once, and few are
//! sent at a time, since all of them share the box's link.

use super::transfer::{Packed, TransferError, pack};
use super::{Question, Reply};
use crate::context::Context;
use brasswinch_routing::Revision;
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use tokio::sync::{Semaphore, SemaphorePermit};

/// Answers that are kept. After a change boxes lack one version, or two, or all.
const KEPT_ANSWERS: usize = 4;

/// Answers from this size on are large, in bytes: they are kept, and wait their turn.
const LARGE: usize = 8 * 1024;

/// Large answers that are sent at a time. Eight of 130 kB, which is what 5,000 routes take,
/// share a link of 10 Mbit/s for 0.9 s.
const LARGE_AT_A_TIME: usize = 8;

/// An answer, and what it was made for.
struct Kept {
    question: Question,
    /// Up to where this box knew the scope.
    at: Option<Revision>,
    packed: Packed,
}

/// An answer that may be sent.
pub(super) struct Answer<'a> {
    pub(super) packed: Packed,
    /// Held until a large answer was sent.
    _turn: Option<SemaphorePermit<'a>>,
}

/// The last large answers, and the turns of those that are being sent.
pub(super) struct AnswerCache {
    kept: Mutex<VecDeque<Kept>>,
    turns: Semaphore,
}

impl Default for AnswerCache {
    fn default() -> Self {
        Self {
            kept: Mutex::default(),
            turns: Semaphore::new(LARGE_AT_A_TIME),
        }
    }
}

impl AnswerCache {
    /// The answer to `question`: what its asker lacks, or that it has to ask another box.
    pub(super) fn answer(
        &self,
        context: &Context,
        question: Question,
    ) -> Result<Answer<'_>, TransferError> {
        let packed = self.packed(context, question)?;
        if packed.len() < LARGE {
            return Ok(Answer {
                packed,
                _turn: None,
            });
        }
        // An error means that all turns are taken.
        let Ok(turn) = self.turns.try_acquire() else {
            let packed = pack(&Reply::Busy)?;
            return Ok(Answer {
                packed,
                _turn: None,
            });
        };
        let _turn = Some(turn);
        Ok(Answer { packed, _turn })
    }

    fn packed(&self, context: &Context, question: Question) -> Result<Packed, TransferError> {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let fleet = context.fleet();
        let at = fleet.newest(question.scope);
        let same = |kept: &&Kept| kept.question == question && kept.at == at;
        if let Some(same) = kept.iter().find(same) {
            return Ok(same.packed.clone());
        }
        let missing = fleet.missing(question.scope, question.after, question.config);
        drop(fleet);
        let packed = pack(&missing.map_or(Reply::KnowsNothing, Reply::News))?;
        if packed.len() >= LARGE {
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
