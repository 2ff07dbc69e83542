//! How many boxes share what the whole fleet may do.
//!
//! A box that starts hears others one by one, and in a cut never hears some of them. Were it to
//! take those that it hears for all, each side of a cut would spend the whole of every shared
//! rate. So a box goes by the largest of
//!
//! * the boxes that it heard together within the last [`REMEMBERED_MS`],
//! * the size that the store holds, which outlives all boxes,
//! * the sizes that boxes which are heard tell of.
//!
//! A box tells others only of the first two, so that no box hears its own word again and a fleet
//! that shrinks is known to have shrunk.

use brasswinch_types::Millis;

/// For how long boxes that are heard no more count, in milliseconds: regions lose each other for
/// an hour now and then, and both sides serve on.
pub const REMEMBERED_MS: Millis = 3_600_000;

/// Until a box that nobody told of the size goes by those that it hears, in milliseconds: longer
/// than the store is silent at times.
const UNKNOWN_MS: Millis = 15_000;

/// Part of the size in the store that the fleet may lose before a smaller one is written. Boxes
/// that restart one after another aren't worth a call each.
const SMALLER_PART: f64 = 0.9;

/// The largest of the numbers that came within the last one to two times [`REMEMBERED_MS`].
#[derive(Clone, Copy, Debug, Default)]
struct Largest {
    since: Millis,
    now: u32,
    before: u32,
}

impl Largest {
    fn take(&mut self, number: u32, now: Millis) {
        if now.saturating_sub(self.since) >= REMEMBERED_MS {
            self.before = std::mem::take(&mut self.now);
            self.since = now;
        }
        self.now = self.now.max(number);
    }

    fn get(&self) -> u32 {
        self.now.max(self.before)
    }

    /// Whether a whole span is over.
    fn is_complete(&self) -> bool {
        self.before > 0
    }
}

/// Where a box's idea of the fleet's size comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum KnownSize {
    /// Nobody told it: the boxes that were heard are taken for all.
    #[default]
    Heard,
    /// Whoever knows it has yet to tell it.
    Awaited,
    /// The store or another box told it: so many, whether they are heard or not.
    Told(usize),
}

/// The fleet's size as one box knows it.
#[derive(Debug, Default)]
pub struct FleetSize {
    started_at: Option<Millis>,
    heard: Largest,
    /// What others told; 0 where nobody did.
    told: Largest,
    /// What the store holds, 0 where it holds none; `None` until it was asked.
    recorded: Option<u32>,
}

impl FleetSize {
    /// Takes how many boxes are heard, this one included, and the largest size that one of them
    /// tells of; 0 where none does.
    pub fn hear(&mut self, boxes: usize, told: u32, now: Millis) {
        self.started_at.get_or_insert(now);
        self.heard
            .take(u32::try_from(boxes).unwrap_or(u32::MAX), now);
        self.told.take(told, now);
    }

    /// Takes what the store holds; 0 where no box has written a size yet.
    pub fn recorded(&mut self, boxes: u32) {
        self.recorded = Some(boxes);
    }

    /// How many boxes there are, and who says so.
    pub fn known(&self, now: Millis) -> KnownSize {
        if self.recorded.is_some() || self.told.get() > 0 {
            KnownSize::Told(self.boxes())
        } else if self.has_waited(now) {
            KnownSize::Heard
        } else {
            KnownSize::Awaited
        }
    }

    /// The most boxes that this one was told of or heard, 1 at least.
    pub fn boxes(&self) -> usize {
        self.own().max(self.told.get()).max(1) as usize
    }

    /// What this box tells others; 0 until the store was asked, since what it hears may be one
    /// side of a cut.
    pub fn to_tell(&self) -> u32 {
        self.recorded.map_or(0, |_| self.own())
    }

    /// The size that the store should hold, where it holds another one.
    pub fn to_record(&self) -> Option<u32> {
        let recorded = self.recorded?;
        let heard = self.heard.get();
        let is_smaller = f64::from(heard) < f64::from(recorded) * SMALLER_PART;
        // What was heard before this box started isn't known to it.
        let may_shrink = self.heard.is_complete();
        (heard > recorded || (is_smaller && may_shrink)).then_some(heard)
    }

    fn has_waited(&self, now: Millis) -> bool {
        let waited = |started_at: Millis| now.saturating_sub(started_at) >= UNKNOWN_MS;
        self.started_at.is_some_and(waited)
    }

    fn own(&self) -> u32 {
        self.heard.get().max(self.recorded.unwrap_or(0))
    }
}
