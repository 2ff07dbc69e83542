//! The daemon of an entry box, as a library: the binary and the demo start it alike.
//!
//! One thread owns all control state. Traffic threads read what it publishes and
//! never wait for it.

mod admin;
mod clock;
mod config_store;
mod context;
mod control;
mod gate;
mod measure;
mod probe;
mod service;
mod start;
mod steering;
mod traffic;

pub use admin::{BoxView, PolicyView, ServiceView, StatusView, SubmitAnswer, SubmitOutcome};
pub use clock::Clock;
pub use config_store::{CONFIG_PREFIX, units_key};
pub use measure::LookupMeasure;
pub use start::{DaemonError, DaemonHandle, ListenAddresses, start};
pub use traffic::{
    DEADLINE_HEADER, ERROR_HEADER, KEY_HEADER, LookupAnswer, LookupBox, RAN_HEADER,
    RETRY_AFTER_MS_HEADER, TICKET_HEADER,
};
