//! The messages that daemons exchange.

use brasswinch_decide::config_keeper::HeldVersion;
use brasswinch_decide::load_reports::ServiceLoad;
use brasswinch_decide::members::BoxRecord;
use brasswinch_decide::shift::Shares;
use brasswinch_decide::slots::Loan;
use brasswinch_types::{
    BoxId, ConfigEntry, ConfigKey, Incarnation, Millis, Region, ServiceKey, UnitTable, UpstreamId,
    Zone,
};
use serde::{Deserialize, Serialize};

/// Version of the messages; a peer that speaks another is not linked to.
pub const PROTOCOL_VERSION: u16 = 1;

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The first message of each side.
    Hello(Hello),
    /// Still here; carries what changes all the time.
    Heartbeat(Heartbeat),
    /// Records of boxes that are new to the sender.
    Records(Vec<BoxRecord>),
    /// Which configuration the sender holds; asks for what it lacks.
    ConfigHeld(Vec<HeldVersion>),
    /// Versions that are new at the sender; who lacks them asks for them.
    ConfigNews(Vec<HeldVersion>),
    /// Asks for entries that the receiver announced.
    ConfigWanted(Vec<ConfigKey>),
    /// Configuration entries.
    Config(Vec<ConfigEntry>),
    /// The unit table of the sender's zone.
    Units(UnitTable),
    /// Asks for slots of one service.
    LoanAsk(LoanAsk),
    /// Answers a `LoanAsk`; may be empty.
    LoanGrant(LoanGrant),
    /// Hands a borrowed slot back.
    LoanReturn(LoanReturn),
    /// Asks what the receiver uses on loan from an earlier run of the sender.
    HoldingsAsk,
    /// Answers a `HoldingsAsk`.
    Holdings(Vec<ServiceHoldings>),
    /// Asks which shares the receiver steers by.
    SharesAsk,
    /// Answers a `SharesAsk`.
    Shares(Vec<OriginShares>),
    /// Asks the receiver to void a ticket that names it.
    TicketQuestion(TicketQuestion),
    /// Answers a `TicketQuestion`.
    TicketAnswer(TicketAnswer),
}

/// Who the sender is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub version: u16,
    /// The sender's record.
    pub record: BoxRecord,
    /// The first heartbeat is due within this time, in milliseconds.
    pub interval_ms: Millis,
}

/// Still here. Sent so often that its fields have short names on links.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's run.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// The next heartbeat is due within this time, in milliseconds.
    #[serde(rename = "n")]
    pub interval_ms: Millis,
    /// Digest of the configuration in force at the sender.
    #[serde(rename = "d")]
    pub config_digest: u64,
    /// What only neighbours need.
    #[serde(rename = "r")]
    pub near: Option<NearReport>,
    /// What the sender knows of zones that it speaks for: of its own to other zones,
    /// of those it covers to its neighbours.
    #[serde(rename = "z")]
    pub zones: Vec<ZoneReport>,
}

/// What boxes of one zone tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NearReport {
    /// Version of the sender's unit table.
    #[serde(rename = "u")]
    pub units_version: u64,
    /// Loads of the sender that changed.
    #[serde(rename = "l")]
    pub loads: Vec<ServiceLoad>,
    /// Upstreams that said they are leaving.
    #[serde(rename = "g")]
    pub leaving: Vec<UpstreamLeaving>,
}

/// What is known of one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// The zone.
    #[serde(rename = "z")]
    pub zone: Zone,
    /// Boxes of the zone that are known but not heard there.
    #[serde(rename = "s")]
    pub silent: Vec<BoxId>,
    /// The zone's load by service, where it changed.
    #[serde(rename = "l")]
    pub loads: Vec<ServiceLoad>,
}

/// An upstream's own word that it is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLeaving {
    /// The service.
    pub service: ServiceKey,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Sequence of the report that said so.
    pub sequence: u64,
}

/// Asks for slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanAsk {
    /// The service.
    pub service: ServiceKey,
    /// How many.
    pub want: u32,
    /// The asker's clock; comes back in the grant.
    pub asked_at: Millis,
    /// The asker's run; a grant to an earlier run is void.
    pub incarnation: Incarnation,
}

/// Grants slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanGrant {
    /// The service.
    pub service: ServiceKey,
    /// The slots lent.
    pub loans: Vec<Loan>,
    /// The asker's clock, from the request.
    pub asked_at: Millis,
    /// The asker's run, from the request.
    pub incarnation: Incarnation,
    /// The lender's run; a grant of an earlier run that arrives late is void.
    pub lender_incarnation: Incarnation,
}

/// Hands a slot back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReturn {
    /// The service.
    pub service: ServiceKey,
    /// The slot and the loan it was on.
    pub loan: Loan,
}

/// Slots of one service in use on loan from the asker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceHoldings {
    /// The service.
    pub service: ServiceKey,
    /// The slots.
    pub slots: Vec<u32>,
}

/// Shares in use for one service and origin.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OriginShares {
    /// The service.
    pub service: ServiceKey,
    /// The callers' region.
    pub origin: Region,
    /// The shares.
    pub shares: Shares,
}

/// Asks to void a ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketQuestion {
    /// Matches the answer to the question.
    pub question: u64,
    /// The sealed ticket.
    pub ticket: String,
}

/// Says whether the ticket was voided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketAnswer {
    /// From the question.
    pub question: u64,
    /// The ticket has not run here and never will.
    pub voided: bool,
}
