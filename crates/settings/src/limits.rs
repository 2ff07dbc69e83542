//! Limits on what callers may use.

use serde::{Deserialize, Serialize};

/// Limits that keep one workspace from disturbing another.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Most requests of one workspace on this box at a time, waiting ones included.
    pub requests_per_workspace: usize,
    /// Most requests of one service that wait for a slot on this box.
    pub waiting_per_service: usize,
    /// How long callers may keep a look-up's answer, in milliseconds.
    pub lookup_ttl_ms: u64,
    /// How long a ticket may be presented, in milliseconds.
    pub ticket_ttl_ms: u64,
    /// Longest wait for a connection to an upstream, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Longest time in which a body makes no progress, in milliseconds.
    pub idle_body_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            requests_per_workspace: 512,
            waiting_per_service: 64,
            lookup_ttl_ms: 1_000,
            ticket_ttl_ms: 60_000,
            connect_timeout_ms: 500,
            idle_body_ms: 30_000,
        }
    }
}
