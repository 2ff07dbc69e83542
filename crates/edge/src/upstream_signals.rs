//! Reads what upstreams say of themselves in the heads of their answers, and passes it on to
//! what goes by it. Nothing else reads these headers.

use crate::context::Context;
use crate::dialect::Dialect;
use crate::upstream_limits::Grant;
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{Choice, LoadReport, UpstreamLife, UpstreamLimit};
use brasswinch_types::{
    ColdTime, UpstreamId, UpstreamRest, UpstreamSignal, UpstreamSignalError, only_value,
};
use http::response::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};

/// The value by which an upstream says that it leaves.
const LEAVES: &str = "1";

/// What an upstream says of itself in the head of an answer.
#[derive(Debug, Default)]
pub(crate) struct UpstreamSignals {
    /// Another upstream has the address now; the rest is not of the one that was meant.
    pub(crate) is_misdirected: bool,
    /// It did not run the request.
    pub(crate) did_not_run: bool,
    /// It vouches for the answer.
    pub(crate) is_signed: bool,
    /// How long it keeps an idle connection, in seconds.
    pub(crate) idle_limit_s: Option<u64>,
    /// How much it has to do.
    pub(crate) load: Option<LoadReport>,
    /// What it says of a limit for all boxes together.
    pub(crate) limit: LimitSignal,
    /// It takes nothing new.
    pub(crate) is_leaving: bool,
    /// How long it wants nothing from this box.
    pub(crate) rest: Option<UpstreamRest>,
    /// What could not be read.
    pub(crate) unreadable: Vec<Unreadable>,
}

/// What an answer says of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum LimitSignal {
    /// Nothing: an upstream that did not run the request may leave it out.
    #[default]
    Untold,
    /// There is none.
    Unlimited,
    /// This one.
    Limited(UpstreamLimit),
}

/// Something that an upstream said and that can't be used.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unreadable {
    pub(crate) signal: UpstreamSignal,
    pub(crate) error: UpstreamSignalError,
}

impl UpstreamSignals {
    /// Reads the head of an answer.
    pub(crate) fn read(answer: &Parts, dialect: &Dialect) -> Self {
        let headers = &answer.headers;
        let is_misdirected = answer.status == StatusCode::MISDIRECTED_REQUEST;
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
        signals.load = signals.keep(UpstreamSignal::Load, load(headers, &dialect.load));
        signals.limit = signals.limit(answer, &dialect.limit);
        let leaving = leaving(headers, &dialect.leaving);
        signals.is_leaving = signals.keep(UpstreamSignal::Leaving, leaving).is_some();
        // One that ran the request speaks of that one alone.
        let turned_away = signals.did_not_run || answer.status == StatusCode::SERVICE_UNAVAILABLE;
        if turned_away {
            let rest = parsed(headers, &header::RETRY_AFTER);
            signals.rest = signals.keep(UpstreamSignal::Rest, rest);
        }
        signals
    }

    /// Whether the upstream says that the request has not run there.
    pub(crate) fn is_refusal(&self) -> bool {
        self.is_misdirected || self.did_not_run
    }

    fn limit(&mut self, answer: &Parts, name: &HeaderName) -> LimitSignal {
        match parsed(&answer.headers, name) {
            Ok(Some(limit)) => LimitSignal::Limited(limit),
            Ok(None) if answer.status.is_success() => LimitSignal::Unlimited,
            Ok(None) => LimitSignal::Untold,
            Err(error) => {
                self.keep::<()>(UpstreamSignal::Limit, Err(error));
                LimitSignal::Untold
            }
        }
    }

    /// The signal's value where there is one; notes what can't be read.
    fn keep<T>(
        &mut self,
        signal: UpstreamSignal,
        read: Result<Option<T>, UpstreamSignalError>,
    ) -> Option<T> {
        read.unwrap_or_else(|error| {
            self.unreadable.push(Unreadable { signal, error });
            None
        })
    }
}

impl Context {
    /// Takes what the chosen upstream says of itself in an answer.
    pub(crate) fn hear_signals(&self, choice: &Choice, grant: Grant, signals: &UpstreamSignals) {
        let now = self.clock.now();
        if let Some(report) = signals.load {
            self.placement().reported(choice, report, now);
        }
        match signals.limit {
            LimitSignal::Untold => {}
            LimitSignal::Unlimited => self.hear_limit(choice, grant, None),
            LimitSignal::Limited(limit) => self.hear_limit(choice, grant, Some(limit)),
        }
        let upstream = &choice.upstream;
        if signals.is_leaving && self.placement().leaves(choice) {
            let told = format_args!("upstream={upstream} from=answer");
            emit(Event::UpstreamLeaving, told);
        }
        if let Some(rest) = signals.rest
            && self.placement().rests(choice, rest, now)
        {
            let for_ms = rest.ms();
            let told = format_args!("upstream={upstream} for_ms={for_ms}");
            emit(Event::UpstreamResting, told);
        }
        if signals.unreadable.is_empty() || !self.placement().says_unreadable(choice) {
            return;
        }
        report_unreadable(upstream, &signals.unreadable);
    }

    /// Takes that an upstream's health answer says of `signal` what can't be meant.
    pub(crate) fn hear_unreadable(&self, life: &UpstreamLife, unreadable: Unreadable) {
        if self.placement().health_is_unreadable(life) {
            report_unreadable(&life.upstream, &[unreadable]);
        }
    }
}

fn report_unreadable(upstream: &UpstreamId, unreadable: &[Unreadable]) {
    for Unreadable { signal, error } in unreadable {
        let told = format_args!("upstream={upstream} signal={signal}: {error}");
        emit(Event::SignalUnreadable, told);
    }
}

/// How much longer an upstream says in a health answer that it stays cold.
pub(crate) fn cold_time(
    headers: &HeaderMap,
    dialect: &Dialect,
) -> Result<Option<ColdTime>, UpstreamSignalError> {
    parsed(headers, &dialect.cold_remaining)
}

/// The only value of a header, if it is there.
fn header_value<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, UpstreamSignalError> {
    only_value(headers.get_all(name).iter().map(HeaderValue::as_bytes))
}

/// The header as what it stands for.
fn parsed<T>(headers: &HeaderMap, name: &HeaderName) -> Result<Option<T>, UpstreamSignalError>
where
    T: std::str::FromStr<Err = UpstreamSignalError>,
{
    header_value(headers, name)?.map(str::parse).transpose()
}

fn leaving(headers: &HeaderMap, name: &HeaderName) -> Result<Option<()>, UpstreamSignalError> {
    match header_value(headers, name)? {
        None => Ok(None),
        Some(LEAVES) => Ok(Some(())),
        Some(_) => Err(UpstreamSignalError::UnknownValue),
    }
}

fn load(headers: &HeaderMap, name: &HeaderName) -> Result<Option<LoadReport>, UpstreamSignalError> {
    let Some(text) = header_value(headers, name)? else {
        return Ok(None);
    };
    let report = load_report(text).ok_or(UpstreamSignalError::NoNumber)?;
    Ok(Some(report))
}

fn load_report(text: &str) -> Option<LoadReport> {
    let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
    Some(LoadReport {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
    })
}

fn idle_limit_s(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    value.split(',').find_map(|part| {
        let seconds = part.trim().strip_prefix("timeout=")?;
        seconds.trim().parse().ok()
    })
}
