//! Limits that upstreams name in their answers: requests a second from all boxes together.

mod limit;

use crate::upstream::UpstreamLife;
pub use limit::{UpstreamLimit, UpstreamLimitError};
use std::collections::HashMap;

/// What an answer changes in what a box knows of an upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// It names one, or another one than before.
    Named(UpstreamLimit),
    /// It names none any more.
    Lifted,
}

/// The limits that upstreams name, as one box knows them.
#[derive(Debug, Default)]
pub struct UpstreamLimits {
    known: HashMap<UpstreamLife, UpstreamLimit>,
}

impl UpstreamLimits {
    /// Takes what an answer names; `None` where it names none. Says what that changes.
    pub fn named(
        &mut self,
        life: &UpstreamLife,
        limit: Option<UpstreamLimit>,
    ) -> Option<LimitChange> {
        let before = match limit {
            Some(limit) => self.known.insert(life.clone(), limit),
            None => self.known.remove(life),
        };
        if before == limit {
            return None;
        }
        Some(limit.map_or(LimitChange::Lifted, LimitChange::Named))
    }

    /// Forgets lives of upstreams that are over.
    pub fn retain(&mut self, is_held: impl Fn(&UpstreamLife) -> bool) {
        self.known.retain(|life, _| is_held(life));
    }
}
