//! Evacuated zones, and zones whose evacuation has ended.

use crate::change::{Change, ChangeKey, Revised, Revision};
use brasswinch_types::{Millis, Zone};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug)]
struct Evacuation {
    revision: Revision,
    /// `None` while the evacuation lasts.
    ended_at: Option<Millis>,
}

/// The last evacuation of each zone.
#[derive(Debug, Default)]
pub(super) struct Evacuations {
    by_zone: BTreeMap<Zone, Evacuation>,
}

impl Evacuations {
    /// Records the start of an evacuation. Returns whether the zone wasn't evacuated before.
    pub(super) fn begin(&mut self, zone: Zone, revision: Revision) -> bool {
        let held = self.by_zone.get(&zone);
        if held.is_some_and(|held| held.revision >= revision) {
            return false;
        }
        let was_active = held.is_some_and(|held| held.ended_at.is_none());
        let ended_at = None;
        let evacuation = Evacuation { revision, ended_at };
        self.by_zone.insert(zone, evacuation);
        !was_active
    }

    /// Records the end of an evacuation. Returns whether the zone was evacuated until now.
    pub(super) fn end(&mut self, zone: &Zone, revision: Revision, now: Millis) -> bool {
        let Some(held) = self.by_zone.get_mut(zone) else {
            return false;
        };
        if held.revision >= revision || held.ended_at.is_some() {
            return false;
        }
        held.revision = revision;
        held.ended_at = Some(now);
        true
    }

    pub(super) fn is_active(&self, zone: &Zone) -> bool {
        let held = self.by_zone.get(zone);
        held.is_some_and(|evacuation| evacuation.ended_at.is_none())
    }

    pub(super) fn ended_at(&self, zone: &Zone) -> Option<Millis> {
        self.by_zone.get(zone)?.ended_at
    }

    pub(super) fn active_keys(&self) -> Vec<ChangeKey> {
        let keys = self.active().map(|(zone, _)| zone.clone());
        keys.map(ChangeKey::Evacuation).collect()
    }

    pub(super) fn active_entries(&self) -> Vec<Revised> {
        let entry = |(zone, evacuation): (&Zone, &Evacuation)| Revised {
            revision: evacuation.revision,
            change: Change::Evacuated(zone.clone()),
        };
        self.active().map(entry).collect()
    }

    pub(super) fn ended_entries(&self) -> Vec<Revised> {
        let ended = self.by_zone.iter().filter(|(_, e)| e.ended_at.is_some());
        let entry = |(zone, evacuation): (&Zone, &Evacuation)| Revised {
            revision: evacuation.revision,
            change: Change::Gone(ChangeKey::Evacuation(zone.clone())),
        };
        ended.map(entry).collect()
    }

    fn active(&self) -> impl Iterator<Item = (&Zone, &Evacuation)> {
        let all = self.by_zone.iter();
        all.filter(|(_, evacuation)| evacuation.ended_at.is_none())
    }
}
