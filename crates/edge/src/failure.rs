//! The state of a request's attempts, and the failure that results from it.

use crate::body::BufferedBody;
use brasswinch_routing::{Basis, Choice, RequestDigest};
use brasswinch_types::{ErrorKind, Millis, Ran, UpstreamId, Workspace};
use bytes::Bytes;
use std::fmt;
use std::sync::OnceLock;
use tokio::time::Instant;

/// The logged fields of a choice, kept after the attempt has taken the choice itself.
#[derive(Clone)]
pub(crate) struct LoggedChoice {
    pub(crate) upstream: UpstreamId,
    basis: Basis,
    /// How long ago this box learned that the upstream's entry was lost; `None` if the entry
    /// exists.
    lost_ms: Option<Millis>,
}

impl LoggedChoice {
    pub(crate) fn new(choice: &Choice) -> Self {
        Self {
            upstream: choice.upstream.clone(),
            basis: choice.basis.clone(),
            lost_ms: choice.lost_ms,
        }
    }
}

impl fmt::Display for LoggedChoice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "upstream={} {}", self.upstream, self.basis)?;
        match self.lost_ms {
            Some(lost_ms) => write!(f, " lost_ms={lost_ms}"),
            None => Ok(()),
        }
    }
}

/// Displays an optional digest in a log line; `-` if there is none.
pub(crate) struct OptionalDigest<'a>(pub(crate) Option<&'a RequestDigest>);

impl fmt::Display for OptionalDigest<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(digest) => write!(f, "{digest}"),
            None => f.write_str("-"),
        }
    }
}

/// Why a request failed.
pub(crate) enum Failure {
    /// An error with a fixed response.
    Kind(ErrorKind),
    /// An error with a fixed response, after an upstream was chosen.
    AtUpstream {
        kind: ErrorKind,
        logged_choice: Box<LoggedChoice>,
        /// The request's digest, if it has been computed for the quarantine.
        digest: Option<RequestDigest>,
    },
    /// The workspace has used up its quota.
    OverQuota {
        workspace: Workspace,
        retry_after_ms: Millis,
    },
    /// The request is quarantined because it crashes upstreams.
    Quarantined {
        retry_after_ms: Millis,
        digest: RequestDigest,
    },
    /// All upstreams are at capacity.
    Refused {
        retry_after_ms: u64,
        basis: Box<Basis>,
    },
}

impl Failure {
    pub(crate) fn kind(&self) -> ErrorKind {
        match self {
            Self::Kind(kind) | Self::AtUpstream { kind, .. } => *kind,
            Self::OverQuota { .. } => ErrorKind::OverQuota,
            Self::Quarantined { .. } => ErrorKind::ShutOut,
            Self::Refused { .. } => ErrorKind::AtCapacity,
        }
    }
}

impl From<ErrorKind> for Failure {
    fn from(kind: ErrorKind) -> Self {
        Self::Kind(kind)
    }
}

/// The state of a request's attempts.
pub(crate) struct Attempts {
    pub(crate) upstreams: Vec<UpstreamId>,
    /// The last choice and its basis.
    last: Option<LoggedChoice>,
    /// The buffered body: all of it if `can_resend`, else its beginning.
    pub(crate) buffered_body: Bytes,
    pub(crate) can_resend: bool,
    /// Attempts in which the request was sent.
    pub(crate) sent: u32,
    /// Attempts in which nothing was sent.
    pub(crate) unreachable: u32,
    pub(crate) may_have_run: bool,
    /// When the last attempt began.
    pub(crate) began: Instant,
    /// The digest that identifies repeats of the request; computed when first needed.
    pub(crate) digest: OnceLock<RequestDigest>,
    /// Placement key that replaces the object of a request that is suspected of crashing upstreams.
    pub(crate) placement_key: Option<[u8; 16]>,
}

impl Attempts {
    pub(crate) fn new(buffered: &BufferedBody) -> Self {
        Self {
            upstreams: Vec::new(),
            last: None,
            buffered_body: buffered.bytes.clone(),
            can_resend: buffered.is_complete(),
            sent: 0,
            unreachable: 0,
            may_have_run: false,
            began: Instant::now(),
            digest: OnceLock::new(),
            placement_key: None,
        }
    }

    /// Records the choice of the next attempt.
    pub(crate) fn begin(&mut self, logged_choice: LoggedChoice) {
        self.upstreams.push(logged_choice.upstream.clone());
        self.last = Some(logged_choice);
        self.began = Instant::now();
    }

    /// Returns the failure of the last attempt, which ended with `kind`.
    pub(crate) fn last_failure(&self, kind: ErrorKind) -> Failure {
        match &self.last {
            Some(logged_choice) => Failure::AtUpstream {
                kind,
                logged_choice: Box::new(logged_choice.clone()),
                digest: self.digest.get().copied(),
            },
            None => kind.into(),
        }
    }

    /// Counts a failed attempt in which the request was sent.
    pub(crate) fn count_sent(&mut self, kind: ErrorKind) {
        self.sent += 1;
        self.may_have_run |= kind.answer().ran == Ran::Unknown;
    }

    /// Corrects the failure that is reported to the client: once an attempt may have run, a later
    /// failure must not claim that the request has not run.
    pub(crate) fn corrected_failure(&self, failure: Failure) -> Failure {
        let claims_not_run = failure.kind().answer().ran == Ran::NotRun;
        if self.may_have_run && claims_not_run {
            self.last_failure(ErrorKind::UpstreamBroken)
        } else {
            failure
        }
    }
}
