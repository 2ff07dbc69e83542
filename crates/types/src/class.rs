//! Request classes: what the system may do with a request that went wrong.

use serde::{Deserialize, Serialize};
use std::fmt;

/// What a service's requests are, and so how they may be treated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Small and safe to run again: a price check, a position look-up.
    #[default]
    Repeatable,
    /// Must run at most once: a confirmation, a voucher, a booking.
    Once(OnceProof),
    /// Large and slow, must arrive whole: drawings, engine logs.
    Upload,
}

/// What shows that a `once` request has not been run before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OnceProof {
    /// A signed ticket that names one incarnation of one box. Works in every cut.
    #[default]
    Ticket,
    /// A create-if-absent claim on the caller's own key in the platform's store,
    /// besides the ticket. Exact across tickets; needs the store to be reachable.
    Claim,
}

impl Class {
    /// Whether a failed try may be made again without asking the caller.
    pub fn may_repeat(self) -> bool {
        self == Self::Repeatable
    }

    /// Whether a look-up issues a ticket for it.
    pub fn needs_ticket(self) -> bool {
        matches!(self, Self::Once(_))
    }

    /// The name used in policies, metrics and answers.
    pub fn name(self) -> &'static str {
        match self {
            Self::Repeatable => "repeatable",
            Self::Once(OnceProof::Ticket) => "once",
            Self::Once(OnceProof::Claim) => "once_claimed",
            Self::Upload => "upload",
        }
    }

    /// The inverse of [`Class::name`].
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
