//! Counts this box's calls to the store by kind and reason.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StoreCall {
    /// Lists all entries of a scope.
    List,
    /// Waits for changes after a revision.
    Watch,
    /// Registers this box.
    Register,
    /// Renews this box's registration.
    Renew,
    /// Revokes this box's registration.
    Withdraw,
    /// Lists the registered boxes.
    Registered,
    /// Stores a quarantined request.
    Confirm,
    /// Lists the stored quarantined requests.
    Confirmed,
    /// Reads the fleet size.
    FleetSize,
    /// Writes the fleet size.
    SetFleetSize,
}

/// Reason for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CallReason {
    /// This box follows the store, for all boxes or because it has no view yet.
    Follow,
    /// No report confirmed this box's view in time.
    ViewOld,
    /// The same, while followers report that the store fails them.
    FollowersFail,
    /// The store no longer has the requested changes, or the reply was incomplete.
    Gap,
    /// Registration and discovery of boxes.
    Discovery,
    /// Persistence of the quarantine.
    Quarantine,
    /// The fleet size, by which boxes share rate limits.
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
            Self::FollowersFail => "followers_fail",
            Self::Gap => "gap",
            Self::Discovery => "meet",
            Self::Quarantine => "quarantine",
            Self::SharedRates => "shared_rates",
        }
    }
}

/// Counts of the calls that this box has made.
#[derive(Debug, Default)]
pub(crate) struct StoreCalls {
    counts: Mutex<BTreeMap<(StoreCall, CallReason), u64>>,
}

impl StoreCalls {
    /// Counts a call, whether it succeeds or not.
    pub(crate) fn count(&self, call: StoreCall, reason: CallReason) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry((call, reason)).or_default() += 1;
    }

    /// Returns the labels and count of each kind of call.
    pub(crate) fn by_label(&self) -> Vec<(String, u64)> {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let labelled = counts.iter().map(|((call, reason), count)| {
            let (call, reason) = (call.label(), reason.label());
            (format!("call=\"{call}\",reason=\"{reason}\""), *count)
        });
        labelled.collect()
    }
}
