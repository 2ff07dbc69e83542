//! The newest configuration, and the steps that led to it.

use crate::change::{Change, Revised, Revision};
use crate::config::{ConfigVersion, SteeringConfig};
use crate::config_patch::{ConfigMark, ConfigPatch, PatchHistory};
use std::sync::Arc;

/// Steps of the configuration that begin at something else than what is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a change of the configuration is for {base:?}, and {held:?} is held")]
pub struct PatchMismatch {
    /// What the step is for.
    pub base: ConfigMark,
    /// What is held, if anything is.
    pub held: Option<ConfigMark>,
}

/// The configuration with the highest version of all that were learned.
#[derive(Debug, Default)]
pub(super) struct HeldConfig {
    newest: Option<Arc<SteeringConfig>>,
    /// The mark of the newest.
    mark: Option<ConfigMark>,
    /// The last revision that wrote the configuration, whatever its version.
    revision: Revision,
    patches: PatchHistory,
}

impl HeldConfig {
    pub(super) fn newest(&self) -> Option<&Arc<SteeringConfig>> {
        self.newest.as_ref()
    }

    pub(super) fn mark(&self) -> Option<ConfigMark> {
        self.mark
    }

    /// Takes a whole configuration, if it is newer; says whether it is.
    pub(super) fn replace(&mut self, config: Arc<SteeringConfig>, revision: Revision) -> bool {
        self.revision = self.revision.max(revision);
        if Some(config.version) <= self.version() {
            return false;
        }
        if let Some(held) = &self.newest {
            let patch = ConfigPatch::between(held, &config);
            self.patches.push(Arc::new(patch), &config);
        }
        self.hold(config);
        true
    }

    /// Takes steps to a newer version; says whether it is newer. Steps from a version
    /// that isn't held change nothing.
    pub(super) fn patch(&mut self, patches: &[Arc<ConfigPatch>], revision: Revision) -> bool {
        if self.check(patches).is_err() {
            return false;
        }
        self.revision = self.revision.max(revision);
        let mut is_newer = false;
        for patch in patches {
            is_newer |= self.step(patch);
        }
        is_newer
    }

    fn step(&mut self, patch: &Arc<ConfigPatch>) -> bool {
        let held = self.newest.as_ref();
        let Some(base) = held.filter(|held| held.version == patch.base.version) else {
            return false;
        };
        let config = patch.apply(base);
        self.patches.push(Arc::clone(patch), &config);
        self.hold(Arc::new(config));
        true
    }

    fn hold(&mut self, config: Arc<SteeringConfig>) {
        self.mark = Some(ConfigMark::of(&config));
        self.newest = Some(config);
    }

    /// Whether steps lead from what is held to a newer version, or are known already.
    /// Each follows from the one before; only the first that is needed is looked at.
    pub(super) fn check(&self, patches: &[Arc<ConfigPatch>]) -> Result<(), PatchMismatch> {
        let version = self.version();
        let needed = patches.iter().find(|patch| Some(patch.version) > version);
        match needed {
            Some(patch) if Some(patch.base) != self.mark => Err(PatchMismatch {
                base: patch.base,
                held: self.mark,
            }),
            _ => Ok(()),
        }
    }

    /// The configuration for a peer that holds `holds`: the steps to it, or all.
    pub(super) fn entry_since(&self, holds: Option<ConfigMark>) -> Option<Revised> {
        let (newest, mark) = (self.newest.as_ref()?, self.mark?);
        let patches = holds.and_then(|holds| self.patches.since(holds, mark));
        let change = match patches {
            Some(patches) => Change::ConfigPatched(patches),
            None => Change::Config(Arc::clone(newest)),
        };
        let revision = self.revision;
        Some(Revised { revision, change })
    }

    fn version(&self) -> Option<ConfigVersion> {
        self.mark.map(|mark| mark.version)
    }
}
