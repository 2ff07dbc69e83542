//! The project's own stand-ins, load and experiments. Nothing here is shipped logic.
//!
//! Each stand-in runs as a process of its own (`brasswinch lab …`) or inside a
//! test or the demo.

pub mod callers;
pub mod counting;
pub mod demo;
pub mod deployment;
pub mod faults;
pub mod fleet;
pub mod fleet_start;
pub mod http;
pub mod measure;
pub mod memory_store;
pub mod partition;
pub mod platform;
pub mod replay;
pub mod routed_upstream;
pub mod slopes;
pub mod upstream;
