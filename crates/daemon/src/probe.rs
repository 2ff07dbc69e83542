//! Load reports of upstreams: asked for, and taken from answers.
//!
//! Every box of a zone polls every upstream of the zone; the more boxes there are,
//! the less often each polls, so an upstream is polled about equally often at any size.

use crate::context::Context;
use crate::control::Command;
use crate::service::ServiceRuntime;
use crate::traffic::proxy::parse_report;
use brasswinch_decide::health::UpstreamReport;
use brasswinch_observe::{Event, emit};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::sync::Arc;
use std::time::Duration;

/// Time between two reports of an upstream, over all boxes of its zone.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Longest wait for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest report, in bytes.
const MAX_REPORT_BYTES: usize = 256;

/// Path of an upstream's load report.
const REPORT_PATH: &str = "/load";

type ProbeClient = Client<HttpConnector, Empty<bytes::Bytes>>;

/// Polls all upstreams of the zone for reports until the daemon stops.
pub(crate) async fn run(context: Arc<Context>) {
    let mut connector = HttpConnector::new();
    connector.set_local_address(Some(context.settings.this_box.caller_address.ip()));
    connector.set_connect_timeout(Some(REPORT_TIMEOUT));
    let client: ProbeClient = Client::builder(TokioExecutor::new()).build(connector);
    loop {
        let boxes = context
            .snapshot
            .load()
            .candidates
            .get(&context.zone)
            .map_or(1, |boxes| boxes.len().max(1));
        tokio::time::sleep(REPORT_INTERVAL * u32::try_from(boxes).unwrap_or(1)).await;
        for service in context.services.values() {
            for index in 0..service.upstreams.len() {
                let (context, service) = (Arc::clone(&context), Arc::clone(service));
                let client = client.clone();
                tokio::spawn(async move { probe(&client, &context, &service, index).await });
            }
        }
    }
}

/// Takes a report, from wherever it came.
pub(crate) fn take_report(
    context: &Context,
    service: &Arc<ServiceRuntime>,
    index: usize,
    report: UpstreamReport,
) {
    let Some(upstream) = service.upstreams.get(index) else {
        return;
    };
    if !service.gate.report(index, report) {
        return;
    }
    emit(
        Event::UpstreamLeaving,
        format_args!("{} {}", service.key, upstream.id),
    );
    context.tell(Command::UpstreamLeaving {
        service: service.key.clone(),
        upstream: upstream.id.clone(),
        sequence: report.sequence,
    });
}

async fn probe(
    client: &ProbeClient,
    context: &Context,
    service: &Arc<ServiceRuntime>,
    index: usize,
) {
    let Some(upstream) = service.upstreams.get(index) else {
        return;
    };
    let Ok(uri) = format!("http://{}{REPORT_PATH}", upstream.address).parse() else {
        return;
    };
    let answer = tokio::time::timeout(REPORT_TIMEOUT, client.get(uri)).await;
    let Ok(Ok(response)) = answer else {
        return;
    };
    let body = Limited::new(response.into_body(), MAX_REPORT_BYTES).collect();
    let Ok(Ok(body)) = tokio::time::timeout(REPORT_TIMEOUT, body).await else {
        return;
    };
    let bytes = body.to_bytes();
    let report = std::str::from_utf8(&bytes).ok().and_then(parse_report);
    if let Some(report) = report {
        take_report(context, service, index, report);
    }
}
