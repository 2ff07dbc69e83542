//! The newest configuration, and the steps that led to it.

use crate::change::{Change, Revised, Revision};
use crate::config::{ConfigVersion, SteeringConfig};
use crate::config_patch::{ConfigPatch, PatchHistory};
use std::sync::Arc;

/// Steps of the configuration that begin at a version that isn't held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a change of the configuration is for version {base:?}, and {held:?} is held")]
pub struct PatchMismatch {
    /// The version that the step is for.
    pub base: ConfigVersion,
    /// The version that is held, if any is.
    pub held: Option<ConfigVersion>,
}

/// The configuration with the highest version of all that were learned.
#[derive(Debug, Default)]
pub(super) struct HeldConfig {
    newest: Option<Arc<SteeringConfig>>,
    /// The last revision that wrote the configuration, whatever its version.
    revision: Revision,
    patches: PatchHistory,
}

impl HeldConfig {
    pub(super) fn newest(&self) -> Option<&Arc<SteeringConfig>> {
        self.newest.as_ref()
    }

    /// Takes a whole configuration, if it is newer; says whether it is.
    pub(super) fn replace(&mut self, config: Arc<SteeringConfig>, revision: Revision) -> bool {
        self.revision = self.revision.max(revision);
        if Some(config.version) <= self.version() {
            return false;
        }
        if let Some(held) = &self.newest {
            let patch = ConfigPatch::between(held, &config);
            self.patches.push(Arc::new(patch));
        }
        self.newest = Some(config);
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
        let Some(held) = self
            .newest
            .as_ref()
            .filter(|held| held.version == patch.base)
        else {
            return false;
        };
        self.newest = Some(Arc::new(patch.apply(held)));
        self.patches.push(Arc::clone(patch));
        true
    }

    /// Whether steps lead from the version that is held to a newer one, or are known.
    pub(super) fn check(&self, patches: &[Arc<ConfigPatch>]) -> Result<(), PatchMismatch> {
        let held = self.version();
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

    /// The configuration for a peer that holds version `holds`: the steps to it, or all.
    pub(super) fn entry_since(&self, holds: Option<ConfigVersion>) -> Option<Revised> {
        let newest = self.newest.as_ref()?;
        let patches = holds.and_then(|holds| self.patches.since(holds, newest));
        let change = match patches {
            Some(patches) => Change::ConfigPatched(patches),
            None => Change::Config(Arc::clone(newest)),
        };
        let revision = self.revision;
        Some(Revised { revision, change })
    }

    fn version(&self) -> Option<ConfigVersion> {
        self.newest.as_ref().map(|config| config.version)
    }
}
