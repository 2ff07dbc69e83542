//! The newest configuration, and the patches that led to it.

use crate::change::{Change, Revised, Revision};
use crate::config::{ConfigVersion, SteeringConfig};
use crate::config_patch::{ConfigFingerprint, ConfigPatch, PatchHistory};
use std::sync::Arc;

/// A configuration patch whose base isn't the configuration that this box holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a configuration patch applies to {base:?}, but this box holds {held:?}")]
pub struct PatchMismatch {
    /// The configuration that the patch applies to.
    pub base: ConfigFingerprint,
    /// The configuration that this box holds, if any.
    pub held: Option<ConfigFingerprint>,
}

/// The received configuration with the highest version.
#[derive(Debug, Default)]
pub(super) struct HeldConfig {
    newest: Option<Arc<SteeringConfig>>,
    /// The fingerprint of the newest configuration.
    fingerprint: Option<ConfigFingerprint>,
    /// The last revision that wrote a configuration, whatever its version.
    revision: Revision,
    patches: PatchHistory,
    /// Whether the store holds a configuration of which this box can read nothing.
    is_unreadable: bool,
}

impl HeldConfig {
    pub(super) fn newest(&self) -> Option<&Arc<SteeringConfig>> {
        self.newest.as_ref()
    }

    /// Records that nothing of the store's configuration can be read.
    pub(super) fn set_unreadable(&mut self) {
        self.is_unreadable = true;
    }

    /// Whether the store has a configuration, and this box holds none because it can't read it.
    pub(super) fn is_missing(&self) -> bool {
        self.is_unreadable && self.newest.is_none()
    }

    pub(super) fn fingerprint(&self) -> Option<ConfigFingerprint> {
        self.fingerprint
    }

    /// Replaces the configuration if `config` is newer. Returns whether it is.
    pub(super) fn replace(&mut self, config: Arc<SteeringConfig>, revision: Revision) -> bool {
        self.revision = self.revision.max(revision);
        if Some(config.version) <= self.version() {
            return false;
        }
        if let Some(held) = &self.newest {
            let patch = ConfigPatch::between(held, &config);
            self.patches.push(Arc::new(patch), &config);
        }
        self.set_newest(config);
        true
    }

    /// Applies patches that lead to a newer version. Returns whether the version changed. Patches
    /// to a configuration that this box doesn't hold change nothing.
    pub(super) fn patch(&mut self, patches: &[Arc<ConfigPatch>], revision: Revision) -> bool {
        if self.check(patches).is_err() {
            return false;
        }
        self.revision = self.revision.max(revision);
        let mut is_newer = false;
        for patch in patches {
            is_newer |= self.apply_patch(patch);
        }
        is_newer
    }

    fn apply_patch(&mut self, patch: &Arc<ConfigPatch>) -> bool {
        let held = self.newest.as_ref();
        let Some(base) = held.filter(|held| held.version == patch.base.version) else {
            return false;
        };
        let config = patch.apply(base);
        self.patches.push(Arc::clone(patch), &config);
        self.set_newest(Arc::new(config));
        true
    }

    fn set_newest(&mut self, config: Arc<SteeringConfig>) {
        self.fingerprint = Some(ConfigFingerprint::of(&config));
        self.newest = Some(config);
    }

    /// Checks that patches apply to the held configuration or were applied already. Each patch
    /// is based on the one before, so only the first one needed is checked.
    pub(super) fn check(&self, patches: &[Arc<ConfigPatch>]) -> Result<(), PatchMismatch> {
        let version = self.version();
        let needed = patches.iter().find(|patch| Some(patch.version) > version);
        match needed {
            Some(patch) if Some(patch.base) != self.fingerprint => Err(PatchMismatch {
                base: patch.base,
                held: self.fingerprint,
            }),
            _ => Ok(()),
        }
    }

    /// Returns the configuration entry for a peer that holds `holds`: the patches from there, or
    /// the whole configuration.
    pub(super) fn entry_since(&self, holds: Option<ConfigFingerprint>) -> Option<Revised> {
        let (newest, fingerprint) = (self.newest.as_ref()?, self.fingerprint?);
        let patches = holds.and_then(|holds| self.patches.since(holds, fingerprint));
        let change = match patches {
            Some(patches) => Change::ConfigPatched(patches),
            None => Change::Config(Arc::clone(newest)),
        };
        let revision = self.revision;
        Some(Revised { revision, change })
    }

    fn version(&self) -> Option<ConfigVersion> {
        self.fingerprint.map(|fingerprint| fingerprint.version)
    }
}
