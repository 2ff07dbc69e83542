//! Steering decisions as pure logic.
//!
//! Nothing in this crate opens a socket, starts a task or reads a clock. Every
//! function takes the time as an argument, so that tests can simulate pauses,
//! lost messages and clock skew. The crate is independent of the transport.

pub mod blocks;
pub mod config_keeper;
pub mod health;
pub mod links;
pub mod load_reports;
pub mod members;
pub mod regions;
pub mod retry_budget;
pub mod selector;
pub mod shift;
pub mod slots;
pub mod ticket_ledger;
pub mod unit_claims;
pub mod zone_load;
pub mod zone_rank;
