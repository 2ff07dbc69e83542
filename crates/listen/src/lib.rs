//! Closes listeners and connections without cutting off a client.
//!
//! Connections: a [`ClientStream`] is served by an HTTP library, and its [`ClosingSocket`] closes
//! it when the library is done.
//!
//! Listeners ([`close`]):
//!
//! Linux resets every connection that waits in a listener's queue when the listener is
//! closed, and its client can't tell whether its request ran. So nothing may be left in
//! the queue, and nothing may come up between the last look at it and the close:
//!
//! * New handshakes are turned away first, by a filter on the listener that drops their
//!   first packet. The client's system asks again after a second, and is refused by then.
//! * Handshakes under way get a short time to end.
//! * The queue is emptied by asking the system, not the runtime: the runtime knows of a
//!   connection only when it next collects events, which a busy thread delays without
//!   bound. The listener is closed in the same step as the look that found nothing.

mod client_stream;
mod linger;
mod turn_away;
mod unacknowledged;

pub use client_stream::{ClientStream, ClosingSocket, ServiceEnd};
pub use linger::{ConnectionClose, LingerEnd, Lingered};

use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream as SystemStream};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use turn_away::turn_away_new;

/// Time that handshakes under way get to end: round trips within a region take a few
/// milliseconds at most. Clients that begin one in this time are refused a second later.
const HANDSHAKES: Duration = Duration::from_millis(10);

/// Most connections that are taken in one go. Linux lets no queue grow longer unless
/// told to (`net.core.somaxconn`). A count and not a time, since a machine that is slow
/// would run out of time with connections left.
const MOST_QUEUED: usize = 4_096;

/// Most accepts that may fail before the queue is given up.
const MOST_FAILURES: usize = 10;

/// Pause after an accept that failed: a full table of files needs others to end.
const FAILURE_PAUSE: Duration = Duration::from_millis(20);

/// Hands every connection that has come up, or is about to, to `take`, and closes the
/// listener.
///
/// What can still be cut: a connection whose handshake takes longer than
/// [`HANDSHAKES`], one that found the queue full, and, where the system has no filters
/// for sockets, one that comes up within the microseconds between the last look and the
/// close.
pub async fn close(listener: TcpListener, mut take: impl FnMut(TcpStream, SocketAddr)) {
    // Without the filter the last look at the queue still comes right before the close.
    let _ = turn_away_new(&listener);
    take_queued(&listener, &mut take).await;
    sleep(HANDSHAKES).await;
    take_queued(&listener, &mut take).await;
}

/// Empties the queue. After the look that finds it empty it returns without giving way.
async fn take_queued(listener: &TcpListener, take: &mut impl FnMut(TcpStream, SocketAddr)) {
    let mut failures = 0;
    for _ in 0..MOST_QUEUED {
        match accept_now(listener) {
            Ok((stream, peer)) => take(stream, peer),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return,
            Err(_) if failures >= MOST_FAILURES => return,
            Err(_) => {
                failures += 1;
                sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

/// Accepts what the system has queued, whether or not the runtime has heard of it.
fn accept_now(listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
    let (socket, peer) = SockRef::from(listener).accept()?;
    let peer = peer.as_socket().ok_or(ErrorKind::InvalidData)?;
    socket.set_nonblocking(true)?;
    let stream = TcpStream::from_std(SystemStream::from(socket))?;
    Ok((stream, peer))
}
