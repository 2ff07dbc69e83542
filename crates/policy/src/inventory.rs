//! What a workspace owns, and so all that its policy may name.

use brasswinch_types::{Region, Service, UpstreamId};
use std::collections::{BTreeMap, BTreeSet};

/// The services of one workspace.
#[derive(Clone, Debug, Default)]
pub struct Inventory {
    /// Each service and where it stands.
    pub services: BTreeMap<Service, ServiceInventory>,
}

/// Where a service's upstreams stand.
#[derive(Clone, Debug, Default)]
pub struct ServiceInventory {
    /// Slots of all upstreams in each region: no policy can set a load above it.
    pub region_slots: BTreeMap<Region, u32>,
    /// Its upstreams.
    pub upstreams: BTreeSet<UpstreamId>,
}
