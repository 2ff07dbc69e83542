//! Partitions of the loopback network: sockets of a stand-in lose the packets of some addresses.
//!
//! The kernel drops them before TCP sees them, so a connection attempt hangs, and sent bytes stay
//! unacknowledged, as behind a real partition. It needs no privilege.

use socket2::{SockFilter, SockRef};
use std::io;
use std::net::{IpAddr, Ipv4Addr};
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;
use tokio::sync::watch;

/// Loads a 32-bit word of the packet (`BPF_LD | BPF_W | BPF_ABS`).
const LOAD_WORD: u16 = 0x20;

/// Jumps if the loaded word equals the operand (`BPF_JMP | BPF_JEQ | BPF_K`).
const JUMP_IF_EQUAL: u16 = 0x15;

/// Ends the program; the operand is how many bytes of the packet are kept (`BPF_RET | BPF_K`).
const RETURN: u16 = 0x06;

/// Offset of the source address from the start of the IP header (`SKF_NET_OFF + 12`).
const SOURCE_ADDRESS: u32 = 0xfff0_0000 + 12;

/// What a partition does to connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionKind {
    /// Open connections and attempts to open one hang.
    Silent,
    /// Open connections are reset; attempts to open one hang.
    Reset,
    /// Open connections live on; new ones are reset at once.
    RefuseNew,
}

/// Addresses that are partitioned from a stand-in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Partition {
    sources: Vec<Ipv4Addr>,
    kind: Option<PartitionKind>,
}

impl Partition {
    /// Partitions `sources`.
    pub fn new(kind: PartitionKind, sources: Vec<Ipv4Addr>) -> Self {
        Self {
            sources,
            kind: Some(kind),
        }
    }

    /// Returns what happens to connections of `source`; `None` if it isn't partitioned.
    pub fn kind_for(&self, source: IpAddr) -> Option<PartitionKind> {
        let is_source = |known: &Ipv4Addr| IpAddr::V4(*known) == source;
        self.kind.filter(|_| self.sources.iter().any(is_source))
    }

    /// Applies the partition to a listener.
    ///
    /// # Errors
    ///
    /// Fails if the kernel takes no filter.
    pub fn apply_to_listener(&self, listener: &impl AsFd) -> io::Result<()> {
        match self.kind {
            Some(PartitionKind::Silent | PartitionKind::Reset) => {
                drop_packets_from(listener, &self.sources)
            }
            Some(PartitionKind::RefuseNew) | None => drop_packets_from(listener, &[]),
        }
    }

    /// Applies the partition to an open connection of `source`. Returns whether it lives on.
    ///
    /// # Errors
    ///
    /// Fails if the kernel takes no filter.
    pub fn apply_to_connection(&self, connection: &impl AsFd, source: IpAddr) -> io::Result<bool> {
        match self.kind_for(source) {
            Some(PartitionKind::Silent) => drop_packets_from(connection, &self.sources)?,
            Some(PartitionKind::Reset) => {
                reset_on_close(connection)?;
                return Ok(false);
            }
            // A new connection inherits the filter of its listener.
            Some(PartitionKind::RefuseNew) | None => drop_packets_from(connection, &[])?,
        }
        Ok(true)
    }
}

/// Applies partitions to an open connection of `source` as they change; returns when one resets it.
pub async fn apply_to_connection(
    mut partitions: watch::Receiver<Partition>,
    connection: OwnedFd,
    source: IpAddr,
) {
    while partitions.changed().await.is_ok() {
        let partition = partitions.borrow_and_update().clone();
        if !matches!(partition.apply_to_connection(&connection, source), Ok(true)) {
            return;
        }
    }
}

/// Makes the close of a connection a reset.
///
/// # Errors
///
/// Fails if the socket takes no options.
pub fn reset_on_close(connection: &impl AsFd) -> io::Result<()> {
    SockRef::from(connection).set_linger(Some(Duration::ZERO))
}

fn drop_packets_from(socket: &impl AsFd, sources: &[Ipv4Addr]) -> io::Result<()> {
    let mut program = vec![SockFilter::new(LOAD_WORD, 0, 0, SOURCE_ADDRESS)];
    for source in sources {
        // A match goes on to the next instruction, which drops the packet.
        program.push(SockFilter::new(JUMP_IF_EQUAL, 0, 1, u32::from(*source)));
        program.push(SockFilter::new(RETURN, 0, 0, 0));
    }
    program.push(SockFilter::new(RETURN, 0, 0, u32::MAX));
    SockRef::from(socket).attach_filter(&program)
}
