//! Measures the decision of a look-up by itself, without sockets.

use crate::context::{Candidate, Context, Snapshot};
use crate::traffic::lookup;
use brasswinch_decide::load_reports::ServiceLoad;
use brasswinch_decide::members::BoxState;
use brasswinch_policy::{PolicyError, PolicyLimits, evaluate};
use brasswinch_settings::Settings;
use brasswinch_types::{BoxId, Incarnation, Workspace};
use http::{HeaderMap, HeaderValue, Uri, header};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// A daemon's look-ups with made-up peers, all serving and idle.
pub struct LookupMeasure {
    context: Context,
}

impl LookupMeasure {
    /// Every zone gets `boxes_per_zone` boxes; `policy` is in force for `workspace`.
    pub fn new(
        settings: Settings,
        workspace: &str,
        policy: &str,
        boxes_per_zone: usize,
    ) -> Result<Self, PolicyError> {
        let workspace = Workspace::new(workspace);
        let inventory = settings.deployment.inventory(&workspace);
        let plan = evaluate(policy, inventory, PolicyLimits::default())?;
        let (commands, _) = mpsc::unbounded_channel();
        let context = crate::start::new_context(settings, commands);
        for service in context.services.values() {
            let service_plan = plan.services.get(&service.key.service).cloned();
            service.plan.store(service_plan.map(Arc::new));
            for (cell, slots) in service.zone_loads.iter().zip(&service.zone_slots) {
                let idle = ServiceLoad {
                    service: service.tag,
                    idle: *slots,
                    total: *slots,
                };
                cell.set(&idle, context.clock.now());
            }
        }
        context.snapshot.store(Arc::new(Snapshot {
            state: BoxState::Serving,
            candidates: made_up_boxes(&context, boxes_per_zone),
        }));
        Ok(Self { context })
    }

    /// Answers `count` look-ups from `callers` in turn; gives the time taken and how
    /// many were answered with a box.
    pub fn run(
        &self,
        token: &str,
        service: &str,
        callers: &[IpAddr],
        count: usize,
    ) -> (Duration, usize) {
        let mut headers = HeaderMap::new();
        if let Ok(value) = HeaderValue::from_str(&format!("Bearer {token}")) {
            headers.insert(header::AUTHORIZATION, value);
        }
        let uri: Uri = format!("/v1/lookup?service={service}")
            .parse()
            .unwrap_or_default();
        let began = Instant::now();
        let answered = callers
            .iter()
            .cycle()
            .take(count)
            .filter(|caller| lookup(&self.context, &uri, &headers, **caller).is_ok())
            .count();
        (began.elapsed(), answered)
    }
}

fn made_up_boxes(
    context: &Context,
    boxes_per_zone: usize,
) -> BTreeMap<brasswinch_types::Zone, Vec<Candidate>> {
    let candidate = |zone: &brasswinch_types::Zone, index: usize| Candidate {
        id: BoxId::new(format!("{zone}-{index}")),
        incarnation: Incarnation(1),
        address: ([127, 0, 0, 1], 1).into(),
    };
    context
        .zones
        .iter()
        .map(|zone| {
            let boxes = (0..boxes_per_zone).map(|index| candidate(zone, index));
            (zone.clone(), boxes.collect())
        })
        .collect()
}
