//! Matches replies of other boxes to the requests that wait for them.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Requests that wait for a reply, by id.
#[derive(Debug)]
pub(crate) struct Waiters<A> {
    by_question: Mutex<HashMap<u64, oneshot::Sender<A>>>,
}

impl<A> Default for Waiters<A> {
    fn default() -> Self {
        Self {
            by_question: Mutex::default(),
        }
    }
}

impl<A> Waiters<A> {
    fn lock(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<A>>> {
        self.by_question
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers the request `question`. Must be called before it is sent.
    pub(crate) fn wait(&self, question: u64) -> Waiting<'_, A> {
        let (sender, answer) = oneshot::channel();
        self.lock().insert(question, sender);
        Waiting {
            waiters: self,
            question,
            answer,
        }
    }

    /// Delivers a reply. Returns it if no task waits for it any more.
    pub(crate) fn answered(&self, question: u64, answer: A) -> Option<A> {
        let Some(waiting) = self.lock().remove(&question) else {
            return Some(answer);
        };
        waiting.send(answer).err()
    }
}

/// A reply that is waited for. Dropping it cancels the wait.
pub(crate) struct Waiting<'a, A> {
    waiters: &'a Waiters<A>,
    question: u64,
    answer: oneshot::Receiver<A>,
}

impl<A> Waiting<'_, A> {
    /// Returns the reply if it arrives within `time`.
    pub(crate) async fn within(mut self, time: Duration) -> Option<A> {
        let answered = timeout(time, &mut self.answer).await;
        answered.ok()?.ok()
    }
}

impl<A> Drop for Waiting<'_, A> {
    fn drop(&mut self) {
        self.waiters.lock().remove(&self.question);
    }
}
