//! Turns new handshakes away while those under way go on.

use std::io;
use tokio::net::TcpListener;

/// From now on the system drops the first packet of each new handshake, as if it had
/// been lost. No right is needed for it, and the filter ends with the listener.
#[cfg(target_os = "linux")]
pub(crate) fn turn_away_new(listener: &TcpListener) -> io::Result<()> {
    socket2::SockRef::from(listener).attach_filter(&linux::DROP_FIRST_PACKETS)
}

/// Says that this system has no filters for sockets.
#[cfg(not(target_os = "linux"))]
pub(crate) fn turn_away_new(_: &TcpListener) -> io::Result<()> {
    Err(io::ErrorKind::Unsupported.into())
}

#[cfg(target_os = "linux")]
mod linux {
    use socket2::SockFilter;

    // Codes of classic packet filters, from linux/bpf_common.h.
    /// Loads a byte of the packet: `BPF_LD | BPF_B | BPF_ABS`.
    const LOAD_BYTE: u16 = 0x30;
    /// Keeps some bits of what was loaded: `BPF_ALU | BPF_AND | BPF_K`.
    const KEEP_BITS: u16 = 0x54;
    /// Goes on at one of two places: `BPF_JMP | BPF_JEQ | BPF_K`.
    const JUMP_IF_EQUAL: u16 = 0x15;
    /// Ends with the number of bytes of the packet that are kept: `BPF_RET | BPF_K`.
    const RETURN: u16 = 0x06;

    /// Where a TCP header has its flags, in bytes; packets begin with it (RFC 9293, 3.1).
    const FLAGS: u32 = 13;
    /// The flag of a handshake's packets.
    const SYN: u32 = 0x02;
    /// The flag of all packets but a handshake's first.
    const ACK: u32 = 0x10;

    /// Keeps the whole packet.
    const ALL: u32 = u32::MAX;
    /// Drops the packet.
    const NOTHING: u32 = 0;

    /// Drops packets with SYN and without ACK.
    pub(super) const DROP_FIRST_PACKETS: [SockFilter; 5] = [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS),
        SockFilter::new(KEEP_BITS, 0, 0, SYN | ACK),
        SockFilter::new(JUMP_IF_EQUAL, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, NOTHING),
        SockFilter::new(RETURN, 0, 0, ALL),
    ];
}
