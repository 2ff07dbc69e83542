//! A request while it is at its upstream: counts it there, and records what became of it.

use crate::advice::CompletionGuard;
use crate::attempt::{AttemptOutcome, Chosen, Outgoing};
use crate::context::Context;
use crate::invalid_response::InvalidResponse;
use crate::upstream_limits::Grant;
use crate::upstream_signals::UpstreamSignals;
use brasswinch_framing::{ExpectedLength, check_response};
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{Choice, RequestDigest, UpstreamOutcome};
use http::response::Parts;
use http::{HeaderMap, HeaderValue};
use std::sync::Arc;

/// Counts the request at its upstream until it is dropped, and then records the outcome.
pub(crate) struct ActiveAttempt {
    pub(crate) context: Arc<Context>,
    pub(crate) choice: Choice,
    grant: Grant,
    /// Reports the outcome to the coordinator that was asked where to send the request.
    completion_guard: Option<CompletionGuard>,
    /// The request's digest, if it has been computed for the quarantine.
    digest: Option<RequestDigest>,
    /// The client's id of the request, which the response must name.
    request_id: Option<HeaderValue>,
    /// What is recorded when it is dropped.
    pub(crate) outcome: UpstreamOutcome,
}

impl ActiveAttempt {
    /// Counts a request that is about to be sent to the chosen upstream.
    pub(crate) fn new(context: &Arc<Context>, chosen: Chosen, outgoing: &Outgoing<'_>) -> Self {
        let Chosen {
            choice,
            mut completion_guard,
            grant,
        } = chosen;
        let headers = &outgoing.parts.headers;
        let request_id = headers.get(&context.dialect.request_id);
        if let Some(completion_guard) = &mut completion_guard {
            completion_guard.sent_to(&choice);
        }
        Self {
            completion_guard,
            digest: outgoing.digest,
            request_id: request_id.cloned(),
            context: Arc::clone(context),
            choice,
            grant,
            outcome: UpstreamOutcome::Abandoned,
        }
    }

    /// Reports to the quarantine that the upstream completed its response.
    pub(crate) fn report_completed(&self) {
        if let Some(digest) = self.digest {
            self.context.record_run_answer(digest);
        }
    }

    /// Whether the upstream still accepts the request. Its state may have changed while the
    /// connection was being established.
    pub(crate) fn may_send(&self) -> bool {
        let now = self.context.clock.now();
        self.context.placement().may_send(&self.choice, now)
    }

    /// Applies the signals in the upstream's response.
    pub(crate) fn apply_signals(&mut self, signals: &UpstreamSignals) {
        self.context
            .apply_upstream_signals(&self.choice, self.grant, signals);
        if let (Some(report), Some(completion_guard)) = (signals.load, &mut self.completion_guard) {
            completion_guard.reported(report);
        }
    }

    /// Checks that a response is one that HTTP/1.1 allows, and that it is to this request.
    pub(crate) fn check_head(
        &self,
        request: &HeaderMap,
        response: &Parts,
    ) -> Result<ExpectedLength, InvalidResponse> {
        let expected_length = check_response(request, response)?;
        self.check_request(&response.headers)?;
        Ok(expected_length)
    }

    /// Checks that a response is to this request.
    fn check_request(&self, headers: &HeaderMap) -> Result<(), InvalidResponse> {
        let Some(sent) = &self.request_id else {
            return Ok(());
        };
        match headers.get(&self.context.dialect.request_id) {
            Some(echoed) if echoed == sent => Ok(()),
            Some(other) => Err(InvalidResponse::OtherRequest(other.clone())),
            None => Err(InvalidResponse::NoRequest),
        }
    }

    /// Logs and counts an invalid response, and returns the outcome of its attempt.
    pub(crate) fn discard(&self, reason: &InvalidResponse) -> AttemptOutcome {
        self.log_discarded(reason);
        AttemptOutcome::InvalidResponse
    }

    /// Logs and counts an invalid response.
    pub(crate) fn log_discarded(&self, reason: &InvalidResponse) {
        self.context.metrics.count_discarded(reason);
        let upstream = &self.choice.upstream;
        let id = self.request_id.as_ref().and_then(|id| id.to_str().ok());
        emit(
            Event::ResponseDiscarded,
            format_args!("upstream={upstream} id={}: {reason}", id.unwrap_or("-")),
        );
    }
}

impl Drop for ActiveAttempt {
    fn drop(&mut self) {
        let now = self.context.clock.now();
        let mut placement = self.context.placement();
        placement.ended(&self.choice, self.outcome, now);
        drop(placement);
        if let Some(completion_guard) = &mut self.completion_guard {
            completion_guard.ended(self.outcome);
        }
    }
}
