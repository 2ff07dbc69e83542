//! Closes a connection while its client may still send.
//!
//! Linux resets a connection that is closed with unread bytes, or that gets bytes after its close,
//! and drops what its client has not acknowledged. A response that a slow client is still reading
//! would be lost that way. So the sending side ends first (RFC 9112, 9.6), and the socket stays
//! open until the client ends its side or has acknowledged everything. It holds no buffers.

use crate::client_stream::ServiceEnd;
use crate::unacknowledged::unacknowledged_bytes;
use socket2::SockRef;
use std::fmt;
use std::io::{self, ErrorKind};
use std::net::Shutdown;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Interval at which the system is asked what has been acknowledged.
const ACKNOWLEDGED_POLL: Duration = Duration::from_millis(250);

/// Once everything is acknowledged, how long nothing must arrive before the connection is closed
/// without waiting for the client's end.
const QUIET_BEFORE_CLOSE: Duration = Duration::from_secs(1);

/// Once everything is acknowledged, how long a client that goes on sending holds the connection.
const MAX_AFTER_ACKNOWLEDGED: Duration = Duration::from_secs(10);

/// Bytes that are discarded in one read.
const DISCARD_BYTES: usize = 8 * 1024;

/// Maximum reads before other tasks get their turn.
const MAX_READS_PER_TURN: usize = 8;

/// How a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionClose {
    /// Without waiting: nothing that was sent was still under way.
    AtOnce,
    /// After a wait for the client.
    Lingered(Lingered),
}

/// A connection that stayed open after its sending side had ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lingered {
    /// Why it ended.
    pub end: LingerEnd,
    /// For how long it stayed open.
    pub took: Duration,
    /// Bytes that the client had not acknowledged in the end; `None` if the system doesn't report them.
    pub unacknowledged_bytes: Option<usize>,
}

impl Lingered {
    /// Returns whether the connection was closed while its client lacked bytes. The system goes on
    /// sending to a client that has ended its own side.
    pub fn may_lack_bytes(&self) -> bool {
        let is_cut = matches!(self.end, LingerEnd::Stalled | LingerEnd::Failed);
        is_cut && self.unacknowledged_bytes != Some(0)
    }
}

impl fmt::Display for Lingered {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (end, ms) = (self.end.name(), self.took.as_millis());
        match self.unacknowledged_bytes {
            Some(bytes) => write!(f, "end={end} ms={ms} unacknowledged_bytes={bytes}"),
            None => write!(f, "end={end} ms={ms} unacknowledged_bytes=unknown"),
        }
    }
}

/// Why a connection stayed open no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LingerEnd {
    /// The client ended its side.
    ClientClosed,
    /// The client has acknowledged everything, but didn't end its side.
    Acknowledged,
    /// The client acknowledged nothing for too long.
    Stalled,
    /// The connection failed.
    Failed,
}

impl LingerEnd {
    /// All ends.
    pub const ALL: [Self; 4] = [
        Self::ClientClosed,
        Self::Acknowledged,
        Self::Stalled,
        Self::Failed,
    ];

    /// Returns the end's name in metrics and logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::ClientClosed => "client_closed",
            Self::Acknowledged => "acknowledged",
            Self::Stalled => "stalled",
            Self::Failed => "failed",
        }
    }
}

/// Closes a connection; see [`ClosingSocket::close`](crate::ClosingSocket::close).
pub(crate) async fn close_stream(
    stream: TcpStream,
    end: ServiceEnd,
    max_stall: Duration,
) -> ConnectionClose {
    let began = Instant::now();
    let end = match end {
        ServiceEnd::BetweenRequests if unacknowledged_bytes(&stream).unwrap_or(0) == 0 => {
            return ConnectionClose::AtOnce;
        }
        ServiceEnd::ClientStalled => LingerEnd::Stalled,
        ServiceEnd::BetweenRequests | ServiceEnd::AfterResponse => {
            // Fails on a connection that has ended, which the next read reports.
            let _ = SockRef::from(&stream).shutdown(Shutdown::Write);
            linger(&stream, max_stall).await
        }
    };
    ConnectionClose::Lingered(Lingered {
        end,
        took: began.elapsed(),
        unacknowledged_bytes: unacknowledged_bytes(&stream),
    })
}

async fn linger(stream: &TcpStream, max_stall: Duration) -> LingerEnd {
    let mut progress = Progress::new(Instant::now(), max_stall);
    loop {
        let waited = timeout(ACKNOWLEDGED_POLL, stream.readable()).await;
        let now = Instant::now();
        match waited {
            Ok(Err(_)) => return LingerEnd::Failed,
            Ok(Ok(())) => match discard(stream) {
                Ok(Discarded::End) => return LingerEnd::ClientClosed,
                Ok(Discarded::Bytes) => progress.received_at = now,
                Ok(Discarded::Nothing) => {}
                Err(_) => return LingerEnd::Failed,
            },
            Err(_) => {}
        }
        if let Some(end) = progress.update(now, || unacknowledged_bytes(stream)) {
            return end;
        }
    }
}

/// What a client still does on a connection that lingers.
struct Progress {
    max_stall: Duration,
    received_at: Instant,
    asked_at: Instant,
    /// When the client last acknowledged something.
    advanced_at: Instant,
    /// Bytes not acknowledged when the system was last asked.
    unacknowledged: Option<usize>,
}

impl Progress {
    fn new(now: Instant, max_stall: Duration) -> Self {
        Self {
            max_stall,
            received_at: now,
            asked_at: now,
            advanced_at: now,
            unacknowledged: None,
        }
    }

    /// Returns why the connection need not stay open any longer; `None` while it must.
    fn update(
        &mut self,
        now: Instant,
        unacknowledged: impl FnOnce() -> Option<usize>,
    ) -> Option<LingerEnd> {
        if now - self.asked_at < ACKNOWLEDGED_POLL {
            return None;
        }
        self.asked_at = now;
        let before = std::mem::replace(&mut self.unacknowledged, unacknowledged());
        let has_advanced = match (self.unacknowledged, before) {
            (Some(left), Some(before)) => left < before,
            (left, _) => left.is_some(),
        };
        if has_advanced {
            self.advanced_at = now;
        }
        let since_advance = now - self.advanced_at;
        if self.unacknowledged == Some(0) {
            let is_quiet = now - self.received_at.max(self.advanced_at) >= QUIET_BEFORE_CLOSE;
            return (is_quiet || since_advance >= MAX_AFTER_ACKNOWLEDGED)
                .then_some(LingerEnd::Acknowledged);
        }
        (since_advance >= self.max_stall).then_some(LingerEnd::Stalled)
    }
}

/// What a read found.
enum Discarded {
    Bytes,
    Nothing,
    End,
}

/// Reads and drops what has arrived.
fn discard(stream: &TcpStream) -> io::Result<Discarded> {
    let mut space = [0; DISCARD_BYTES];
    for turn in 0..MAX_READS_PER_TURN {
        match stream.try_read(&mut space) {
            Ok(0) => return Ok(Discarded::End),
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock && turn == 0 => {
                return Ok(Discarded::Nothing);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(Discarded::Bytes),
            Err(error) => return Err(error),
        }
    }
    Ok(Discarded::Bytes)
}
