//! What the product needs from the store that holds configuration and upstreams.

use brasswinch_routing::{Revised, Revision, Scope, Snapshot};
use std::future::Future;
use std::time::Duration;

/// Why the store gave no answer that can be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreFailure {
    /// The changes since the revision asked for are no longer kept.
    #[error("the history is gone")]
    HistoryGone,
    /// Too many calls.
    #[error("the store is busy")]
    Busy,
    /// It can't be reached or says that it does not serve.
    #[error("the store is unavailable: {0}")]
    Unavailable(String),
    /// Its answer can't be read.
    #[error("the store's answer can't be read: {0}")]
    Malformed(String),
}

/// What a watch brought.
#[derive(Clone, Debug, PartialEq)]
pub struct Watched {
    /// Where to go on from.
    pub at: Revision,
    /// The changes, oldest first; none if the time ran out.
    pub changes: Vec<Revised>,
}

/// The store, as far as it is followed.
pub trait FleetStore: Send + Sync + 'static {
    /// Everything in `scope`.
    fn list(&self, scope: Scope) -> impl Future<Output = Result<Snapshot, StoreFailure>> + Send;

    /// Waits at most `wait` for a change in `scope` after a revision.
    fn watch(
        &self,
        scope: Scope,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Watched, StoreFailure>> + Send;
}
