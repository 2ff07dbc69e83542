//! The status of requests during which upstreams crashed, for operators.

use super::record::{Level, Record, Verdict};
use crate::request_digest::RequestDigest;
use brasswinch_types::{Millis, Service, Workspace};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The status of a suspected or quarantined request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuarantineStatus {
    /// The request's digest, as in log lines.
    pub digest: String,
    /// Its service.
    pub service: Service,
    /// Its workspace; `None` where no key is needed.
    pub workspace: Option<Workspace>,
    /// Number of upstreams that crashed in sequence while running it.
    pub crashes: usize,
    /// Time since the last of them crashed, in milliseconds.
    pub last_ago_ms: Millis,
    /// Remaining time of its quarantine, in milliseconds; `None` if it is only suspected.
    #[serde(rename = "shut_out_for_ms")]
    pub quarantined_for_ms: Option<Millis>,
}

impl QuarantineStatus {
    pub(super) fn of(digest: RequestDigest, record: &Record, now: Millis) -> Option<Self> {
        if record.level(now) < Level::Released {
            return None;
        }
        let last = record.crashes().last()?;
        let quarantined_for_ms = match record.verdict(now) {
            Verdict::Quarantined { for_ms } => Some(for_ms),
            _ => None,
        };
        Some(Self {
            digest: digest.to_string(),
            service: record.suspect().service.clone(),
            workspace: record.suspect().workspace.clone(),
            crashes: record.crashes().len(),
            last_ago_ms: now.saturating_sub(last.ended),
            quarantined_for_ms,
        })
    }
}

impl fmt::Display for QuarantineStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (digest, service, crashes) = (&self.digest, &self.service, self.crashes);
        write!(f, "{digest} of {service}")?;
        if let Some(workspace) = &self.workspace {
            write!(f, ", workspace {workspace}")?;
        }
        let last = self.last_ago_ms;
        write!(f, ": {crashes} upstreams ended, the last {last} ms ago")?;
        match self.quarantined_for_ms {
            Some(for_ms) => write!(f, ", shut out for {for_ms} ms"),
            None => f.write_str(", suspected"),
        }
    }
}
