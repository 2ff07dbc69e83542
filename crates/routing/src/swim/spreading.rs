//! Dissemination: chooses the updates to piggyback on messages, and merges received ones.

use super::message::{KnownView, Update};
use super::{Liveness, Member, MemberState, Swim};
use crate::change::Scope;
use brasswinch_types::{BoxId, Millis};

/// Most updates in one message, so that it fits in a datagram.
pub(super) const MAX_UPDATES_PER_MESSAGE: usize = 7;

/// Transmissions of an update per doubling of the fleet size.
const TRANSMISSIONS_PER_DOUBLING: u32 = 2;

impl Swim {
    /// Returns this box's own record and the updates with the most transmissions left.
    pub(super) fn updates_to_send(&mut self) -> Vec<Update> {
        let mut fresh: Vec<(u32, BoxId)> = self
            .members
            .iter()
            .filter(|(_, member)| member.transmissions_left > 0)
            .map(|(id, member)| (member.transmissions_left, id.clone()))
            .collect();
        fresh.sort_by_key(|(left, _)| std::cmp::Reverse(*left));
        fresh.truncate(MAX_UPDATES_PER_MESSAGE - 1);
        let mut updates = vec![self.own_update()];
        for (_, id) in fresh {
            if let Some(member) = self.members.get_mut(&id) {
                member.transmissions_left -= 1;
                updates.push(member.update());
            }
        }
        updates
    }

    pub(super) fn max_transmissions(&self) -> u32 {
        let doublings = usize::BITS - (self.members.len() + 1).leading_zeros();
        doublings * TRANSMISSIONS_PER_DOUBLING
    }

    pub(super) fn merge_all(&mut self, updates: Vec<Update>, now: Millis) {
        for update in updates {
            self.merge(update, now);
        }
    }

    pub(super) fn merge(&mut self, update: Update, now: Millis) {
        if update.record.id == self.me.id {
            self.refute(&update);
            return;
        }
        self.record_revisions(&update);
        // Updates about a box that is starting aren't spread until it serves.
        let transmissions_left = match update.record.state {
            MemberState::Starting => 0,
            MemberState::Serving | MemberState::Leaving => self.max_transmissions(),
        };
        let incoming = Member {
            record: update.record,
            liveness: update.liveness,
            changed_at: now,
            transmissions_left,
        };
        let Some(held) = self.members.get_mut(&incoming.record.id) else {
            if incoming.liveness != Liveness::Dead {
                self.generation += 1;
                self.sync.record_learned();
                self.members.insert(incoming.record.id.clone(), incoming);
            }
            return;
        };
        let order = |member: &Member| (member.record.incarnation, member.liveness);
        if order(&incoming) <= order(held) {
            return;
        }
        let needs_no_spreading = held.liveness == incoming.liveness
            && held.record.state == incoming.record.state
            && held.record.reaches_store == incoming.record.reaches_store
            && held.record.is_cut_off() == incoming.record.is_cut_off();
        if needs_no_spreading {
            // A changed load, revision or fleet size isn't spread: its box sends it with each
            // probe.
            held.record = incoming.record;
            return;
        }
        *held = incoming;
        self.generation += 1;
        self.sync.record_learned();
    }

    /// Records how much a member knows. Reports from boxes that are no members are ignored.
    pub(super) fn record_views(&mut self, id: &BoxId, views: &[KnownView]) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        for view in views {
            member.record.raise_revision(view.scope, view.revision);
            let newest = self.reported_revisions.entry(view.scope).or_default();
            *newest = (*newest).max(view.revision);
        }
    }

    fn record_revisions(&mut self, update: &Update) {
        for scope in [Scope::Operator, Scope::Upstreams] {
            let newest = self.reported_revisions.entry(scope).or_default();
            *newest = (*newest).max(update.record.revision(scope));
        }
    }

    /// Refutes an update about this box that isn't its own latest record, by raising the
    /// incarnation above it.
    pub(super) fn refute(&mut self, update: &Update) {
        let is_older = update.record.incarnation < self.me.incarnation;
        let is_mine = update.record == self.me && update.liveness == Liveness::Alive;
        if !is_older && !is_mine {
            self.me.incarnation = update.record.incarnation + 1;
        }
    }
}
