//! The configuration, evacuations and upstreams as a box knows them.
//!
//! Entries are merged by revision, so that watch results, listings and peers' data can be
//! applied in any order. The configuration never goes back to an older version.

mod evacuations;
mod held_config;
mod upstream_entries;
mod view;

pub use held_config::PatchMismatch;
pub use view::Watermark;

use crate::change::{Change, ChangeKey, Revised, Revision, Scope, Snapshot, StoreEra};
use crate::config::SteeringConfig;
use crate::config_patch::ConfigFingerprint;
use crate::upstream::UpstreamRecord;
use brasswinch_types::{Millis, UpstreamId, Zone};
use evacuations::Evacuations;
use held_config::HeldConfig;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use upstream_entries::UpstreamEntries;
use view::View;

/// The store's data as this box knows it, received from the store or from peers.
#[derive(Debug, Default)]
pub struct FleetState {
    config: HeldConfig,
    evacuations: Evacuations,
    upstreams: UpstreamEntries,
    scopes: BTreeMap<Scope, Progress>,
    views: BTreeMap<Scope, View>,
    /// When the store last failed to serve this box.
    store_failed_at: Option<Millis>,
}

/// How far a scope is known.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    /// Every change up to here is known.
    newest: Revision,
    /// All changes after this revision are kept, including removals.
    kept_since: Revision,
}

/// An upstream's entry that is no longer there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostEntry {
    /// The last time as of which it is known to have existed.
    pub present_as_of: Option<Millis>,
    /// Whether the store has failed to serve this box since then. If so, it may have lost
    /// entries of upstreams that still run.
    pub store_failed: bool,
}

/// What a peer lacks of a scope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CatchUp {
    /// The changes after the peer's revision.
    Changes {
        /// The part of the store.
        scope: Scope,
        /// The revision up to which the peer knows everything once it has applied them.
        at: Revision,
        /// The changes.
        changes: Vec<Revised>,
    },
    /// All entries, if the changes are no longer kept.
    #[serde(rename = "Whole")]
    Snapshot(Snapshot),
}

impl FleetState {
    /// Applies one change. Returns whether anything changed.
    pub fn apply(&mut self, revised: Revised, now: Millis) -> bool {
        let revision = revised.revision;
        match revised.change {
            Change::Config(config) => self.config.replace(config, revision),
            Change::ConfigPatched(patches) => self.config.patch(&patches, revision),
            Change::ConfigUnreadable => {
                self.config.set_unreadable();
                false
            }
            Change::Evacuated(zone) => self.evacuations.begin(zone, revision),
            Change::Upstream(record) => self.upstreams.insert(record, revision, now),
            Change::Unreadable(id) => self.upstreams.make_unreadable(&id, revision, now),
            Change::Gone(key) => self.apply_removal(&key, revision, now),
        }
    }

    /// Applies a change unless everything up to its revision is known: its entry may have been
    /// removed since, and the tombstone may have expired. Configurations are always applied,
    /// since their versions are compared.
    fn apply_unless_known(
        &mut self,
        revised: Revised,
        known: Option<Revision>,
        now: Millis,
    ) -> bool {
        let is_known = known >= Some(revised.revision);
        if is_known && revised.change.key() != ChangeKey::Config {
            return false;
        }
        self.apply(revised, now)
    }

    /// Applies a listing: adds its entries and removes those that it doesn't contain. A listing
    /// older than the known revision changes nothing. Returns whether anything changed.
    pub fn apply_snapshot(&mut self, snapshot: Snapshot, now: Millis) -> bool {
        let newest = self.newest(snapshot.scope);
        if newest > Some(snapshot.at) {
            // The whole listing is known, and entries removed since must not reappear.
            return false;
        }
        let listed: BTreeSet<ChangeKey> = snapshot
            .entries
            .iter()
            .map(|entry| entry.change.key())
            .collect();
        let mut changed = false;
        for key in self.keys(snapshot.scope) {
            if !listed.contains(&key) {
                changed |= self.apply_removal(&key, snapshot.at, now);
            }
        }
        for entry in snapshot.entries {
            changed |= self.apply_unless_known(entry, newest, now);
        }
        let progress = self.scopes.entry(snapshot.scope).or_insert(Progress {
            newest: snapshot.at,
            kept_since: snapshot.at,
        });
        if snapshot.at > progress.newest {
            // This box doesn't know which entries were added and removed in between, so peers
            // can't get those removals from it.
            progress.kept_since = snapshot.at;
            progress.newest = snapshot.at;
        }
        self.apply_pending(snapshot.scope);
        changed
    }

    /// Applies consecutive changes without a gap. Returns whether anything changed.
    pub fn apply_changes(&mut self, scope: Scope, changes: Vec<Revised>, now: Millis) -> bool {
        let known = self.newest(scope);
        let newest = changes.iter().map(|change| change.revision).max();
        let mut changed = false;
        for change in changes {
            changed |= self.apply_unless_known(change, known, now);
        }
        if let (Some(newest), Some(progress)) = (newest, self.scopes.get_mut(&scope)) {
            progress.newest = progress.newest.max(newest);
        }
        self.apply_pending(scope);
        changed
    }

    /// Applies a peer's catch-up data. Returns whether anything changed.
    ///
    /// # Errors
    ///
    /// Fails and applies nothing if its configuration patches are based on a configuration that
    /// this box doesn't hold (any more): the data must be requested again.
    pub fn catch_up(&mut self, received: CatchUp, now: Millis) -> Result<bool, PatchMismatch> {
        let changes = match &received {
            CatchUp::Snapshot(snapshot) => &snapshot.entries,
            CatchUp::Changes { changes, .. } => changes,
        };
        for revised in changes {
            if let Change::ConfigPatched(patches) = &revised.change {
                self.config.check(patches)?;
            }
        }
        Ok(self.apply_received(received, now))
    }

    fn apply_received(&mut self, received: CatchUp, now: Millis) -> bool {
        match received {
            CatchUp::Snapshot(snapshot) => self.apply_snapshot(snapshot, now),
            CatchUp::Changes { scope, at, changes } => {
                let changed = self.apply_changes(scope, changes, now);
                if let Some(progress) = self.scopes.get_mut(&scope) {
                    progress.newest = progress.newest.max(at);
                }
                self.apply_pending(scope);
                changed
            }
        }
    }

    /// Returns the revision up to which everything in `scope` is known; `None` before the first
    /// listing.
    pub fn newest(&self, scope: Scope) -> Option<Revision> {
        self.scopes.get(&scope).map(|progress| progress.newest)
    }

    /// Returns the era of the store, as far as it is known.
    pub fn era(&self) -> StoreEra {
        let newest = self.scopes.values().map(|progress| progress.newest.era());
        newest.max().unwrap_or_default()
    }

    /// Records a watermark of `scope` from the store or from a peer.
    pub fn record_watermark(&mut self, scope: Scope, watermark: Watermark) {
        let newest = self.newest(scope);
        self.views
            .entry(scope)
            .or_default()
            .record(watermark, newest);
    }

    /// Returns the time on this box's clock as of which everything in `scope` is known; `None`
    /// if that was never the case.
    pub fn complete_as_of(&self, scope: Scope) -> Option<Millis> {
        self.views.get(&scope)?.as_of()
    }

    /// Returns the store's revision after which changes in `scope` have to be requested; `None`
    /// before the first listing.
    pub fn resume_after(&self, scope: Scope) -> Option<Revision> {
        let newest = self.newest(scope)?;
        let at = self.views.get(&scope).map(View::at).unwrap_or_default();
        Some(newest.max(at))
    }

    /// Returns the latest revision of `scope` that was reported by others and isn't known yet.
    pub fn pending_revision(&self, scope: Scope) -> Option<Revision> {
        self.views.get(&scope)?.pending_revision()
    }

    /// Records that the store failed to serve this box.
    pub fn record_store_failure(&mut self, now: Millis) {
        self.store_failed_at = Some(now);
    }

    /// Returns what is known of an upstream's entry that is no longer there; `None` if it never
    /// existed, has a newer unusable entry, or was removed long ago.
    pub fn lost_entry(&self, id: &UpstreamId) -> Option<LostEntry> {
        let present_as_of = self.upstreams.lost_present_as_of(id)?;
        let store_failed = self.store_failed_at > present_as_of;
        Some(LostEntry {
            present_as_of,
            store_failed,
        })
    }

    fn apply_pending(&mut self, scope: Scope) {
        let newest = self.newest(scope);
        if let Some(view) = self.views.get_mut(&scope) {
            view.apply_pending(newest);
        }
    }

    /// Returns the data missing at a peer that knows everything in `scope` up to `after` and
    /// holds the configuration with the fingerprint `holds`; `None` if this box doesn't know the
    /// scope.
    pub fn missing(
        &self,
        scope: Scope,
        after: Option<Revision>,
        holds: Option<ConfigFingerprint>,
    ) -> Option<CatchUp> {
        let progress = self.scopes.get(&scope)?;
        let at = progress.newest;
        let entries = match scope {
            Scope::Operator => self.operator_entries(holds),
            Scope::Upstreams => self.upstreams.entries(),
        };
        let Some(after) = after.filter(|after| *after >= progress.kept_since) else {
            return Some(CatchUp::Snapshot(Snapshot { scope, at, entries }));
        };
        let removals = match scope {
            Scope::Operator => self.evacuations.ended_entries(),
            Scope::Upstreams => self.upstreams.tombstone_entries(),
        };
        let changes = entries.into_iter().chain(removals);
        let changes = changes.filter(|change| change.revision > after).collect();
        Some(CatchUp::Changes { scope, at, changes })
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<&Arc<SteeringConfig>> {
        self.config.newest()
    }

    /// Returns whether this box holds no configuration because it can't read the store's. Others
    /// may hold an older one.
    pub fn lacks_readable_config(&self) -> bool {
        self.config.is_missing()
    }

    /// Returns the fingerprint of the configuration in force.
    pub fn config_fingerprint(&self) -> Option<ConfigFingerprint> {
        self.config.fingerprint()
    }

    /// Returns all upstreams that have an entry, with the time at which it was received.
    pub fn upstreams(&self) -> impl Iterator<Item = (&UpstreamRecord, Millis)> {
        self.upstreams.records()
    }

    /// Returns whether `zone` is evacuated.
    pub fn is_evacuated(&self, zone: &Zone) -> bool {
        self.evacuations.is_active(zone)
    }

    /// Returns when the last evacuation of `zone` ended; `None` if none did or one lasts.
    pub fn evacuation_ended_at(&self, zone: &Zone) -> Option<Millis> {
        self.evacuations.ended_at(zone)
    }

    fn keys(&self, scope: Scope) -> Vec<ChangeKey> {
        match scope {
            Scope::Operator => self.evacuations.active_keys(),
            Scope::Upstreams => self.upstreams.keys(),
        }
    }

    fn apply_removal(&mut self, key: &ChangeKey, revision: Revision, now: Millis) -> bool {
        match key {
            // A configuration stays in force until a newer one replaces it.
            ChangeKey::Config => false,
            ChangeKey::Evacuation(zone) => self.evacuations.end(zone, revision, now),
            ChangeKey::Upstream(id) => {
                let dropped = self.upstreams.drop_expired_tombstones(now);
                self.keep_since(Scope::Upstreams, dropped);
                let present_as_of = self.complete_as_of(Scope::Upstreams);
                self.upstreams.remove(id, revision, now, present_as_of)
            }
        }
    }

    /// Records that removals up to `dropped` are no longer kept; peers that lack them get all
    /// entries.
    fn keep_since(&mut self, scope: Scope, dropped: Revision) {
        if let Some(progress) = self.scopes.get_mut(&scope) {
            progress.kept_since = progress.kept_since.max(dropped);
        }
    }

    fn operator_entries(&self, holds: Option<ConfigFingerprint>) -> Vec<Revised> {
        let config = self.config.entry_since(holds);
        let evacuations = self.evacuations.active_entries();
        config.into_iter().chain(evacuations).collect()
    }
}
