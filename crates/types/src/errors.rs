//! The closed list of error kinds and the table that maps each kind to a response.
//!
//! Every failed request is answered by exactly one row of this table. A test checks that
//! `docs/ERRORS.md` contains the same table, and a snapshot test guards it against
//! accidental changes.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Whether an upstream may have run the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// No upstream has run the request or will run it.
    NotRun,
    /// An upstream may have run the request.
    Unknown,
}

impl Ran {
    /// Returns the stable name that callers see.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Whether and when the caller should retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryHint {
    /// A retry won't help.
    Never,
    /// Retry after at least this many milliseconds; jitter of up to as much again is added
    /// to the response.
    After(u64),
}

/// A row of the table: the response to the caller for one error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request may have run.
    pub ran: Ran,
    /// Whether and when to retry.
    pub retry: RetryHint,
    /// One sentence for a human reader.
    pub text: &'static str,
}

/// The reasons why a caller's request can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ErrorKind {
    /// The request line, a header or a parameter can't be read.
    MalformedRequest,
    /// The credential is missing or unknown.
    Unauthenticated,
    /// The credential belongs to another workspace or role.
    Forbidden,
    /// The workspace's policy in force declares no such service.
    UnknownService,
    /// No policy of the workspace is in force on this box yet.
    NoPolicy,
    /// No region that callers of this origin may be sent to can serve.
    NoRegion,
    /// The shift cap doesn't yet allow the traffic to move to another region.
    ShiftCapped,
    /// The capacity for the request, such as the zone's load for the service, is fully used.
    AtCapacity,
    /// The workspace has too many concurrent requests on this box.
    WorkspaceLimit,
    /// The workspace has used up its quota, which covers all boxes.
    OverQuota,
    /// This box has been unable to reach the store for so long that keys may have been
    /// revoked meanwhile.
    KeysUnconfirmed,
    /// This box is shutting down and accepts no new requests.
    BoxLeaving,
    /// This box has just started and doesn't yet know which capacity it may use.
    BoxStarting,
    /// A `once` request came without a ticket.
    TicketMissing,
    /// The ticket's signature is invalid, or the ticket names another service or key.
    TicketInvalid,
    /// The ticket has expired.
    TicketExpired,
    /// The ticket names another box or an earlier incarnation of this one.
    TicketElsewhere,
    /// The box that the ticket names voided it; the request has not run and never will.
    TicketVoided,
    /// The ticket or the caller's key has already been used.
    AlreadySubmitted,
    /// The claim on the caller's key can't be written to the store now.
    ClaimUnavailable,
    /// No upstream accepted a connection.
    UpstreamConnect,
    /// The upstream explicitly refused the request without running it.
    UpstreamRefused,
    /// The connection to the upstream broke after the request may have arrived there.
    UpstreamBroken,
    /// The deadline passed before the request was sent to an upstream.
    DeadlineBeforeSend,
    /// The deadline passed after the request may have arrived at an upstream.
    DeadlineAfterSend,
    /// This box has received no configuration yet.
    NotConfigured,
    /// The configuration in force has no route for the host and path.
    NoRoute,
    /// The route or the workspace may be one that the configuration in force lacks, because this
    /// build could not read it.
    ConfigIncomplete,
    /// The body is longer than the configuration allows.
    BodyTooLarge,
    /// No upstream of the service can accept the request now.
    NoUpstream,
    /// The request is quarantined: upstreams crashed one after another while running it,
    /// whichever caller sent it.
    ShutOut,
    /// The request timed out before it was sent to an upstream.
    TimeoutBeforeSend,
    /// The request timed out after it may have arrived at an upstream.
    TimeoutAfterSend,
}

use ErrorKind as E;

impl ErrorKind {
    /// Every kind, in the order of the table.
    pub const ALL: [ErrorKind; 33] = [
        E::MalformedRequest,
        E::Unauthenticated,
        E::Forbidden,
        E::UnknownService,
        E::NoPolicy,
        E::NoRegion,
        E::ShiftCapped,
        E::AtCapacity,
        E::WorkspaceLimit,
        E::OverQuota,
        E::KeysUnconfirmed,
        E::BoxLeaving,
        E::BoxStarting,
        E::TicketMissing,
        E::TicketInvalid,
        E::TicketExpired,
        E::TicketElsewhere,
        E::TicketVoided,
        E::AlreadySubmitted,
        E::ClaimUnavailable,
        E::UpstreamConnect,
        E::UpstreamRefused,
        E::UpstreamBroken,
        E::DeadlineBeforeSend,
        E::DeadlineAfterSend,
        E::NotConfigured,
        E::NoRoute,
        E::ConfigIncomplete,
        E::BodyTooLarge,
        E::NoUpstream,
        E::ShutOut,
        E::TimeoutBeforeSend,
        E::TimeoutAfterSend,
    ];

    /// Returns the stable name that callers see.
    pub fn code(self) -> &'static str {
        match self {
            E::MalformedRequest => "malformed_request",
            E::Unauthenticated => "unauthenticated",
            E::Forbidden => "forbidden",
            E::UnknownService => "unknown_service",
            E::NoPolicy => "no_policy",
            E::NoRegion => "no_region",
            E::ShiftCapped => "shift_capped",
            E::AtCapacity => "at_capacity",
            E::WorkspaceLimit => "workspace_limit",
            E::OverQuota => "over_quota",
            E::KeysUnconfirmed => "keys_unconfirmed",
            E::BoxLeaving => "box_leaving",
            E::BoxStarting => "box_starting",
            E::TicketMissing => "ticket_missing",
            E::TicketInvalid => "ticket_invalid",
            E::TicketExpired => "ticket_expired",
            E::TicketElsewhere => "ticket_elsewhere",
            E::TicketVoided => "ticket_voided",
            E::AlreadySubmitted => "already_submitted",
            E::ClaimUnavailable => "claim_unavailable",
            E::UpstreamConnect => "upstream_connect",
            E::UpstreamRefused => "upstream_refused",
            E::UpstreamBroken => "upstream_broken",
            E::DeadlineBeforeSend => "deadline_before_send",
            E::DeadlineAfterSend => "deadline_after_send",
            E::NotConfigured => "not_configured",
            E::NoRoute => "no_route",
            E::ConfigIncomplete => "config_incomplete",
            E::BodyTooLarge => "body_too_large",
            E::NoUpstream => "no_upstream",
            E::ShutOut => "shut_out",
            E::TimeoutBeforeSend => "timeout_before_send",
            E::TimeoutAfterSend => "timeout_after_send",
        }
    }

    /// Returns the row of the table for this kind.
    pub fn answer(self) -> Answer {
        use Ran::{NotRun, Unknown};
        use RetryHint::{After, Never};
        let row = |status, ran, retry, text| Answer {
            status,
            ran,
            retry,
            text,
        };
        match self {
            E::MalformedRequest => row(400, NotRun, Never, "The request can't be read."),
            E::Unauthenticated => row(401, NotRun, Never, "A known credential is needed."),
            E::Forbidden => row(403, NotRun, Never, "This credential may not do that."),
            E::UnknownService => row(
                404,
                NotRun,
                Never,
                "The policy in force names no such service.",
            ),
            E::NoPolicy => row(503, NotRun, After(1_000), "No policy is in force here yet."),
            E::NoRegion => row(
                503,
                NotRun,
                After(2_000),
                "No allowed region can serve now.",
            ),
            E::ShiftCapped => row(
                503,
                NotRun,
                After(1_000),
                "The shift cap lets no more traffic move yet.",
            ),
            E::AtCapacity => row(
                503,
                NotRun,
                After(200),
                "The load allowed here is in full use.",
            ),
            E::WorkspaceLimit => row(
                429,
                NotRun,
                After(500),
                "The workspace has too many requests on this box.",
            ),
            E::OverQuota => row(
                429,
                NotRun,
                After(500),
                "The workspace has used up its quota.",
            ),
            E::KeysUnconfirmed => row(
                503,
                NotRun,
                After(300),
                "This box can't confirm keys now; ask another.",
            ),
            E::BoxLeaving => row(
                503,
                NotRun,
                After(50),
                "This box is leaving; look up another.",
            ),
            E::BoxStarting => row(
                503,
                NotRun,
                After(300),
                "This box is starting; look up another.",
            ),
            E::TicketMissing => row(
                428,
                NotRun,
                Never,
                "This service needs a ticket from a look-up.",
            ),
            E::TicketInvalid => row(
                403,
                NotRun,
                Never,
                "The ticket isn't valid for this request.",
            ),
            E::TicketExpired => row(
                410,
                Unknown,
                Never,
                "The ticket has expired; check before asking anew.",
            ),
            E::TicketElsewhere => row(
                409,
                Unknown,
                Never,
                "The ticket names another run of a box, which may have run it.",
            ),
            E::TicketVoided => row(
                503,
                NotRun,
                After(50),
                "The ticket was voided unused; look up a new one.",
            ),
            E::AlreadySubmitted => row(
                409,
                Unknown,
                Never,
                "This ticket or key was submitted before.",
            ),
            E::ClaimUnavailable => row(503, NotRun, After(1_000), "The key can't be claimed now."),
            E::UpstreamConnect => row(
                502,
                NotRun,
                After(300),
                "No upstream accepted a connection.",
            ),
            E::UpstreamRefused => row(
                503,
                NotRun,
                After(300),
                "The upstream refused it without running it.",
            ),
            E::UpstreamBroken => row(
                502,
                Unknown,
                Never,
                "The upstream broke off; it may have run.",
            ),
            E::DeadlineBeforeSend => row(
                504,
                NotRun,
                After(300),
                "The deadline passed before it was sent.",
            ),
            E::DeadlineAfterSend => {
                row(504, Unknown, Never, "The deadline passed; it may have run.")
            }
            E::NotConfigured => row(
                503,
                NotRun,
                After(300),
                "No configuration is known here yet.",
            ),
            E::NoRoute => row(404, NotRun, Never, "No route takes this host and path."),
            E::ConfigIncomplete => row(
                503,
                NotRun,
                After(1_000),
                "Its part of the configuration can't be read here.",
            ),
            E::BodyTooLarge => row(413, NotRun, Never, "The body is too long."),
            E::NoUpstream => row(503, NotRun, After(150), "No upstream can take it now."),
            E::ShutOut => row(
                503,
                NotRun,
                After(300_000),
                "Upstreams have ended under this request; it is held back.",
            ),
            E::TimeoutBeforeSend => row(
                503,
                NotRun,
                After(100),
                "The time allowed was over before it was sent.",
            ),
            E::TimeoutAfterSend => row(
                504,
                Unknown,
                Never,
                "The time allowed is over; it may have run.",
            ),
        }
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}
