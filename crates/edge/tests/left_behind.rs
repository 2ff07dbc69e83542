//! Followers of the store that report nothing, or reply too slowly, do not keep other boxes
//! from its updates.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_edge::{Dialect, EdgeHandle, start};
use brasswinch_lab::memory_store::{MemoryStore, StoreFault};
use brasswinch_routing::{Change, ChangeKey};
use brasswinch_types::UpstreamId;
use common::know_all::{
    run_fast_member_with_newest, run_fast_member_without_updates, run_member_with_newest,
};
use common::versions::{has_route, with_route};
use common::{call, config, eventually, request, settings};
use futures_util::SinkExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio_tungstenite::accept_async;
use tokio_tungstenite::tungstenite::Message;

/// Accepts a connection and never replies.
async fn never_reply(stream: TcpStream) {
    let _open = stream;
    std::future::pending().await
}

/// The header of a reply, as sent over the wire.
#[derive(serde::Serialize)]
struct ReplyHeader {
    bytes: usize,
    is_compressed: bool,
}

/// The most pieces that one request received from the slow peer.
static MAX_PIECES_RECEIVED: AtomicUsize = AtomicUsize::new(0);

/// Sends a large reply one byte at a time, without end.
async fn reply_slowly(stream: TcpStream) {
    const PIECE_INTERVAL: Duration = Duration::from_millis(100);
    let Ok(mut socket) = accept_async(stream).await else {
        return;
    };
    let header = ReplyHeader {
        bytes: 1_000_000,
        is_compressed: false,
    };
    let mut piece = Vec::new();
    ciborium::into_writer(&header, &mut piece).unwrap();
    let mut pieces = 0;
    while socket.send(Message::Binary(piece.into())).await.is_ok() {
        pieces += 1;
        MAX_PIECES_RECEIVED.fetch_max(pieces, Ordering::Relaxed);
        tokio::time::sleep(PIECE_INTERVAL).await;
        piece = vec![0];
    }
}

/// Binds one port for the datagrams and the connections of a member; `answer` handles the
/// connections.
async fn listen<F>(answer: fn(TcpStream) -> F) -> UdpSocket
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let socket = UdpSocket::bind(listener.local_addr().unwrap())
        .await
        .unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream));
        }
    });
    socket
}

async fn edge(id: &str, seeds: Vec<SocketAddr>, store: MemoryStore) -> EdgeHandle {
    let started = start(settings(id, seeds), Dialect::default(), store).await;
    let edge = started.unwrap();
    let context = Arc::clone(edge.context());
    eventually("the box is ready", || context.is_ready()).await;
    edge
}

#[tokio::test]
async fn a_box_whose_watchers_tell_nothing_asks_the_store() {
    /// Enough members with fast links to be selected as the followers of the store.
    const FOLLOWERS: usize = 5;
    let store = MemoryStore::default();
    store.write(Change::Config(Arc::new(config(1))));
    let access = store.handle();
    let edge = edge("near", Vec::new(), access.clone()).await;
    for _ in 0..FOLLOWERS {
        let socket = listen(never_reply).await;
        tokio::spawn(run_fast_member_with_newest(socket, edge.addresses().peers));
    }
    let context = Arc::clone(edge.context());
    eventually("all members are known", || {
        members(&context) == FOLLOWERS + 1
    })
    .await;
    // Completes the watch that began before the box knew of the other followers.
    store.write(with_route(2));
    has_route(&edge, 2).await;
    for version in 3..6 {
        store.write(with_route(version));
        has_route(&edge, version).await;
    }
}

/// The box gets no updates from peers and has had no callers for a while. Its first caller must
/// be served by a configuration that is out of date by at most 2 s.
#[tokio::test]
async fn a_box_without_callers_knows_what_is_in_force_when_one_comes() {
    const FOLLOWERS: usize = 3;
    /// Longer than a box counts as having callers after the last one.
    const NO_CALLERS: Duration = Duration::from_millis(3_200);
    const MAX_STALENESS: Duration = Duration::from_secs(2);
    let store = MemoryStore::default();
    store.write(Change::Config(Arc::new(config(1))));
    let edge = edge("near", Vec::new(), store.handle()).await;
    for _ in 0..FOLLOWERS {
        let socket = listen(never_reply).await;
        tokio::spawn(run_fast_member_without_updates(
            socket,
            edge.addresses().peers,
        ));
    }
    let context = Arc::clone(edge.context());
    eventually("all members are known", || {
        members(&context) == FOLLOWERS + 1
    })
    .await;
    // Completes the watch that began before the box knew of the other followers.
    store.write(with_route(2));
    has_route(&edge, 2).await;
    for version in 3..6 {
        tokio::time::sleep(NO_CALLERS).await;
        store.write(with_route(version));
        tokio::time::sleep(MAX_STALENESS).await;
        let first = request("GET", &format!("/new{version}/1"), "");
        let answer = call(edge.addresses().clients, first).await.unwrap();
        assert_eq!(answer.status, 503, "version {version}");
    }
}

fn members(context: &brasswinch_edge::Context) -> usize {
    let zone = brasswinch_types::Zone::new("west-a");
    let region = brasswinch_types::Region::new("west");
    context.directory_answer(&zone, &region).addresses.len()
}

/// With frequent writes some peer is always ahead; a box that keeps receiving updates from
/// peers makes no calls to the store.
#[tokio::test]
async fn a_box_that_is_told_again_and_again_does_not_ask_the_store() {
    /// Three times as long as a box relies on its peers.
    const OBSERVATION_TIME: Duration = Duration::from_secs(4);
    const WRITE_INTERVAL: Duration = Duration::from_millis(40);
    let store = MemoryStore::default();
    store.write(Change::Config(Arc::new(config(1))));
    let mut boxes: Vec<(EdgeHandle, MemoryStore)> = Vec::new();
    for number in 0..8 {
        let seeds = boxes.first().map(|(first, _)| first.addresses().peers);
        let access = store.handle();
        let id = format!("box-{number}");
        let edge = edge(&id, seeds.into_iter().collect(), access.clone()).await;
        boxes.push((edge, access));
    }
    for (edge, _) in &boxes {
        let context = Arc::clone(edge.context());
        eventually("all members are known", || members(&context) == boxes.len()).await;
    }
    let no_op_change = || Change::Gone(ChangeKey::Upstream(UpstreamId::new("none")));
    // Completes the watches of boxes that no longer follow the store.
    store.write(with_route(2));
    store.write(no_op_change());
    for (edge, _) in &boxes {
        has_route(edge, 2).await;
    }
    tokio::time::sleep(OBSERVATION_TIME / 4).await;
    let watches = || boxes.iter().map(|(_, access)| access.waits().len());
    let before: Vec<usize> = watches().collect();
    let began = Instant::now();
    while began.elapsed() < OBSERVATION_TIME {
        store.write(no_op_change());
        tokio::time::sleep(WRITE_INTERVAL).await;
    }
    let after: Vec<usize> = watches().collect();
    let more = before
        .iter()
        .zip(&after)
        .filter(|(before, after)| after > before);
    assert!(
        more.count() <= 4,
        "watches before {before:?} and after {after:?}"
    );
}

#[tokio::test]
async fn a_box_that_trickles_holds_nobody_up() {
    /// Half of the time limit of a large reply, in pieces.
    const PIECES_LIMIT: usize = 40;
    let store = MemoryStore::default();
    store.write(Change::Config(Arc::new(config(1))));
    let far = edge("far", Vec::new(), store.handle()).await;
    let access = store.handle();
    let near = edge("near", vec![far.addresses().peers], access.clone()).await;
    access.set_fault(StoreFault::TurnedAway);
    let socket = listen(reply_slowly).await;
    tokio::spawn(run_member_with_newest(socket, near.addresses().peers));
    let context = Arc::clone(near.context());
    eventually("all members are known", || members(&context) == 3).await;
    // Completes the watch that was in progress when the fault began.
    store.write(with_route(2));
    has_route(&near, 2).await;
    for version in 3..6 {
        store.write(with_route(version));
        has_route(&near, version).await;
    }
    let pieces = MAX_PIECES_RECEIVED.load(Ordering::Relaxed);
    assert!(
        (1..PIECES_LIMIT).contains(&pieces),
        "waited for {pieces} pieces of a slow reply"
    );
}

/// Guards against boxes that leave the store to followers that it refuses, while it would answer
/// them: only one box in twelve is answered, and the others learn from it.
#[tokio::test]
async fn a_store_that_refuses_its_followers_is_asked_by_nobody_else() {
    const BOXES: usize = 12;
    /// The box that would be the last of them to follow the store.
    const ANSWERED: usize = 8;
    /// Twice the bound on a change, so that a busy machine gives the same verdict.
    const MAX_STALENESS: Duration = Duration::from_secs(4);
    let store = MemoryStore::default();
    store.write(Change::Config(Arc::new(config(1))));
    let mut boxes: Vec<(EdgeHandle, MemoryStore)> = Vec::new();
    for number in 0..BOXES {
        let seeds = boxes.first().map(|(first, _)| first.addresses().peers);
        let access = store.handle();
        let id = format!("box-{number}");
        boxes.push((
            edge(&id, seeds.into_iter().collect(), access.clone()).await,
            access,
        ));
    }
    for (edge, _) in &boxes {
        let context = Arc::clone(edge.context());
        eventually("all members are known", || members(&context) == BOXES).await;
    }
    store.write(with_route(2));
    for (edge, _) in &boxes {
        has_route(edge, 2).await;
    }
    for (number, (_, access)) in boxes.iter().enumerate() {
        if number != ANSWERED {
            access.set_fault(StoreFault::TurnedAway);
        }
    }
    for version in 3..5 {
        store.write(with_route(version));
        let written_at = Instant::now();
        for (edge, _) in &boxes {
            has_route(edge, version).await;
        }
        let staleness = written_at.elapsed();
        assert!(
            staleness <= MAX_STALENESS,
            "version {version}: {staleness:?}"
        );
    }
}
