//! What operators see of requests under which upstreams ended.

use super::record::{Level, Record, Verdict};
use crate::request_digest::RequestDigest;
use brasswinch_types::{Millis, Service, Workspace};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A request that is suspected or shut out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShutOutStatus {
    /// The request's digest, as log lines give it.
    pub digest: String,
    /// Its service.
    pub service: Service,
    /// Its workspace; `None` where no key is needed.
    pub workspace: Option<Workspace>,
    /// Upstreams that ended under it, one after another.
    pub crashes: usize,
    /// How long ago the last of them did, in milliseconds.
    pub last_ago_ms: Millis,
    /// How much longer it is shut out, in milliseconds; `None` where it is only suspected.
    pub shut_out_for_ms: Option<Millis>,
}

impl ShutOutStatus {
    pub(super) fn of(digest: RequestDigest, record: &Record, now: Millis) -> Option<Self> {
        if record.level(now) < Level::LetOut {
            return None;
        }
        let last = record.runs().last()?;
        let shut_out_for_ms = match record.verdict(now) {
            Verdict::ShutOut { for_ms } => Some(for_ms),
            _ => None,
        };
        Some(Self {
            digest: digest.to_string(),
            service: record.suspect().service.clone(),
            workspace: record.suspect().workspace.clone(),
            crashes: record.runs().len(),
            last_ago_ms: now.saturating_sub(last.ended),
            shut_out_for_ms,
        })
    }
}

impl fmt::Display for ShutOutStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (digest, service, crashes) = (&self.digest, &self.service, self.crashes);
        write!(f, "{digest} of {service}")?;
        if let Some(workspace) = &self.workspace {
            write!(f, ", workspace {workspace}")?;
        }
        let last = self.last_ago_ms;
        write!(f, ": {crashes} upstreams ended, the last {last} ms ago")?;
        match self.shut_out_for_ms {
            Some(for_ms) => write!(f, ", shut out for {for_ms} ms"),
            None => f.write_str(", suspected"),
        }
    }
}
