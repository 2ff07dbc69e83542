//! A model of the store that keeps all its changes, to compare boxes with.

use super::{revised, upstream};
use brasswinch_routing::{Change, ChangeKey, FleetState, Revised, Revision, Scope, Snapshot};
use brasswinch_types::UpstreamId;
use std::collections::BTreeMap;

/// All changes of upstreams, beginning with revision 1, and the time of each.
#[derive(Default)]
pub struct RecordedStore {
    history: Vec<(u64, Revised)>,
}

impl RecordedStore {
    pub fn at(&self) -> Revision {
        Revision(self.history.len() as u64)
    }

    /// Returns the revision at a time.
    pub fn at_time(&self, time: u64) -> Revision {
        let earlier = self.history.iter().filter(|(made, _)| *made <= time);
        Revision(earlier.count() as u64)
    }

    fn write(&mut self, time: u64, change: Change) {
        let revision = self.at().0 + 1;
        self.history.push((time, revised(revision, change)));
    }

    pub fn add(&mut self, time: u64, id: &str) {
        self.write(time, Change::Upstream(upstream(id, "west-a", 1_000)));
    }

    pub fn remove(&mut self, time: u64, id: &str) {
        let id = UpstreamId::new(id);
        self.write(time, Change::Gone(ChangeKey::Upstream(id)));
    }

    /// Returns the entries at a revision.
    fn entries(&self, at: Revision) -> BTreeMap<ChangeKey, Revised> {
        let mut entries = BTreeMap::new();
        let known = self.history.iter().map(|(_, revised)| revised);
        for revised in known.filter(|revised| revised.revision <= at) {
            let key = revised.change.key();
            if matches!(revised.change, Change::Gone(_)) {
                entries.remove(&key);
            } else {
                entries.insert(key, revised.clone());
            }
        }
        entries
    }

    /// Returns the keys of the entries at a revision.
    pub fn names(&self, at: Revision) -> Vec<ChangeKey> {
        self.entries(at).into_keys().collect()
    }

    pub fn listing(&self) -> Snapshot {
        let at = self.at();
        let entries = self.entries(at).into_values().collect();
        let scope = Scope::Upstreams;
        Snapshot { scope, at, entries }
    }

    pub fn later_than(&self, after: Revision) -> Vec<Revised> {
        let known = self.history.iter().map(|(_, revised)| revised);
        let later = known.filter(|revised| revised.revision > after);
        later.cloned().collect()
    }
}

/// Returns the keys of the entries that a box holds.
pub fn names(fleet: &FleetState) -> Vec<ChangeKey> {
    let ids = fleet.upstreams().map(|(record, _)| record.id.clone());
    ids.map(ChangeKey::Upstream).collect()
}
