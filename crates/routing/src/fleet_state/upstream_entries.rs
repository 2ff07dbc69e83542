//! The upstreams' entries, and tombstones of entries removed recently.

use crate::change::{Change, ChangeKey, Revised, Revision};
use crate::upstream::{UpstreamRecord, UpstreamState};
use brasswinch_types::{Millis, UpstreamId};
use std::collections::BTreeMap;

/// How long a removed entry's tombstone is kept, to reject older changes that arrive late.
const TOMBSTONE_RETENTION_MS: Millis = 120_000;

#[derive(Clone, Debug)]
struct HeldUpstream {
    record: UpstreamRecord,
    revision: Revision,
    /// When the entry was received.
    received_at: Millis,
}

/// The tombstone of a removed entry.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    revision: Revision,
    /// The entry exists in the store, but describes no usable upstream.
    is_unreadable: bool,
    removed_at: Millis,
    /// The last time as of which the entry is known to have existed, if it was held.
    present_as_of: Option<Millis>,
    /// The revision of the removed entry, if it was held.
    entry_revision: Option<Revision>,
}

/// The entries of all upstreams.
#[derive(Debug, Default)]
pub(super) struct UpstreamEntries {
    held: BTreeMap<UpstreamId, HeldUpstream>,
    tombstones: BTreeMap<UpstreamId, Tombstone>,
}

impl UpstreamEntries {
    /// Inserts an entry. Returns whether it is new.
    pub(super) fn insert(
        &mut self,
        record: UpstreamRecord,
        revision: Revision,
        received_at: Millis,
    ) -> bool {
        let held = self.held.get(&record.id);
        let tombstone = self.tombstones.get(&record.id);
        if held.is_some_and(|held| held.revision >= revision)
            || tombstone.is_some_and(|tombstone| tombstone.revision >= revision)
        {
            return false;
        }
        if let Some(held) = self.held.get_mut(&record.id)
            && held.record.started > record.started
            && record.started.is_some()
        {
            // A late record of an earlier run of the upstream: the later run's record stays.
            held.revision = revision;
            return false;
        }
        if self.is_restored(&record, revision) {
            self.raise_revision(&record.id, revision);
            return false;
        }
        let held = HeldUpstream {
            record,
            revision,
            received_at,
        };
        self.held.insert(held.record.id.clone(), held);
        true
    }

    /// Whether an entry of a new era is one from before the store was restored, which this box
    /// knows to be outdated: the upstream has announced since that it leaves, or its entry was
    /// removed.
    fn is_restored(&self, record: &UpstreamRecord, revision: Revision) -> bool {
        if let Some(held) = self.held.get(&record.id) {
            return held.revision.era() < revision.era()
                && held.record.started == record.started
                && held.record.state == UpstreamState::Draining
                && record.state != UpstreamState::Draining;
        }
        let Some(tombstone) = self.tombstones.get(&record.id) else {
            return false;
        };
        let known = tombstone.entry_revision.map(Revision::counter);
        tombstone.revision.era() < revision.era() && known >= Some(revision.counter())
    }

    fn raise_revision(&mut self, id: &UpstreamId, revision: Revision) {
        if let Some(held) = self.held.get_mut(id) {
            held.revision = revision;
        } else if let Some(tombstone) = self.tombstones.get_mut(id) {
            tombstone.revision = revision;
        }
    }

    /// Records the removal of an entry. Returns whether it was held. `present_as_of` is the last
    /// time as of which all entries are known.
    pub(super) fn remove(
        &mut self,
        id: &UpstreamId,
        revision: Revision,
        now: Millis,
        present_as_of: Option<Millis>,
    ) -> bool {
        let held = self.held.get(id);
        if held.is_some_and(|held| held.revision > revision) {
            return false;
        }
        let removed = self.held.remove(id);
        let was_held = removed.is_some();
        let entry_revision = removed.map(|held| held.revision);
        let tombstone = self.tombstones.entry(id.clone()).or_insert(Tombstone {
            revision,
            is_unreadable: false,
            removed_at: now,
            present_as_of,
            entry_revision,
        });
        if revision >= tombstone.revision {
            tombstone.revision = revision;
            tombstone.is_unreadable = false;
        }
        if was_held {
            tombstone.removed_at = now;
            tombstone.present_as_of = present_as_of;
            tombstone.entry_revision = entry_revision;
        }
        was_held
    }

    /// Records that an entry no longer describes a usable upstream. Returns whether it was held.
    /// Unlike a lost entry's, its upstream isn't kept in use: the entry was written on purpose.
    pub(super) fn make_unreadable(
        &mut self,
        id: &UpstreamId,
        revision: Revision,
        now: Millis,
    ) -> bool {
        let was_held = self.remove(id, revision, now, None);
        let is_held = self.held.contains_key(id);
        if let Some(tombstone) = self.tombstones.get_mut(id).filter(|_| !is_held)
            && tombstone.revision <= revision
        {
            tombstone.is_unreadable = true;
        }
        was_held
    }

    pub(super) fn lost_present_as_of(&self, id: &UpstreamId) -> Option<Option<Millis>> {
        let tombstone = self
            .tombstones
            .get(id)
            .filter(|tombstone| !tombstone.is_unreadable);
        tombstone.map(|tombstone| tombstone.present_as_of)
    }

    /// Drops expired tombstones and returns the latest revision among them.
    pub(super) fn drop_expired_tombstones(&mut self, now: Millis) -> Revision {
        let mut dropped = Revision(0);
        self.tombstones.retain(|_, tombstone| {
            let is_kept = now.saturating_sub(tombstone.removed_at) < TOMBSTONE_RETENTION_MS;
            if !is_kept {
                dropped = dropped.max(tombstone.revision);
            }
            is_kept
        });
        dropped
    }

    pub(super) fn records(&self) -> impl Iterator<Item = (&UpstreamRecord, Millis)> {
        self.held
            .values()
            .map(|held| (&held.record, held.received_at))
    }

    pub(super) fn keys(&self) -> Vec<ChangeKey> {
        self.held.keys().cloned().map(ChangeKey::Upstream).collect()
    }

    pub(super) fn entries(&self) -> Vec<Revised> {
        let entry = |held: &HeldUpstream| Revised {
            revision: held.revision,
            change: Change::Upstream(held.record.clone()),
        };
        self.held.values().map(entry).collect()
    }

    pub(super) fn tombstone_entries(&self) -> Vec<Revised> {
        let entry = |(id, tombstone): (&UpstreamId, &Tombstone)| Revised {
            revision: tombstone.revision,
            change: if tombstone.is_unreadable {
                Change::Unreadable(id.clone())
            } else {
                Change::Gone(ChangeKey::Upstream(id.clone()))
            },
        };
        self.tombstones.iter().map(entry).collect()
    }
}
