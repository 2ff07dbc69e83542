//! Fair shares of a service's capacity among workspaces, from the requests of one box.
//!
//! While a service is overloaded, the fair shares are max-min fair: its admitted requests are
//! divided among the workspaces so that each gets all that it requested or the same level, which
//! is the highest that the admitted requests allow. A workspace that requests less than the level
//! leaves the rest to the others.

use brasswinch_types::{Millis, Workspace};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Maximum number of workspaces that are counted for one service.
pub const MAX_COUNTED_WORKSPACES: usize = 256;

/// Length of each of the two windows that requests are counted in.
const WINDOW_MS: Millis = 1_000;

/// How long a service counts as overloaded after a request was refused for lack of capacity.
const OVERLOADED_MS: Millis = 2_000;

/// Admitted requests of a workspace, as a multiple of its fair share, above which it is over its
/// share. One box sees few requests of each workspace, so their counts vary without any overload.
const OVER_SHARE_FACTOR: f64 = 1.5;

/// Requests of one workspace, in the current and the last window.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requested: [u32; 2],
    admitted: [u32; 2],
}

impl Counts {
    fn requested(&self) -> u32 {
        self.requested[0].saturating_add(self.requested[1])
    }

    fn admitted(&self) -> u32 {
        self.admitted[0].saturating_add(self.admitted[1])
    }
}

/// The share of one workspace, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CountedShare {
    /// The workspace.
    pub workspace: Workspace,
    /// Requests of the last one to two seconds.
    pub requested: u32,
    /// Of these, the admitted ones.
    pub admitted: u32,
    /// Whether the workspace is over its fair share.
    pub is_over_share: bool,
}

/// Counts the requests of a service by workspace and detects the workspaces over their fair share.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    window_started_at: Millis,
    workspaces: HashMap<Workspace, Counts>,
    overloaded_until: Millis,
}

impl FairShares {
    /// Counts a request of `workspace` and whether an upstream was chosen for it.
    ///
    /// If the maximum number of workspaces is reached, a new one replaces the one with the fewest
    /// requests and continues its counts (Metwally, Agrawal and El Abbadi, 2005). So a workspace
    /// with many requests is always counted. The continued counts are at most a 256th of all
    /// requests, and the new workspace begins over its share only if the replaced one was.
    pub fn count(&mut self, workspace: &Workspace, is_admitted: bool, now: Millis) {
        self.roll(now);
        if !self.workspaces.contains_key(workspace) {
            let counts = self.make_room();
            self.workspaces.insert(workspace.clone(), counts);
        }
        let Some(counts) = self.workspaces.get_mut(workspace) else {
            return;
        };
        counts.requested[0] = counts.requested[0].saturating_add(1);
        if is_admitted {
            counts.admitted[0] = counts.admitted[0].saturating_add(1);
        }
    }

    /// Records that a request was refused for lack of capacity.
    pub fn record_refusal(&mut self, now: Millis) {
        self.overloaded_until = now.saturating_add(OVERLOADED_MS);
    }

    /// Returns whether a request was refused for lack of capacity within the last 2 s.
    pub fn is_overloaded(&self, now: Millis) -> bool {
        now < self.overloaded_until
    }

    /// Returns whether the service is overloaded and `workspace` has had more than 1.5 times its
    /// fair share of the admitted requests.
    pub fn is_over_share(&mut self, workspace: &Workspace, now: Millis) -> bool {
        if !self.is_overloaded(now) {
            return false;
        }
        self.roll(now);
        let Some(counts) = self.workspaces.get(workspace) else {
            return false;
        };
        // The level is at least the mean, so most workspaces need no sorting.
        let admitted = f64::from(counts.admitted());
        if admitted <= OVER_SHARE_FACTOR * self.mean_admitted() {
            return false;
        }
        admitted > OVER_SHARE_FACTOR * self.level()
    }

    /// Returns the counted workspaces of an overloaded service, those with most admitted requests
    /// first; none if the service isn't overloaded.
    pub fn shares(&self, now: Millis) -> Vec<CountedShare> {
        if !self.is_overloaded(now) {
            return Vec::new();
        }
        let mut current = self.clone();
        current.roll(now);
        let limit = OVER_SHARE_FACTOR * current.level();
        let share = |(workspace, counts): (&Workspace, &Counts)| CountedShare {
            workspace: workspace.clone(),
            requested: counts.requested(),
            admitted: counts.admitted(),
            is_over_share: f64::from(counts.admitted()) > limit,
        };
        let mut shares: Vec<CountedShare> = current.workspaces.iter().map(share).collect();
        shares.sort_by(|a, b| {
            let by_admitted = b.admitted.cmp(&a.admitted);
            by_admitted.then_with(|| a.workspace.cmp(&b.workspace))
        });
        shares
    }

    /// Returns the number of counted workspaces, at most [`MAX_COUNTED_WORKSPACES`].
    pub fn counted(&self) -> usize {
        self.workspaces.len()
    }

    /// Starts a new window if the current one has ended, and drops workspaces without requests in
    /// either window.
    fn roll(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.window_started_at);
        if elapsed < WINDOW_MS {
            return;
        }
        if elapsed >= 2 * WINDOW_MS {
            self.window_started_at = now;
            self.workspaces.clear();
            return;
        }
        // Windows start at fixed intervals; otherwise counts would last for up to 3 s.
        self.window_started_at += WINDOW_MS;
        self.workspaces.retain(|_, counts| {
            counts.requested = [0, counts.requested[0]];
            counts.admitted = [0, counts.admitted[0]];
            counts.requested[1] > 0
        });
    }

    /// Makes room for one more workspace and returns the counts that it starts with.
    fn make_room(&mut self) -> Counts {
        if self.workspaces.len() < MAX_COUNTED_WORKSPACES {
            return Counts::default();
        }
        let fewest = self
            .workspaces
            .iter()
            .min_by_key(|(workspace, counts)| (counts.requested(), *workspace));
        let fewest = fewest.map(|(workspace, _)| workspace.clone());
        fewest
            .and_then(|workspace| self.workspaces.remove(&workspace))
            .unwrap_or_default()
    }

    fn admitted(&self) -> u64 {
        let counts = self.workspaces.values();
        counts.map(|counts| u64::from(counts.admitted())).sum()
    }

    fn mean_admitted(&self) -> f64 {
        self.admitted() as f64 / self.workspaces.len().max(1) as f64
    }

    /// Returns the level: the largest fair share, in requests. It is infinite if all requests were
    /// admitted.
    fn level(&self) -> f64 {
        let counts = self.workspaces.values();
        let mut requested: Vec<u32> = counts.map(Counts::requested).collect();
        requested.sort_unstable();
        let mut left = self.admitted() as f64;
        let mut sharing = requested.len();
        for requested in requested {
            let requested = f64::from(requested);
            let equal_share = left / sharing as f64;
            if requested > equal_share {
                return equal_share;
            }
            left -= requested;
            sharing -= 1;
        }
        f64::INFINITY
    }
}
