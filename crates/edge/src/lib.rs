//! A box's traffic path for routed requests: it accepts clients, finds the route and an
//! upstream, and forwards the request and its response.
//!
//! Settings, header names ([`Dialect`]) and the store ([`FleetStore`]) are supplied by the
//! caller.

mod active_attempt;
mod advice;
mod answer;
mod attempt;
mod body;
mod budgets;
mod catch_up;
mod clock;
mod connection_closes;
mod connection_failures;
mod connection_usage;
mod connections;
mod context;
mod counted;
mod credentials;
mod datagram;
mod dialect;
mod exchange;
mod failure;
mod failure_report;
mod fleet_size;
mod follow;
mod gossip;
mod grant_replies;
mod health;
mod invalid_response;
mod look_up;
mod members_transfer;
mod metrics;
mod peer_silence;
mod peer_traffic;
mod pending_replies;
mod pipeline;
mod quarantine;
mod quarantine_store;
mod quota_admission;
mod quota_routes;
mod quotas;
mod recent_failures;
mod refresh;
mod registry;
mod relay;
mod request;
mod server;
mod settings;
mod shutdown;
mod start;
mod status;
mod store;
mod store_calls;
mod store_era;
mod store_fetch;
mod store_watch;
mod tunnel;
mod upstream_limits;
mod upstream_path;
mod upstream_request;
mod upstream_response;
mod upstream_signals;
mod upstream_stream;
mod utilization;
mod view_reports;
mod write_timeout;

pub use clock::Clock;
pub use context::{Context, Lifecycle};
pub use datagram::Datagram;
pub use dialect::Dialect;
pub use health::ColdNotice;
pub use look_up::DirectoryAnswer;
pub use quota_routes::QuotaRouteStatus;
pub use settings::{COORDINATOR_REPLY_TIMEOUT, EdgeAddresses, EdgeSettings, FleetBounds};
pub use start::{EdgeError, EdgeHandle, start};
pub use status::{BoxStatus, RetriesLeft, ViewStatus};
pub use store::{
    BoxRegistry, FleetSizeStore, FleetStore, LeaseId, OnReplyStart, QuarantineStore, Registration,
    StoreFailure, WatchReply,
};
