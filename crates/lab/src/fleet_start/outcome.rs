//! What a replayed start showed.

use brasswinch_routing::SwimMessage;
use brasswinch_types::Millis;
use std::collections::BTreeMap;
use std::fmt;

/// Messages and bytes that one box sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages.
    pub messages: u64,
    /// Their encoded size, in bytes, without headers of the network.
    pub bytes: u64,
}

/// What a replayed start showed.
#[derive(Clone, Debug, Default)]
pub struct StartOutcome {
    /// When each box first knew all others, in any state, in milliseconds after the last one
    /// started; absent if it never did.
    pub known_ms: Vec<Option<Millis>>,
    /// When each box first knew that all others serve, in milliseconds after the last one started; absent
    /// if it never did.
    pub complete_ms: Vec<Option<Millis>>,
    /// What each box sent until the end of the start.
    pub start: Vec<Traffic>,
    /// What each box sent in the 5 s after that.
    pub steady: Vec<Traffic>,
    /// What all boxes sent, by kind of message.
    pub by_kind: BTreeMap<&'static str, Traffic>,
    /// Processor time of all boxes together in the replay, in milliseconds.
    pub processor_ms: u64,
}

impl StartOutcome {
    /// Returns when the last box knew all others in any state; `None` if one never did.
    pub fn all_known_ms(&self) -> Option<Millis> {
        let each: Option<Vec<Millis>> = self.known_ms.iter().copied().collect();
        each?.into_iter().max()
    }

    /// Counts a message of `bytes` from box `from`.
    pub(super) fn count(&mut self, from: usize, kind: &'static str, bytes: usize, is_start: bool) {
        let phase = if is_start {
            &mut self.start
        } else {
            &mut self.steady
        };
        for traffic in [&mut phase[from], self.by_kind.entry(kind).or_default()] {
            traffic.messages += 1;
            traffic.bytes += bytes as u64;
        }
    }
}

/// Returns the name of a message's kind.
pub(super) fn kind_of(message: &SwimMessage) -> &'static str {
    match message {
        SwimMessage::Ping { .. } => "ping",
        SwimMessage::Ack { .. } => "ack",
        SwimMessage::PingRequest { .. } => "ping-request",
        SwimMessage::Sync { .. } => "sync",
        SwimMessage::Known { .. } => "known",
    }
}

/// The middle and the largest of some figures.
fn middle_and_most(figures: impl Iterator<Item = u64>) -> (u64, u64) {
    let mut figures: Vec<u64> = figures.collect();
    figures.sort_unstable();
    let middle = figures.get(figures.len() / 2).copied();
    (
        middle.unwrap_or_default(),
        figures.last().copied().unwrap_or_default(),
    )
}

impl fmt::Display for StartOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (what, times) in [("all", &self.known_ms), ("all serving", &self.complete_ms)] {
            let (middle, most) = middle_and_most(times.iter().flatten().copied());
            let boxes = times.iter().flatten().count();
            writeln!(
                f,
                "  knew {what}: {boxes} boxes, {middle} / {most} ms after the last start"
            )?;
        }
        for (name, phase) in [("start", &self.start), ("5 s after it", &self.steady)] {
            let (messages, most_messages) = middle_and_most(phase.iter().map(|t| t.messages));
            let (bytes, most_bytes) = middle_and_most(phase.iter().map(|t| t.bytes));
            writeln!(
                f,
                "  {name}, sent by a box: {messages} / {most_messages} messages, {bytes} / {most_bytes} bytes"
            )?;
        }
        for (kind, traffic) in &self.by_kind {
            writeln!(
                f,
                "  {kind}: {} messages, {} bytes",
                traffic.messages, traffic.bytes
            )?;
        }
        write!(
            f,
            "  processor: {} ms of all boxes together",
            self.processor_ms
        )
    }
}
