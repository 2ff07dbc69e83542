//! Makes the kernel close a connection whose peer has fallen silent. A machine that lost power closes
//! no connection.
//!
//! The kernel's timeout (`TCP_USER_TIMEOUT`) runs while sent bytes are unacknowledged, and also
//! while the peer acknowledges all of them and takes no more, because its program doesn't read. The
//! two look alike, so the timeout is short only while few bytes are on their way: these fit into the
//! buffers of any peer that is alive.

use socket2::{SockRef, TcpKeepalive};
use std::os::fd::AsFd;
use std::time::Duration;

/// Timeout while few bytes have been sent without a reply.
const SHORT_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout while more bytes have been sent without a reply: the longest pause of a peer that reads
/// slowly. Requests end earlier, at their deadline.
const LONG_TIMEOUT: Duration = Duration::from_secs(30);

/// Bytes without a reply that a peer takes though its program doesn't read: half of the smallest
/// window that systems commonly begin with.
const MAX_UNREAD_BYTES: usize = 32 * 1024;

/// Idle time after which the kernel sends keepalive probes, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unacknowledged probes after which the kernel closes a connection.
const MAX_KEEPALIVE_PROBES: u32 = 2;

/// Detects that the peer of one connection is silent.
#[derive(Debug, Default)]
pub(crate) struct PeerSilence {
    /// Bytes sent since the last reply.
    unanswered_bytes: usize,
    has_long_timeout: bool,
}

impl PeerSilence {
    /// Begins to detect silence on a socket.
    ///
    /// # Errors
    ///
    /// Fails if the socket takes no options.
    pub(crate) fn detect(socket: &impl AsFd) -> std::io::Result<Self> {
        let options = SockRef::from(socket);
        options.set_tcp_user_timeout(Some(SHORT_TIMEOUT))?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(MAX_KEEPALIVE_PROBES);
        options.set_tcp_keepalive(&keepalive)?;
        Ok(Self::default())
    }

    /// Records that bytes have arrived.
    pub(crate) fn received(&mut self) {
        self.unanswered_bytes = 0;
    }

    /// Records that bytes were written to the socket, and adapts its timeout.
    pub(crate) fn sent(&mut self, socket: &impl AsFd, bytes: usize) {
        self.unanswered_bytes = self.unanswered_bytes.saturating_add(bytes);
        let needs_long_timeout = self.unanswered_bytes > MAX_UNREAD_BYTES;
        if needs_long_timeout == self.has_long_timeout {
            return;
        }
        let timeout = if needs_long_timeout {
            LONG_TIMEOUT
        } else {
            SHORT_TIMEOUT
        };
        let set = SockRef::from(socket).set_tcp_user_timeout(Some(timeout));
        // It fails only if the connection has failed, which the next call on it reports.
        if set.is_ok() {
            self.has_long_timeout = needs_long_timeout;
        }
    }
}
