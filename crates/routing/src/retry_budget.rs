//! Keeps the retries that all boxes send to a service below a shared limit without messages: each
//! box spends a ratio of its own requests and its share of the fixed allowance.

use brasswinch_types::Millis;

/// Length of a bucket of the sliding window.
const BUCKET_MS: Millis = 500;

/// Fraction of the limit that is used; the rest covers counts that lag.
const USED_FRACTION: f64 = 0.7;

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
    retries: u32,
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
    buckets: Vec<Bucket>,
    counts: RetryCounts,
}

impl RetryBudget {
    /// Creates an unused budget.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        let buckets = (settings.window_ms / BUCKET_MS + 1).max(2) as usize;
        Self {
            settings,
            buckets: vec![Bucket::default(); buckets],
            counts: RetryCounts::default(),
        }
    }

    /// Counts the first attempt of a request.
    pub fn count_request(&mut self, now: Millis) {
        self.counts.requests += 1;
        self.bucket(now).requests += 1;
    }

    /// Spends one retry if one is available. `boxes` is the largest number of boxes that may be
    /// spending at the same time.
    pub fn spend(&mut self, boxes: usize, now: Millis) -> bool {
        if self.left(boxes, now) < 1.0 {
            self.counts.denied += 1;
            return false;
        }
        self.counts.granted += 1;
        self.bucket(now).retries += 1;
        true
    }

    /// Returns what was counted since the budget was created.
    pub fn counts(&self) -> RetryCounts {
        self.counts
    }

    /// Returns the available retries; below 0 if the window's requests have decreased.
    pub fn left(&self, boxes: usize, now: Millis) -> f64 {
        let newest = now / BUCKET_MS;
        let oldest = newest.saturating_sub(self.buckets.len() as u64 - 1);
        let in_window = self.buckets.iter().filter(|bucket| bucket.index >= oldest);
        let (requests, retries) = in_window.fold((0, 0), |(requests, retries), bucket| {
            (requests + bucket.requests, retries + bucket.retries)
        });
        let extra = self.settings.extra / boxes.max(1) as f64;
        let allowed = (self.settings.ratio * f64::from(requests) + extra) * USED_FRACTION;
        allowed - f64::from(retries)
    }

    fn bucket(&mut self, now: Millis) -> &mut Bucket {
        let index = now / BUCKET_MS;
        let slot = (index % self.buckets.len() as u64) as usize;
        let bucket = &mut self.buckets[slot];
        if bucket.index != index {
            *bucket = Bucket {
                index,
                ..Bucket::default()
            };
        }
        bucket
    }
}
