//! The number of boxes that share fleet-wide limits.
//!
//! A starting box discovers others one by one, and during a network partition it doesn't reach
//! some of them. If it counted only the boxes that it reaches, each side of a partition would
//! use up all of every shared rate. So a box uses the largest of
//!
//! * the most boxes that were alive at the same time within the last [`SIZE_RETENTION_MS`],
//! * the size recorded in the store, which outlives all boxes,
//! * the sizes reported by boxes that are alive.
//!
//! A box reports only the first two to others. Otherwise boxes would report each other's old
//! values back and forth, and a smaller fleet would never be noticed.

use crate::swim::Swim;
use brasswinch_types::Millis;

/// How long boxes still count after they were last alive, in milliseconds: regions are at times
/// cut off from each other for an hour, and both sides keep serving.
pub const SIZE_RETENTION_MS: Millis = 3_600_000;

/// How long a box waits for a reported size before it uses the number of live boxes, in
/// milliseconds. This is longer than the store's occasional pauses.
const SIZE_WAIT_MS: Millis = 15_000;

/// How long the number of live boxes must not have grown before it is reported to others, in
/// milliseconds. A starting box discovers others continuously, and each report is a message.
const GROWTH_SETTLE_MS: Millis = 1_000;

/// The size in the store is lowered only if the fleet is smaller than this fraction of it, so
/// that boxes that restart one after another don't cause a store call each.
const SHRINK_FRACTION: f64 = 0.9;

/// The maximum of a number over the last one to two times [`SIZE_RETENTION_MS`].
#[derive(Clone, Copy, Debug, Default)]
struct WindowedMax {
    window_start: Millis,
    current: u32,
    previous: u32,
}

impl WindowedMax {
    fn record(&mut self, value: u32, now: Millis) {
        if now.saturating_sub(self.window_start) >= SIZE_RETENTION_MS {
            self.previous = std::mem::take(&mut self.current);
            self.window_start = now;
        }
        self.current = self.current.max(value);
    }

    fn get(&self) -> u32 {
        self.current.max(self.previous)
    }

    /// Returns whether a whole period has passed.
    fn is_complete(&self) -> bool {
        self.previous > 0
    }
}

/// The source of a box's fleet size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum KnownSize {
    /// No size was reported: the boxes seen alive are taken for the whole fleet.
    #[default]
    Observed,
    /// No size has been reported yet, but one may still arrive.
    Pending,
    /// The store or another box reported the size: the number of boxes, alive or not.
    Reported(usize),
}

/// The fleet size as one box knows it.
#[derive(Debug, Default)]
pub struct FleetSize {
    started_at: Option<Millis>,
    alive: WindowedMax,
    /// When the maximum of `alive` last grew.
    grew_at: Millis,
    /// Sizes reported by other boxes; 0 if there are none.
    reported: WindowedMax,
    /// The size in the store, 0 if it has none; `None` until the store was read.
    stored: Option<u32>,
}

impl FleetSize {
    /// Records the number of live boxes, including this one, and the largest size that one of
    /// them reports, 0 if none does.
    pub fn observe(&mut self, boxes: usize, reported: u32, now: Millis) {
        self.started_at.get_or_insert(now);
        let known = self.alive.get();
        self.alive
            .record(u32::try_from(boxes).unwrap_or(u32::MAX), now);
        if self.alive.get() > known {
            self.grew_at = now;
        }
        self.reported.record(reported, now);
    }

    /// Records the members that are alive and the sizes that they report, and publishes this
    /// box's size through `swim`. Returns whether the published size changed.
    pub fn observe_members(&mut self, swim: &mut Swim, now: Millis) -> bool {
        let me = swim.me().id.clone();
        let alive = swim.alive_boxes().count();
        let others = swim.alive_boxes().filter(|record| record.id != me);
        let reported = others.map(|record| record.fleet_size).max();
        self.observe(alive, reported.unwrap_or(0), now);
        swim.set_fleet_size(self.to_report(swim.me().fleet_size, now))
    }

    /// Records the size in the store; 0 if no box has written one yet.
    pub fn set_stored(&mut self, boxes: u32) {
        self.stored = Some(boxes);
    }

    /// Returns the fleet size and its source.
    pub fn known(&self, now: Millis) -> KnownSize {
        if self.stored.is_some() || self.reported.get() > 0 {
            KnownSize::Reported(self.boxes())
        } else if self.has_waited(now) {
            KnownSize::Observed
        } else {
            KnownSize::Pending
        }
    }

    /// Returns the largest known number of boxes, at least 1.
    pub fn boxes(&self) -> usize {
        self.own_size().max(self.reported.get()).max(1) as usize
    }

    /// Returns the size to report to other boxes, `last` being the one reported before. It is 0
    /// until the store was read, since the live boxes may be only one side of a partition.
    pub fn to_report(&self, last: u32, now: Millis) -> u32 {
        let Some(stored) = self.stored else {
            return 0;
        };
        let is_settled = now.saturating_sub(self.grew_at) >= GROWTH_SETTLE_MS;
        // Starting boxes wait for the first report.
        let is_first = last == 0 && stored == 0;
        if is_settled || is_first {
            self.own_size()
        } else {
            stored.max(last)
        }
    }

    /// Returns the size to write to the store, if the one there has to change.
    pub fn to_store(&self) -> Option<u32> {
        let stored = self.stored?;
        let alive = self.alive.get();
        let is_smaller = f64::from(alive) < f64::from(stored) * SHRINK_FRACTION;
        // This box doesn't know which boxes were alive before it started, so it waits for a
        // whole period.
        let may_shrink = self.alive.is_complete();
        (alive > stored || (is_smaller && may_shrink)).then_some(alive)
    }

    fn has_waited(&self, now: Millis) -> bool {
        let waited = |started_at: Millis| now.saturating_sub(started_at) >= SIZE_WAIT_MS;
        self.started_at.is_some_and(waited)
    }

    fn own_size(&self) -> u32 {
        self.alive.get().max(self.stored.unwrap_or(0))
    }
}
