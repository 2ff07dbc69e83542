//! The state behind a placement decision, for the log.

use super::advice::Advice;
use super::entry::Entry;
use brasswinch_types::{Millis, UpstreamId};
use std::fmt;

/// State of an object's home when a request for the object arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeState {
    /// It had a free slot.
    Free,
    /// Its slots were taken.
    Full,
    /// It started recently, or its zone was put back into service recently.
    Cold,
    /// Its limit leaves this box no capacity.
    HeldOff,
    /// It asked this box to back off.
    BackingOff,
    /// It failed recently, or has already been tried for this request.
    Excluded,
}

impl HomeState {
    pub(super) fn of(entry: &Entry, is_usable: bool, now: Millis) -> Self {
        if entry.is_held_off(now) {
            Self::HeldOff
        } else if entry.signals.is_backing_off(now) {
            Self::BackingOff
        } else if !is_usable {
            Self::Excluded
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
            Self::BackingOff => "resting",
            Self::Excluded => "left_out",
        })
    }
}

/// The home of an object as this box saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct Home {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its state.
    pub state: HomeState,
    /// Requests there, as a multiple of its slots.
    pub fullness: f64,
    /// Age of the upstream's last load report, in milliseconds; `None` without a report.
    pub report_age_ms: Option<Millis>,
    /// Whether it has recently answered a request for the object.
    pub has_served: bool,
}

/// The advice from the coordinator of an object's home.
#[derive(Clone, Debug, PartialEq)]
pub struct AdvisedHome {
    /// The advised upstream.
    pub upstream: UpstreamId,
    /// Requests there, as a multiple of its slots.
    pub fullness: f32,
    /// Whether it has recently answered a request for the object from any box.
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

/// The state behind a placement decision. Its `Display` form is part of a log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Basis {
    /// Hash of the requested object.
    pub object: u64,
    /// The object's home; `None` without a usable upstream.
    pub home: Option<Home>,
    /// The coordinator's advice; `None` if none was asked for or no reply came in time.
    pub advised: Option<AdvisedHome>,
    /// Whether the spill window would have let one more request leave its planned region.
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
            let advised_served = advised.has_served;
            write!(
                f,
                " advised={upstream} advised_fullness={fullness:.2} advised_served={advised_served}"
            )?;
        }
        write!(f, " may_leave_region={}", self.may_leave_region)
    }
}
