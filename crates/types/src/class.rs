//! Request classes, which decide how a failed request may be handled.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The class of a service's requests. It decides whether they may be retried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Small and idempotent, such as a price check or a position look-up.
    #[default]
    Repeatable,
    /// Must run at most once, such as a confirmation, a voucher or a booking.
    Once(OnceProof),
    /// Large and slow, and must arrive complete, such as drawings or engine logs.
    Upload,
}

/// How a box makes sure that a `once` request has not run before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OnceProof {
    /// A signed ticket that names one incarnation of one box. Works during any network
    /// partition.
    #[default]
    Ticket,
    /// In addition to the ticket, a create-if-absent claim on the caller's key in the
    /// platform's store. Also rejects a repeat under another ticket, but needs the store
    /// to be reachable.
    Claim,
}

impl Class {
    /// Whether a failed attempt may be retried without involving the caller.
    pub fn may_repeat(self) -> bool {
        self == Self::Repeatable
    }

    /// Whether a look-up issues a ticket for a request of this class.
    pub fn needs_ticket(self) -> bool {
        matches!(self, Self::Once(_))
    }

    /// Returns the name used in policies, metrics and responses.
    pub fn name(self) -> &'static str {
        match self {
            Self::Repeatable => "repeatable",
            Self::Once(OnceProof::Ticket) => "once",
            Self::Once(OnceProof::Claim) => "once_claimed",
            Self::Upload => "upload",
        }
    }

    /// Returns the class with the given [`Class::name`].
    pub fn from_name(name: &str) -> Option<Self> {
        [
            Self::Repeatable,
            Self::Once(OnceProof::Ticket),
            Self::Once(OnceProof::Claim),
            Self::Upload,
        ]
        .into_iter()
        .find(|class| class.name() == name)
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
