//! Reads the signals that upstreams send about themselves in response headers, and applies them.
//! Nothing else reads these headers.

use crate::context::Context;
use crate::dialect::Dialect;
use crate::upstream_limits::Grant;
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{
    Choice, LoadReport, ParsedLoadReport, UpstreamIncarnation, UpstreamLimit,
};
use brasswinch_types::{
    ColdTime, UpstreamId, UpstreamRest, UpstreamSignal, UpstreamSignalError, only_value,
};
use http::response::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};

/// Header value with which an upstream announces that it is leaving.
const LEAVING_VALUE: &str = "1";

/// The signals in the head of an upstream's response.
#[derive(Debug, Default)]
pub(crate) struct UpstreamSignals {
    /// Another upstream has the address now; all other signals are left out.
    pub(crate) is_misdirected: bool,
    /// The upstream did not run the request.
    pub(crate) did_not_run: bool,
    /// The response has the signature header.
    pub(crate) is_signed: bool,
    /// How long the upstream keeps an idle connection, in seconds.
    pub(crate) idle_limit_s: Option<u64>,
    /// The upstream's load.
    pub(crate) load: Option<LoadReport>,
    /// The upstream's limit for all boxes together.
    pub(crate) limit: LimitSignal,
    /// The upstream accepts no new requests.
    pub(crate) is_leaving: bool,
    /// How long this box must send the upstream no requests.
    pub(crate) retry_after: Option<UpstreamRest>,
    /// Signals that could not be parsed.
    pub(crate) invalid: Vec<InvalidSignal>,
}

/// A response's signal about the upstream's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum LimitSignal {
    /// Not present: an unsuccessful response may leave it out.
    #[default]
    Absent,
    /// The upstream has no limit.
    Unlimited,
    /// The upstream has this limit.
    Limited(UpstreamLimit),
}

/// A signal that could not be parsed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InvalidSignal {
    pub(crate) signal: UpstreamSignal,
    pub(crate) error: UpstreamSignalError,
}

impl UpstreamSignals {
    /// Reads the signals in the head of a response.
    pub(crate) fn read(response: &Parts, dialect: &Dialect) -> Self {
        let headers = &response.headers;
        let is_misdirected = response.status == StatusCode::MISDIRECTED_REQUEST;
        let mut signals = Self {
            is_misdirected,
            did_not_run: headers.contains_key(&dialect.not_run),
            is_signed: headers.contains_key(&dialect.signature),
            idle_limit_s: idle_limit_s(headers),
            ..Self::default()
        };
        if is_misdirected {
            return signals;
        }
        let load = load(headers, &dialect.load);
        if let Some(parsed) = signals.value_or_record(UpstreamSignal::Load, load) {
            signals.load = Some(parsed.report);
            if parsed.has_invalid_duration {
                signals.record_invalid(UpstreamSignal::Load, UpstreamSignalError::OutOfRange);
            }
        }
        signals.limit = signals.limit(response, &dialect.limit);
        let leaving = leaving(headers, &dialect.leaving);
        signals.is_leaving = signals
            .value_or_record(UpstreamSignal::Leaving, leaving)
            .is_some();
        // If the request ran, `Retry-After` concerns this request, not the upstream.
        let was_refused = signals.did_not_run || response.status == StatusCode::SERVICE_UNAVAILABLE;
        if was_refused {
            let rest = parsed(headers, &header::RETRY_AFTER);
            signals.retry_after = signals.value_or_record(UpstreamSignal::Rest, rest);
        }
        signals
    }

    /// Whether the upstream reports that it did not run the request.
    pub(crate) fn is_refusal(&self) -> bool {
        self.is_misdirected || self.did_not_run
    }

    fn limit(&mut self, response: &Parts, name: &HeaderName) -> LimitSignal {
        match parsed(&response.headers, name) {
            Ok(Some(limit)) => LimitSignal::Limited(limit),
            Ok(None) if response.status.is_success() => LimitSignal::Unlimited,
            Ok(None) => LimitSignal::Absent,
            Err(error) => {
                self.value_or_record::<()>(UpstreamSignal::Limit, Err(error));
                LimitSignal::Absent
            }
        }
    }

    /// Returns the signal's value if present; records a parse error.
    fn value_or_record<T>(
        &mut self,
        signal: UpstreamSignal,
        read: Result<Option<T>, UpstreamSignalError>,
    ) -> Option<T> {
        read.unwrap_or_else(|error| {
            self.record_invalid(signal, error);
            None
        })
    }

    fn record_invalid(&mut self, signal: UpstreamSignal, error: UpstreamSignalError) {
        self.invalid.push(InvalidSignal { signal, error });
    }
}

impl Context {
    /// Applies the signals in a response of the chosen upstream.
    pub(crate) fn apply_upstream_signals(
        &self,
        choice: &Choice,
        grant: Grant,
        signals: &UpstreamSignals,
    ) {
        let now = self.clock.now();
        if let Some(report) = signals.load {
            self.placement().reported(choice, report, now);
        }
        match signals.limit {
            LimitSignal::Absent => {}
            LimitSignal::Unlimited => self.handle_observed_limit(choice, grant, None),
            LimitSignal::Limited(limit) => self.handle_observed_limit(choice, grant, Some(limit)),
        }
        let upstream = &choice.upstream;
        if signals.is_leaving && self.placement().record_leaving(choice) {
            let detail = format_args!("upstream={upstream} from=answer");
            emit(Event::UpstreamLeaving, detail);
        }
        if let Some(rest) = signals.retry_after
            && self.placement().record_backoff(choice, rest, now)
        {
            let for_ms = rest.ms();
            let detail = format_args!("upstream={upstream} for_ms={for_ms}");
            emit(Event::UpstreamResting, detail);
        }
        if signals.invalid.is_empty() || !self.placement().record_unreadable_signal(choice) {
            return;
        }
        log_invalid_signals(upstream, &signals.invalid);
    }

    /// Records a signal in an upstream's health response that could not be parsed.
    pub(crate) fn record_invalid_signal(
        &self,
        incarnation: &UpstreamIncarnation,
        invalid: InvalidSignal,
    ) {
        if self.placement().record_unreadable_health(incarnation) {
            log_invalid_signals(&incarnation.upstream, &[invalid]);
        }
    }
}

fn log_invalid_signals(upstream: &UpstreamId, invalid: &[InvalidSignal]) {
    for InvalidSignal { signal, error } in invalid {
        let detail = format_args!("upstream={upstream} signal={signal}: {error}");
        emit(Event::SignalUnreadable, detail);
    }
}

/// Returns how much longer an upstream stays cold, from the head of a health response.
pub(crate) fn cold_time(
    headers: &HeaderMap,
    dialect: &Dialect,
) -> Result<Option<ColdTime>, UpstreamSignalError> {
    parsed(headers, &dialect.cold_remaining)
}

/// Returns the value of a header, if present. More than one value is an error.
fn header_value<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, UpstreamSignalError> {
    only_value(headers.get_all(name).iter().map(HeaderValue::as_bytes))
}

/// Parses the value of a header, if present.
fn parsed<T>(headers: &HeaderMap, name: &HeaderName) -> Result<Option<T>, UpstreamSignalError>
where
    T: std::str::FromStr<Err = UpstreamSignalError>,
{
    header_value(headers, name)?.map(str::parse).transpose()
}

fn leaving(headers: &HeaderMap, name: &HeaderName) -> Result<Option<()>, UpstreamSignalError> {
    match header_value(headers, name)? {
        None => Ok(None),
        Some(LEAVING_VALUE) => Ok(Some(())),
        Some(_) => Err(UpstreamSignalError::UnknownValue),
    }
}

fn load(
    headers: &HeaderMap,
    name: &HeaderName,
) -> Result<Option<ParsedLoadReport>, UpstreamSignalError> {
    let Some(text) = header_value(headers, name)? else {
        return Ok(None);
    };
    let parsed = LoadReport::parse(text).ok_or(UpstreamSignalError::NoNumber)?;
    Ok(Some(parsed))
}

fn idle_limit_s(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    value.split(',').find_map(|part| {
        let seconds = part.trim().strip_prefix("timeout=")?;
        seconds.trim().parse().ok()
    })
}
