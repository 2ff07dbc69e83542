//! What the system is doing for one workspace, as operators see it.

use super::state::Control;
use crate::admin::{BoxView, OriginView, PolicyView, ServiceView, StatusView};
use crate::service::ServiceRuntime;
use brasswinch_types::{ConfigDocument, ConfigKey, Workspace, Zone};
use std::collections::BTreeMap;
use std::sync::PoisonError;

impl Control {
    pub(super) fn status(&self, workspace: &Workspace) -> StatusView {
        let policy = self
            .config
            .keeper
            .get(&ConfigKey::Policy(workspace.clone()))
            .map(PolicyView::from_entry);
        let mut services: Vec<ServiceView> = self
            .context
            .services
            .values()
            .filter(|service| service.key.workspace == *workspace)
            .map(|service| self.service_view(service))
            .collect();
        services.sort_by(|a, b| a.service.cmp(&b.service));
        StatusView {
            answered_by: self.context.id.to_string(),
            zone: self.context.zone.to_string(),
            state: format!("{:?}", self.record.state).to_lowercase(),
            store_reached: self.store_reached.unwrap_or(false),
            policy,
            drains: self.drains(workspace),
            services,
            boxes: self.box_views(),
            unreachable_zones: self.unreachable_zones(),
        }
    }

    fn drains(&self, workspace: &Workspace) -> Vec<String> {
        self.config
            .keeper
            .entries()
            .filter(|entry| matches!(entry.document, ConfigDocument::Drain(_)))
            .filter_map(|entry| match &entry.key {
                ConfigKey::Drain(owner, service, upstream) if owner == workspace => {
                    Some(format!("{service}/{upstream}"))
                }
                _ => None,
            })
            .collect()
    }

    fn service_view(&self, service: &ServiceRuntime) -> ServiceView {
        let counts = service.gate.counts();
        let mut zones = BTreeMap::new();
        for (index, zone) in self.context.zones.iter().enumerate() {
            let cell = &service.zone_loads[index];
            if service.zone_slots[index] > 0 {
                zones.insert(zone.to_string(), (cell.idle(), cell.total()).into());
            }
        }
        let mut origins = Vec::new();
        for (index, region) in self.context.regions.iter().enumerate() {
            let guard = service.steering[index]
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            if let Some(steering) = &*guard {
                origins.push(OriginView {
                    origin: region.to_string(),
                    shares: steering
                        .shares()
                        .iter()
                        .map(|(region, share)| (region.to_string(), *share))
                        .collect(),
                });
            }
        }
        ServiceView {
            service: service.key.service.to_string(),
            class: service
                .plan
                .load()
                .as_ref()
                .map(|plan| plan.class.to_string()),
            busy_here: counts.busy,
            idle_here: counts.idle,
            borrowed_here: counts.borrowed,
            lent_here: counts.loaned,
            zones,
            origins,
            leaving: service
                .gate
                .health()
                .iter()
                .zip(&service.upstreams)
                .filter(|(health, _)| health.is_leaving())
                .map(|(_, upstream)| upstream.id.to_string())
                .collect(),
        }
    }

    fn box_views(&self) -> Vec<BoxView> {
        let now = self.now();
        let digest = self.config.keeper.digest();
        let mut boxes: Vec<BoxView> = self
            .members
            .records()
            .map(|record| BoxView {
                id: record.id.to_string(),
                zone: record.zone.to_string(),
                state: format!("{:?}", record.state).to_lowercase(),
                heard: self.members.is_alive(&record.id, now),
                in_force: self.members.config_digest(&record.id) == Some(digest),
            })
            .collect();
        boxes.push(BoxView {
            id: self.context.id.to_string(),
            zone: self.context.zone.to_string(),
            state: format!("{:?}", self.record.state).to_lowercase(),
            heard: true,
            in_force: true,
        });
        boxes.sort_by(|a, b| (&a.zone, &a.id).cmp(&(&b.zone, &b.id)));
        boxes
    }

    fn unreachable_zones(&self) -> Vec<String> {
        let now = self.now();
        let reached = |zone: &Zone| {
            *zone == self.context.zone
                || self
                    .members
                    .known_in(zone)
                    .iter()
                    .any(|record| self.members.is_alive(&record.id, now))
        };
        self.context
            .zones
            .iter()
            .filter(|zone| !reached(zone))
            .map(Zone::to_string)
            .collect()
    }
}
