//! Simulated peers: links that use the real protocol and count bytes.

use super::scale::Scale;
use brasswinch_decide::load_reports::{LoadReporter, ServiceLoad};
use brasswinch_decide::members::{BoxRecord, BoxState};
use brasswinch_peer::{
    Heartbeat, Hello, LinkEvent, LinkLimits, Message, NearReport, PROTOCOL_VERSION, ZoneReport,
    dial, encode,
};
use brasswinch_types::{BoxId, Incarnation, Region, ServiceKey, Zone};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Bytes that a WebSocket frame and a TCP segment add to a message.
const FRAME_BYTES: u64 = 8 + 52;

const LIMITS: LinkLimits = LinkLimits {
    queue_messages: 1_024,
    message_bytes: 16 * 1024 * 1024,
};

/// Traffic between the daemon and its simulated peers.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    bytes: AtomicU64,
}

impl Traffic {
    /// Bytes both ways so far.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    fn count(&self, message: &Message) {
        let length = encode(message).map_or(0, |bytes| bytes.len() as u64);
        self.bytes
            .fetch_add(length + FRAME_BYTES, Ordering::Relaxed);
    }
}

/// The record of a simulated box.
pub(super) fn record(scale: &Scale, zone: usize, index: usize) -> BoxRecord {
    BoxRecord {
        id: BoxId::new(format!("box-{zone}-{index}")),
        incarnation: Incarnation(1),
        sequence: 1,
        zone: Zone::new(scale.zone_name(zone)),
        region: Region::new(scale.region_name(zone)),
        caller_address: ([127, 0, 0, 1], 9).into(),
        peer_address: ([127, 0, 0, 1], 9).into(),
        state: BoxState::Serving,
    }
}

/// A simulated peer.
pub(super) struct MadeUpPeer {
    pub(super) scale: Scale,
    pub(super) zone: usize,
    pub(super) index: usize,
    /// Time between its heartbeats.
    pub(super) interval: Duration,
    /// Zones it covers for the daemon, if it is a neighbour.
    pub(super) covers: Vec<usize>,
    /// Records that it sends at the start, besides its own.
    pub(super) records: Vec<BoxRecord>,
}

impl MadeUpPeer {
    /// Links to the daemon and sends heartbeats until dropped.
    pub(super) fn link(self, daemon: SocketAddr, traffic: Arc<Traffic>) -> JoinHandle<()> {
        tokio::spawn(async move {
            let (events, mut inbox) = mpsc::channel(1_024);
            let local = IpAddr::V4(Ipv4Addr::LOCALHOST);
            let link = tokio::spawn(dial(daemon, local, LIMITS, events));
            let mut due = tokio::time::interval(self.interval);
            let mut sender = None;
            let mut reporters = BTreeMap::new();
            loop {
                tokio::select! {
                    event = inbox.recv() => match event {
                        Some(LinkEvent::Up { sender: up, .. }) => {
                            up.send(&self.hello());
                            up.send(&Message::Records(self.records.clone()));
                            sender = Some(up);
                        }
                        Some(LinkEvent::Message { message, .. }) => traffic.count(&message),
                        Some(LinkEvent::Malformed { .. } | LinkEvent::Down { .. }) | None => break,
                    },
                    _ = due.tick() => {
                        if let Some(sender) = &sender {
                            let heartbeat = self.heartbeat(&mut reporters);
                            traffic.count(&heartbeat);
                            sender.send(&heartbeat);
                        }
                    }
                }
            }
            link.abort();
        })
    }

    fn hello(&self) -> Message {
        Message::Hello(Hello {
            version: PROTOCOL_VERSION,
            record: record(&self.scale, self.zone, self.index),
            interval_ms: self.interval.as_millis() as u64,
        })
    }

    fn heartbeat(&self, reporters: &mut BTreeMap<usize, LoadReporter>) -> Message {
        let mut due = |zone: usize| reporters.entry(zone).or_default().due(self.loads(zone));
        let near = self.zone == 0;
        let zones = if near {
            let covered = self.covers.iter();
            covered.map(|zone| self.report(*zone, due(*zone))).collect()
        } else {
            vec![self.report(self.zone, due(self.zone))]
        };
        Message::Heartbeat(Heartbeat {
            incarnation: Incarnation(1),
            interval_ms: self.interval.as_millis() as u64,
            config_digest: 0,
            near: near.then(|| NearReport {
                units_version: 0,
                loads: due(0),
                leaving: Vec::new(),
            }),
            zones,
        })
    }

    fn report(&self, zone: usize, loads: Vec<ServiceLoad>) -> ZoneReport {
        ZoneReport {
            zone: Zone::new(self.scale.zone_name(zone)),
            silent: Vec::new(),
            loads,
        }
    }

    /// Idle slots that wander as those of a busy service do: most changes are small.
    fn idle(&self) -> u32 {
        6 + rand::random::<u32>() % 4
    }

    fn loads(&self, zone: usize) -> Vec<ServiceLoad> {
        self.scale
            .services_in(zone)
            .into_iter()
            .map(|service| ServiceLoad {
                service: ServiceKey::new("measured", service.as_str()).tag(),
                idle: self.idle(),
                total: 16,
            })
            .collect()
    }
}
