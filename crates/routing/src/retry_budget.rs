//! Keeps the retries that all boxes send to a service below a shared limit without messages.
//!
//! Each box saves up a part of the limit: a ratio of its own requests, and its share of the fixed
//! allowance as time passes. It can't save more than its latest requests have earned, and it starts
//! with nothing. So in any window all boxes together spend at most what the requests of that window
//! and of a fifth of a window before it have earned, however often boxes restart and wherever clients go
//! when a box is gone.

use brasswinch_types::Millis;

/// Buckets of requests in a window.
const BUCKETS_PER_WINDOW: Millis = 20;

/// Latest buckets whose requests count for what a box may have saved.
const SAVED_BUCKETS: usize = 4;

/// Fraction of the ratio that is used. The rest covers the savings from before a window, and
/// retries that arrive later than they were sent.
const RATIO_FRACTION: f64 = 0.7;

/// Fraction of the fixed allowance that is earned in a window.
const EXTRA_EARNED_FRACTION: f64 = 0.35;

/// Fraction of the fixed allowance that may be saved.
const EXTRA_SAVED_FRACTION: f64 = 0.35;

/// The limit for all boxes together.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetSettings {
    /// Retries per request.
    pub ratio: f64,
    /// Retries allowed in a window regardless of requests.
    pub extra: f64,
    /// The window, in milliseconds.
    pub window_ms: Millis,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    index: u64,
    requests: u32,
}

/// What one box has counted since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryCounts {
    /// First attempts of requests.
    pub requests: u64,
    /// Retries that the budget allowed.
    pub granted: u64,
    /// Retries that the budget denied.
    pub denied: u64,
}

/// One box's share of the budget for one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    /// Retries saved up, as of `earned_until` for the fixed allowance.
    saved: f64,
    /// Until when the fixed allowance has been earned.
    earned_until: Millis,
    recent: [Bucket; SAVED_BUCKETS],
    counts: RetryCounts,
}

impl RetryBudget {
    /// Creates a budget with nothing saved by `started_at`, when the box started.
    pub fn new(settings: RetryBudgetSettings, started_at: Millis) -> Self {
        Self {
            settings,
            saved: 0.0,
            earned_until: started_at,
            recent: [Bucket::default(); SAVED_BUCKETS],
            counts: RetryCounts::default(),
        }
    }

    /// Counts the first attempt of a request.
    pub fn count_request(&mut self, now: Millis) {
        self.counts.requests += 1;
        self.saved += self.settings.ratio * RATIO_FRACTION;
        let index = self.bucket_index(now);
        let bucket = &mut self.recent[index as usize % SAVED_BUCKETS];
        if bucket.index != index {
            *bucket = Bucket { index, requests: 0 };
        }
        bucket.requests += 1;
    }

    /// Spends one retry if one is available. `boxes` is the largest number of boxes that may be
    /// spending at the same time; if it is unknown, the fixed allowance is not used. `random` is
    /// from 0 to 1.
    // A box with few requests never saves a whole retry. It spends the fraction that it can save,
    // and retries with that probability: on average all boxes send no more than they have saved.
    pub fn spend(&mut self, boxes: Option<usize>, random: f64, now: Millis) -> bool {
        self.saved = self.left(boxes, now);
        self.earned_until = now;
        let cost = self.max_saved(boxes, now).min(1.0);
        let is_granted = self.saved >= cost && random < cost;
        if self.saved >= cost {
            self.saved -= cost;
        }
        if is_granted {
            self.counts.granted += 1;
        } else {
            self.counts.denied += 1;
        }
        is_granted
    }

    /// Returns what was counted since the budget was created.
    pub fn counts(&self) -> RetryCounts {
        self.counts
    }

    /// Returns the available retries.
    pub fn left(&self, boxes: Option<usize>, now: Millis) -> f64 {
        let earned_for = now.saturating_sub(self.earned_until);
        let windows = earned_for as f64 / self.settings.window_ms.max(1) as f64;
        let extra = self.extra_share(boxes) * EXTRA_EARNED_FRACTION * windows;
        (self.saved + extra).min(self.max_saved(boxes, now))
    }

    /// Returns the most that the box may have saved now.
    fn max_saved(&self, boxes: Option<usize>, now: Millis) -> f64 {
        let oldest = self
            .bucket_index(now)
            .saturating_sub(SAVED_BUCKETS as u64 - 1);
        let recent = self.recent.iter().filter(|bucket| bucket.index >= oldest);
        let requests: u32 = recent.map(|bucket| bucket.requests).sum();
        self.settings.ratio * RATIO_FRACTION * f64::from(requests)
            + self.extra_share(boxes) * EXTRA_SAVED_FRACTION
    }

    fn bucket_index(&self, now: Millis) -> u64 {
        now / (self.settings.window_ms / BUCKETS_PER_WINDOW).max(1)
    }

    fn extra_share(&self, boxes: Option<usize>) -> f64 {
        boxes.map_or(0.0, |boxes| self.settings.extra / boxes.max(1) as f64)
    }
}
