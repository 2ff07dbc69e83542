//! Identifiers, documents and error kinds that the packages share.
//!
//! Nothing here does any input or output. A type belongs in this package if it
//! crosses a process boundary or more than one package uses it.

mod class;
mod config;
mod errors;
mod ids;
mod plan;
mod tickets;
mod units;
mod upstream_signal;

pub use class::{Class, OnceProof};
pub use config::{ConfigDocument, ConfigEntry, ConfigKey, DrainNotice, PolicyText, Tombstone};
pub use errors::{Answer, ErrorKind, Ran, RetryHint};
pub use ids::{
    BoxId, Incarnation, Millis, Region, Service, ServiceKey, ServiceTag, SubmissionId, UpstreamId,
    Workspace, Zone,
};
pub use plan::{Plan, ServicePlan, ShiftCap, WeightRow};
pub use tickets::{Ticket, TicketError, TicketKey};
pub use units::{UNITS, UnitOwner, UnitTable, unit_of_slot};
pub use upstream_signal::{
    ColdTime, UpstreamRest, UpstreamSignal, UpstreamSignalError, decimal, only_value,
};
