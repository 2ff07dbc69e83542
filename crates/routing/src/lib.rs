//! All routing decisions as pure code without I/O: the current time is an argument.
//!
//! A request is matched to a route by host and path. The route names services, a service has
//! upstreams, and each upstream is in a zone of a region. Data about them arrives as
//! [`Change`]s with revisions, in any order and from any source.

mod change;
mod cold_pacing;
mod config;
mod config_check;
mod config_gaps;
mod config_patch;
mod demand;
mod fair_queue;
mod fleet_size;
mod fleet_state;
mod health_probers;
mod look_up;
mod moving_average;
mod peer_selector;
mod placement;
mod quarantine;
mod quota;
mod refusals;
mod region_plan;
mod rendezvous;
mod request_digest;
mod retry_budget;
mod route_table;
mod split;
mod stop_schedule;
mod store_probing;
mod swim;
mod token_bucket;
mod tunnel_peers;
mod update_pacing;
mod upstream;
mod upstream_limits;
mod upstream_load;
mod upstream_reach;
mod view_limits;
mod watchers;
mod workspace;

pub use change::{Change, ChangeKey, Revised, Revision, Scope, Snapshot, StoreEra};
pub use cold_pacing::ColdPacing;
pub use config::{
    Backend, ClientLimits, ConfigError, ConfigVersion, MAX_TIME_S, Route, RouteKind, ServiceConfig,
    SteeringConfig,
};
pub use config_gaps::{ConfigGaps, ConfigProblem, ProblemEffect};
pub use config_patch::{ConfigFingerprint, ConfigPatch, RouteKey};
pub use demand::{AveragedDemand, DemandSample};
pub use fair_queue::{FairQueue, MIN_CLASS_WEIGHT, class_weight};
pub use fleet_size::{FleetSize, KnownSize, SIZE_RETENTION_MS};
pub use fleet_state::{CatchUp, FleetState, LostEntry, PatchMismatch, Watermark};
pub use health_probers::{HealthProber, HealthProbers};
pub use look_up::{BoxResources, CandidateBox, MAX_LISTED_BOXES, Selection, select_boxes};
pub use moving_average::MovingAverage;
pub use peer_selector::{Candidate, Distance, PeerSelector};
pub use placement::{
    Advice, AdviceQuery, AdvisedHome, Basis, Choice, CompletionReport, CountedShare, FairShares,
    Home, HomeState, MAX_COUNTED_WORKSPACES, Placement, PlacementSettings, PlacementUpdate,
    Refusal, RetainedUpstream, ServiceStatus, UpstreamOutcome, UpstreamRequest,
};
pub use quarantine::{
    CrashReport, Quarantine, QuarantineBox, QuarantineChange, QuarantineEvent, QuarantineStatus,
    ReportError, ReportedCrash, Suspect, UpstreamCrash, Verdict,
};
pub use quota::{
    Admission, QueuedGrant, QueuedReply, QuotaBounds, QuotaBox, QuotaClass, QuotaClassStatus,
    QuotaCount, QuotaLoan, QuotaReply, QuotaStatus, Quotas, ToCoordinator, UndecidedGrant,
};
pub use region_plan::{RegionCapacity, RegionPlan};
pub use rendezvous::{object_hash, weighted_score};
pub use request_digest::{RequestDigest, RequestIdentity, RequestShape};
pub use retry_budget::{RetryBudget, RetryBudgetSettings, RetryCounts};
pub use route_table::RouteTable;
pub use split::WeightedSplit;
pub use stop_schedule::{ExpectedTime, StopSchedule};
pub use store_probing::StoreProbing;
pub use swim::{
    KnownView, Liveness, Member, MemberRecord, MemberState, MembersDigest, MembersReply,
    MembersRequest, NeededTransfer, Outgoing, Swim, SwimMessage, SwimSettings,
};
pub use tunnel_peers::{TunnelEnds, TunnelPeer, select_tunnel_peer};
pub use update_pacing::UpdatePacing;
pub use upstream::{UpstreamIncarnation, UpstreamRecord, UpstreamStart, UpstreamState};
pub use upstream_limits::{
    LimitAdmission, LimitBox, LimitChange, LimitQuery, LimitRefusal, LimitReply, LimitStatus,
    LimitUpdate, ObservedLimit, ToLimitCoordinator, UpstreamLimit, UpstreamLimits,
};
pub use upstream_load::{LoadReport, ParsedLoadReport, UpstreamLoad};
pub use upstream_reach::{
    CHECK_INTERVAL_MS, CheckCandidate, UpstreamPath, UpstreamReach, draw_sample,
};
pub use view_limits::ViewLimits;
pub use watchers::{StoreDuty, Watchers};
pub use workspace::{
    KeyDigest, KeyTable, KnownWorkspace, QuotaLimit, Rank, RegionLimits, WorkspaceConfig,
};
