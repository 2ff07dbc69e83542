//! The parts of the operators' document that can't be used.
//!
//! The rest of the document serves: one route of a kind that this build doesn't know must not take
//! all others down. The gaps are kept with the configuration, so that every box answers a request
//! whose route or key may be missing with "unavailable" and not with "unknown".

use serde::{Deserialize, Serialize};
use std::fmt;

/// Maximum problems that are listed; more are counted.
const MAX_LISTED_PROBLEMS: usize = 32;

/// Maximum length of an entry's name and of a reason, in characters.
const MAX_TEXT_CHARS: usize = 160;

/// How requests are handled that an unusable entry concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProblemEffect {
    /// The route's requests run at most once and are sent to one upstream.
    SentOnce,
    /// The route's requests are refused.
    RouteRefused,
    /// The route is left out: requests without a route are refused, since it may be theirs.
    RouteLeftOut,
    /// The service is left out: the requests of its routes are refused.
    ServiceLeftOut,
    /// The workspace or one of its keys is left out: requests with unknown keys are refused, since
    /// they may be its own.
    WorkspaceLeftOut,
    /// The default limits on clients apply.
    DefaultLimits,
    /// The entry is left out, and it may have been a route or a workspace.
    EntryLeftOut,
    /// An effect that only a newer build knows.
    #[serde(other)]
    Unknown,
}

impl ProblemEffect {
    /// Returns the effect in words, for logs and the status.
    pub fn text(self) -> &'static str {
        match self {
            Self::SentOnce => "its requests are sent once",
            Self::RouteRefused => "its requests are refused",
            Self::RouteLeftOut => "left out; requests without a route are refused",
            Self::ServiceLeftOut => "left out; requests of its routes are refused",
            Self::WorkspaceLeftOut => "left out; requests with unknown keys are refused",
            Self::DefaultLimits => "the defaults apply",
            Self::EntryLeftOut => "left out; requests without a route or a known key are refused",
            Self::Unknown => "handled as a newer build says",
        }
    }
}

/// An entry of the operators' document that can't be used as it stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigProblem {
    /// The kind and name of the entry, such as `route checkout`.
    pub entry: String,
    /// Why it can't be used.
    pub reason: String,
    /// What follows for requests.
    pub effect: ProblemEffect,
}

impl fmt::Display for ConfigProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (entry, reason, effect) = (&self.entry, &self.reason, self.effect.text());
        write!(f, "{entry}: {reason}; {effect}")
    }
}

/// All that can't be used of one version of the operators' document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ConfigGaps {
    problems: Vec<ConfigProblem>,
    count: u32,
    lacks_routes: bool,
    lacks_workspaces: bool,
}

impl ConfigGaps {
    /// Adds a problem of `entry`.
    pub fn add(&mut self, entry: &str, reason: &dyn fmt::Display, effect: ProblemEffect) {
        self.count = self.count.saturating_add(1);
        self.lacks_routes |= matches!(
            effect,
            ProblemEffect::RouteLeftOut | ProblemEffect::EntryLeftOut
        );
        self.lacks_workspaces |= matches!(
            effect,
            ProblemEffect::WorkspaceLeftOut | ProblemEffect::EntryLeftOut
        );
        if self.problems.len() < MAX_LISTED_PROBLEMS {
            self.problems.push(ConfigProblem {
                entry: shortened(entry),
                reason: shortened(&reason.to_string()),
                effect,
            });
        }
    }

    /// Returns whether the whole document is in use.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the number of problems, listed or not.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns the first problems.
    pub fn problems(&self) -> &[ConfigProblem] {
        &self.problems
    }

    /// Returns whether a request that matches no route may belong to one that was left out.
    pub fn lacks_routes(&self) -> bool {
        self.lacks_routes
    }

    /// Returns whether an unknown key may belong to a workspace that was left out.
    pub fn lacks_workspaces(&self) -> bool {
        self.lacks_workspaces
    }
}

fn shortened(text: &str) -> String {
    text.chars().take(MAX_TEXT_CHARS).collect()
}
