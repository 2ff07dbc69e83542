//! Settings of synthetic deployments, up to the size designed for.

use crate::deployment::{CALLER_TOKEN, OPERATOR_TOKEN};
use brasswinch_settings::{
    BlockSettings, BoxSettings, Deployment, RegionSettings, ServiceSettings, Settings,
    UpstreamSettings, WorkspaceSettings, ZoneSettings,
};
use ipnet::{IpNet, Ipv4Net};
use std::net::{Ipv4Addr, SocketAddr};

/// Zones that each service stands in: a site is a service in a zone.
const ZONES_PER_SERVICE: usize = 3;

/// Upstreams of a site.
const UPSTREAMS_PER_SITE: usize = 4;

/// Spreads the indexes of blocks over the address space; odd.
const SCATTER: u32 = 10_368_889;

/// Size of a synthetic deployment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scale {
    pub(super) regions: usize,
    pub(super) zones_per_region: usize,
    pub(super) sites: usize,
    pub(super) blocks: usize,
}

/// The size designed for, less its client blocks, which are measured by themselves.
pub(super) const DESIGNED: Scale = Scale {
    regions: 24,
    zones_per_region: 4,
    sites: 700,
    blocks: 0,
};

impl Scale {
    pub(super) fn zones(&self) -> usize {
        self.regions * self.zones_per_region
    }

    pub(super) fn services(&self) -> usize {
        self.sites.div_ceil(ZONES_PER_SERVICE)
    }

    /// Services of zone number `zone`.
    pub(super) fn services_in(&self, zone: usize) -> Vec<String> {
        (0..self.services())
            .filter(|service| self.zones_of(*service).contains(&zone))
            .map(service_name)
            .collect()
    }

    fn zones_of(&self, service: usize) -> Vec<usize> {
        let first = service * ZONES_PER_SERVICE;
        (first..first + ZONES_PER_SERVICE)
            .map(|site| site % self.zones())
            .collect()
    }

    pub(super) fn zone_name(&self, zone: usize) -> String {
        format!("region-{}-zone-{}", zone / self.zones_per_region, zone)
    }

    pub(super) fn region_name(&self, zone: usize) -> String {
        format!("region-{}", zone / self.zones_per_region)
    }

    /// Settings of a box in zone 0, with the platform at `platform`.
    pub(super) fn settings(&self, platform: SocketAddr) -> Settings {
        let mut this_box = BoxSettings {
            id: "measured".into(),
            zone: self.zone_name(0),
            traffic_threads: 1,
            ..BoxSettings::default()
        };
        this_box.platform.store_address = platform;
        this_box.platform.list_address = platform;
        Settings {
            this_box,
            deployment: self.deployment(),
        }
    }

    fn deployment(&self) -> Deployment {
        let regions = (0..self.regions)
            .map(|region| RegionSettings {
                name: format!("region-{region}"),
                zones: (region * self.zones_per_region..(region + 1) * self.zones_per_region)
                    .map(|zone| ZoneSettings {
                        name: self.zone_name(zone),
                    })
                    .collect(),
            })
            .collect();
        Deployment {
            ticket_secret: "ticket-secret-of-the-lab".into(),
            regions,
            client_blocks: (0..self.blocks).map(|index| self.block(index)).collect(),
            client_blocks_file: String::new(),
            workspaces: vec![WorkspaceSettings {
                name: "measured".into(),
                caller_token: CALLER_TOKEN.into(),
                operator_token: OPERATOR_TOKEN.into(),
                services: (0..self.services()).map(|s| self.service(s)).collect(),
            }],
        }
    }

    fn block(&self, index: usize) -> BlockSettings {
        BlockSettings {
            block: IpNet::V4(client_block(index)),
            zone: self.zone_name(index % self.zones()),
        }
    }

    fn service(&self, service: usize) -> ServiceSettings {
        let name = service_name(service);
        let upstreams = self.zones_of(service).into_iter().flat_map(|zone| {
            let name = name.clone();
            let zone_name = self.zone_name(zone);
            (0..UPSTREAMS_PER_SITE).map(move |index| UpstreamSettings {
                id: format!("{name}-{zone}-{index}"),
                zone: zone_name.clone(),
                address: ([127, 0, 0, 1], 9).into(),
            })
        });
        ServiceSettings {
            upstreams: upstreams.collect(),
            name,
            ..ServiceSettings::default()
        }
    }

    /// A policy for every service, with its sites' regions in equal shares.
    pub(super) fn policy(&self, mark: usize) -> String {
        let mut text = format!("// {mark}\n");
        for service in 0..self.services() {
            let mut regions: Vec<String> = self
                .zones_of(service)
                .into_iter()
                .map(|zone| self.region_name(zone))
                .collect();
            regions.dedup();
            text += &format!("let s = service(\"{}\");", service_name(service));
            for region in &regions {
                text += &format!("s.load(\"{region}\", {});", 4 * UPSTREAMS_PER_SITE);
            }
            let shares: Vec<String> = regions.iter().map(|r| format!("\"{r}\": 1")).collect();
            text += &format!("s.from_anywhere(#{{{}}});\n", shares.join(", "));
        }
        text
    }
}

/// Name of service number `service`.
pub(super) fn service_name(service: usize) -> String {
    format!("service-{service}")
}

/// Client block number `index`: scattered over the address space, mostly /24, some
/// /22 and /20 around others.
pub(super) fn client_block(index: usize) -> Ipv4Net {
    // An odd factor: no two of the first 2^24 indexes share a /24.
    let scattered = (index as u32).wrapping_mul(SCATTER) % (1 << 24);
    let address = Ipv4Addr::from(scattered << 8);
    let length = match index % 8 {
        0 => 20,
        1 | 2 => 22,
        _ => 24,
    };
    Ipv4Net::new(address, length).unwrap_or_default().trunc()
}
