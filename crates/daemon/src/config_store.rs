//! Where the daemon keeps things in the platform's store, and in which form.

use brasswinch_types::{ConfigEntry, ConfigKey, ServiceKey, UnitTable, Zone};

/// Prefix of the operators' configuration.
pub const CONFIG_PREFIX: &str = "/brasswinch/config/";

/// Key of an entry of the operators' configuration.
pub(crate) fn config_key(key: &ConfigKey) -> String {
    format!("{CONFIG_PREFIX}{key}")
}

/// Key of a zone's unit table.
pub fn units_key(zone: &Zone) -> String {
    format!("/brasswinch/units/{zone}")
}

/// Key of the claim on a caller's own key. The key is hashed: it may hold anything.
pub(crate) fn claim_key(service: &ServiceKey, key: &str) -> String {
    let hash = xxhash_rust::xxh3::xxh3_128(key.as_bytes());
    format!("/brasswinch/claims/{service}/{hash:032x}")
}

/// An entry as it is stored.
pub(crate) fn entry_bytes(entry: &ConfigEntry) -> Vec<u8> {
    serde_json::to_vec(entry).unwrap_or_default()
}

/// An entry from its stored form.
pub(crate) fn entry_from(bytes: &[u8]) -> Option<ConfigEntry> {
    serde_json::from_slice(bytes).ok()
}

/// A unit table as it is stored.
pub(crate) fn table_bytes(table: &UnitTable) -> Vec<u8> {
    serde_json::to_vec(table).unwrap_or_default()
}

/// A unit table from its stored form.
pub(crate) fn table_from(bytes: &[u8]) -> Option<UnitTable> {
    let table: UnitTable = serde_json::from_slice(bytes).ok()?;
    (table.owners.len() == brasswinch_types::UNITS).then_some(table)
}
