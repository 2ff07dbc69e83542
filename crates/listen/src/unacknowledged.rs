//! Queries the length of a socket's send queue.

use tokio::net::TcpStream;

/// Returns how many bytes the client's system has not acknowledged, the end of the stream
/// included; `None` if the system doesn't report it.
#[cfg(target_os = "linux")]
pub(crate) fn unacknowledged_bytes(stream: &TcpStream) -> Option<usize> {
    let bytes = linux::send_queue_bytes(stream).ok()?;
    usize::try_from(bytes).ok()
}

/// Not available on this system.
#[cfg(not(target_os = "linux"))]
pub(crate) fn unacknowledged_bytes(_: &TcpStream) -> Option<usize> {
    None
}

#[cfg(target_os = "linux")]
mod linux {
    use rustix::ioctl::{Getter, Opcode, ioctl};
    use std::ffi::c_int;
    use tokio::net::TcpStream;

    /// `SIOCOUTQ`, from linux/sockios.h.
    const SEND_QUEUE: Opcode = 0x5411;

    #[allow(unsafe_code)]
    pub(super) fn send_queue_bytes(stream: &TcpStream) -> rustix::io::Result<c_int> {
        // SAFETY: the call writes one `int` (tcp(7)), which the getter provides.
        unsafe { ioctl(stream, Getter::<SEND_QUEUE, c_int>::new()) }
    }
}
