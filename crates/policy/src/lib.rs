//! Workspace policies: short programs in a bounded language, evaluated to a plan.
//!
//! A policy runs on the control side only, when it is accepted or arrives; the
//! request path reads the plan. It sees nothing but the inventory of its own
//! workspace, has no clock, no randomness and no input, so every daemon
//! evaluates the same text to the same plan.

mod builder;
mod engine;
mod inventory;

pub use engine::{PolicyError, PolicyLimits, evaluate};
pub use inventory::{Inventory, ServiceInventory};
