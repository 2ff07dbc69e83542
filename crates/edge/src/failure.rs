//! What is known of a request's tries, and the failure that follows from it.

use crate::body::Held;
use brasswinch_routing::{Basis, Choice, RequestDigest};
use brasswinch_types::{ErrorKind, Millis, Ran, UpstreamId, Workspace};
use bytes::Bytes;
use std::fmt;
use std::sync::OnceLock;
use tokio::time::Instant;

/// A choice as the log tells it, after the try has taken the choice itself.
#[derive(Clone)]
pub(crate) struct Decided {
    pub(crate) upstream: UpstreamId,
    basis: Basis,
    lost_ms: Option<Millis>,
}

impl Decided {
    pub(crate) fn new(choice: &Choice) -> Self {
        Self {
            upstream: choice.upstream.clone(),
            basis: choice.basis.clone(),
            lost_ms: choice.lost_ms,
        }
    }
}

impl fmt::Display for Decided {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "upstream={} {}", self.upstream, self.basis)?;
        match self.lost_ms {
            Some(lost_ms) => write!(f, " lost_ms={lost_ms}"),
            None => Ok(()),
        }
    }
}

/// A digest in a log line, where there is one.
pub(crate) struct Known<'a>(pub(crate) Option<&'a RequestDigest>);

impl fmt::Display for Known<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(digest) => write!(f, "{digest}"),
            None => f.write_str("-"),
        }
    }
}

/// Why a request failed.
pub(crate) enum Failure {
    /// For a reason that has a fixed answer.
    Kind(ErrorKind),
    /// The same, after it was sent to an upstream.
    AtUpstream {
        kind: ErrorKind,
        decided: Box<Decided>,
        /// What the request is known by, where an upstream has ended under it.
        digest: Option<RequestDigest>,
    },
    /// Its workspace has no room in its quota.
    OverQuota {
        workspace: Workspace,
        retry_after_ms: Millis,
    },
    /// Upstreams end under it.
    ShutOut {
        retry_after_ms: Millis,
        digest: RequestDigest,
    },
    /// For lack of room, with a time to come back.
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
            Self::ShutOut { .. } => ErrorKind::ShutOut,
            Self::Refused { .. } => ErrorKind::AtCapacity,
        }
    }
}

impl From<ErrorKind> for Failure {
    fn from(kind: ErrorKind) -> Self {
        Self::Kind(kind)
    }
}

/// What is known of a request's tries.
pub(crate) struct Tries {
    pub(crate) upstreams: Vec<UpstreamId>,
    /// The last of them, and what it was chosen on.
    last: Option<Decided>,
    /// The body, where it is held whole.
    pub(crate) whole: Bytes,
    pub(crate) can_repeat: bool,
    /// Tries in which it was sent.
    pub(crate) sent: u32,
    /// Tries in which nothing was sent.
    pub(crate) unreachable: u32,
    pub(crate) may_have_run: bool,
    /// When the last of them began.
    pub(crate) began: Instant,
    /// What the request is known by when it comes again, once that was needed.
    pub(crate) digest: OnceLock<RequestDigest>,
    /// What it is placed by, in the place of its object, where upstreams ended under it.
    pub(crate) placed_as: Option<[u8; 16]>,
}

impl Tries {
    pub(crate) fn new(held: &Held) -> Self {
        Self {
            upstreams: Vec::new(),
            last: None,
            whole: held.bytes.clone(),
            can_repeat: held.is_whole(),
            sent: 0,
            unreachable: 0,
            may_have_run: false,
            began: Instant::now(),
            digest: OnceLock::new(),
            placed_as: None,
        }
    }

    /// Notes the upstream of the next try.
    pub(crate) fn begin(&mut self, decided: Decided) {
        self.upstreams.push(decided.upstream.clone());
        self.last = Some(decided);
        self.began = Instant::now();
    }

    /// The failure of the last try, which ended with `kind`.
    pub(crate) fn last_failure(&self, kind: ErrorKind) -> Failure {
        match &self.last {
            Some(decided) => Failure::AtUpstream {
                kind,
                decided: Box::new(decided.clone()),
                digest: self.digest.get().copied(),
            },
            None => kind.into(),
        }
    }

    /// Counts a try in which the request was sent and that failed.
    pub(crate) fn count_sent(&mut self, kind: ErrorKind) {
        self.sent += 1;
        self.may_have_run |= kind.answer().ran == Ran::Unknown;
    }

    /// Once a try may have run, no later one makes the answer "not run".
    pub(crate) fn truth(&self, failure: Failure) -> Failure {
        let claims_not_run = failure.kind().answer().ran == Ran::NotRun;
        if self.may_have_run && claims_not_run {
            self.last_failure(ErrorKind::UpstreamBroken)
        } else {
            failure
        }
    }
}
