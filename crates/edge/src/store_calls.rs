//! Counts the calls that this box makes to the store, by what they are and why.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StoreCall {
    /// All entries of a scope.
    List,
    /// Changes since a revision.
    Watch,
    /// That this box is listed.
    Register,
    /// That it stays so.
    Renew,
    /// That it no longer is.
    Withdraw,
    /// The boxes that are listed.
    Registered,
    /// That a request is kept as shut out.
    Confirm,
    /// The requests that are.
    Confirmed,
    /// How many boxes there are.
    FleetSize,
    /// That there are so many.
    SetFleetSize,
}

/// Why a call is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CallReason {
    /// This box follows the store, for all or because it knows nothing yet.
    Follow,
    /// Nobody told this box in time that it misses nothing.
    ViewOld,
    /// The store no longer keeps the changes asked for, or they did not come whole.
    Gap,
    /// So that boxes meet.
    Meet,
    /// So that what is shut out stays so.
    Quarantine,
    /// So that boxes share rates rightly.
    SharedRates,
}

impl StoreCall {
    fn label(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::Watch => "watch",
            Self::Register => "register",
            Self::Renew => "renew",
            Self::Withdraw => "withdraw",
            Self::Registered => "registered",
            Self::Confirm => "confirm",
            Self::Confirmed => "confirmed",
            Self::FleetSize => "fleet_size",
            Self::SetFleetSize => "set_fleet_size",
        }
    }
}

impl CallReason {
    fn label(self) -> &'static str {
        match self {
            Self::Follow => "follow",
            Self::ViewOld => "view_old",
            Self::Gap => "gap",
            Self::Meet => "meet",
            Self::Quarantine => "quarantine",
            Self::SharedRates => "shared_rates",
        }
    }
}

/// How many calls this box has made.
#[derive(Debug, Default)]
pub(crate) struct StoreCalls {
    counts: Mutex<BTreeMap<(StoreCall, CallReason), u64>>,
}

impl StoreCalls {
    /// Counts a call, whether it is answered or not.
    pub(crate) fn count(&self, call: StoreCall, reason: CallReason) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry((call, reason)).or_default() += 1;
    }

    /// The labels and count of each kind of call.
    pub(crate) fn by_label(&self) -> Vec<(String, u64)> {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let labelled = counts.iter().map(|((call, reason), count)| {
            let (call, reason) = (call.label(), reason.label());
            (format!("call=\"{call}\",reason=\"{reason}\""), *count)
        });
        labelled.collect()
    }
}
