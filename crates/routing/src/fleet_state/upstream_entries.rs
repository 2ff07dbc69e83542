//! The upstreams' entries, and tombstones of entries removed recently.

use crate::change::{Change, ChangeKey, Revised, Revision};
use crate::upstream::UpstreamRecord;
use brasswinch_types::{Millis, UpstreamId};
use std::collections::BTreeMap;

/// How long a removed entry's tombstone is kept, to reject older changes that arrive late.
const KEEP_GONE_MS: Millis = 120_000;

#[derive(Clone, Debug)]
struct HeldUpstream {
    record: UpstreamRecord,
    revision: Revision,
    /// When the entry was received.
    learned_at: Millis,
}

/// The tombstone of a removed entry.
#[derive(Clone, Copy, Debug)]
struct GoneUpstream {
    revision: Revision,
    /// The entry exists in the store, but describes no usable upstream.
    is_unreadable: bool,
    gone_at: Millis,
    /// The last time as of which the entry is known to have existed, if it was held.
    present_as_of: Option<Millis>,
}

/// The entries of all upstreams.
#[derive(Debug, Default)]
pub(super) struct UpstreamEntries {
    held: BTreeMap<UpstreamId, HeldUpstream>,
    gone: BTreeMap<UpstreamId, GoneUpstream>,
}

impl UpstreamEntries {
    /// Inserts an entry. Returns whether it is new.
    pub(super) fn insert(
        &mut self,
        record: UpstreamRecord,
        revision: Revision,
        learned_at: Millis,
    ) -> bool {
        let held = self.held.get(&record.id);
        let gone = self.gone.get(&record.id);
        if held.is_some_and(|held| held.revision >= revision)
            || gone.is_some_and(|gone| gone.revision >= revision)
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
        let held = HeldUpstream {
            record,
            revision,
            learned_at,
        };
        self.held.insert(held.record.id.clone(), held);
        true
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
        let was_held = self.held.remove(id).is_some();
        let gone = self.gone.entry(id.clone()).or_insert(GoneUpstream {
            revision,
            is_unreadable: false,
            gone_at: now,
            present_as_of,
        });
        if revision >= gone.revision {
            gone.revision = revision;
            gone.is_unreadable = false;
        }
        if was_held {
            gone.gone_at = now;
            gone.present_as_of = present_as_of;
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
        if let Some(gone) = self.gone.get_mut(id).filter(|_| !is_held)
            && gone.revision <= revision
        {
            gone.is_unreadable = true;
        }
        was_held
    }

    pub(super) fn gone_present_as_of(&self, id: &UpstreamId) -> Option<Option<Millis>> {
        let gone = self.gone.get(id).filter(|gone| !gone.is_unreadable);
        gone.map(|gone| gone.present_as_of)
    }

    /// Drops expired tombstones and returns the latest revision among them.
    pub(super) fn forget_gone(&mut self, now: Millis) -> Revision {
        let mut forgotten = Revision(0);
        self.gone.retain(|_, gone| {
            let is_kept = now.saturating_sub(gone.gone_at) < KEEP_GONE_MS;
            if !is_kept {
                forgotten = forgotten.max(gone.revision);
            }
            is_kept
        });
        forgotten
    }

    pub(super) fn records(&self) -> impl Iterator<Item = (&UpstreamRecord, Millis)> {
        self.held
            .values()
            .map(|held| (&held.record, held.learned_at))
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

    pub(super) fn gone_entries(&self) -> Vec<Revised> {
        let entry = |(id, gone): (&UpstreamId, &GoneUpstream)| Revised {
            revision: gone.revision,
            change: if gone.is_unreadable {
                Change::Unreadable(id.clone())
            } else {
                Change::Gone(ChangeKey::Upstream(id.clone()))
            },
        };
        self.gone.iter().map(entry).collect()
    }
}
