//! Limits that upstreams name in their answers; [`UpstreamLimits`] decides.

use crate::context::Context;
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{
    LimitChange, UpstreamLife, UpstreamLimit, UpstreamLimitError, UpstreamLimits,
};
use http::{HeaderMap, HeaderName};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// This box's part in keeping upstreams' limits.
#[derive(Debug, Default)]
pub(crate) struct UpstreamLimitTasks {
    limits: Mutex<UpstreamLimits>,
}

impl UpstreamLimitTasks {
    fn lock(&self) -> MutexGuard<'_, UpstreamLimits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Context {
    /// Takes the limit that an upstream's answer names, or that it names none.
    pub(crate) fn hear_limit(&self, life: &UpstreamLife, headers: &HeaderMap) {
        let limit = match named_limit(headers, &self.dialect.limit) {
            Ok(limit) => limit,
            Err(error) => {
                let upstream = &life.upstream;
                emit(
                    Event::LimitUnreadable,
                    format_args!("upstream={upstream}: {error}"),
                );
                return;
            }
        };
        let change = self.upstream_limits.lock().named(life, limit);
        report_change(life, change);
    }

    /// Forgets limits of upstreams that are gone.
    pub(crate) fn retain_limits(&self) {
        let placement = self.placement();
        let mut limits = self.upstream_limits.lock();
        limits.retain(|life| placement.holds(life));
    }
}

/// The limit that an answer names, if it names one.
fn named_limit(
    headers: &HeaderMap,
    name: &HeaderName,
) -> Result<Option<UpstreamLimit>, UpstreamLimitError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(UpstreamLimitError::Repeated);
    }
    let text = value.to_str().map_err(|_| UpstreamLimitError::NoNumber)?;
    text.trim().parse().map(Some)
}

fn report_change(life: &UpstreamLife, change: Option<LimitChange>) {
    let upstream = &life.upstream;
    match change {
        Some(LimitChange::Named(limit)) => emit(
            Event::UpstreamLimited,
            format_args!("upstream={upstream} limit_per_s={limit}"),
        ),
        Some(LimitChange::Lifted) => {
            emit(
                Event::UpstreamUnlimited,
                format_args!("upstream={upstream}"),
            );
        }
        None => {}
    }
}
