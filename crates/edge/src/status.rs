//! What a box believes, for operators: as JSON by `serde`, as text by [`Display`](fmt::Display).

use crate::context::{Context, Lifecycle, SCOPES};
use brasswinch_routing::{
    LimitStatus, Liveness, QuotaStatus, Scope, ServiceStatus, ShutOutStatus, StoreDuty,
};
use brasswinch_types::{BoxId, Millis, Service, Zone};
use serde::{Deserialize, Serialize};
use std::fmt;

/// What a box believes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BoxStatus {
    /// The box.
    pub id: BoxId,
    /// Where it stands.
    pub zone: Zone,
    /// How far it is on its way from start to stop.
    pub stage: Lifecycle,
    /// What it does to know of the store's changes.
    pub duty: StoreDuty,
    /// Whether the store answered it when it last asked as one that follows it.
    pub reaches_store: bool,
    /// The version of the configuration in force; `None` before the first.
    pub config_version: Option<u64>,
    /// What it knows of the store.
    pub views: Vec<ViewStatus>,
    /// Zones that are to get nothing.
    pub evacuated_zones: Vec<Zone>,
    /// The upstreams of each service.
    pub services: Vec<ServiceStatus>,
    /// What is left of this box's part of each service's budget of repeats.
    pub repeats_left: Vec<RepeatsLeft>,
    /// Whether it knows which box keeps which quota.
    pub knows_quota_keepers: bool,
    /// The quotas of workspaces that sent requests here.
    pub quotas: Vec<QuotaStatus>,
    /// Limits that upstreams name.
    pub limits: Vec<LimitStatus>,
    /// Requests under which upstreams ended, suspected or shut out.
    pub quarantine: Vec<ShutOutStatus>,
    /// Boxes that share what the whole fleet may do, this one included.
    pub fleet_size: usize,
    /// Other boxes that are heard.
    pub boxes_heard: usize,
    /// Other boxes that are not, and were within the last minute.
    pub boxes_silent: Vec<BoxId>,
}

/// What a box knows of one part of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ViewStatus {
    /// The part.
    pub scope: Scope,
    /// The last change that it knows; `None` before the first listing.
    pub revision: Option<u64>,
    /// How long ago it knew everything, in milliseconds; `None` before that was ever so.
    pub age_ms: Option<Millis>,
    /// A later change that others spoke of.
    pub awaited: Option<u64>,
}

/// What is left of a budget of repeats.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RepeatsLeft {
    /// The service.
    pub service: Service,
    /// Repeats that this box may send now.
    pub left: f64,
}

impl Context {
    /// What the box believes now.
    pub fn status(&self) -> BoxStatus {
        let now = self.clock.now();
        let (reaches_store, boxes_heard, boxes_silent) = self.boxes_by_liveness();
        let in_force = self.in_force.load();
        let zones = self.settings.zones.keys();
        let fleet = self.fleet();
        let evacuated = zones.filter(|zone| fleet.is_evacuated(zone)).cloned();
        let evacuated_zones = evacuated.collect();
        drop(fleet);
        // Its lock is released before anything else asks for it.
        let services = self.placement().status(now);
        BoxStatus {
            id: self.settings.id.clone(),
            zone: self.settings.zone.clone(),
            stage: self.lifecycle(),
            duty: self.duty(),
            reaches_store,
            config_version: in_force.as_ref().map(|held| held.config.version.0),
            views: SCOPES.map(|scope| self.view_status(scope)).to_vec(),
            evacuated_zones,
            services,
            repeats_left: self.repeats_left(),
            knows_quota_keepers: self.knows_quota_keepers(),
            quotas: self.quota_status(),
            limits: self.limit_status(),
            quarantine: self.quarantine_status(),
            fleet_size: self.fleet_size.boxes(),
            boxes_heard,
            boxes_silent,
        }
    }

    fn view_status(&self, scope: Scope) -> ViewStatus {
        let age_ms = self.view_age_ms(scope);
        let fleet = self.fleet();
        ViewStatus {
            scope,
            revision: fleet.newest(scope).map(|revision| revision.0),
            age_ms,
            awaited: fleet.awaited(scope).map(|revision| revision.0),
        }
    }

    fn boxes_by_liveness(&self) -> (bool, usize, Vec<BoxId>) {
        let swim = self.swim();
        let heard = |liveness| liveness == Liveness::Alive;
        let count = swim.members().filter(|member| heard(member.liveness));
        let silent = swim.members().filter(|member| !heard(member.liveness));
        let silent = silent.map(|member| member.record.id.clone());
        (swim.me().reaches_store, count.count(), silent.collect())
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
        let answers = if self.reaches_store { "" } else { " not" };
        writeln!(f, "store: does{answers} answer; duty {:?}", self.duty)?;
        self.views.iter().try_for_each(|view| write!(f, "{view}"))?;
        for zone in &self.evacuated_zones {
            writeln!(f, "evacuated: {zone}")?;
        }
        for service in &self.services {
            write_service(f, service)?;
        }
        for budget in &self.repeats_left {
            writeln!(f, "repeats left: {} {:.1}", budget.service, budget.left)?;
        }
        self.quotas
            .iter()
            .try_for_each(|quota| writeln!(f, "quota of {quota}"))?;
        self.limits
            .iter()
            .try_for_each(|limit| writeln!(f, "limit of {limit}"))?;
        self.quarantine
            .iter()
            .try_for_each(|held| writeln!(f, "request {held}"))?;
        let (size, heard) = (self.fleet_size, self.boxes_heard);
        writeln!(f, "boxes: {size} share limits; others heard: {heard}")?;
        for silent in &self.boxes_silent {
            writeln!(f, "box silent: {silent}")?;
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
        write!(f, ", whole {age_ms} ms ago")?;
        match self.awaited {
            Some(awaited) => writeln!(f, ", awaits {awaited}"),
            None => writeln!(f),
        }
    }
}

fn write_service(f: &mut fmt::Formatter<'_>, status: &ServiceStatus) -> fmt::Result {
    let ServiceStatus {
        service,
        usable,
        cold,
        held_off,
        resting,
        left_out,
        leaving,
        evacuated,
        replaced,
        kept,
    } = status;
    writeln!(
        f,
        "upstreams of {service}: {usable} usable, {cold} cold, {held_off} held off, {resting} resting, {left_out} left out, \
         {leaving} leaving, {evacuated} evacuated, {replaced} replaced, {} kept",
        kept.len()
    )?;
    kept.iter().try_for_each(|kept| {
        let (lost_ms, for_ms) = (kept.lost_ms, kept.kept_for_ms);
        let upstream = &kept.upstream;
        writeln!(
            f,
            "  {upstream} kept: entry lost {lost_ms} ms ago, {for_ms} ms left"
        )
    })
}
