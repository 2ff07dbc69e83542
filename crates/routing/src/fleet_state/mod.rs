//! What a box knows of configuration, evacuations and upstreams.
//!
//! Entries merge by revision, so that a watch, a listing and a peer's copy can be
//! applied in any order. The configuration never goes back to an older version.

mod evacuations;
mod held_config;
mod upstream_entries;
mod view;

pub use held_config::PatchMismatch;
pub use view::Claim;

use crate::change::{Change, ChangeKey, Revised, Revision, Scope, Snapshot};
use crate::config::SteeringConfig;
use crate::config_patch::ConfigMark;
use crate::upstream::UpstreamRecord;
use brasswinch_types::{Millis, UpstreamId, Zone};
use evacuations::Evacuations;
use held_config::HeldConfig;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use upstream_entries::UpstreamEntries;
use view::View;

/// Everything that was learned from the store, from whatever side.
#[derive(Debug, Default)]
pub struct FleetState {
    config: HeldConfig,
    evacuations: Evacuations,
    upstreams: UpstreamEntries,
    scopes: BTreeMap<Scope, Followed>,
    views: BTreeMap<Scope, View>,
    /// When this box last found that the store doesn't serve.
    store_failed_at: Option<Millis>,
}

/// How far a scope was followed.
#[derive(Clone, Copy, Debug, Default)]
struct Followed {
    /// Every change up to here is known.
    newest: Revision,
    /// Changes after this are kept, with what went away.
    kept_since: Revision,
}

/// An upstream's entry that was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostEntry {
    /// The last moment as of which it is known to have been there.
    pub present_as_of: Option<Millis>,
    /// Whether the store has failed this box since then. It may have lost entries of
    /// upstreams that live.
    pub store_failed: bool,
}

/// What a peer lacks of a scope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CatchUp {
    /// The changes after the revision that it has.
    Changes {
        /// The part of the store.
        scope: Scope,
        /// Up to where it is whole with them.
        at: Revision,
        /// The changes.
        changes: Vec<Revised>,
    },
    /// Everything, where the changes are no longer kept.
    Whole(Snapshot),
}

impl FleetState {
    /// Applies one change; says whether anything is different now.
    pub fn apply(&mut self, revised: Revised, now: Millis) -> bool {
        let revision = revised.revision;
        match revised.change {
            Change::Config(config) => self.config.replace(config, revision),
            Change::ConfigPatched(patches) => self.config.patch(&patches, revision),
            Change::Evacuated(zone) => self.evacuations.begin(zone, revision),
            Change::Upstream(record) => self.upstreams.insert(record, revision, now),
            Change::Unreadable(id) => self.upstreams.make_unreadable(&id, revision, now),
            Change::Gone(key) => self.apply_gone(&key, revision, now),
        }
    }

    /// Applies a change unless everything up to it is known: what it wrote may have gone
    /// since, and nothing here would remember that. Configurations have versions.
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

    /// Applies a listing: its entries, and the end of what it lacks. One that is older than
    /// what is known changes nothing.
    pub fn apply_snapshot(&mut self, snapshot: Snapshot, now: Millis) -> bool {
        let newest = self.newest(snapshot.scope);
        if newest > Some(snapshot.at) {
            // All of it is known, and what has gone since must not come back.
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
                changed |= self.apply_gone(&key, snapshot.at, now);
            }
        }
        for entry in snapshot.entries {
            changed |= self.apply_unless_known(entry, newest, now);
        }
        let followed = self.scopes.entry(snapshot.scope).or_insert(Followed {
            newest: snapshot.at,
            kept_since: snapshot.at,
        });
        if snapshot.at > followed.newest {
            // What came and went since was never seen here, so it can't be told to others.
            followed.kept_since = snapshot.at;
            followed.newest = snapshot.at;
        }
        self.settle(snapshot.scope);
        changed
    }

    /// Applies changes that follow each other without a gap; says whether anything is
    /// different now.
    pub fn apply_changes(&mut self, scope: Scope, changes: Vec<Revised>, now: Millis) -> bool {
        let known = self.newest(scope);
        let newest = changes.iter().map(|change| change.revision).max();
        let mut changed = false;
        for change in changes {
            changed |= self.apply_unless_known(change, known, now);
        }
        if let (Some(newest), Some(followed)) = (newest, self.scopes.get_mut(&scope)) {
            followed.newest = followed.newest.max(newest);
        }
        self.settle(scope);
        changed
    }

    /// Applies what a peer knows; says whether anything is different now.
    ///
    /// # Errors
    ///
    /// Nothing is applied if the peer's changes of the configuration are for a version
    /// that isn't held (any more): it has to be asked again.
    pub fn catch_up(&mut self, news: CatchUp, now: Millis) -> Result<bool, PatchMismatch> {
        let changes = match &news {
            CatchUp::Whole(snapshot) => &snapshot.entries,
            CatchUp::Changes { changes, .. } => changes,
        };
        for revised in changes {
            if let Change::ConfigPatched(patches) = &revised.change {
                self.config.check(patches)?;
            }
        }
        Ok(self.apply_news(news, now))
    }

    fn apply_news(&mut self, news: CatchUp, now: Millis) -> bool {
        match news {
            CatchUp::Whole(snapshot) => self.apply_snapshot(snapshot, now),
            CatchUp::Changes { scope, at, changes } => {
                let changed = self.apply_changes(scope, changes, now);
                if let Some(followed) = self.scopes.get_mut(&scope) {
                    followed.newest = followed.newest.max(at);
                }
                self.settle(scope);
                changed
            }
        }
    }

    /// The revision up to which everything in `scope` is known; `None` before the first
    /// listing.
    pub fn newest(&self, scope: Scope) -> Option<Revision> {
        self.scopes.get(&scope).map(|followed| followed.newest)
    }

    /// Takes what the store or another box says of how much there is to know in `scope`.
    pub fn claim(&mut self, scope: Scope, claim: Claim) {
        let newest = self.newest(scope);
        self.views.entry(scope).or_default().take(claim, newest);
    }

    /// As of when everything in `scope` is known, by this box's clock; `None` before that
    /// was ever so.
    pub fn whole_as_of(&self, scope: Scope) -> Option<Millis> {
        self.views.get(&scope)?.as_of()
    }

    /// The store's revision from which changes in `scope` have to be asked for; `None`
    /// before the first listing.
    pub fn asked_to(&self, scope: Scope) -> Option<Revision> {
        let newest = self.newest(scope)?;
        let at = self.views.get(&scope).map(View::at).unwrap_or_default();
        Some(newest.max(at))
    }

    /// The latest revision of `scope` that others said there is and that isn't known yet.
    pub fn awaited(&self, scope: Scope) -> Option<Revision> {
        self.views.get(&scope)?.awaited()
    }

    /// Takes that the store doesn't serve this box.
    pub fn store_failed(&mut self, now: Millis) {
        self.store_failed_at = Some(now);
    }

    /// What is known of the entry of an upstream that is no longer there; `None` if it was
    /// never there, or went long ago.
    pub fn lost_entry(&self, id: &UpstreamId) -> Option<LostEntry> {
        let present_as_of = self.upstreams.gone_present_as_of(id)?;
        let store_failed = self.store_failed_at > present_as_of;
        Some(LostEntry {
            present_as_of,
            store_failed,
        })
    }

    fn settle(&mut self, scope: Scope) {
        let newest = self.newest(scope);
        if let Some(view) = self.views.get_mut(&scope) {
            view.settle(newest);
        }
    }

    /// What a peer lacks that has everything in `scope` up to `after`, and holds the
    /// configuration that `holds` marks. `None` if nothing is known here.
    pub fn missing(
        &self,
        scope: Scope,
        after: Option<Revision>,
        holds: Option<ConfigMark>,
    ) -> Option<CatchUp> {
        let followed = self.scopes.get(&scope)?;
        let at = followed.newest;
        let entries = match scope {
            Scope::Operator => self.operator_entries(holds),
            Scope::Upstreams => self.upstreams.entries(),
        };
        let Some(after) = after.filter(|after| *after >= followed.kept_since) else {
            return Some(CatchUp::Whole(Snapshot { scope, at, entries }));
        };
        let gone = match scope {
            Scope::Operator => self.evacuations.ended_entries(),
            Scope::Upstreams => self.upstreams.gone_entries(),
        };
        let changes = entries.into_iter().chain(gone);
        let changes = changes.filter(|change| change.revision > after).collect();
        Some(CatchUp::Changes { scope, at, changes })
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<SteeringConfig>> {
        self.config.newest()
    }

    /// The mark of the configuration in force.
    pub fn config_mark(&self) -> Option<ConfigMark> {
        self.config.mark()
    }

    /// All upstreams that have an entry, with when it was learned.
    pub fn upstreams(&self) -> impl Iterator<Item = (&UpstreamRecord, Millis)> {
        self.upstreams.records()
    }

    /// Whether `zone` is to get nothing.
    pub fn is_evacuated(&self, zone: &Zone) -> bool {
        self.evacuations.is_open(zone)
    }

    /// When the last evacuation of `zone` ended, if one did.
    pub fn evacuation_ended_at(&self, zone: &Zone) -> Option<Millis> {
        self.evacuations.ended_at(zone)
    }

    fn keys(&self, scope: Scope) -> Vec<ChangeKey> {
        match scope {
            Scope::Operator => self.evacuations.open_keys(),
            Scope::Upstreams => self.upstreams.keys(),
        }
    }

    fn apply_gone(&mut self, key: &ChangeKey, revision: Revision, now: Millis) -> bool {
        match key {
            // A configuration stays in force until a newer one replaces it.
            ChangeKey::Config => false,
            ChangeKey::Evacuation(zone) => self.evacuations.end(zone, revision, now),
            ChangeKey::Upstream(id) => {
                let forgotten = self.upstreams.forget_gone(now);
                self.keep_since(Scope::Upstreams, forgotten);
                let present_as_of = self.whole_as_of(Scope::Upstreams);
                self.upstreams.remove(id, revision, now, present_as_of)
            }
        }
    }

    /// Changes up to `forgotten` are no longer kept; peers that lack them get everything.
    fn keep_since(&mut self, scope: Scope, forgotten: Revision) {
        if let Some(followed) = self.scopes.get_mut(&scope) {
            followed.kept_since = followed.kept_since.max(forgotten);
        }
    }

    fn operator_entries(&self, holds: Option<ConfigMark>) -> Vec<Revised> {
        let config = self.config.entry_since(holds);
        let evacuations = self.evacuations.open_entries();
        config.into_iter().chain(evacuations).collect()
    }
}
