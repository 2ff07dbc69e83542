//! The functions that a policy program calls, and the plan they build.

use crate::inventory::{Inventory, ServiceInventory};
use brasswinch_types::{
    Class, Plan, Region, Service, ServicePlan, ShiftCap, UpstreamId, WeightRow,
};
use rhai::{Engine, EvalAltResult, FLOAT, INT, Map, Position};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

type CallResult<T = ()> = Result<T, Box<EvalAltResult>>;

/// Longest deadline that a policy may set, in seconds.
const MAX_DEADLINE_SECONDS: FLOAT = 3_600.0;

/// Longest shift window that a policy may set, in seconds.
const MAX_WINDOW_SECONDS: FLOAT = 3_600.0;

/// Deadline of a service whose policy sets none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// The plan that a running program has built so far.
#[derive(Clone)]
pub(crate) struct PlanBuilder {
    inventory: Arc<Inventory>,
    plan: Arc<Mutex<Plan>>,
}

/// A service as the program holds it.
#[derive(Clone)]
pub(crate) struct ServiceHandle {
    name: Service,
    builder: PlanBuilder,
}

impl PlanBuilder {
    pub(crate) fn new(inventory: Inventory) -> Self {
        Self {
            inventory: Arc::new(inventory),
            plan: Arc::default(),
        }
    }

    /// Makes the functions known to `engine`.
    pub(crate) fn register(&self, engine: &mut Engine) {
        let builder = self.clone();
        engine.register_type_with_name::<ServiceHandle>("Service");
        engine.register_fn("service", move |name: &str| builder.service(name));
        engine.register_fn("class", ServiceHandle::class);
        engine.register_fn("deadline", ServiceHandle::deadline);
        engine.register_fn("deadline", ServiceHandle::deadline_whole);
        engine.register_fn("load", ServiceHandle::load);
        engine.register_fn("shift_cap", ServiceHandle::shift_cap);
        engine.register_fn("shift_cap", ServiceHandle::shift_cap_whole);
        engine.register_fn("from", ServiceHandle::add_origin);
        engine.register_fn("from_anywhere", ServiceHandle::add_anywhere);
        engine.register_fn("leaving", ServiceHandle::leaving);
    }

    /// The finished plan, or what it still lacks.
    pub(crate) fn finish(&self) -> Result<Plan, String> {
        let plan = self.lock().clone();
        if plan.services.is_empty() {
            return Err("the policy declares no service".into());
        }
        for (name, service) in &plan.services {
            complete(service).map_err(|lack| format!("service `{name}` {lack}"))?;
        }
        Ok(plan)
    }

    fn service(&self, name: &str) -> CallResult<ServiceHandle> {
        let name = Service::new(name);
        if !self.inventory.services.contains_key(&name) {
            let known = names(self.inventory.services.keys());
            return fail(format!(
                "this workspace has no service `{name}`; it has {known}"
            ));
        }
        let declared = self.lock().services.contains_key(&name);
        if declared {
            return fail(format!("service `{name}` is declared twice"));
        }
        let plan = ServicePlan {
            deadline_ms: DEFAULT_DEADLINE_MS,
            ..ServicePlan::default()
        };
        self.lock().services.insert(name.clone(), plan);
        Ok(ServiceHandle {
            name,
            builder: self.clone(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Plan> {
        self.plan.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServiceHandle {
    fn class(&mut self, name: &str) -> CallResult {
        let Some(class) = Class::from_name(name) else {
            return fail(format!(
                "`{name}` is no class; use repeatable, once, once_claimed or upload"
            ));
        };
        self.change(|plan| plan.class = class)
    }

    fn deadline(&mut self, seconds: FLOAT) -> CallResult {
        if !(seconds > 0.0 && seconds <= MAX_DEADLINE_SECONDS) {
            return fail("a deadline is above 0 and at most 3600 seconds".into());
        }
        self.change(|plan| plan.deadline_ms = (seconds * 1_000.0) as u64)
    }

    fn deadline_whole(&mut self, seconds: INT) -> CallResult {
        self.deadline(seconds as FLOAT)
    }

    fn load(&mut self, region: &str, most: INT) -> CallResult {
        let region = self.region(region)?;
        let slots = self.inventory().region_slots[&region];
        let fits = u32::try_from(most).ok().filter(|most| *most <= slots);
        let Some(most) = fits else {
            return fail(format!(
                "a load in `{region}` is between 0 and its {slots} slots"
            ));
        };
        self.change(|plan| {
            plan.loads.insert(region, most);
        })
    }

    fn shift_cap(&mut self, fraction: FLOAT, seconds: FLOAT) -> CallResult {
        if !(fraction > 0.0 && fraction <= 1.0) {
            return fail("a shift cap's fraction is above 0 and at most 1".into());
        }
        if !(seconds > 0.0 && seconds <= MAX_WINDOW_SECONDS) {
            return fail("a shift cap's window is above 0 and at most 3600 seconds".into());
        }
        let window_ms = (seconds * 1_000.0) as u64;
        self.change(|plan| {
            plan.shift_cap = ShiftCap {
                fraction,
                window_ms,
            }
        })
    }

    fn shift_cap_whole(&mut self, fraction: FLOAT, seconds: INT) -> CallResult {
        self.shift_cap(fraction, seconds as FLOAT)
    }

    fn add_origin(&mut self, origin: &str, weights: Map) -> CallResult {
        self.add_row(Some(Region::new(origin)), weights)
    }

    fn add_anywhere(&mut self, weights: Map) -> CallResult {
        self.add_row(None, weights)
    }

    fn leaving(&mut self, upstream: &str) -> CallResult {
        let upstream = UpstreamId::new(upstream);
        if !self.inventory().upstreams.contains(&upstream) {
            return fail(format!(
                "service `{}` has no upstream `{upstream}`",
                self.name
            ));
        }
        self.change(|plan| {
            plan.leaving.insert(upstream);
        })
    }

    fn add_row(&mut self, origin: Option<Region>, weights: Map) -> CallResult {
        let mut shares = BTreeMap::new();
        for (region, weight) in weights {
            let region = self.region(&region)?;
            let Some(weight) = number(&weight).filter(|w| w.is_finite() && *w >= 0.0) else {
                return fail(format!("the weight of `{region}` is not a number from 0"));
            };
            shares.insert(region, weight);
        }
        let sum: f64 = shares.values().sum();
        if sum <= 0.0 {
            return fail("at least one weight must be above 0".into());
        }
        shares.retain(|_, weight| *weight > 0.0);
        for weight in shares.values_mut() {
            *weight /= sum;
        }
        self.change(|plan| {
            plan.weights.retain(|row| row.origin != origin);
            plan.weights.push(WeightRow { origin, shares });
        })
    }

    fn region(&self, name: &str) -> CallResult<Region> {
        let region = Region::new(name);
        let regions = &self.inventory().region_slots;
        if regions.contains_key(&region) {
            return Ok(region);
        }
        let known = names(regions.keys());
        fail(format!(
            "service `{}` has no upstreams in `{region}`; it has some in {known}",
            self.name
        ))
    }

    fn inventory(&self) -> &ServiceInventory {
        &self.builder.inventory.services[&self.name]
    }

    fn change(&self, change: impl FnOnce(&mut ServicePlan)) -> CallResult {
        if let Some(plan) = self.builder.lock().services.get_mut(&self.name) {
            change(plan);
        }
        Ok(())
    }
}

fn complete(service: &ServicePlan) -> Result<(), String> {
    if service.weights.is_empty() {
        return Err("says nowhere where callers may go; call `from` or `from_anywhere`".into());
    }
    for row in &service.weights {
        for region in row.shares.keys() {
            if !service.loads.contains_key(region) {
                return Err(format!(
                    "sends callers to `{region}` but sets no load there"
                ));
            }
        }
    }
    Ok(())
}

fn number(value: &rhai::Dynamic) -> Option<f64> {
    value
        .as_float()
        .or_else(|_| value.as_int().map(|whole| whole as f64))
        .ok()
}

fn names<T: std::fmt::Display>(names: impl Iterator<Item = T>) -> String {
    names
        .map(|name| format!("`{name}`"))
        .collect::<Vec<_>>()
        .join(", ")
}

fn fail<T>(reason: String) -> CallResult<T> {
    Err(Box::new(EvalAltResult::ErrorRuntime(
        reason.into(),
        Position::NONE,
    )))
}
