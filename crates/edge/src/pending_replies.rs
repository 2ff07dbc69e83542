//! Matches replies of other boxes to the requests that wait for them.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Requests that wait for a reply, by id.
#[derive(Debug)]
pub(crate) struct PendingReplies<A> {
    by_id: Mutex<HashMap<u64, oneshot::Sender<A>>>,
}

impl<A> Default for PendingReplies<A> {
    fn default() -> Self {
        Self {
            by_id: Mutex::default(),
        }
    }
}

impl<A> PendingReplies<A> {
    fn lock(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<A>>> {
        self.by_id.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers the request `id`. Must be called before it is sent.
    pub(crate) fn wait(&self, id: u64) -> PendingReply<'_, A> {
        let (sender, reply) = oneshot::channel();
        self.lock().insert(id, sender);
        PendingReply {
            pending_replies: self,
            id,
            reply,
        }
    }

    /// Delivers a reply. Returns it if no task waits for it any more.
    pub(crate) fn answered(&self, id: u64, reply: A) -> Option<A> {
        let Some(sender) = self.lock().remove(&id) else {
            return Some(reply);
        };
        sender.send(reply).err()
    }
}

/// A reply that a task waits for. Dropping it cancels the wait.
pub(crate) struct PendingReply<'a, A> {
    pending_replies: &'a PendingReplies<A>,
    id: u64,
    reply: oneshot::Receiver<A>,
}

impl<A> PendingReply<'_, A> {
    /// Returns the reply if it arrives within `time`.
    pub(crate) async fn within(mut self, time: Duration) -> Option<A> {
        let answered = timeout(time, &mut self.reply).await;
        answered.ok()?.ok()
    }
}

impl<A> Drop for PendingReply<'_, A> {
    fn drop(&mut self) {
        self.pending_replies.lock().remove(&self.id);
    }
}
