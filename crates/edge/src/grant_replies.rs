//! Matches replies of quotas' coordinators to the requests that need a grant.
//!
//! Unlike [`crate::pending_replies`], a request may get several replies: one that it waits, and
//! later the grant. Both may arrive before the request's task runs, so they are queued.

use brasswinch_routing::QuotaReply;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

/// Most undelivered replies per request: that it waits, its grant, and the replies to a repeated
/// query. More can only be duplicates.
const MAX_PENDING_REPLIES: usize = 4;

/// Requests that need a grant, by id.
#[derive(Debug, Default)]
pub(crate) struct GrantReplies {
    by_id: Mutex<HashMap<u64, mpsc::Sender<QuotaReply>>>,
}

impl GrantReplies {
    fn lock(&self) -> MutexGuard<'_, HashMap<u64, mpsc::Sender<QuotaReply>>> {
        self.by_id.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers the request `id`. Must be called before its query is sent or its grant is taken.
    pub(crate) fn register(&self, id: u64) -> GrantReceiver<'_> {
        let (sender, replies) = mpsc::channel(MAX_PENDING_REPLIES);
        self.lock().insert(id, sender);
        GrantReceiver {
            grant_replies: self,
            id,
            replies,
        }
    }

    /// Delivers a reply. Returns it if no request waits for it.
    pub(crate) fn deliver(&self, reply: QuotaReply) -> Option<QuotaReply> {
        let Some(sender) = self.lock().get(&reply.id).cloned() else {
            return Some(reply);
        };
        sender.try_send(reply).err().map(|error| match error {
            mpsc::error::TrySendError::Full(reply) | mpsc::error::TrySendError::Closed(reply) => {
                reply
            }
        })
    }
}

/// Receives the replies to one request. Dropping it unregisters the request.
#[derive(Debug)]
pub(crate) struct GrantReceiver<'a> {
    grant_replies: &'a GrantReplies,
    id: u64,
    replies: mpsc::Receiver<QuotaReply>,
}

impl GrantReceiver<'_> {
    /// Returns the next reply that arrives before `deadline`.
    pub(crate) async fn next_until(&mut self, deadline: Instant) -> Option<QuotaReply> {
        timeout_at(deadline, self.replies.recv()).await.ok()?
    }
}

impl Drop for GrantReceiver<'_> {
    fn drop(&mut self) {
        self.grant_replies.lock().remove(&self.id);
    }
}
