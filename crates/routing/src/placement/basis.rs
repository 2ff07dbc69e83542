//! What a decision about a request was based on, for the log.

use super::advice::Advice;
use super::entry::Entry;
use brasswinch_types::{Millis, UpstreamId};
use std::fmt;

/// How an object's home stood when a request about it came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeState {
    /// It had a free slot.
    Free,
    /// Its slots were taken.
    Full,
    /// It was started or taken back lately.
    Cold,
    /// Its limit leaves this box no room.
    HeldOff,
    /// It asked this box for rest.
    Resting,
    /// It failed lately, or this request.
    LeftOut,
}

impl HomeState {
    pub(super) fn of(entry: &Entry, is_usable: bool, now: Millis) -> Self {
        if entry.is_held_off(now) {
            Self::HeldOff
        } else if entry.said.is_resting(now) {
            Self::Resting
        } else if !is_usable {
            Self::LeftOut
        } else if entry.is_cold(now) {
            Self::Cold
        } else if entry.fullness(now) >= 1.0 {
            Self::Full
        } else {
            Self::Free
        }
    }
}

impl fmt::Display for HomeState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Free => "free",
            Self::Full => "full",
            Self::Cold => "cold",
            Self::HeldOff => "held_off",
            Self::Resting => "resting",
            Self::LeftOut => "left_out",
        })
    }
}

/// An object's home as the box saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct Home {
    /// The upstream.
    pub upstream: UpstreamId,
    /// How it stood.
    pub state: HomeState,
    /// Requests there, in multiples of its slots.
    pub fullness: f64,
    /// Age of the upstream's own word about its load; `None` if it never gave one.
    pub report_age_ms: Option<Millis>,
    /// It has answered a request about the object lately.
    pub has_served: bool,
}

/// What the keeper of an object's home answered.
#[derive(Clone, Debug, PartialEq)]
pub struct AdvisedHome {
    /// The upstream that it named.
    pub upstream: UpstreamId,
    /// Requests there, in multiples of its slots.
    pub fullness: f32,
    /// It has answered a request of any box about the object lately.
    pub has_served: bool,
}

impl From<&Advice> for AdvisedHome {
    fn from(advice: &Advice) -> Self {
        Self {
            upstream: advice.upstream.clone(),
            fullness: advice.fullness,
            has_served: advice.has_served,
        }
    }
}

/// What a decision about a request was based on. Its `Display` is a part of a log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Basis {
    /// The object that the request is about, as a hash.
    pub object: u64,
    /// The object's home; `None` where no upstream may be used.
    pub home: Option<Home>,
    /// What its keeper said; `None` where nobody was asked, or no answer came in time.
    pub advised: Option<AdvisedHome>,
    /// Whether one more request could have left its planned region.
    pub may_leave_region: bool,
}

impl fmt::Display for Basis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "object={:08x}", self.object >> 32)?;
        let Some(home) = &self.home else {
            return f.write_str(" home=-");
        };
        let Home {
            upstream, state, ..
        } = home;
        let (fullness, has_served) = (home.fullness, home.has_served);
        write!(
            f,
            " home={upstream} home_is={state} fullness={fullness:.2} has_served={has_served}"
        )?;
        if let Some(age) = home.report_age_ms {
            write!(f, " report_age_ms={age}")?;
        }
        if let Some(advised) = &self.advised {
            let (upstream, fullness) = (&advised.upstream, advised.fullness);
            let knows = advised.has_served;
            write!(
                f,
                " advised={upstream} advised_fullness={fullness:.2} advised_served={knows}"
            )?;
        }
        write!(f, " may_leave_region={}", self.may_leave_region)
    }
}
