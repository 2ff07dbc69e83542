//! Replies to other boxes' requests. When a configuration of thousands of routes changes, or many
//! boxes start together, all request the same. Therefore large replies are cached, and few are sent
//! at a time because they share the box's link.

use super::transfer::{Packed, TransferError, pack};
use super::{Question, Reply};
use crate::context::Context;
use brasswinch_routing::Revision;
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use tokio::sync::{Semaphore, SemaphorePermit};

/// Maximum cached replies. After a change, boxes lack one version, two, or all of them.
const KEPT_ANSWERS: usize = 4;

/// Replies of at least this size are large: they are cached, and few are sent at a time.
const LARGE: usize = 8 * 1024;

/// Maximum large replies that are sent at a time. Eight of 130 kB, the size of 5,000 routes, take
/// 0.9 s on a link of 10 Mbit/s.
const LARGE_AT_A_TIME: usize = 8;

/// A cached reply, with the request and the revision that it was encoded for.
struct Kept {
    question: Question,
    /// This box's newest revision of the scope at that time.
    at: Option<Revision>,
    packed: Packed,
}

/// A reply that may be sent now.
pub(super) struct Answer<'a> {
    pub(super) packed: Packed,
    /// Held until a large reply has been sent.
    _turn: Option<SemaphorePermit<'a>>,
}

/// Cache of recent large replies, with the limit on how many are sent at a time.
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
    /// Returns the reply to `question`: the missing changes, or a refusal that makes the requesting
    /// box ask another one.
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
        // An error means that no permit is available.
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
