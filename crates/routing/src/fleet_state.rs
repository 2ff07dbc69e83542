//! What a box knows of configuration, evacuations and upstreams.
//!
//! Entries merge by revision, so that a watch, a listing and a peer's copy can be
//! applied in any order. The configuration never goes back to an older version.

use crate::change::{Change, ChangeKey, Revised, Revision, Scope, Snapshot};
use crate::config::{ConfigVersion, SteeringConfig};
use crate::config_patch::{ConfigPatch, PatchHistory};
use crate::upstream::UpstreamRecord;
use brasswinch_types::{Millis, UpstreamId, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// How long the revision of a key that went away is kept, against late news of it.
const KEEP_GONE_MS: Millis = 120_000;

/// An upstream and when its last entry was learned.
#[derive(Clone, Debug)]
struct HeldUpstream {
    record: UpstreamRecord,
    revision: Revision,
    learned_at: Millis,
}

/// A zone under evacuation, or one whose evacuation has ended.
#[derive(Clone, Copy, Debug)]
struct Evacuation {
    revision: Revision,
    ended_at: Option<Millis>,
}

/// Everything that was learned from the store, from whatever side.
#[derive(Debug, Default)]
pub struct FleetState {
    config: Option<Arc<SteeringConfig>>,
    config_revision: Revision,
    config_patches: PatchHistory,
    upstreams: BTreeMap<UpstreamId, HeldUpstream>,
    evacuations: BTreeMap<Zone, Evacuation>,
    gone_upstreams: BTreeMap<UpstreamId, (Revision, Millis)>,
    scopes: BTreeMap<Scope, Followed>,
}

/// How far a scope was followed.
#[derive(Clone, Copy, Debug, Default)]
struct Followed {
    /// Every change up to here is known.
    newest: Revision,
    /// Changes after this are kept, with what went away.
    kept_since: Revision,
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

/// Steps of the configuration that begin at a version that isn't held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a change of the configuration is for version {base:?}, and {held:?} is held")]
pub struct PatchMismatch {
    /// The version that the step is for.
    pub base: ConfigVersion,
    /// The version that is held, if any is.
    pub held: Option<ConfigVersion>,
}

impl FleetState {
    /// Applies one change; says whether anything is different now.
    pub fn apply(&mut self, revised: Revised, now: Millis) -> bool {
        let revision = revised.revision;
        match revised.change {
            Change::Config(config) => self.apply_config(config, revision),
            Change::ConfigPatched(patches) => self.apply_patches(&patches, revision),
            Change::Evacuated(zone) => self.apply_evacuation(zone, revision),
            Change::Upstream(record) => self.apply_upstream(record, revision, now),
            Change::Gone(key) => self.apply_gone(&key, revision, now),
        }
    }

    /// Applies a listing: its entries, and the end of what it lacks.
    pub fn apply_snapshot(&mut self, snapshot: Snapshot, now: Millis) -> bool {
        let listed: std::collections::BTreeSet<ChangeKey> = snapshot
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
            changed |= self.apply(entry, now);
        }
        let followed = self.scopes.entry(snapshot.scope).or_insert(Followed {
            newest: snapshot.at,
            kept_since: snapshot.at,
        });
        followed.newest = followed.newest.max(snapshot.at);
        changed
    }

    /// Applies changes that follow each other without a gap; says whether anything is
    /// different now.
    pub fn apply_changes(&mut self, scope: Scope, changes: Vec<Revised>, now: Millis) -> bool {
        let newest = changes.iter().map(|change| change.revision).max();
        let mut changed = false;
        for change in changes {
            changed |= self.apply(change, now);
        }
        if let (Some(newest), Some(followed)) = (newest, self.scopes.get_mut(&scope)) {
            followed.newest = followed.newest.max(newest);
        }
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
                self.check_patches(patches)?;
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
                changed
            }
        }
    }

    /// The revision up to which everything in `scope` is known; `None` before the first
    /// listing.
    pub fn newest(&self, scope: Scope) -> Option<Revision> {
        self.scopes.get(&scope).map(|followed| followed.newest)
    }

    /// What a peer lacks that has everything in `scope` up to `after`, and version `holds`
    /// of the configuration. `None` if nothing is known here.
    pub fn missing(
        &self,
        scope: Scope,
        after: Option<Revision>,
        holds: Option<ConfigVersion>,
    ) -> Option<CatchUp> {
        let followed = self.scopes.get(&scope)?;
        let at = followed.newest;
        let entries = match scope {
            Scope::Operator => self.operator_entries(holds),
            Scope::Upstreams => self.upstream_entries(),
        };
        let Some(after) = after.filter(|after| *after >= followed.kept_since) else {
            return Some(CatchUp::Whole(Snapshot { scope, at, entries }));
        };
        let gone = match scope {
            Scope::Operator => self.ended_evacuations(),
            Scope::Upstreams => self.gone_entries(),
        };
        let changes = entries.into_iter().chain(gone);
        let changes = changes.filter(|change| change.revision > after).collect();
        Some(CatchUp::Changes { scope, at, changes })
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<SteeringConfig>> {
        self.config.as_ref()
    }

    /// All upstreams that have an entry, with when it was learned.
    pub fn upstreams(&self) -> impl Iterator<Item = (&UpstreamRecord, Millis)> {
        self.upstreams
            .values()
            .map(|held| (&held.record, held.learned_at))
    }

    /// Whether `zone` is to get nothing.
    pub fn is_evacuated(&self, zone: &Zone) -> bool {
        self.evacuations
            .get(zone)
            .is_some_and(|evacuation| evacuation.ended_at.is_none())
    }

    /// When the last evacuation of `zone` ended, if one did.
    pub fn evacuation_ended_at(&self, zone: &Zone) -> Option<Millis> {
        self.evacuations.get(zone)?.ended_at
    }

    fn keys(&self, scope: Scope) -> Vec<ChangeKey> {
        match scope {
            Scope::Operator => {
                let open = self
                    .evacuations
                    .iter()
                    .filter(|(_, e)| e.ended_at.is_none());
                open.map(|(zone, _)| ChangeKey::Evacuation(zone.clone()))
                    .collect()
            }
            Scope::Upstreams => {
                let ids = self.upstreams.keys();
                ids.map(|id| ChangeKey::Upstream(id.clone())).collect()
            }
        }
    }

    fn apply_config(&mut self, config: Arc<SteeringConfig>, revision: Revision) -> bool {
        self.config_revision = self.config_revision.max(revision);
        let newer = self
            .config
            .as_ref()
            .is_none_or(|held| config.version > held.version);
        if !newer {
            return false;
        }
        if let Some(held) = &self.config {
            let patch = ConfigPatch::between(held, &config);
            self.config_patches.push(Arc::new(patch));
        }
        self.config = Some(config);
        true
    }

    /// Steps from a version that isn't held change nothing.
    fn apply_patches(&mut self, patches: &[Arc<ConfigPatch>], revision: Revision) -> bool {
        if self.check_patches(patches).is_err() {
            return false;
        }
        self.config_revision = self.config_revision.max(revision);
        let Some(held) = self.config.clone() else {
            return false;
        };
        let mut newest = Arc::clone(&held);
        for patch in patches {
            if patch.version > newest.version {
                newest = Arc::new(patch.apply(&newest));
                self.config_patches.push(Arc::clone(patch));
            }
        }
        let is_newer = newest.version > held.version;
        self.config = Some(newest);
        is_newer
    }

    fn check_patches(&self, patches: &[Arc<ConfigPatch>]) -> Result<(), PatchMismatch> {
        let held = self.config.as_ref().map(|config| config.version);
        let mut reached = held;
        for patch in patches {
            if Some(patch.version) <= reached {
                continue;
            }
            if Some(patch.base) != reached {
                let base = patch.base;
                return Err(PatchMismatch { base, held });
            }
            reached = Some(patch.version);
        }
        Ok(())
    }

    fn apply_evacuation(&mut self, zone: Zone, revision: Revision) -> bool {
        let held = self.evacuations.get(&zone);
        if held.is_some_and(|held| held.revision >= revision) {
            return false;
        }
        let was_open = held.is_some_and(|held| held.ended_at.is_none());
        let evacuation = Evacuation {
            revision,
            ended_at: None,
        };
        self.evacuations.insert(zone, evacuation);
        !was_open
    }

    fn apply_upstream(&mut self, record: UpstreamRecord, revision: Revision, now: Millis) -> bool {
        if let Some(held) = self.upstreams.get(&record.id)
            && held.revision >= revision
        {
            return false;
        }
        if let Some((gone, _)) = self.gone_upstreams.get(&record.id)
            && *gone >= revision
        {
            return false;
        }
        let held = HeldUpstream {
            revision,
            learned_at: now,
            record,
        };
        self.upstreams.insert(held.record.id.clone(), held);
        true
    }

    fn apply_gone(&mut self, key: &ChangeKey, revision: Revision, now: Millis) -> bool {
        match key {
            // A configuration stays in force until a newer one replaces it.
            ChangeKey::Config => false,
            ChangeKey::Evacuation(zone) => self.end_evacuation(zone, revision, now),
            ChangeKey::Upstream(id) => self.remove_upstream(id, revision, now),
        }
    }

    fn end_evacuation(&mut self, zone: &Zone, revision: Revision, now: Millis) -> bool {
        let Some(held) = self.evacuations.get_mut(zone) else {
            return false;
        };
        if held.revision >= revision || held.ended_at.is_some() {
            return false;
        }
        held.revision = revision;
        held.ended_at = Some(now);
        true
    }

    fn remove_upstream(&mut self, id: &UpstreamId, revision: Revision, now: Millis) -> bool {
        if self
            .upstreams
            .get(id)
            .is_some_and(|held| held.revision > revision)
        {
            return false;
        }
        self.forget_gone(now);
        let gone = self
            .gone_upstreams
            .entry(id.clone())
            .or_insert((revision, now));
        gone.0 = gone.0.max(revision);
        self.upstreams.remove(id).is_some()
    }

    /// Forgets what went away long ago; peers that lack it get everything.
    fn forget_gone(&mut self, now: Millis) {
        let mut forgotten = Revision(0);
        self.gone_upstreams.retain(|_, (revision, gone_at)| {
            let is_kept = now.saturating_sub(*gone_at) < KEEP_GONE_MS;
            if !is_kept {
                forgotten = forgotten.max(*revision);
            }
            is_kept
        });
        if let Some(followed) = self.scopes.get_mut(&Scope::Upstreams) {
            followed.kept_since = followed.kept_since.max(forgotten);
        }
    }

    fn ended_evacuations(&self) -> Vec<Revised> {
        let ended = self
            .evacuations
            .iter()
            .filter(|(_, e)| e.ended_at.is_some());
        ended
            .map(|(zone, evacuation)| Revised {
                revision: evacuation.revision,
                change: Change::Gone(ChangeKey::Evacuation(zone.clone())),
            })
            .collect()
    }

    fn gone_entries(&self) -> Vec<Revised> {
        let gone = self.gone_upstreams.iter();
        gone.map(|(id, (revision, _))| Revised {
            revision: *revision,
            change: Change::Gone(ChangeKey::Upstream(id.clone())),
        })
        .collect()
    }

    fn operator_entries(&self, holds: Option<ConfigVersion>) -> Vec<Revised> {
        let config = self.config.iter().map(|config| Revised {
            revision: self.config_revision,
            change: self.config_since(config, holds),
        });
        let open = self
            .evacuations
            .iter()
            .filter(|(_, e)| e.ended_at.is_none());
        let evacuated = open.map(|(zone, evacuation)| Revised {
            revision: evacuation.revision,
            change: Change::Evacuated(zone.clone()),
        });
        config.chain(evacuated).collect()
    }

    /// The configuration for a peer that holds version `holds`: the steps to it, or all.
    fn config_since(&self, config: &Arc<SteeringConfig>, holds: Option<ConfigVersion>) -> Change {
        let patches = holds.and_then(|holds| self.config_patches.since(holds, config));
        match patches {
            Some(patches) => Change::ConfigPatched(patches),
            None => Change::Config(Arc::clone(config)),
        }
    }

    fn upstream_entries(&self) -> Vec<Revised> {
        let entry = |held: &HeldUpstream| Revised {
            revision: held.revision,
            change: Change::Upstream(held.record.clone()),
        };
        self.upstreams.values().map(entry).collect()
    }
}
