//! A modelled network between boxes: messages with a delay, delivered in the order of time.

use brasswinch_routing::{MembersReply, MembersRequest, SwimMessage};
use brasswinch_types::Millis;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

/// One way within a region, in milliseconds.
const NEAR_MS: Millis = 1;

/// One way between regions, in milliseconds.
const FAR_MS: Millis = 12;

/// Port of the first box; the others follow in their order.
const FIRST_PORT: u16 = 1_000;

/// Something that happens to a box.
#[derive(Debug)]
pub(super) enum Happening {
    /// The process starts.
    Start,
    /// The protocol's timer fires.
    Tick,
    /// The box starts to serve requests.
    Serve,
    /// A datagram arrives.
    Datagram {
        /// The sender.
        from: usize,
        /// What it sent.
        message: Box<SwimMessage>,
    },
    /// Another box asks for members over a connection.
    TransferRequest {
        /// The asking box.
        from: usize,
        /// What it asks for.
        request: MembersRequest,
    },
    /// A transfer that this box sends has ended.
    TransferSent,
    /// The reply to this box's request arrives; `None` if the other box was busy.
    TransferReply(Option<MembersReply>),
}

/// A happening at its time.
#[derive(Debug)]
struct Scheduled {
    at: Millis,
    /// Keeps happenings of the same time in the order in which they were scheduled.
    number: u64,
    to: usize,
    happening: Happening,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// All that is still to happen.
#[derive(Debug, Default)]
pub(super) struct Network {
    queue: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
}

impl Network {
    /// Schedules `happening` at the box `to`.
    pub(super) fn schedule(&mut self, at: Millis, to: usize, happening: Happening) {
        self.scheduled += 1;
        self.queue.push(Reverse(Scheduled {
            at,
            number: self.scheduled,
            to,
            happening,
        }));
    }

    /// Returns what happens next, until `end`: its time, its box and what it is.
    pub(super) fn next(&mut self, end: Millis) -> Option<(Millis, usize, Happening)> {
        let Reverse(next) = self.queue.pop()?;
        (next.at <= end).then_some((next.at, next.to, next.happening))
    }
}

/// Returns the time of one way between two boxes, in milliseconds.
pub(super) fn delay_ms(from: usize, to: usize) -> Millis {
    if region_of(from) == region_of(to) {
        NEAR_MS
    } else {
        FAR_MS
    }
}

/// Returns the number of a box's region.
pub(super) fn region_of(number: usize) -> usize {
    number % super::play::REGIONS
}

/// Returns the address of a box.
pub(super) fn address_of(number: usize) -> SocketAddr {
    ([10, 0, 0, 1], FIRST_PORT + number as u16).into()
}

/// Returns the box with an address.
pub(super) fn box_at(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_PORT)
}
