//! Lending of load between the boxes of a zone.

use serde::{Deserialize, Serialize};

/// Whether and how long boxes lend.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoanSettings {
    /// Whether this box borrows from its neighbours. Without, it serves on its own load.
    pub borrow: bool,
    /// Time from asking during which a borrower may start work, in milliseconds.
    pub term_ms: u64,
    /// Allowance for clocks that differ and for late cancellation, in milliseconds.
    pub margin_ms: u64,
    /// Time after a restart in which work of the earlier run may still end, in milliseconds.
    pub orphan_grace_ms: u64,
    /// Longest wait of a request for a slot while others have been waiting for a second, in
    /// milliseconds.
    pub queue_wait_ms: u64,
}

impl Default for LoanSettings {
    fn default() -> Self {
        Self {
            borrow: true,
            term_ms: 2_000,
            margin_ms: 500,
            orphan_grace_ms: 1_000,
            queue_wait_ms: 100,
        }
    }
}
