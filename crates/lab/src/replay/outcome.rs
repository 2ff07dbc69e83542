//! What a replay showed.

use std::fmt;

/// Length of a window, in seconds.
pub(super) const WINDOW_S: f64 = 2.0;

/// Time in which an answer has its full worth, in milliseconds.
pub(super) const GOAL_MS: f64 = 800.0;

/// Worth of a later answer.
const LATE_WORTH: f64 = 0.2;

/// What callers got in one window.
#[derive(Clone, Copy, Debug, Default)]
pub struct WindowOutcome {
    /// Requests that were sent in it.
    pub requests: u32,
    /// Of these, those answered within the goal.
    pub in_time: u32,
    /// Answered later.
    pub late: u32,
}

impl WindowOutcome {
    /// What its answers are worth, of 1.
    pub fn worth(&self) -> f64 {
        let credit = f64::from(self.in_time) + LATE_WORTH * f64::from(self.late);
        credit / f64::from(self.requests.max(1))
    }
}

/// What the callers of one workspace got.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkspaceOutcome {
    /// Requests that were sent.
    pub requests: u32,
    /// Refusals by boxes; a request that comes back may be refused twice.
    pub refusals: u32,
    /// Requests that were refused and did not come back.
    pub given_up: u32,
}

/// What a replay showed.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// By windows of 2 s.
    pub windows: Vec<WindowOutcome>,
    /// Runs of an object at an upstream that didn't know it, the first anywhere.
    pub first_runs: u32,
    /// Runs at an upstream that didn't know the object, though another did.
    pub copies: u32,
    /// Late answers of upstreams that knew the object.
    pub late_at_known: u32,
    /// Requests that boxes refused.
    pub refused: u32,
    /// Requests that upstreams would not run.
    pub shed: u32,
    /// Requests that ran in another region than their callers'.
    pub elsewhere: u32,
    /// Sum of the differences between the fullness that a decision was based on and the one
    /// that was, and how many there were.
    pub load_error: (f64, u32),
    /// Requests of the busiest upstream.
    pub busiest: u32,
    /// Requests of all upstreams, and how many upstreams there are.
    pub runs: (u32, usize),
    /// By workspace; empty if requests have none.
    pub workspaces: Vec<WorkspaceOutcome>,
}

impl Outcome {
    /// All windows together.
    pub fn total(&self) -> WindowOutcome {
        let mut total = WindowOutcome::default();
        for window in &self.windows {
            total.requests += window.requests;
            total.in_time += window.in_time;
            total.late += window.late;
        }
        total
    }

    /// What the two worst windows are worth, of 1.
    pub fn worst(&self) -> f64 {
        let mut worths: Vec<f64> = self.windows.iter().map(WindowOutcome::worth).collect();
        worths.sort_by(f64::total_cmp);
        let worst = worths.iter().take(2);
        worst.clone().sum::<f64>() / worst.len().max(1) as f64
    }

    /// How far off the fullness was that decisions were based on, in multiples of slots.
    pub fn mean_load_error(&self) -> f64 {
        self.load_error.0 / f64::from(self.load_error.1.max(1))
    }

    /// Requests of the busiest upstream, in multiples of the mean.
    pub fn busiest_to_mean(&self) -> f64 {
        let (runs, upstreams) = self.runs;
        f64::from(self.busiest) * upstreams as f64 / f64::from(runs.max(1))
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let total = self.total();
        let part = |count: u32| f64::from(count) / f64::from(total.requests.max(1));
        write!(
            f,
            "worth={:.3} worst={:.3} late={:.3} late_at_known={:.3} first_runs={:.3} \
             copies={:.3} refused={:.4} shed={:.4} elsewhere={:.3} load_error={:.3} busiest={:.2}",
            total.worth(),
            self.worst(),
            part(total.late),
            part(self.late_at_known),
            part(self.first_runs),
            part(self.copies),
            part(self.refused),
            part(self.shed),
            part(self.elsewhere),
            self.mean_load_error(),
            self.busiest_to_mean(),
        )
    }
}
