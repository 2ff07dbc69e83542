//! Client blocks: which zone a caller's address is nearest to.

use brasswinch_types::Zone;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;
use std::collections::HashMap;
use std::net::IpAddr;

/// Index into the table's list of zones; keeps an entry small at 270,000 blocks.
type ZoneIndex = u16;

/// Longest-prefix match from address to zone.
#[derive(Default)]
pub struct BlockTable {
    zones: Vec<Zone>,
    index: HashMap<Zone, ZoneIndex>,
    v4: PrefixMap<Ipv4Net, ZoneIndex>,
    v6: PrefixMap<Ipv6Net, ZoneIndex>,
}

impl BlockTable {
    /// Adds or replaces one block. Zones past the first 65,536 are refused.
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

    /// The zone of the longest block that covers `address`.
    pub fn zone_of(&self, address: IpAddr) -> Option<&Zone> {
        let index = match address.to_canonical() {
            IpAddr::V4(address) => self.v4.get_lpm(&Ipv4Net::from(address)).map(|(_, i)| *i),
            IpAddr::V6(address) => self.v6.get_lpm(&Ipv6Net::from(address)).map(|(_, i)| *i),
        }?;
        self.zones.get(usize::from(index))
    }

    /// How many blocks there are.
    pub fn len(&self) -> usize {
        self.v4.len() + self.v6.len()
    }

    /// Whether there is no block.
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
