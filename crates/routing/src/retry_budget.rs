//! Keeps the repeats that all boxes send to a service under a shared bound, without a
//! message: each box spends a part of its own requests and its part of the extra.

use brasswinch_types::Millis;

/// Length of a bucket of the sliding window, in milliseconds.
const BUCKET_MS: Millis = 500;

/// Part of the bound that is used; the rest covers counts that lag.
const USED_PART: f64 = 0.7;

/// The bound that all boxes keep together.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetSettings {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats in a window, whatever the requests.
    pub extra: f64,
    /// The window, in milliseconds.
    pub window_ms: Millis,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    index: u64,
    requests: u32,
    repeats: u32,
}

/// One box's part of the budget for one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    buckets: Vec<Bucket>,
}

impl RetryBudget {
    /// An unused budget.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        let buckets = (settings.window_ms / BUCKET_MS + 1).max(2) as usize;
        Self {
            settings,
            buckets: vec![Bucket::default(); buckets],
        }
    }

    /// Counts a request's first try.
    pub fn count_request(&mut self, now: Millis) {
        self.bucket(now).requests += 1;
    }

    /// Takes one repeat out, if one is left. `boxes` is the most boxes that may be
    /// spending at the same time.
    pub fn spend(&mut self, boxes: usize, now: Millis) -> bool {
        if self.left(boxes, now) < 1.0 {
            return false;
        }
        self.bucket(now).repeats += 1;
        true
    }

    /// Repeats that are left; below 0 where the window's requests have become fewer.
    pub fn left(&self, boxes: usize, now: Millis) -> f64 {
        let newest = now / BUCKET_MS;
        let oldest = newest.saturating_sub(self.buckets.len() as u64 - 1);
        let in_window = self.buckets.iter().filter(|bucket| bucket.index >= oldest);
        let (requests, repeats) = in_window.fold((0, 0), |(requests, repeats), bucket| {
            (requests + bucket.requests, repeats + bucket.repeats)
        });
        let extra = self.settings.extra / boxes.max(1) as f64;
        let allowed = (self.settings.ratio * f64::from(requests) + extra) * USED_PART;
        allowed - f64::from(repeats)
    }

    fn bucket(&mut self, now: Millis) -> &mut Bucket {
        let index = now / BUCKET_MS;
        let place = (index % self.buckets.len() as u64) as usize;
        let bucket = &mut self.buckets[place];
        if bucket.index != index {
            *bucket = Bucket {
                index,
                ..Bucket::default()
            };
        }
        bucket
    }
}
