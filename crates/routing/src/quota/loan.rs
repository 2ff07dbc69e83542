//! Parts of a quota that boxes lend to its keeper.
//!
//! Each of `N` boxes owns `rate / N` of a quota. It lends that to one keeper at a time, for a
//! lease, or uses it alone: so the parts of all keepers and all boxes that are alone add up to
//! one at most, however many boxes take themselves for the keeper.
//!
//! A lease is counted from the keeper's own clock, which the keeper tells with each word and the
//! box tells back with the loan. The box counts it from when it had that word, which is later, so
//! that the keeper's end never comes after the box's. No clocks are compared.

use brasswinch_types::Millis;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;

/// How long a loan holds: keepers ask for it again each 500 ms, and a message takes some 60 ms.
pub(super) const LEASE_MS: Millis = 800;

/// A box's part of a quota, lent to the keeper that is told of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaLoan {
    /// The keeper's clock in a word that the box had from it.
    #[serde(rename = "s")]
    pub stamp: Millis,
    /// Boxes that share the quota, as the lender knows them.
    #[serde(rename = "n")]
    pub boxes: u32,
}

/// The newest word that a box had from its keeper.
#[derive(Clone, Copy, Debug)]
struct HeardKeeper {
    address: SocketAddr,
    stamp: Millis,
    heard_at: Millis,
}

/// To whom a box lends its part of one quota.
#[derive(Debug, Default)]
pub(super) struct Lending {
    heard: Option<HeardKeeper>,
    lent_to: Option<SocketAddr>,
    lent_until: Millis,
}

impl Lending {
    /// Takes the clock of a keeper's word.
    pub(super) fn hear(&mut self, address: SocketAddr, stamp: Millis, now: Millis) {
        self.heard = Some(HeardKeeper {
            address,
            stamp,
            heard_at: now,
        });
    }

    /// The loan that goes with a message to a keeper; `None` where the part is lent to another, or
    /// the keeper was not heard of lately.
    pub(super) fn lend(&mut self, to: SocketAddr, boxes: usize, now: Millis) -> Option<QuotaLoan> {
        let heard = self.heard.filter(|heard| heard.address == to)?;
        let ends_at = heard.heard_at + LEASE_MS;
        let is_elsewhere = self.is_lent(now) && self.lent_to != Some(to);
        if now >= ends_at || is_elsewhere {
            return None;
        }
        self.lent_to = Some(to);
        self.lent_until = self.lent_until.max(ends_at);
        Some(QuotaLoan {
            stamp: heard.stamp,
            boxes: u32::try_from(boxes).unwrap_or(u32::MAX),
        })
    }

    /// Whether a keeper may be using the part.
    pub(super) fn is_lent(&self, now: Millis) -> bool {
        now < self.lent_until
    }

    /// When it is the box's own again.
    pub(super) fn lent_until(&self) -> Millis {
        self.lent_until
    }
}

/// A part that a keeper holds.
#[derive(Clone, Copy, Debug)]
struct HeldPart {
    until: Millis,
    part: f64,
}

/// The parts of one quota that its keeper holds, by their lenders' addresses.
#[derive(Debug, Default)]
pub(super) struct HeldParts {
    parts: HashMap<SocketAddr, HeldPart>,
}

impl HeldParts {
    /// Takes a loan. One that is over, that names no box, or whose stamp this keeper has not given
    /// yet is none.
    pub(super) fn take(&mut self, from: SocketAddr, loan: QuotaLoan, now: Millis) {
        let until = loan.stamp.saturating_add(LEASE_MS);
        if loan.stamp > now || until <= now || loan.boxes == 0 {
            return;
        }
        let part = 1.0 / f64::from(loan.boxes);
        self.parts.insert(from, HeldPart { until, part });
    }

    /// Part of the quota that is lent until now.
    pub(super) fn sum(&mut self, now: Millis) -> f64 {
        self.parts.retain(|_, held| now < held.until);
        let sum: f64 = self.parts.values().map(|held| held.part).sum();
        sum.min(1.0)
    }
}
