//! The one value that is passed down: what every part of the daemon shares.

use crate::clock::Clock;
use crate::control::Command;
use crate::service::ServiceRuntime;
use arc_swap::ArcSwap;
use brasswinch_decide::blocks::BlockTable;
use brasswinch_decide::members::BoxState;
use brasswinch_decide::ticket_ledger::TicketLedger;
use brasswinch_observe::{LatencyTable, Metrics};
use brasswinch_settings::Settings;
use brasswinch_types::{
    BoxId, Incarnation, Region, ServiceKey, ServiceTag, TicketKey, Workspace, Zone,
};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex};
use tokio::sync::mpsc;

/// A box that look-ups can hand out.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) id: BoxId,
    pub(crate) incarnation: Incarnation,
    pub(crate) address: SocketAddr,
}

/// What the control thread publishes for traffic threads to read.
#[derive(Clone, Debug)]
pub(crate) struct Snapshot {
    /// What this box is doing.
    pub(crate) state: BoxState,
    /// Boxes that can be handed out, by zone.
    pub(crate) candidates: BTreeMap<Zone, Vec<Candidate>>,
}

/// The caller's side of a workspace.
#[derive(Debug)]
pub(crate) struct WorkspaceRuntime {
    pub(crate) name: Workspace,
    /// Requests of it on this box now.
    pub(crate) requests: AtomicUsize,
}

/// Shared by all parts of one daemon.
pub(crate) struct Context {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) id: BoxId,
    pub(crate) incarnation: Incarnation,
    pub(crate) zone: Zone,
    pub(crate) region: Region,
    /// All zones, in the deployment's order; indexes into per-zone tables.
    pub(crate) zones: Vec<Zone>,
    /// All regions, in the deployment's order.
    pub(crate) regions: Vec<Region>,
    pub(crate) blocks: BlockTable,
    pub(crate) snapshot: ArcSwap<Snapshot>,
    pub(crate) services: HashMap<ServiceKey, Arc<ServiceRuntime>>,
    pub(crate) services_by_tag: HashMap<ServiceTag, Arc<ServiceRuntime>>,
    pub(crate) callers: HashMap<String, Arc<WorkspaceRuntime>>,
    pub(crate) operators: HashMap<String, Workspace>,
    pub(crate) ticket_key: TicketKey,
    pub(crate) ledger: Mutex<TicketLedger>,
    pub(crate) latency: LatencyTable,
    pub(crate) metrics: Metrics,
    /// Requests in flight, of all workspaces.
    pub(crate) in_flight: AtomicUsize,
    pub(crate) commands: mpsc::UnboundedSender<Command>,
}

impl Context {
    /// The index of `zone` in per-zone tables.
    pub(crate) fn zone_index(&self, zone: &Zone) -> Option<usize> {
        self.zones.iter().position(|candidate| candidate == zone)
    }

    /// The index of `region` in per-region tables.
    pub(crate) fn region_index(&self, region: &Region) -> Option<usize> {
        self.regions
            .iter()
            .position(|candidate| candidate == region)
    }

    /// The service with a short name.
    pub(crate) fn service_by_tag(&self, tag: ServiceTag) -> Option<&Arc<ServiceRuntime>> {
        self.services_by_tag.get(&tag)
    }

    /// Tells the control thread something. It outlives traffic, so this can't fail usefully.
    pub(crate) fn tell(&self, command: Command) {
        let _ = self.commands.send(command);
    }
}
