//! Configuration: merging entries, relaying them, putting them in force.

use super::StoredEntry;
use super::state::Control;
use crate::config_store::{config_key, entry_bytes};
use crate::service::ServiceRuntime;
use brasswinch_decide::config_keeper::{ConfigKeeper, HeldVersion, Merge};
use brasswinch_decide::health::UpstreamReport;
use brasswinch_decide::slots::{HoldBack, LoanTerms};
use brasswinch_decide::zone_load::zone_load;
use brasswinch_observe::{Event, emit};
use brasswinch_peer::{LinkId, Message, UpstreamLeaving};
use brasswinch_policy::{PolicyLimits, evaluate};
use brasswinch_store::{ListedBox, ListedState};
use brasswinch_types::{
    ConfigDocument, ConfigEntry, ConfigKey, Millis, Plan, ServiceKey, ServicePlan, UpstreamId,
    Workspace,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// An entry that was asked for and hasn't come is asked for again, of another peer,
/// after this time. Comparing with peers recovers changes whose announcement was lost.
const ASK_AGAIN_MS: Millis = 300;

/// An entry that was asked for.
struct Asked {
    version: u64,
    at: Millis,
}

/// The entries in force at this box.
#[derive(Default)]
pub(super) struct ConfigState {
    pub(super) keeper: ConfigKeeper,
    /// Whether the store or a peer has sent a full listing.
    pub(super) known: bool,
    pub(super) plans: BTreeMap<Workspace, Plan>,
    /// Announced entries that were asked for.
    asked: BTreeMap<ConfigKey, Asked>,
    /// Upstreams that said they are leaving, for the neighbours.
    pub(super) upstreams_leaving: Vec<UpstreamLeaving>,
}

impl Control {
    /// Takes entries, puts the newer ones in force and relays them at once.
    pub(super) fn merge_config(&mut self, entries: Vec<ConfigEntry>, from: Option<LinkId>) {
        let mut newer = Vec::new();
        let mut touched = BTreeSet::new();
        for entry in entries {
            if self.config.keeper.merge(entry.clone()) == Merge::Newer {
                touched.insert(entry.key.workspace().clone());
                newer.push(entry);
            }
        }
        if newer.is_empty() {
            return;
        }
        let news = newer.iter().map(HeldVersion::from).collect();
        self.broadcast_except(&Message::ConfigNews(news), from);
        for entry in &newer {
            self.config.asked.remove(&entry.key);
            if let ConfigKey::Policy(workspace) = &entry.key {
                self.evaluate_policy(workspace, entry);
            }
            emit(
                Event::ConfigInForce,
                format_args!("{} version {}", entry.key, entry.version),
            );
        }
        for workspace in touched {
            self.apply(&workspace);
        }
    }

    /// Asks one of those who announce an entry for it. Every link announces; a text
    /// sent over every link would cost a box of a large zone forty copies.
    pub(super) fn on_config_news(&mut self, link: LinkId, news: &[HeldVersion]) {
        let now = self.now();
        let mut wanted = Vec::new();
        for offered in news {
            if !self.config.keeper.lacks(offered) {
                continue;
            }
            let asked = self.config.asked.get(&offered.key);
            let waiting = asked.is_some_and(|asked| {
                asked.version >= offered.version && now < asked.at + ASK_AGAIN_MS
            });
            if waiting {
                continue;
            }
            let asked = Asked {
                version: offered.version,
                at: now,
            };
            self.config.asked.insert(offered.key.clone(), asked);
            wanted.push(offered.key.clone());
        }
        if !wanted.is_empty() {
            self.send(link, &Message::ConfigWanted(wanted));
        }
    }

    pub(super) fn on_config_wanted(&mut self, link: LinkId, keys: &[ConfigKey]) {
        let held = keys.iter().filter_map(|key| self.config.keeper.get(key));
        let entries = held.cloned().collect();
        self.send(link, &Message::Config(entries));
    }

    fn evaluate_policy(&mut self, workspace: &Workspace, entry: &ConfigEntry) {
        let ConfigDocument::Policy(policy) = &entry.document else {
            self.config.plans.remove(workspace);
            return;
        };
        let inventory = self.context.settings.deployment.inventory(workspace);
        match evaluate(&policy.source, inventory, PolicyLimits::default()) {
            Ok(plan) => {
                self.config.plans.insert(workspace.clone(), plan);
            }
            Err(error) => emit(
                Event::PolicyRefused,
                format_args!("{workspace} version {}: {error}", entry.version),
            ),
        }
    }

    /// Puts the plan of a workspace in force on this box.
    fn apply(&mut self, workspace: &Workspace) {
        let context = Arc::clone(&self.context);
        let plan = self.config.plans.get(workspace);
        for service in context.services.values() {
            if service.key.workspace != *workspace {
                continue;
            }
            let service_plan = plan.and_then(|plan| plan.services.get(&service.key.service));
            service.plan.store(service_plan.cloned().map(Arc::new));
            if let Some(service_plan) = service_plan {
                self.apply_to_gate(service, service_plan);
            }
        }
    }

    fn apply_to_gate(&self, service: &Arc<ServiceRuntime>, plan: &ServicePlan) {
        let loans = &self.context.settings.this_box.loans;
        let terms = LoanTerms {
            term_ms: loans.term_ms,
            max_run_ms: plan.deadline_ms,
            margin_ms: loans.margin_ms,
        };
        let announced: Vec<bool> = service
            .upstreams
            .iter()
            .map(|upstream| self.is_announced(&service.key, plan, &upstream.id))
            .collect();
        let hold_back = if self.units.is_holding_back() {
            HoldBack::MaxUse
        } else {
            HoldBack::No
        };
        service.gate.set_plan(
            service,
            self.zone_load_of(service, plan),
            terms,
            &announced,
            &self.units.usable,
            hold_back,
        );
    }

    /// The own zone's part of the region's load.
    fn zone_load_of(&self, service: &ServiceRuntime, plan: &ServicePlan) -> u32 {
        let region_load = plan.loads.get(&self.context.region).copied().unwrap_or(0);
        let zones = self
            .context
            .settings
            .deployment
            .zones_of(&self.context.region);
        let slots: Vec<u32> = zones
            .iter()
            .map(|zone| {
                let index = self.context.zone_index(zone);
                index.map_or(0, |index| service.zone_slots[index])
            })
            .collect();
        let mine = zones.iter().position(|zone| *zone == self.context.zone);
        mine.map_or(0, |index| zone_load(region_load, &slots, index))
    }

    fn is_announced(&self, key: &ServiceKey, plan: &ServicePlan, upstream: &UpstreamId) -> bool {
        let drain = ConfigKey::Drain(key.workspace.clone(), key.service.clone(), upstream.clone());
        let drained = self
            .config
            .keeper
            .get(&drain)
            .is_some_and(|entry| matches!(entry.document, ConfigDocument::Drain(_)));
        drained || plan.leaving.contains(upstream)
    }

    /// A whole reading of the store. Where the store holds less than is in force, it
    /// was restored from an older copy; what is in force is written back.
    pub(super) fn on_store_listing(&mut self, stored: Vec<StoredEntry>) {
        self.store_answered();
        self.config.known = true;
        let mut revisions: BTreeMap<ConfigKey, i64> = BTreeMap::new();
        let mut entries = Vec::new();
        for StoredEntry { entry, revision } in stored {
            revisions.insert(entry.key.clone(), revision);
            entries.push(entry);
        }
        let older: Vec<(ConfigEntry, i64)> = self
            .config
            .keeper
            .entries()
            .filter(|held| {
                let in_store = entries.iter().find(|entry| entry.key == held.key);
                in_store.is_none_or(|entry| held.supersedes(entry))
            })
            .map(|held| {
                let revision = revisions.get(&held.key).copied().unwrap_or(0);
                (held.clone(), revision)
            })
            .collect();
        for (held, revision) in older {
            self.write_back(held, revision);
        }
        self.merge_config(entries, None);
    }

    fn write_back(&self, entry: ConfigEntry, revision: i64) {
        emit(
            Event::StoreWentBack,
            format_args!("{} version {} is in force", entry.key, entry.version),
        );
        let store = self.store.clone();
        tokio::spawn(async move {
            let key = config_key(&entry.key);
            // A conflict means that someone else has written; the next reading shows it.
            let _ = store
                .compare_and_swap(&key, revision, &entry_bytes(&entry), None)
                .await;
        });
    }

    pub(super) fn on_store_changes(&mut self, entries: Vec<ConfigEntry>) {
        self.store_answered();
        self.merge_config(entries, None);
    }

    pub(super) fn on_store_failed(&mut self, reason: &str) {
        if self.store_reached != Some(false) {
            emit(Event::StoreUnreachable, format_args!("{reason}"));
        }
        self.store_reached = Some(false);
    }

    pub(super) fn store_answered(&mut self) {
        if self.store_reached == Some(false) {
            emit(Event::StoreReached, format_args!("{}", self.context.id));
        }
        self.store_reached = Some(true);
    }

    /// Applies the platform's list: boxes that are gone and upstreams that are leaving.
    pub(super) fn on_boxes_listed(&mut self, listed: &[ListedBox]) {
        let live: BTreeSet<_> = listed.iter().map(|l| l.id.as_str().into()).collect();
        self.note_listed(&live);
        let leaving: BTreeSet<&str> = listed
            .iter()
            .filter(|listed| listed.state == ListedState::Leaving)
            .map(|listed| listed.id.as_str())
            .collect();
        for service in self.context.services.values() {
            for (index, upstream) in service.upstreams.iter().enumerate() {
                let is_leaving = leaving.contains(upstream.id.as_str());
                service
                    .gate
                    .update_health(index, |health, _| health.set_listed_leaving(is_leaving));
            }
        }
    }

    /// An upstream of the zone announced that it is leaving; the neighbours are notified
    /// with the next heartbeat.
    pub(super) fn note_upstream_leaving(
        &mut self,
        service: ServiceKey,
        upstream: UpstreamId,
        sequence: u64,
    ) {
        let held = &mut self.config.upstreams_leaving;
        held.retain(|known| known.service != service || known.upstream != upstream);
        held.push(UpstreamLeaving {
            service,
            upstream,
            sequence,
        });
    }

    /// A neighbour reported that an upstream is leaving.
    pub(super) fn take_upstream_leaving(&mut self, leaving: UpstreamLeaving) {
        let Some(service) = self.context.services.get(&leaving.service) else {
            return;
        };
        let Some(index) = service
            .upstreams
            .iter()
            .position(|upstream| upstream.id == leaving.upstream)
        else {
            return;
        };
        let report = UpstreamReport {
            sequence: leaving.sequence,
            leaving: true,
            in_use: 0,
        };
        service.gate.report(index, report);
    }
}
