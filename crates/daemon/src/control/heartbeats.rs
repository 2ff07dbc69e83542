//! Heartbeats: their contents, their handling, and when they are due.

use super::links::DEAD_AFTER_INTERVALS;
use super::state::Control;
use brasswinch_decide::load_reports::{LoadReporter, ServiceLoad};
use brasswinch_peer::{Heartbeat, LinkId, Message, NearReport, ZoneReport, encode};
use brasswinch_types::{BoxId, Incarnation, Millis, ServiceTag, Zone};
use std::collections::BTreeMap;

/// Each neighbour lengthens the time between heartbeats inside the zone to at least this
/// many milliseconds times the neighbours, which bounds the traffic that a box receives.
const NEAR_SPACING_MS: Millis = 100;

/// The same for heartbeats between zones and far links.
const FAR_SPACING_MS: Millis = 200;

/// Configuration is compared with one peer at most this often.
const COMPARE_EVERY_MS: Millis = 1_000;

/// What boxes of a covered zone reported.
pub(super) struct Covered {
    pub(super) silent: Vec<BoxId>,
    pub(super) loads: BTreeMap<ServiceTag, ServiceLoad>,
    pub(super) until: Millis,
    /// Selects the part of it to send to the neighbours.
    pub(super) reporter: LoadReporter,
}

impl Control {
    pub(super) fn on_heartbeat_of(
        &mut self,
        link: LinkId,
        peer: &BoxId,
        zone: &Zone,
        heartbeat: Heartbeat,
    ) {
        let now = self.now();
        let interval_ms = heartbeat.interval_ms;
        self.members
            .record_heartbeat(peer, heartbeat.incarnation, interval_ms, now);
        if let Some(state) = self.links.links.get_mut(&link) {
            state.interval_ms = interval_ms;
        }
        let near = *zone == self.context.zone;
        let loads = match heartbeat.near {
            Some(report) if near => self.take_near_report(link, report),
            _ => Vec::new(),
        };
        self.members.report(peer, heartbeat.config_digest, loads);
        for report in heartbeat.zones {
            let about_sender = report.zone == *zone;
            if report.zone == self.context.zone || near == about_sender {
                continue;
            }
            self.take_zone_report(&report, interval_ms);
            if about_sender {
                self.cover(report, now + interval_ms * DEAD_AFTER_INTERVALS / 2);
            }
        }
        self.compare_config(link, heartbeat.config_digest);
    }

    /// Stores a box's report on its zone, to relay it to the neighbours.
    pub(super) fn cover(&mut self, report: ZoneReport, until: Millis) {
        let covered = self
            .links
            .covered
            .entry(report.zone)
            .or_insert_with(|| Covered {
                silent: Vec::new(),
                loads: BTreeMap::new(),
                until,
                reporter: LoadReporter::default(),
            });
        covered.silent = report.silent;
        covered.until = until;
        let by_service = report.loads.into_iter().map(|load| (load.service, load));
        covered.loads.extend(by_service);
    }

    pub(super) fn take_near_report(
        &mut self,
        link: LinkId,
        report: NearReport,
    ) -> Vec<ServiceLoad> {
        for leaving in report.leaving {
            self.take_upstream_leaving(leaving);
        }
        if report.units_version < self.units.table.version {
            self.send(link, &Message::Units(self.units.table.clone()));
        }
        report.loads
    }

    /// Requests the missing entries from a peer whose configuration differs.
    pub(super) fn compare_config(&mut self, link: LinkId, digest: u64) {
        let now = self.now();
        if digest == self.config.keeper.digest() {
            return;
        }
        let Some(state) = self.links.links.get_mut(&link) else {
            return;
        };
        if now.saturating_sub(state.compared_at) >= COMPARE_EVERY_MS {
            state.compared_at = now;
            self.send(link, &Message::ConfigHeld(self.config.keeper.held()));
        }
    }

    /// A box with links to another zone reports on all boxes there.
    pub(super) fn take_zone_report(&mut self, report: &ZoneReport, interval_ms: Millis) {
        let now = self.now();
        let heard: Vec<(BoxId, Incarnation)> = self
            .members
            .known_in(&report.zone)
            .into_iter()
            .filter(|record| !report.silent.contains(&record.id))
            .map(|record| (record.id.clone(), record.incarnation))
            .collect();
        for (id, incarnation) in heard {
            self.members
                .record_heartbeat(&id, incarnation, interval_ms, now);
        }
        let Some(index) = self.context.zone_index(&report.zone) else {
            return;
        };
        for load in &report.loads {
            if let Some(service) = self.context.service_by_tag(load.service) {
                service.zone_loads[index].set(load, now);
            }
        }
        for service in self.context.services.values() {
            service.zone_loads[index].confirm(now);
        }
    }

    pub(super) fn near_interval_ms(&self) -> Millis {
        let neighbours = self.links_where(|zone| *zone == self.context.zone);
        let spaced = neighbours * NEAR_SPACING_MS;
        self.context
            .settings
            .this_box
            .peers
            .heartbeat_ms
            .max(spaced)
    }

    pub(super) fn far_interval_ms(&self) -> Millis {
        let peers = &self.context.settings.this_box.peers;
        let far = self.links_where(|zone| *zone != self.context.zone);
        (peers.heartbeat_ms * peers.far_heartbeat_factor).max(far * FAR_SPACING_MS)
    }

    pub(super) fn links_where(&self, wanted: impl Fn(&Zone) -> bool) -> u64 {
        let peers = self.links.links.values().filter_map(|l| l.peer.as_ref());
        peers.filter(|(_, zone)| wanted(zone)).count() as u64
    }

    /// Sends due heartbeats and drops silent links.
    pub(super) fn send_heartbeats(&mut self) {
        let now = self.now();
        let near_due = now.saturating_sub(self.links.near_sent_at) >= self.near_interval_ms();
        let far_due = now.saturating_sub(self.links.far_sent_at) >= self.far_interval_ms();
        self.links.covered.retain(|_, covered| now < covered.until);
        let near = near_due.then(|| self.near_heartbeat()).and_then(encoded);
        let far = far_due.then(|| self.far_heartbeat()).and_then(encoded);
        if near_due {
            self.links.near_sent_at = now;
        }
        if far_due {
            self.links.far_sent_at = now;
        }
        let my_zone = &self.context.zone;
        self.links.links.retain(|_, link| {
            let silent = now.saturating_sub(link.heard_at);
            if silent > link.interval_ms * DEAD_AFTER_INTERVALS {
                return false;
            }
            let Some((_, zone)) = &link.peer else {
                return true;
            };
            let due = if zone == my_zone { &near } else { &far };
            due.as_ref()
                .is_none_or(|bytes| link.sender.send_encoded(bytes.clone()))
        });
    }

    pub(super) fn near_heartbeat(&mut self) -> Heartbeat {
        let loads = self.own_loads();
        let loads = self.links.near_reporter.due(loads);
        let zones = self.links.covered.iter_mut().map(|(zone, covered)| {
            let loads = covered.loads.values().copied().collect();
            ZoneReport {
                zone: zone.clone(),
                silent: covered.silent.clone(),
                loads: covered.reporter.due(loads),
            }
        });
        let zones = zones.collect();
        Heartbeat {
            incarnation: self.context.incarnation,
            interval_ms: self.near_interval_ms(),
            config_digest: self.config.keeper.digest(),
            near: Some(NearReport {
                units_version: self.units.table.version,
                loads,
                leaving: self.config.upstreams_leaving.clone(),
            }),
            zones,
        }
    }

    pub(super) fn far_heartbeat(&mut self) -> Heartbeat {
        let loads = self.own_zone_loads();
        let loads = self.links.far_reporter.due(loads);
        Heartbeat {
            incarnation: self.context.incarnation,
            interval_ms: self.far_interval_ms(),
            config_digest: self.config.keeper.digest(),
            near: None,
            zones: vec![ZoneReport {
                zone: self.context.zone.clone(),
                silent: self.members.silent_in(&self.context.zone, self.now()),
                loads,
            }],
        }
    }

    pub(super) fn own_loads(&self) -> Vec<ServiceLoad> {
        self.context
            .services
            .values()
            .filter(|service| !service.upstreams.is_empty())
            .map(|service| {
                let counts = service.gate.counts();
                ServiceLoad {
                    service: service.tag,
                    idle: counts.idle,
                    total: counts.held + counts.borrowed,
                }
            })
            .collect()
    }

    pub(super) fn own_zone_loads(&self) -> Vec<ServiceLoad> {
        let Some(index) = self.context.zone_index(&self.context.zone) else {
            return Vec::new();
        };
        self.context
            .services
            .values()
            .filter(|service| !service.upstreams.is_empty())
            .map(|service| ServiceLoad {
                service: service.tag,
                idle: service.zone_loads[index].idle(),
                total: service.zone_loads[index].total(),
            })
            .collect()
    }

    /// Sums the loads of the own zone's reachable boxes.
    pub(super) fn refresh_zone_loads(&mut self) {
        let Some(index) = self.context.zone_index(&self.context.zone) else {
            return;
        };
        let now = self.now();
        let neighbours = self.neighbours_heard();
        for load in self.own_loads() {
            let Some(service) = self.context.service_by_tag(load.service) else {
                continue;
            };
            let mut sum = load;
            for neighbour in &neighbours {
                if let Some(load) = self.members.load_of(&neighbour.id, sum.service) {
                    sum.idle += load.idle;
                    sum.total += load.total;
                }
            }
            service.zone_loads[index].set(&sum, now);
        }
    }
}

fn encoded(heartbeat: Heartbeat) -> Option<bytes::Bytes> {
    encode(&Message::Heartbeat(heartbeat))
        .map(bytes::Bytes::from)
        .ok()
}
