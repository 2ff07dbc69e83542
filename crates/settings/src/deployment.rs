//! The file that all daemons of a deployment share: places, workspaces, upstreams.

use crate::{SettingsError, block_file};
use brasswinch_policy::{Inventory, ServiceInventory};
use brasswinch_types::{Region, Service, UpstreamId, Workspace, Zone};
use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;

/// One deployment.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Deployment {
    /// Secret that signs tickets, at least 16 characters; the environment variable
    /// `BRASSWINCH_TICKET_SECRET` goes before it.
    pub ticket_secret: String,
    /// Regions and their availability zones.
    pub regions: Vec<RegionSettings>,
    /// Blocks of client addresses and the zone nearest to each.
    pub client_blocks: Vec<BlockSettings>,
    /// File with more client blocks, a line each: `BLOCK ZONE`; relative to this file,
    /// empty for none.
    pub client_blocks_file: String,
    /// Workspaces and their services.
    pub workspaces: Vec<WorkspaceSettings>,
}

/// A region.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RegionSettings {
    /// Its name.
    pub name: String,
    /// Its availability zones.
    pub zones: Vec<ZoneSettings>,
}

/// An availability zone.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ZoneSettings {
    /// Its name, unique in the deployment.
    pub name: String,
}

/// A block of client addresses.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BlockSettings {
    /// The block, as address and prefix length.
    pub block: IpNet,
    /// The zone nearest to it.
    pub zone: String,
}

impl Default for BlockSettings {
    fn default() -> Self {
        Self {
            block: IpNet::V4(ipnet::Ipv4Net::default()),
            zone: String::new(),
        }
    }
}

/// A workspace.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkspaceSettings {
    /// Its name.
    pub name: String,
    /// Credential of its callers.
    pub caller_token: String,
    /// Credential of its operators.
    pub operator_token: String,
    /// Its services.
    pub services: Vec<ServiceSettings>,
}

/// A service of a workspace.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// Its name.
    pub name: String,
    /// Requests that each upstream runs at a time.
    pub slots: u32,
    /// Most connections to each upstream, over all boxes of its zone.
    pub connections: u32,
    /// Its upstreams.
    pub upstreams: Vec<UpstreamSettings>,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            name: String::new(),
            slots: 4,
            connections: 120,
            upstreams: Vec::new(),
        }
    }
}

/// An upstream target.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Its name.
    pub id: String,
    /// The zone it stands in.
    pub zone: String,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            id: String::new(),
            zone: String::new(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
        }
    }
}

impl Deployment {
    /// The region that `zone` belongs to.
    pub fn region_of(&self, zone: &Zone) -> Option<Region> {
        self.regions
            .iter()
            .find(|region| region.zones.iter().any(|z| z.name == zone.as_str()))
            .map(|region| Region::new(&region.name))
    }

    /// All zones of `region`.
    pub fn zones_of(&self, region: &Region) -> Vec<Zone> {
        self.regions
            .iter()
            .filter(|candidate| candidate.name == region.as_str())
            .flat_map(|region| region.zones.iter().map(|zone| Zone::new(&zone.name)))
            .collect()
    }

    /// All zones.
    pub fn zones(&self) -> Vec<Zone> {
        self.regions
            .iter()
            .flat_map(|region| region.zones.iter().map(|zone| Zone::new(&zone.name)))
            .collect()
    }

    /// Hands every client block and its zone to `take`, those of the file included.
    pub fn for_each_block(&self, mut take: impl FnMut(IpNet, &Zone)) -> Result<(), SettingsError> {
        for block in &self.client_blocks {
            take(block.block, &Zone::new(&block.zone));
        }
        if self.client_blocks_file.is_empty() {
            return Ok(());
        }
        let path = Path::new(&self.client_blocks_file);
        block_file::read(path, &self.zones(), take)
    }

    /// The settings of a workspace.
    pub fn workspace(&self, name: &Workspace) -> Option<&WorkspaceSettings> {
        self.workspaces
            .iter()
            .find(|workspace| workspace.name == name.as_str())
    }

    /// What the policy of a workspace may name.
    pub fn inventory(&self, workspace: &Workspace) -> Inventory {
        let mut inventory = Inventory::default();
        let services = self.workspace(workspace).map(|w| w.services.as_slice());
        for service in services.unwrap_or_default() {
            let mut entry = ServiceInventory::default();
            for upstream in &service.upstreams {
                entry.upstreams.insert(UpstreamId::new(&upstream.id));
                if let Some(region) = self.region_of(&Zone::new(&upstream.zone)) {
                    *entry.region_slots.entry(region).or_insert(0) += service.slots;
                }
            }
            inventory
                .services
                .insert(Service::new(&service.name), entry);
        }
        inventory
    }
}

impl WorkspaceSettings {
    /// The settings of a service.
    pub fn service(&self, name: &Service) -> Option<&ServiceSettings> {
        self.services
            .iter()
            .find(|service| service.name == name.as_str())
    }
}
