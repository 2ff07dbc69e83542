//! Failure detection: probes one member at a time, and indirectly through others if it doesn't
//! respond.

use super::{Liveness, Outgoing, Swim, SwimMessage};
use brasswinch_types::{BoxId, Millis};
use rand::Rng;
use rand::seq::SliceRandom;
use std::net::SocketAddr;

/// Members that are asked to probe one that doesn't respond.
const INDIRECT_PROBES: usize = 2;

/// A probe without an acknowledgement yet.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) id: BoxId,
    pub(super) sequence: u32,
    pub(super) sent_at: Millis,
    pub(super) is_indirect: bool,
}

/// A probe made on behalf of another box.
#[derive(Clone, Copy, Debug)]
pub(super) struct IndirectProbe {
    pub(super) requester: SocketAddr,
    pub(super) requester_sequence: u32,
    pub(super) started_at: Millis,
}

impl Swim {
    pub(super) fn check_probe(
        &mut self,
        now: Millis,
        random: &mut impl Rng,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(mut probe) = self.probe.take() else {
            return;
        };
        let age = now.saturating_sub(probe.sent_at);
        if age >= self.settings.period_ms * 2 {
            let is_alive = self
                .members
                .get(&probe.id)
                .is_some_and(|member| member.liveness == Liveness::Alive);
            if is_alive {
                self.set_liveness(&probe.id, Liveness::Suspect, now);
            }
            return;
        }
        if age >= self.settings.ack_timeout_ms && !probe.is_indirect {
            probe.is_indirect = true;
            self.request_indirect_probes(&probe, random, out);
        }
        self.probe = Some(probe);
    }

    pub(super) fn request_indirect_probes(
        &mut self,
        probe: &Probe,
        random: &mut impl Rng,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(peer) = self.members.get(&probe.id) else {
            return;
        };
        let peer = peer.record.peer_address;
        let mut helpers = self.addresses(Liveness::Alive);
        helpers.retain(|address| *address != peer);
        helpers.shuffle(random);
        for helper in helpers.into_iter().take(INDIRECT_PROBES) {
            let updates = self.updates_to_send();
            let sequence = probe.sequence;
            let message = SwimMessage::PingRequest {
                sequence,
                peer,
                updates,
            };
            out.push((helper, message));
        }
    }

    pub(super) fn start_probe(
        &mut self,
        now: Millis,
        random: &mut impl Rng,
        out: &mut Vec<Outgoing>,
    ) {
        if self.probe.is_some() {
            return;
        }
        let Some(id) = self.next_to_probe(random) else {
            return;
        };
        let Some(member) = self.members.get(&id).cloned() else {
            return;
        };
        let address = member.record.peer_address;
        let sequence = self.new_sequence();
        let updates = match member.liveness {
            // A dead or suspect member has to learn of its status to refute it.
            Liveness::Alive => self.updates_to_send(),
            _ => vec![self.own_update(), member.update()],
        };
        out.push((address, SwimMessage::Ping { sequence, updates }));
        self.probe = Some(Probe {
            id,
            sequence,
            sent_at: now,
            is_indirect: false,
        });
    }

    pub(super) fn next_to_probe(&mut self, random: &mut impl Rng) -> Option<BoxId> {
        // A box that just started would otherwise probe the first boxes that it discovered, which
        // are the same for all, again and again.
        let has_grown = self.members.len() > 2 * self.probe_order_members;
        if self.probe_order.is_empty() || has_grown {
            self.probe_order = self.members.keys().cloned().collect();
            self.probe_order.shuffle(random);
            self.probe_order_members = self.members.len();
        }
        self.probe_order.pop()
    }

    pub(super) fn handle_ack(&mut self, sequence: u32) -> Vec<Outgoing> {
        if self.probe.as_ref().is_some_and(|p| p.sequence == sequence) {
            self.probe = None;
        }
        let Some(indirect_probe) = self.indirect_probes.remove(&sequence) else {
            return Vec::new();
        };
        let updates = self.updates_to_send();
        let sequence = indirect_probe.requester_sequence;
        vec![(
            indirect_probe.requester,
            SwimMessage::Ack { sequence, updates },
        )]
    }

    pub(super) fn start_indirect_probe(
        &mut self,
        requester: SocketAddr,
        requester_sequence: u32,
        peer: SocketAddr,
        now: Millis,
    ) -> Vec<Outgoing> {
        let sequence = self.new_sequence();
        let indirect_probe = IndirectProbe {
            requester,
            requester_sequence,
            started_at: now,
        };
        self.indirect_probes.insert(sequence, indirect_probe);
        let updates = self.updates_to_send();
        vec![(peer, SwimMessage::Ping { sequence, updates })]
    }
}
