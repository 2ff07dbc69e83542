//! Links between boxes that keep different intervals.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_decide::members::{BoxRecord, BoxState};
use brasswinch_lab::deployment::Spec;
use brasswinch_peer::{Hello, LinkEvent, LinkLimits, Message, PROTOCOL_VERSION, dial};
use brasswinch_types::{BoxId, Incarnation, Region, Zone};
use common::{Fleet, alone};
use std::time::Duration;
use tokio::sync::mpsc;

/// The daemon's own interval; eight of them without a word would end a link.
const OWN_INTERVAL_MS: u64 = 20;

/// The peer's interval, as its first message announces it.
const PEER_INTERVAL_MS: u64 = 10_000;

const LIMITS: LinkLimits = LinkLimits {
    queue_messages: 64,
    message_bytes: 1024 * 1024,
};

fn hello(version: u16) -> Message {
    Message::Hello(Hello {
        version,
        record: BoxRecord {
            id: BoxId::new("far-away-1"),
            incarnation: Incarnation(1),
            sequence: 1,
            zone: Zone::new("mah-north-a"),
            region: Region::new("mah-north"),
            caller_address: "127.0.0.1:9".parse().unwrap(),
            peer_address: "127.0.0.1:9".parse().unwrap(),
            state: BoxState::Serving,
        },
        interval_ms: PEER_INTERVAL_MS,
    })
}

/// Links to a daemon, says `hello`, and waits until the link goes down or `wait` is over.
async fn goes_down(hello: Message, wait: Duration) -> bool {
    let mut fleet = Fleet::without_daemons(Spec::kavach(1, 1)).await;
    let name = fleet.start_with(0, 1, |settings| {
        settings.peers.heartbeat_ms = OWN_INTERVAL_MS;
        settings.peers.seeds.clear();
    });
    let (events, mut inbox) = mpsc::channel(1_024);
    let local = "127.0.0.1".parse().unwrap();
    let link = tokio::spawn(dial(fleet.daemons[&name].peers, local, LIMITS, events));
    let mut held = None;
    let down = async {
        while let Some(event) = inbox.recv().await {
            match event {
                LinkEvent::Up { sender, .. } => {
                    sender.send(&hello);
                    held = Some(sender);
                }
                LinkEvent::Down { .. } | LinkEvent::Malformed { .. } => return,
                LinkEvent::Message { .. } => {}
            }
        }
    };
    let went_down = tokio::time::timeout(wait, down).await.is_ok();
    drop(held);
    link.abort();
    went_down
}

#[tokio::test(flavor = "multi_thread")]
async fn a_peer_that_announced_rare_heartbeats_is_not_taken_for_dead_before_its_first() {
    let _alone = alone().await;
    let far_longer = Duration::from_millis(OWN_INTERVAL_MS * 100);
    assert!(!goes_down(hello(PROTOCOL_VERSION), far_longer).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_peer_that_speaks_another_version_is_not_linked_to() {
    let _alone = alone().await;
    assert!(goes_down(hello(PROTOCOL_VERSION + 1), common::PATIENCE).await);
}
