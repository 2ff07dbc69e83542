//! The status of a box for operators: JSON through `serde`, text through [`Display`](fmt::Display).

use crate::context::{Context, Lifecycle, SCOPES};
use crate::quota_routes::QuotaRouteStatus;
use brasswinch_routing::{
    ConfigGaps, LimitStatus, Liveness, QuarantineStatus, QuotaStatus, Revision, Scope,
    ServiceStatus, StoreDuty, StoreEra,
};
use brasswinch_types::{BoxId, Millis, Service, Zone};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The status of a box.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BoxStatus {
    /// Id of the box.
    pub id: BoxId,
    /// Zone of the box.
    pub zone: Zone,
    /// Stage of the box's lifecycle.
    pub stage: Lifecycle,
    /// How the box learns of changes in the store.
    pub duty: StoreDuty,
    /// Whether the store answered when this box last asked it as a follower.
    pub reaches_store: bool,
    /// Version of the configuration in force; `None` before the first.
    pub config_version: Option<u64>,
    /// What can't be used of the configuration in force.
    #[serde(default)]
    pub config_gaps: ConfigGaps,
    /// The box's views of the store.
    pub views: Vec<ViewStatus>,
    /// Zones that receive no requests.
    pub evacuated_zones: Vec<Zone>,
    /// Upstreams by service.
    pub services: Vec<ServiceStatus>,
    /// This box's remaining retries of each service.
    #[serde(rename = "repeats_left")]
    pub retries_left: Vec<RetriesLeft>,
    /// Whether the box knows which box coordinates which quota.
    #[serde(rename = "knows_quota_keepers")]
    pub knows_quota_coordinators: bool,
    /// Quotas of workspaces that sent requests to this box.
    pub quotas: Vec<QuotaStatus>,
    /// Requests of those workspaces by route, those with most refused requests first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub quota_routes: Vec<QuotaRouteStatus>,
    /// Request limits of upstreams.
    pub limits: Vec<LimitStatus>,
    /// Requests that are suspected of crashing upstreams, or blocked for it.
    pub quarantine: Vec<QuarantineStatus>,
    /// Number of boxes that share the fleet's limits, including this one.
    pub fleet_size: usize,
    /// Number of other boxes that are alive.
    #[serde(rename = "boxes_heard")]
    pub boxes_alive: usize,
    /// Other boxes that stopped responding within the last minute.
    #[serde(rename = "boxes_silent")]
    pub boxes_unresponsive: Vec<BoxId>,
}

/// A box's view of one scope of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ViewStatus {
    /// The scope.
    pub scope: Scope,
    /// Revision of the last known change; `None` before the first listing.
    pub revision: Option<u64>,
    /// Era of the store in which that change was made.
    #[serde(default)]
    pub era: StoreEra,
    /// Milliseconds since the view was last known to be complete; `None` if it never was.
    pub age_ms: Option<Millis>,
    /// Revision of a later change that other boxes announced.
    #[serde(rename = "awaited")]
    pub pending_revision: Option<u64>,
}

/// What remains of a retry budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetriesLeft {
    /// The service.
    pub service: Service,
    /// Retries that this box may send now.
    pub left: f64,
}

impl Context {
    /// Returns the current status of the box.
    pub fn status(&self) -> BoxStatus {
        let now = self.clock.now();
        let (reaches_store, boxes_alive, boxes_unresponsive) = self.boxes_by_liveness();
        let in_force = self.in_force.load();
        let zones = self.settings.zones.keys();
        let fleet = self.fleet();
        let evacuated = zones.filter(|zone| fleet.is_evacuated(zone)).cloned();
        let evacuated_zones = evacuated.collect();
        drop(fleet);
        // A separate statement: the lock of `placement` is released before the calls below.
        let services = self.placement().status(now);
        let mut quotas = self.quota_status();
        let quota_routes = self.take_quota_routes(&mut quotas);
        BoxStatus {
            id: self.settings.id.clone(),
            zone: self.settings.zone.clone(),
            stage: self.lifecycle(),
            duty: self.duty(),
            reaches_store,
            config_version: in_force.as_ref().map(|in_force| in_force.config.version.0),
            config_gaps: in_force
                .as_ref()
                .map_or_else(ConfigGaps::default, |in_force| in_force.config.gaps.clone()),
            views: SCOPES.map(|scope| self.view_status(scope)).to_vec(),
            evacuated_zones,
            services,
            retries_left: self.retries_left(),
            knows_quota_coordinators: self.knows_quota_coordinators(),
            quotas,
            quota_routes,
            limits: self.limit_status(),
            quarantine: self.quarantine_status(),
            fleet_size: self.fleet_size.boxes(),
            boxes_alive,
            boxes_unresponsive,
        }
    }

    fn view_status(&self, scope: Scope) -> ViewStatus {
        let age_ms = self.view_age_ms(scope);
        let fleet = self.fleet();
        ViewStatus {
            scope,
            revision: fleet.newest(scope).map(Revision::counter),
            era: fleet.newest(scope).map(Revision::era).unwrap_or_default(),
            age_ms,
            pending_revision: fleet.pending_revision(scope).map(Revision::counter),
        }
    }

    fn boxes_by_liveness(&self) -> (bool, usize, Vec<BoxId>) {
        let swim = self.swim();
        let is_alive = |liveness| liveness == Liveness::Alive;
        let count = swim.members().filter(|member| is_alive(member.liveness));
        let unresponsive = swim.members().filter(|member| !is_alive(member.liveness));
        let unresponsive = unresponsive.map(|member| member.record.id.clone());
        (
            swim.me().reaches_store,
            count.count(),
            unresponsive.collect(),
        )
    }
}

impl fmt::Display for BoxStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { id, zone, .. } = self;
        writeln!(f, "box {id} in {zone}: {:?}", self.stage)?;
        match self.config_version {
            Some(version) => writeln!(f, "configuration: version {version}")?,
            None => writeln!(f, "configuration: none")?,
        }
        write_gaps(f, &self.config_gaps)?;
        let reachability = if self.reaches_store {
            "reachable"
        } else {
            "not reachable"
        };
        writeln!(f, "store: {reachability}; duty {:?}", self.duty)?;
        self.views.iter().try_for_each(|view| write!(f, "{view}"))?;
        for zone in &self.evacuated_zones {
            writeln!(f, "evacuated: {zone}")?;
        }
        for service in &self.services {
            write_service(f, service)?;
        }
        for budget in &self.retries_left {
            writeln!(f, "retries left: {} {:.1}", budget.service, budget.left)?;
        }
        self.quotas
            .iter()
            .try_for_each(|quota| writeln!(f, "quota of {quota}"))?;
        self.quota_routes
            .iter()
            .try_for_each(|route| writeln!(f, "quota of {route}"))?;
        self.limits
            .iter()
            .try_for_each(|limit| writeln!(f, "limit of {limit}"))?;
        self.quarantine
            .iter()
            .try_for_each(|request| writeln!(f, "request {request}"))?;
        let (size, alive) = (self.fleet_size, self.boxes_alive);
        writeln!(f, "boxes: {size} share limits; others alive: {alive}")?;
        for unresponsive in &self.boxes_unresponsive {
            writeln!(f, "box not responding: {unresponsive}")?;
        }
        Ok(())
    }
}

impl fmt::Display for ViewStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (Some(revision), Some(age_ms)) = (self.revision, self.age_ms) else {
            return writeln!(f, "view of {:?}: none", self.scope);
        };
        write!(f, "view of {:?}: revision {revision}", self.scope)?;
        if self.era != StoreEra::default() {
            write!(f, " of era {}", self.era)?;
        }
        write!(f, ", complete {age_ms} ms ago")?;
        match self.pending_revision {
            Some(pending) => writeln!(f, ", pending revision {pending}"),
            None => writeln!(f),
        }
    }
}

fn write_gaps(f: &mut fmt::Formatter<'_>, gaps: &ConfigGaps) -> fmt::Result {
    if gaps.is_empty() {
        return Ok(());
    }
    writeln!(f, "entries that can't be used: {}", gaps.count())?;
    let mut problems = gaps.problems().iter();
    problems.try_for_each(|problem| writeln!(f, "  {problem}"))
}

fn write_service(f: &mut fmt::Formatter<'_>, status: &ServiceStatus) -> fmt::Result {
    let ServiceStatus {
        service,
        usable,
        cold,
        held_off,
        backing_off,
        excluded,
        leaving,
        evacuated,
        replaced,
        retained,
        share_limited,
        workspaces,
    } = status;
    writeln!(
        f,
        "upstreams of {service}: {usable} usable, {cold} cold, {held_off} held off, {backing_off} resting, {excluded} left out, \
         {leaving} leaving, {evacuated} evacuated, {replaced} replaced, {} kept",
        retained.len()
    )?;
    retained.iter().try_for_each(|retained| {
        let (lost_ms, for_ms) = (retained.lost_ms, retained.retained_for_ms);
        let upstream = &retained.upstream;
        writeln!(
            f,
            "  {upstream} kept: entry lost {lost_ms} ms ago, {for_ms} ms left"
        )
    })?;
    if workspaces.is_empty() {
        return Ok(());
    }
    let mut over = workspaces.iter().filter(|share| share.is_over_share);
    writeln!(
        f,
        "  overloaded: {} workspaces compete, {share_limited} requests over a fair share so far",
        workspaces.len()
    )?;
    over.try_for_each(|share| {
        let (workspace, admitted) = (&share.workspace, share.admitted);
        let requested = share.requested;
        writeln!(
            f,
            "  {workspace} over its fair share: {admitted} of {requested} requests admitted"
        )
    })
}
