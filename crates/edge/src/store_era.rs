//! Notices that the store was restored from an older copy.

use crate::context::Context;
use brasswinch_observe::{Event, emit};
use brasswinch_routing::StoreEra;
use std::fmt;
use std::sync::{Mutex, PoisonError};

/// The store's newest era that this box has learned of; `None` before the first view.
#[derive(Debug, Default)]
pub(crate) struct KnownEra(Mutex<Option<StoreEra>>);

impl KnownEra {
    /// Records an era. Returns the one before if a later one follows it.
    fn replace(&self, era: StoreEra) -> Option<StoreEra> {
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let previous = *known;
        *known = previous.max(Some(era));
        previous.filter(|previous| *previous < era)
    }
}

impl Context {
    /// Records the era of a view of the store, learned from `source`. In a new one the store lacks
    /// what was written lately, also by boxes.
    pub(crate) fn observe_store_era(&self, era: StoreEra, source: &dyn fmt::Display) {
        if let Some(previous) = self.store_era.replace(era) {
            emit(
                Event::StoreRestored,
                format_args!("era={era} before={previous} from={source}"),
            );
            self.confirm_quarantine_again();
        }
    }
}
