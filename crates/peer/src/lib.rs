//! Links between daemons: typed CBOR messages over WebSocket.
//!
//! A link is one TCP connection with a bounded queue each way. A message that
//! can't be read, or a queue that overflows, ends that link and nothing else.

mod codec;
mod link;
mod message;

pub use codec::{CodecError, decode, encode};
pub use link::{LinkEvent, LinkId, LinkLimits, LinkSender, dial, listen};
pub use message::{
    Heartbeat, Hello, LoanAsk, LoanGrant, LoanReturn, Message, NearReport, OriginShares,
    PROTOCOL_VERSION, ServiceHoldings, TicketAnswer, TicketQuestion, UpstreamLeaving, ZoneReport,
};
