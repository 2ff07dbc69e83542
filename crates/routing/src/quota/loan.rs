//! Shares of a quota that boxes lend to its coordinator.
//!
//! Each of `N` boxes owns `rate / N` of a quota. It either lends that share to one coordinator at
//! a time, for the duration of a lease, or uses it itself. So the shares of all coordinators and
//! all isolated boxes add up to one at most, however many boxes consider themselves the
//! coordinator.
//!
//! A lease is measured from the coordinator's own clock. The coordinator sends its time with each
//! reply, and the box returns that time with the loan. The box measures the lease from when it
//! received the reply, which is later, so that the lease never ends later at the coordinator than
//! at the box. Clocks of different boxes are never compared.

use brasswinch_types::Millis;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Duration of a loan: coordinators request it again every 500 ms, and a message takes some 60 ms.
pub(super) const LEASE_MS: Millis = 800;

/// A box's share of a quota, lent to the coordinator that receives the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaLoan {
    /// The coordinator's time from a reply that the box received.
    #[serde(rename = "s")]
    pub stamp: Millis,
    /// Number of boxes that share the quota, as known to the lender.
    #[serde(rename = "n")]
    pub boxes: u32,
}

/// The latest reply of the coordinator.
#[derive(Clone, Copy, Debug)]
struct LastReply {
    address: SocketAddr,
    stamp: Millis,
    received_at: Millis,
}

/// A box's loan of its share of one quota.
#[derive(Debug, Default)]
pub(super) struct Lending {
    last_reply: Option<LastReply>,
    lent_to: Option<SocketAddr>,
    lent_until: Millis,
}

impl Lending {
    /// Records the time of a coordinator's reply.
    pub(super) fn record_reply(&mut self, address: SocketAddr, stamp: Millis, now: Millis) {
        self.last_reply = Some(LastReply {
            address,
            stamp,
            received_at: now,
        });
    }

    /// Returns the loan to attach to a message to the coordinator at `to`; `None` where the share
    /// is lent to another one, or no recent reply came from `to`.
    pub(super) fn lend(&mut self, to: SocketAddr, boxes: usize, now: Millis) -> Option<QuotaLoan> {
        let last_reply = self
            .last_reply
            .filter(|last_reply| last_reply.address == to)?;
        let expires_at = last_reply.received_at + LEASE_MS;
        let is_lent_elsewhere = self.is_lent(now) && self.lent_to != Some(to);
        if now >= expires_at || is_lent_elsewhere {
            return None;
        }
        self.lent_to = Some(to);
        self.lent_until = self.lent_until.max(expires_at);
        Some(QuotaLoan {
            stamp: last_reply.stamp,
            boxes: u32::try_from(boxes).unwrap_or(u32::MAX),
        })
    }

    /// Whether a coordinator may be using the share.
    pub(super) fn is_lent(&self, now: Millis) -> bool {
        now < self.lent_until
    }

    /// Returns when the loan expires.
    pub(super) fn lent_until(&self) -> Millis {
        self.lent_until
    }
}

/// A loan that a coordinator received.
#[derive(Clone, Copy, Debug)]
struct ReceivedLoan {
    expires_at: Millis,
    fraction: f64,
}

/// The loans of one quota, by the lenders' addresses.
#[derive(Debug, Default)]
pub(super) struct ReceivedLoans {
    loans: HashMap<SocketAddr, ReceivedLoan>,
}

impl ReceivedLoans {
    /// Adds a loan. Ignores a loan that has expired, that claims no boxes, or whose time lies in
    /// the future.
    pub(super) fn add(&mut self, from: SocketAddr, loan: QuotaLoan, now: Millis) {
        let expires_at = loan.stamp.saturating_add(LEASE_MS);
        if loan.stamp > now || expires_at <= now || loan.boxes == 0 {
            return;
        }
        let fraction = 1.0 / f64::from(loan.boxes);
        self.loans.insert(
            from,
            ReceivedLoan {
                expires_at,
                fraction,
            },
        );
    }

    /// Returns the fraction of the quota that is on loan now.
    pub(super) fn total(&mut self, now: Millis) -> f64 {
        self.loans.retain(|_, loan| now < loan.expires_at);
        let total: f64 = self.loans.values().map(|loan| loan.fraction).sum();
        total.min(1.0)
    }
}
