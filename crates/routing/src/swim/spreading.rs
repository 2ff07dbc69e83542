//! Dissemination: chooses the updates to piggyback on messages, and merges received ones.

use super::message::{KnownView, Update};
use super::{Liveness, Member, MemberState, Outgoing, Swim, SwimMessage};
use crate::change::Scope;
use brasswinch_types::{BoxId, Millis};
use rand::seq::SliceRandom;
use rand::{Rng, RngExt};
use std::net::SocketAddr;

/// Boxes found elsewhere that are sent a sync request at a time.
const MOST_STRANGERS: usize = 4;

/// Most updates in one message, so that it fits in a datagram.
pub(super) const MOST_UPDATES: usize = 7;

/// Most members sent in reply to one sync request.
const MOST_SYNCED: usize = 140;

/// Transmissions of an update per doubling of the fleet size.
const SPREAD_PER_DOUBLING: u32 = 2;

/// Interval between syncs with a random member.
const SYNC_MS: Millis = 5_000;

impl Swim {
    /// Returns this box's own record and the updates with the most transmissions left.
    pub(super) fn news(&mut self) -> Vec<Update> {
        let mut fresh: Vec<(u32, BoxId)> = self
            .members
            .iter()
            .filter(|(_, member)| member.spread_left > 0)
            .map(|(id, member)| (member.spread_left, id.clone()))
            .collect();
        fresh.sort_by_key(|(left, _)| std::cmp::Reverse(*left));
        fresh.truncate(MOST_UPDATES - 1);
        let mut updates = vec![self.my_update()];
        for (_, id) in fresh {
            if let Some(member) = self.members.get_mut(&id) {
                member.spread_left -= 1;
                updates.push(member.update());
            }
        }
        updates
    }

    pub(super) fn spread_times(&self) -> u32 {
        let doublings = usize::BITS - (self.members.len() + 1).leading_zeros();
        doublings * SPREAD_PER_DOUBLING
    }

    pub(super) fn merge_all(&mut self, updates: Vec<Update>, now: Millis) {
        for update in updates {
            self.merge(update, now);
        }
    }

    pub(super) fn merge(&mut self, update: Update, now: Millis) {
        if update.record.id == self.me.id {
            self.deny(&update);
            return;
        }
        self.hear_revisions(&update);
        // Updates about a box that is starting aren't spread until it serves.
        let spread_left = match update.record.state {
            MemberState::Starting => 0,
            MemberState::Serving | MemberState::Leaving => self.spread_times(),
        };
        let news = Member {
            record: update.record,
            liveness: update.liveness,
            changed_at: now,
            spread_left,
        };
        let Some(held) = self.members.get_mut(&news.record.id) else {
            if news.liveness != Liveness::Dead {
                self.generation += 1;
                self.members.insert(news.record.id.clone(), news);
            }
            return;
        };
        let order = |member: &Member| (member.record.incarnation, member.liveness);
        if order(&news) <= order(held) {
            return;
        }
        let is_word_of_its_own = held.liveness == news.liveness
            && held.record.state == news.record.state
            && held.record.reaches_store == news.record.reaches_store
            && held.record.fleet_size == news.record.fleet_size;
        if is_word_of_its_own {
            // A changed load or revision isn't spread: its box sends it with each probe.
            held.record = news.record;
            return;
        }
        *held = news;
        self.generation += 1;
    }

    /// Records how much a member knows. Reports from boxes that are no members are ignored.
    pub(super) fn hear_known(&mut self, id: &BoxId, views: &[KnownView]) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        for view in views {
            member.record.raise_revision(view.scope, view.revision);
            let heard = self.heard.entry(view.scope).or_default();
            *heard = (*heard).max(view.revision);
        }
    }

    fn hear_revisions(&mut self, update: &Update) {
        for scope in [Scope::Operator, Scope::Upstreams] {
            let heard = self.heard.entry(scope).or_default();
            *heard = (*heard).max(update.record.revision(scope));
        }
    }

    /// Refutes an update about this box that isn't its own latest record, by raising the
    /// incarnation above it.
    pub(super) fn deny(&mut self, update: &Update) {
        let is_older = update.record.incarnation < self.me.incarnation;
        let is_mine = update.record == self.me && update.liveness == Liveness::Alive;
        if !is_older && !is_mine {
            self.me.incarnation = update.record.incarnation + 1;
        }
    }

    pub(super) fn start_sync(
        &mut self,
        now: Millis,
        random: &mut impl Rng,
        out: &mut Vec<Outgoing>,
    ) {
        let alive = self.addresses(Liveness::Alive);
        let is_alone = alive.is_empty();
        let wait = if is_alone {
            self.settings.period_ms
        } else {
            SYNC_MS
        };
        self.next_sync_at = now + wait;
        let mut receivers: Vec<SocketAddr> = if is_alone {
            self.seeds.clone()
        } else {
            vec![alive[random.random_range(0..alive.len())]]
        };
        // One of these boxes that replies knows the other members of its group.
        let mut strangers = std::mem::take(&mut self.strangers);
        strangers.shuffle(random);
        receivers.extend(strangers.into_iter().take(MOST_STRANGERS));
        for receiver in receivers {
            let updates = vec![self.my_update()];
            let asks = true;
            out.push((receiver, SwimMessage::Sync { asks, updates }));
        }
    }

    pub(super) fn sync_answers(&mut self, to: SocketAddr, random: &mut impl Rng) -> Vec<Outgoing> {
        let mut updates: Vec<Update> = self.members.values().map(Member::update).collect();
        updates.shuffle(random);
        updates.truncate(MOST_SYNCED);
        updates.push(self.my_update());
        let message = |updates: &[Update]| {
            let updates = updates.to_vec();
            let asks = false;
            (to, SwimMessage::Sync { asks, updates })
        };
        updates.chunks(MOST_UPDATES).map(message).collect()
    }
}
