//! What upstreams said of themselves in answers. It holds for as long as an upstream lives,
//! also where its entry is lost meanwhile and comes back.

use super::{COLD_MARGIN_MS, Choice, Placement};
use crate::upstream::UpstreamLife;
use brasswinch_types::{Millis, UpstreamRest};
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
    /// It was asked, and said that it is cold.
    pub(super) cold: Option<SaidCold>,
    /// It has said something that can't be read.
    pub(super) is_unreadable: bool,
}

/// An upstream's word that it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SaidCold {
    heard_at: Millis,
    until: Millis,
}

impl Said {
    /// Until when it said that it is cold, where its entry has not changed since `learned_at`: an
    /// entry that came later knows better.
    pub(super) fn cold_until(&self, learned_at: Millis) -> Option<Millis> {
        let cold = self.cold.filter(|cold| cold.heard_at >= learned_at)?;
        Some(cold.until)
    }

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

impl Placement {
    /// The upstream says in an answer that it takes nothing new; gives whether that is news.
    pub fn leaves(&mut self, choice: &Choice) -> bool {
        let before = self.change_said(choice, |said| said.is_leaving = true);
        !before.is_leaving
    }

    /// The upstream refused a request and wants nothing from this box for a time; gives whether it
    /// did not rest yet.
    pub fn rests(&mut self, choice: &Choice, rest: UpstreamRest, now: Millis) -> bool {
        if rest.ms() == 0 {
            return false;
        }
        let until = Some(now + rest.ms());
        let before = self.change_said(choice, |said| {
            said.rests_until = said.rests_until.max(until);
        });
        !before.is_resting(now)
    }

    /// The upstream says something in an answer that can't be read; gives whether that is news.
    pub fn says_unreadable(&mut self, choice: &Choice) -> bool {
        self.health_is_unreadable(&choice.life())
    }

    /// The upstream says something in a health answer that can't be read; gives whether it is the
    /// first such thing that it says.
    pub fn health_is_unreadable(&mut self, life: &UpstreamLife) -> bool {
        let before = self.change_said_by(life, |said| said.is_unreadable = true);
        !before.is_unreadable
    }

    /// The upstream says that it stays cold for `for_ms`, of which no more than its service's cold
    /// period is believed; gives whether it was not known to be cold.
    pub fn turned_cold(&mut self, life: &UpstreamLife, for_ms: Millis, now: Millis) -> bool {
        let Some(longest_ms) = self.cold_period_ms(life) else {
            return false;
        };
        let was_cold = self.is_cold(life, now);
        let until = now + for_ms.min(longest_ms) + COLD_MARGIN_MS;
        let cold = SaidCold {
            heard_at: now,
            until,
        };
        self.change_said_by(life, |said| said.cold = Some(cold));
        if let Some(entry) = self.held_by(life) {
            entry.cold_until = entry.cold_until.max(until);
        }
        !was_cold
    }

    /// Whether this life of the upstream is known to be cold.
    pub fn is_cold(&self, life: &UpstreamLife, now: Millis) -> bool {
        let entry = self.entry_of(life);
        entry.is_some_and(|entry| entry.is_cold(now))
    }

    /// How long upstreams of its service are cold at most.
    fn cold_period_ms(&self, life: &UpstreamLife) -> Option<Millis> {
        let service = &self.entry_of(life)?.record.service;
        Some(self.services.get(service)?.cold_period_ms)
    }

    /// The upstream has answered a request since its rest.
    pub(super) fn serves_again(&mut self, choice: &Choice) {
        self.change_said(choice, |said| said.rests_until = None);
    }

    /// Changes what the upstream of `choice` has said; gives what that was before.
    fn change_said(&mut self, choice: &Choice, change: impl FnOnce(&mut Said)) -> Said {
        self.change_said_by(&choice.life(), change)
    }

    /// Changes what an upstream has said; gives what that was before.
    fn change_said_by(&mut self, life: &UpstreamLife, change: impl FnOnce(&mut Said)) -> Said {
        let before = self.said.of(life);
        let mut said = before;
        change(&mut said);
        if said != before {
            self.said.keep(life.clone(), said);
            if let Some(entry) = self.held_by(life) {
                entry.said = said;
            }
        }
        before
    }
}
