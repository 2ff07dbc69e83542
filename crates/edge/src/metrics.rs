//! Metrics of the box, in the text format of Prometheus.

use crate::connection_failures::ConnectionCounts;
use crate::context::Context;
use crate::invalid_response::InvalidResponse;
use brasswinch_observe::{LatencyTable, dropped_lines};
use brasswinch_routing::{Liveness, RouteKind, Scope, Selection, UpstreamPath};
use brasswinch_types::{Class, OnceProof, Service, Workspace};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Maximum entries per counter map and services per metric.
pub(crate) const MAX_SERVICES: usize = 256;

/// Maximum workspaces with quota metrics of their own; those with most refused requests are kept.
const MAX_WORKSPACES: usize = 128;

/// Minimum answered requests for a statement about their latency.
const MIN_LATENCIES: u64 = 5;

/// Requests by service and outcome, and the latency of answered requests.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    outcomes: Mutex<BTreeMap<(Service, &'static str), u64>>,
    /// Requests to upstreams with limits, by service and whether the limit had room.
    limited: Mutex<BTreeMap<(Service, bool), u64>>,
    latency: LatencyTable,
    /// Discarded responses of upstreams, by reason.
    discarded: Mutex<BTreeMap<&'static str, u64>>,
    /// Pipelined requests that ran before their turn.
    pub(crate) early_requests: AtomicU64,
    /// Connections to upstreams.
    pub(crate) connections: ConnectionCounts,
    /// The last measured utilization of this box, in percent.
    pub(crate) utilization: AtomicU32,
    /// Answers to look-ups.
    lookup_answers: AtomicU64,
    /// Large boxes in these answers.
    listed_large: AtomicU64,
    /// All other boxes in these answers.
    listed_small: AtomicU64,
}

fn class_of(kind: RouteKind) -> Class {
    match kind {
        RouteKind::Repeatable | RouteKind::Download => Class::Repeatable,
        RouteKind::Once | RouteKind::Unknown => Class::Once(OnceProof::default()),
        RouteKind::Upload => Class::Upload,
    }
}

impl Metrics {
    /// Counts a finished request by its outcome: the code of its error, or `answered`.
    pub(crate) fn count(&self, service: &Service, outcome: &'static str) {
        let mut outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        if outcomes.len() < MAX_SERVICES || outcomes.contains_key(&(service.clone(), outcome)) {
            *outcomes.entry((service.clone(), outcome)).or_default() += 1;
        }
    }

    /// Counts a request to an upstream with a limit, by whether the limit had room.
    pub(crate) fn count_limited(&self, service: &Service, had_room: bool) {
        let mut limited = self.limited.lock().unwrap_or_else(PoisonError::into_inner);
        if limited.len() < MAX_SERVICES || limited.contains_key(&(service.clone(), had_room)) {
            *limited.entry((service.clone(), had_room)).or_default() += 1;
        }
    }

    /// Counts a response of an upstream that isn't delivered.
    pub(crate) fn count_discarded(&self, response: &InvalidResponse) {
        let mut discarded = self
            .discarded
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *discarded.entry(response.reason()).or_default() += 1;
    }

    /// Counts an answer to a look-up and the boxes that it lists.
    pub(crate) fn count_look_up(&self, selection: &Selection) {
        let large = selection.large as u64;
        let small = (selection.addresses.len() - selection.large) as u64;
        self.lookup_answers.fetch_add(1, Ordering::Relaxed);
        self.listed_large.fetch_add(large, Ordering::Relaxed);
        self.listed_small.fetch_add(small, Ordering::Relaxed);
    }

    /// Records the latency of an answered request.
    pub(crate) fn record_latency(&self, service: &Service, kind: RouteKind, took: Duration) {
        let name = Workspace::new(service.as_str());
        let micros = took.as_micros() as u64;
        self.latency.record(&name, class_of(kind), micros);
    }

    /// Returns the latency that nearly all answered requests of a service and kind stay under;
    /// `None` if too few were answered.
    pub(crate) fn longest_latency(&self, service: &Service, kind: RouteKind) -> Option<Duration> {
        let name = Workspace::new(service.as_str());
        let (count, micros) = self.latency.p999(&name, class_of(kind))?;
        (count >= MIN_LATENCIES).then_some(Duration::from_micros(micros))
    }

    fn write(&self, text: &mut String) {
        let outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        for ((service, outcome), count) in &*outcomes {
            line(
                text,
                "requests_total",
                &format!("service=\"{service}\",outcome=\"{outcome}\""),
                *count as f64,
            );
        }
        let limited = self.limited.lock().unwrap_or_else(PoisonError::into_inner);
        for ((service, had_room), count) in &*limited {
            let outcome = if *had_room { "sent" } else { "held_off" };
            let labels = format!("service=\"{service}\",outcome=\"{outcome}\"");
            line(text, "limit_requests_total", &labels, *count as f64);
        }
        let discarded = self
            .discarded
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for (reason, count) in &*discarded {
            let labels = format!("reason=\"{reason}\"");
            line(text, "responses_discarded_total", &labels, *count as f64);
        }
        let answers = self.lookup_answers.load(Ordering::Relaxed) as f64;
        line(text, "lookup_answers_total", "", answers);
        for (size, count) in [("large", &self.listed_large), ("small", &self.listed_small)] {
            let labels = format!("size=\"{size}\"");
            let count = count.load(Ordering::Relaxed) as f64;
            line(text, "lookup_listed_total", &labels, count);
        }
        let utilization = f64::from(self.utilization.load(Ordering::Relaxed));
        line(text, "box_utilization", "", utilization);
        for summary in self.latency.summary() {
            let quantiles = [
                ("0.5", summary.p50_us),
                ("0.99", summary.p99_us),
                ("0.999", summary.p999_us),
            ];
            for (quantile, micros) in quantiles {
                let labels = format!(
                    "service=\"{}\",class=\"{}\",quantile=\"{quantile}\"",
                    summary.workspace, summary.class
                );
                line(text, "request_seconds", &labels, micros as f64 / 1e6);
            }
        }
    }
}

impl Context {
    /// Returns all metrics of the box in the text format of Prometheus.
    pub fn metrics_text(&self) -> String {
        let mut text = String::new();
        self.metrics.write(&mut text);
        let in_flight = self.in_flight.load(Ordering::Relaxed) as f64;
        line(&mut text, "requests_in_flight", "", in_flight);
        let early = self.metrics.early_requests.load(Ordering::Relaxed) as f64;
        line(&mut text, "early_requests_total", "", early);
        line(
            &mut text,
            "log_lines_dropped_total",
            "",
            dropped_lines() as f64,
        );
        let buffered = self.buffered_bytes.load(Ordering::Relaxed) as f64;
        line(&mut text, "held_body_bytes", "", buffered);
        let swim = self.swim();
        let alive = swim.members().filter(|m| m.liveness == Liveness::Alive);
        line(&mut text, "members_alive", "", alive.count() as f64);
        drop(swim);
        line(&mut text, "fleet_boxes", "", self.fleet_size.boxes() as f64);
        for (scope, name) in [
            (Scope::Operator, "operator"),
            (Scope::Upstreams, "upstreams"),
        ] {
            if let Some(revision) = self.fleet().newest(scope) {
                let labels = format!("scope=\"{name}\"");
                let (era, counter) = (f64::from(revision.era().0), revision.counter() as f64);
                line(&mut text, "store_revision", &labels, counter);
                line(&mut text, "store_era", &labels, era);
            }
            if let Some(age_ms) = self.view_age_ms(scope) {
                let labels = format!("scope=\"{name}\"");
                line(&mut text, "view_age_seconds", &labels, age_ms as f64 / 1e3);
            }
        }
        for (labels, count) in self.metrics.connections.by_label() {
            line(
                &mut text,
                "upstream_connections_total",
                &labels,
                count as f64,
            );
        }
        self.write_closes(&mut text);
        let reaches = self.upstream_path() == UpstreamPath::Direct;
        line(
            &mut text,
            "reaches_upstreams",
            "",
            f64::from(u8::from(reaches)),
        );
        let carried = &self.carried_tunnels;
        line(&mut text, "tunnels_carried", "", carried.open() as f64);
        line(
            &mut text,
            "tunnels_carried_total",
            "",
            carried.total() as f64,
        );
        let probes = &self.health_probes;
        for (outcome, count) in [
            ("answered", &probes.answered),
            ("unanswered", &probes.unanswered),
        ] {
            let labels = format!("outcome=\"{outcome}\"");
            let count = count.load(Ordering::Relaxed) as f64;
            line(&mut text, "health_questions_total", &labels, count);
        }
        let limited = self.limit_status().len() as f64;
        line(&mut text, "upstreams_limited", "", limited);
        self.write_upstreams(&mut text);
        self.write_retries(&mut text);
        self.write_quotas(&mut text);
        self.write_quarantine(&mut text);
        for (labels, count) in self.store_calls.by_label() {
            line(&mut text, "store_calls_total", &labels, count as f64);
        }
        for (labels, traffic) in self.peer_traffic.by_label() {
            let (messages, bytes) = (traffic.messages as f64, traffic.bytes as f64);
            line(&mut text, "peer_messages_total", &labels, messages);
            line(&mut text, "peer_bytes_total", &labels, bytes);
        }
        if let Some(in_force) = &*self.in_force.load() {
            let version = in_force.config.version.0 as f64;
            line(&mut text, "config_version", "", version);
            let problems = f64::from(in_force.config.gaps.count());
            line(&mut text, "config_problems", "", problems);
        }
        text
    }
}

impl Context {
    /// Writes how clients' connections are closed.
    fn write_closes(&self, text: &mut String) {
        let closes = &self.connection_closes;
        let open = self.open_connections.load(Ordering::Relaxed) as f64;
        line(text, "client_connections", "", open);
        let closing = closes.closing() as f64;
        line(text, "client_connections_closing", "", closing);
        for (end, count) in closes.by_end() {
            let labels = format!("end=\"{end}\"");
            let count = count as f64;
            line(text, "client_connections_closed_total", &labels, count);
        }
        let unacknowledged = closes.unacknowledged() as f64;
        line(
            text,
            "client_connections_unacknowledged_total",
            "",
            unacknowledged,
        );
        let lingered_s = closes.lingered_s();
        line(
            text,
            "client_connections_lingered_seconds_total",
            "",
            lingered_s,
        );
    }

    /// Writes the number of upstreams by service and state.
    fn write_upstreams(&self, text: &mut String) {
        let services = self.placement().status(self.clock.now());
        for status in services.into_iter().take(MAX_SERVICES) {
            let service = &status.service;
            let states = [
                ("usable", status.usable),
                ("cold", status.cold),
                ("held_off", status.held_off),
                ("resting", status.backing_off),
                ("left_out", status.excluded),
                ("leaving", status.leaving),
                ("evacuated", status.evacuated),
                ("replaced", status.replaced),
                ("kept", status.retained.len()),
            ];
            let limited = status.share_limited as f64;
            let labels = format!("service=\"{service}\"");
            line(text, "service_share_limited_total", &labels, limited);
            for (state, count) in states {
                let labels = format!("service=\"{service}\",state=\"{state}\"");
                line(text, "upstreams", &labels, count as f64);
            }
        }
    }

    /// Writes the number of suspected and blocked requests by service.
    fn write_quarantine(&self, text: &mut String) {
        let mut counts: BTreeMap<(Service, &'static str), u64> = BTreeMap::new();
        for request in self.quarantine_status() {
            let state = match request.quarantined_for_ms {
                Some(_) => "shut_out",
                None => "suspected",
            };
            *counts.entry((request.service, state)).or_default() += 1;
        }
        for ((service, state), count) in counts.into_iter().take(MAX_SERVICES) {
            let labels = format!("service=\"{service}\",state=\"{state}\"");
            line(text, "quarantined_requests", &labels, count as f64);
        }
    }

    /// Writes the sent and refused requests of the workspaces with most refused requests, and what
    /// became of requests by route.
    fn write_quotas(&self, text: &mut String) {
        let mut quotas = self.quota_status();
        for route in self.take_quota_routes(&mut quotas) {
            for (outcome, count) in route.outcomes() {
                let (workspace, route) = (&route.workspace, escape_label(&route.route));
                let labels =
                    format!("workspace=\"{workspace}\",route=\"{route}\",outcome=\"{outcome}\"");
                line(text, "quota_requests_total", &labels, count as f64);
            }
        }
        quotas.sort_by_key(|quota| std::cmp::Reverse((quota.refused, quota.sent)));
        quotas.truncate(MAX_WORKSPACES);
        for quota in quotas {
            for (outcome, count) in [("sent", quota.sent), ("refused", quota.refused)] {
                let workspace = &quota.workspace;
                let labels = format!("workspace=\"{workspace}\",outcome=\"{outcome}\"");
                line(text, "quota_requests_total", &labels, count as f64);
            }
        }
    }
}

/// Escapes a label's value that operators choose freely.
fn escape_label(value: &str) -> String {
    let escaped = value.replace('\\', "\\\\").replace('"', "\\\"");
    escaped.replace('\n', "\\n")
}

pub(crate) fn line(text: &mut String, name: &str, labels: &str, value: f64) {
    let labels = if labels.is_empty() {
        String::new()
    } else {
        format!("{{{labels}}}")
    };
    // Writing to a `String` never fails.
    let _ = writeln!(text, "brasswinch_{name}{labels} {value}");
}
