//! How a daemon uses the platform's store and list of boxes.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The platform's addresses and how often it is asked.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// The store's JSON gateway.
    pub store_address: SocketAddr,
    /// The platform's list of live and leaving boxes.
    pub list_address: SocketAddr,
    /// Longest wait for one call, in milliseconds.
    pub call_timeout_ms: u64,
    /// Time between readings of the list, in milliseconds.
    pub list_interval_ms: u64,
    /// Time between full comparisons with the store, in milliseconds.
    pub compare_interval_ms: u64,
    /// How many boxes of a zone watch the store; the others hear from them.
    pub watchers_per_zone: usize,
    /// How long a box that was never seen listed is waited for, in milliseconds.
    pub unlisted_grace_ms: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            store_address: SocketAddr::from(([127, 0, 0, 1], 2379)),
            list_address: SocketAddr::from(([127, 0, 0, 1], 2380)),
            call_timeout_ms: 2_000,
            list_interval_ms: 2_000,
            compare_interval_ms: 30_000,
            watchers_per_zone: 2,
            unlisted_grace_ms: 600_000,
        }
    }
}
