//! Client blocks: maps a caller's address to its nearest zone.

use brasswinch_types::Zone;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;
use std::collections::HashMap;
use std::net::IpAddr;

/// Index into the table's list of zones. 16 bits keep the entries of 270,000 blocks small.
type ZoneIndex = u16;

/// Maps addresses to zones by longest-prefix match.
#[derive(Default)]
pub struct BlockTable {
    zones: Vec<Zone>,
    index: HashMap<Zone, ZoneIndex>,
    v4: PrefixMap<Ipv4Net, ZoneIndex>,
    v6: PrefixMap<Ipv6Net, ZoneIndex>,
}

impl BlockTable {
    /// Adds or replaces one block. Returns false, without adding it, if its zone would be
    /// the 65,537th.
    pub fn insert(&mut self, block: IpNet, zone: &Zone) -> bool {
        let Some(index) = self.zone_index(zone) else {
            return false;
        };
        match block {
            IpNet::V4(block) => self.v4.insert(block.trunc(), index),
            IpNet::V6(block) => self.v6.insert(block.trunc(), index),
        };
        true
    }

    /// Returns the zone of the longest block that contains `address`.
    pub fn zone_of(&self, address: IpAddr) -> Option<&Zone> {
        let index = match address.to_canonical() {
            IpAddr::V4(address) => self.v4.get_lpm(&Ipv4Net::from(address)).map(|(_, i)| *i),
            IpAddr::V6(address) => self.v6.get_lpm(&Ipv6Net::from(address)).map(|(_, i)| *i),
        }?;
        self.zones.get(usize::from(index))
    }

    /// Returns the number of blocks.
    pub fn len(&self) -> usize {
        self.v4.len() + self.v6.len()
    }

    /// Whether the table has no blocks.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn zone_index(&mut self, zone: &Zone) -> Option<ZoneIndex> {
        if let Some(index) = self.index.get(zone) {
            return Some(*index);
        }
        let index = ZoneIndex::try_from(self.zones.len()).ok()?;
        self.zones.push(zone.clone());
        self.index.insert(zone.clone(), index);
        Some(index)
    }
}
