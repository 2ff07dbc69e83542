//! Small deployments with the brief's shapes, on loopback addresses.
//!
//! Zone `z` has the addresses `127.0.(FIRST_ZONE_NET + z).0/24`: boxes from 1,
//! upstreams at 100, callers from 200.

use crate::faults::{FaultProxy, Target};
use crate::http::LabError;
use crate::platform::Platform;
use crate::upstream::{UpstreamControl, Upstreams};
use brasswinch_settings::{
    BlockSettings, BoxSettings, Deployment, RegionSettings, ServiceSettings, Settings,
    UpstreamSettings, WorkspaceSettings, ZoneSettings,
};
use brasswinch_store::{ListedBox, ListedState};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use tokio::net::TcpListener;

/// Third byte of the first zone's addresses.
const FIRST_ZONE_NET: u8 = 10;

/// Last byte of a zone's upstream address.
const UPSTREAM_HOST: u8 = 100;

/// Last byte of a zone's caller address.
const CALLER_HOST: u8 = 200;

/// A service of a small deployment.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Its name.
    pub name: &'static str,
    /// Targets in each zone.
    pub targets_per_zone: usize,
    /// Most connections to each target.
    pub connections: u32,
    /// How its targets behave.
    pub control: UpstreamControl,
}

/// A small deployment of one workspace.
#[derive(Clone, Debug)]
pub struct Spec {
    /// The workspace.
    pub workspace: &'static str,
    /// Regions, two zones each unless said otherwise.
    pub regions: Vec<&'static str>,
    /// Zones in each region.
    pub zones_per_region: usize,
    /// Boxes in each zone.
    pub boxes_per_zone: usize,
    /// Its services.
    pub services: Vec<ServiceSpec>,
    /// Whether a second workspace, `rival`, shares the boxes with its own `rival-desk`.
    pub rival: bool,
}

/// The credentials that small deployments use.
pub const CALLER_TOKEN: &str = "caller-credential-of-the-lab";
/// The second workspace's callers' credential.
pub const RIVAL_CALLER_TOKEN: &str = "rival-caller-credential-of-the-lab";
/// The second workspace's operators' credential.
pub const RIVAL_OPERATOR_TOKEN: &str = "rival-operator-credential-of-the-lab";
/// The operators' credential.
pub const OPERATOR_TOKEN: &str = "operator-credential-of-the-lab";
const TICKET_SECRET: &str = "ticket-secret-of-the-lab";

impl Spec {
    /// Kavach in small: three regions, its three services.
    pub fn kavach(boxes_per_zone: usize, targets_per_zone: usize) -> Self {
        let service = |name, service_ms| ServiceSpec {
            name,
            targets_per_zone,
            connections: 130,
            control: UpstreamControl {
                service_ms,
                ..UpstreamControl::default()
            },
        };
        Self {
            workspace: "kavach",
            regions: vec!["guj-west", "mah-north", "raj-south"],
            zones_per_region: 2,
            boxes_per_zone,
            services: vec![
                service("rate-desk", 5),
                service("order-book", 8),
                service("cad-intake", 10),
            ],
            rival: false,
        }
    }

    /// Kaunti Shamba in small.
    pub fn kaunti_shamba(boxes_per_zone: usize, targets_per_zone: usize) -> Self {
        let mut spec = Self::kavach(boxes_per_zone, targets_per_zone);
        spec.workspace = "kaunti-shamba";
        spec.regions = vec!["nakuru", "eldoret", "meru"];
        let names = ["shamba-locate", "shamba-ledger", "shamba-logsink"];
        for (service, name) in spec.services.iter_mut().zip(names) {
            service.name = name;
            service.connections = 120;
        }
        spec
    }

    /// The slots of `service` in one region.
    pub fn region_slots(&self, service: &str) -> u32 {
        let spec = self.services.iter().find(|spec| spec.name == service);
        spec.map_or(0, |spec| {
            (spec.targets_per_zone * self.zones_per_region) as u32 * spec.control.slots
        })
    }

    /// Number of zones.
    pub fn zones(&self) -> usize {
        self.regions.len() * self.zones_per_region
    }

    fn region_index(&self, zone: usize) -> usize {
        zone / self.zones_per_region
    }

    /// The region of zone number `zone`.
    pub fn region_of(&self, zone: usize) -> &'static str {
        self.regions[self.region_index(zone)]
    }

    /// The name of zone number `zone`.
    pub fn zone_name(&self, zone: usize) -> String {
        let letter = char::from(b'a' + (zone % self.zones_per_region) as u8);
        format!("{}-{letter}", self.region_of(zone))
    }

    /// A policy that keeps callers at home, in shares of `home` and the rest elsewhere.
    pub fn policy(&self, shift_cap: f64, window_seconds: f64) -> String {
        let mut text = String::new();
        for service in &self.services {
            let name = service.name;
            let class = match name {
                "order-book" | "shamba-ledger" => "once",
                "cad-intake" | "shamba-logsink" => "upload",
                _ => "repeatable",
            };
            let deadline = if class == "upload" { "120" } else { "5" };
            text += &format!("let s = service(\"{name}\");\n");
            text += &format!("s.class(\"{class}\");\ns.deadline({deadline});\n");
            text += &format!("s.shift_cap({shift_cap:?}, {window_seconds:?});\n");
            for region in &self.regions {
                let slots = self.region_slots(name);
                text += &format!("s.load(\"{region}\", {slots});\n");
            }
            for home in &self.regions {
                let shares: Vec<String> = self
                    .regions
                    .iter()
                    .map(|region| {
                        let weight = if region == home { 8 } else { 1 };
                        format!("\"{region}\": {weight}")
                    })
                    .collect();
                text += &format!("s.from(\"{home}\", #{{{}}});\n", shares.join(", "));
            }
        }
        text
    }
}

/// The address of host `host` in zone number `zone`.
pub fn zone_ip(zone: usize, host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, FIRST_ZONE_NET + zone as u8, host))
}

/// Where callers of zone number `zone` come from.
pub fn caller_ip(zone: usize) -> IpAddr {
    zone_ip(zone, CALLER_HOST)
}

/// How the addresses of a zone begin, for the rules of fault proxies.
pub fn zone_prefix(zone: usize) -> String {
    format!("127.0.{}.", usize::from(FIRST_ZONE_NET) + zone)
}

/// The stand-ins around a small deployment, all in this process.
pub struct Site {
    /// What was asked for.
    pub spec: Spec,
    /// The deployment's settings.
    pub deployment: Deployment,
    /// The platform.
    pub platform: Platform,
    /// The proxy before the platform and before each box's peer address.
    pub proxy: FaultProxy,
    /// The upstreams of each service and region.
    pub upstreams: BTreeMap<(String, String), Upstreams>,
    platform_address: SocketAddr,
    peers: BTreeMap<String, (SocketAddr, Target)>,
}

impl Site {
    /// Starts the stand-ins on the current runtime.
    pub async fn start(spec: Spec) -> Result<Self, LabError> {
        let platform = Platform::default();
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let behind = Target::default();
        behind.set(listener.local_addr()?);
        tokio::spawn(platform.clone().run(listener));
        let proxy = FaultProxy::default();
        let front = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let platform_address = front.local_addr()?;
        tokio::spawn(proxy.clone().run(front, behind));
        let mut site = Self {
            deployment: places(&spec),
            platform,
            proxy,
            upstreams: BTreeMap::new(),
            platform_address,
            peers: BTreeMap::new(),
            spec,
        };
        site.start_upstreams().await?;
        site.start_peer_proxies().await?;
        site.list_all_boxes();
        Ok(site)
    }

    async fn start_upstreams(&mut self) -> Result<(), LabError> {
        let spec = self.spec.clone();
        let mut workspace = WorkspaceSettings {
            name: spec.workspace.to_owned(),
            caller_token: CALLER_TOKEN.to_owned(),
            operator_token: OPERATOR_TOKEN.to_owned(),
            services: Vec::new(),
        };
        for service in &spec.services {
            workspace.services.push(self.start_service(service).await?);
        }
        self.deployment.workspaces.push(workspace);
        if !spec.rival {
            return Ok(());
        }
        let desk = ServiceSpec {
            name: "rival-desk",
            targets_per_zone: 1,
            connections: 120,
            control: UpstreamControl::default(),
        };
        let services = vec![self.start_service(&desk).await?];
        self.deployment.workspaces.push(WorkspaceSettings {
            name: "rival".to_owned(),
            caller_token: RIVAL_CALLER_TOKEN.to_owned(),
            operator_token: RIVAL_OPERATOR_TOKEN.to_owned(),
            services,
        });
        Ok(())
    }

    async fn start_service(&mut self, service: &ServiceSpec) -> Result<ServiceSettings, LabError> {
        let spec = self.spec.clone();
        let mut settings = ServiceSettings {
            name: service.name.to_owned(),
            slots: service.control.slots,
            connections: service.connections,
            upstreams: Vec::new(),
        };
        for zone in 0..spec.zones() {
            let key = (service.name.to_owned(), spec.region_of(zone).to_owned());
            let upstreams = self
                .upstreams
                .entry(key)
                .or_insert_with(|| Upstreams::new(service.control.clone()))
                .clone();
            for index in 1..=service.targets_per_zone {
                let ip = zone_ip(zone, UPSTREAM_HOST);
                let listener = TcpListener::bind((ip, 0)).await?;
                let id = format!("{}-{}-{index}", service.name, spec.zone_name(zone));
                settings.upstreams.push(UpstreamSettings {
                    id: id.clone(),
                    zone: spec.zone_name(zone),
                    address: listener.local_addr()?,
                });
                tokio::spawn(upstreams.clone().run(id, listener));
            }
        }
        Ok(settings)
    }

    async fn start_peer_proxies(&mut self) -> Result<(), LabError> {
        for zone in 0..self.spec.zones() {
            for index in 1..=self.spec.boxes_per_zone {
                let front = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
                let address = front.local_addr()?;
                let target = Target::default();
                tokio::spawn(self.proxy.clone().run(front, target.clone()));
                self.peers
                    .insert(self.box_name(zone, index), (address, target));
            }
        }
        Ok(())
    }

    /// The name of box number `index`, from 1, of zone number `zone`.
    pub fn box_name(&self, zone: usize, index: usize) -> String {
        format!("{}-{index}", self.spec.zone_name(zone))
    }

    /// Shows every box of the deployment as live in the platform's list.
    pub fn list_all_boxes(&self) {
        let boxes: Vec<ListedBox> = self
            .peers
            .keys()
            .map(|id| ListedBox {
                id: id.clone(),
                state: ListedState::Live,
            })
            .collect();
        self.platform.control(|control| control.boxes = boxes);
    }

    /// Sets the address at which the box behind a proxy listens for peers.
    pub fn box_listens(&self, name: &str, peer: SocketAddr) {
        if let Some((_, target)) = self.peers.get(name) {
            target.set(peer);
        }
    }

    /// The settings of one box.
    pub fn box_settings(&self, zone: usize, index: usize) -> BoxSettings {
        let name = self.box_name(zone, index);
        let ip = zone_ip(zone, index as u8);
        let own = self.peers.get(&name).map(|(address, _)| *address);
        let mut settings = BoxSettings {
            id: name,
            zone: self.spec.zone_name(zone),
            caller_address: SocketAddr::new(ip, 0),
            peer_address: SocketAddr::new(ip, 0),
            admin_address: SocketAddr::new(ip, 0),
            advertised_peer_address: own.map(|own| own.to_string()).unwrap_or_default(),
            traffic_threads: 1,
            ..BoxSettings::default()
        };
        settings.platform.store_address = self.platform_address;
        settings.platform.list_address = self.platform_address;
        settings.platform.list_interval_ms = 500;
        settings.platform.compare_interval_ms = 2_000;
        settings.peers.seeds = self
            .peers
            .values()
            .map(|(address, _)| *address)
            .filter(|address| Some(*address) != own)
            .collect();
        settings
    }

    /// The whole settings of one box.
    pub fn settings(&self, zone: usize, index: usize) -> Settings {
        Settings {
            this_box: self.box_settings(zone, index),
            deployment: self.deployment.clone(),
        }
    }

    /// The upstreams of a service in a region.
    pub fn upstreams(&self, service: &str, region: &str) -> Option<&Upstreams> {
        self.upstreams.get(&(service.to_owned(), region.to_owned()))
    }
}

fn places(spec: &Spec) -> Deployment {
    let mut deployment = Deployment {
        ticket_secret: TICKET_SECRET.to_owned(),
        ..Deployment::default()
    };
    for (index, region) in spec.regions.iter().enumerate() {
        let first = index * spec.zones_per_region;
        let zones = (first..first + spec.zones_per_region)
            .map(|zone| ZoneSettings {
                name: spec.zone_name(zone),
            })
            .collect();
        deployment.regions.push(RegionSettings {
            name: (*region).to_owned(),
            zones,
        });
    }
    for zone in 0..spec.zones() {
        let block = ipnet::IpNet::new(zone_ip(zone, 0), 24);
        if let Ok(block) = block {
            deployment.client_blocks.push(BlockSettings {
                block,
                zone: spec.zone_name(zone),
            });
        }
    }
    deployment
}
