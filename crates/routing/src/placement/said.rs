//! What upstreams said of themselves in answers. It holds for as long as an upstream lives,
//! also where its entry is lost meanwhile and comes back.

use crate::upstream::UpstreamLife;
use brasswinch_types::Millis;
use std::collections::{HashMap, VecDeque};

/// Most upstreams whose words are kept; the oldest are forgotten first. Of 100 bytes each they
/// take 0.4 MB.
const MOST_KEPT: usize = 4_096;

/// What one upstream said of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Said {
    /// It takes nothing new.
    pub(super) is_leaving: bool,
    /// It wants nothing from this box before then; `None` once it has answered a request since.
    pub(super) rests_until: Option<Millis>,
    /// It has said something that can't be read.
    pub(super) is_unreadable: bool,
}

impl Said {
    /// Whether it wants nothing from this box now.
    pub(super) fn is_resting(&self, now: Millis) -> bool {
        self.rests_until.is_some_and(|until| now < until)
    }

    /// Whether it has asked for rest, and nothing has shown since that it serves again.
    pub(super) fn is_on_trial(&self, now: Millis) -> bool {
        self.rests_until.is_some_and(|until| now >= until)
    }
}

/// What all upstreams said that did say something.
#[derive(Debug, Default)]
pub(super) struct SaidByUpstreams {
    kept: HashMap<UpstreamLife, Said>,
    /// Those that are kept, oldest first.
    order: VecDeque<UpstreamLife>,
}

impl SaidByUpstreams {
    /// What a life of an upstream has said.
    pub(super) fn of(&self, life: &UpstreamLife) -> Said {
        self.kept.get(life).copied().unwrap_or_default()
    }

    /// Keeps what it says now.
    pub(super) fn keep(&mut self, life: UpstreamLife, said: Said) {
        if self.kept.insert(life.clone(), said).is_some() {
            return;
        }
        self.order.push_back(life);
        if self.order.len() > MOST_KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.kept.remove(&oldest);
        }
    }
}
