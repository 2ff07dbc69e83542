//! What can be wrong with a settings file.

use std::fmt;

/// One thing that is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// Path in the file, for example `peers.heartbeat_ms`.
    pub path: String,
    /// What is wrong and what is allowed.
    pub reason: String,
}

impl Problem {
    /// Puts the two together.
    pub fn new(path: impl Into<String>, reason: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            reason: reason.into(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

/// Why settings could not be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// The file isn't YAML.
    #[error("{path}: not valid YAML: {reason}")]
    NotYaml {
        /// The file.
        path: String,
        /// Why.
        reason: String,
    },
    /// The file is YAML, but values in it are wrong.
    #[error("{path}: {} problem(s)\n{}", problems.len(), listed(problems))]
    Wrong {
        /// The file.
        path: String,
        /// Every problem, sorted by path.
        problems: Vec<Problem>,
    },
}

fn listed(problems: &[Problem]) -> String {
    problems
        .iter()
        .map(|problem| format!("  {problem}"))
        .collect::<Vec<_>>()
        .join("\n")
}
