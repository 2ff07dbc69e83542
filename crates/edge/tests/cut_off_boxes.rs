//! Boxes that are partitioned from all upstreams, while clients, the store and other boxes reach
//! them.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_edge::Dialect;
use brasswinch_lab::memory_store::StoreFault;
use brasswinch_lab::partition::{Partition, PartitionKind};
use brasswinch_lab::routed_upstream::Behaviour;
use brasswinch_types::{Region, Zone};
use common::apart::{Apart, box_ip};
use common::{call, eventually, request};
use tokio::task::JoinSet;

const BOXES: usize = 6;

/// Requests that are sent to each box.
const REQUESTS: usize = 60;

/// Asserts the bound on first attempts at boxes that are cut off: at least two thirds of the share
/// that the other boxes serve, or at most 10 and one in 50 of them fail.
async fn assert_served(boxes: &Apart, cut: usize) {
    for index in 0..cut {
        boxes.wait_until_served(index).await;
    }
    let (mut at_cut, mut at_others) = (0, 0);
    for index in 0..boxes.clients.len() {
        let served = boxes.served(index, REQUESTS).await;
        if index < cut {
            at_cut += served;
        } else {
            at_others += served;
        }
    }
    let sent_to_cut = cut * REQUESTS;
    let sent_to_others = boxes.clients.len() * REQUESTS - sent_to_cut;
    let failed = sent_to_cut - at_cut;
    assert!(
        3 * at_cut * sent_to_others >= 2 * at_others * sent_to_cut
            && failed <= 10 + sent_to_cut / 50,
        "boxes that are cut off served {at_cut} of {sent_to_cut}, others {at_others} of {sent_to_others}"
    );
}

async fn cut_off_boxes_serve(cut: usize, kind: PartitionKind) {
    let boxes = Apart::start(BOXES).await;
    for index in 0..BOXES {
        assert_eq!(boxes.served(index, REQUESTS).await, REQUESTS, "{index}");
    }
    boxes.cut(cut, kind);
    assert_served(&boxes, cut).await;
    boxes.heal();
    assert_served(&boxes, cut).await;
}

#[tokio::test]
async fn boxes_with_silent_links_to_upstreams_refuse_everything() {
    cut_off_boxes_serve(3, PartitionKind::Silent).await;
}

#[tokio::test]
async fn boxes_with_reset_links_to_upstreams_refuse_everything() {
    cut_off_boxes_serve(3, PartitionKind::Reset).await;
}

/// Open connections live on, but upstreams close each after its answer.
#[tokio::test]
async fn boxes_whose_new_connections_are_refused_refuse_everything() {
    let boxes = Apart::start(BOXES).await;
    for upstream in &boxes.upstreams {
        upstream.always(Behaviour::AnswerAndLeave);
    }
    boxes.cut(3, PartitionKind::RefuseNew);
    assert_served(&boxes, 3).await;
    boxes.heal();
    assert_served(&boxes, 3).await;
}

/// All boxes but one are cut off, so that none is left in one of the zones.
#[tokio::test]
async fn a_zone_without_links_to_upstreams_refuses_everything() {
    cut_off_boxes_serve(BOXES - 1, PartitionKind::Silent).await;
}

/// Sends requests for different objects to the first box, all at once.
async fn send_together(boxes: &Apart, count: usize) {
    let mut clients = JoinSet::new();
    for number in 0..count {
        let mut request = request("GET", &format!("/safe/{number}"), "");
        let object = format!("{}={number}", Dialect::default().object_cookie);
        request
            .headers_mut()
            .insert("cookie", object.parse().unwrap());
        clients.spawn(call(boxes.clients[0], request));
    }
    clients.join_all().await;
}

/// Guards against a cut that makes innocent requests suspects at all boxes: each loses its
/// connection, is sent again on another one, and loses that too.
#[tokio::test]
async fn requests_that_lose_their_links_become_suspects() {
    let boxes = Apart::start(2).await;
    // Leaves several idle connections to each upstream.
    send_together(&boxes, 2 * REQUESTS).await;
    for upstream in &boxes.upstreams[1..] {
        let sources = vec![box_ip(0), box_ip(1)];
        upstream.set_partition(Partition::new(PartitionKind::Silent, sources));
    }
    // Few at a time, so that no upstream is ejected before a request is sent there again.
    send_together(&boxes, 4).await;
    for index in 0..2 {
        let suspects = boxes.context(index).status().quarantine;
        let count = suspects.len();
        assert!(suspects.is_empty(), "box {index}: {count} suspects");
    }
}

/// Guards against upstreams whose prober reaches none of them, while the store doesn't respond.
#[tokio::test]
async fn upstreams_of_a_cut_off_prober_are_not_probed() {
    let boxes = Apart::start(4).await;
    boxes.cut(1, PartitionKind::Silent);
    boxes.wait_until_served(0).await;
    for store in &boxes.stores {
        store.set_fault(StoreFault::Silent);
    }
    eventually("each upstream was probed", || {
        let mut upstreams = boxes.upstreams.iter();
        upstreams.all(|upstream| upstream.health_questions() > 0)
    })
    .await;
}

/// Guards against look-ups that send clients to boxes that are cut off, and that leave these out
/// after their links are back.
#[tokio::test]
async fn look_ups_list_boxes_that_are_cut_off() {
    let boxes = Apart::start(BOXES).await;
    let listed = |index: usize| {
        let (zone, region) = (Zone::new("west-a"), Region::new("west"));
        boxes.context(index).directory_answer(&zone, &region)
    };
    let is_listed_anywhere =
        || (0..BOXES).any(|index| listed(index).addresses.contains(&boxes.clients[0]));
    assert!(is_listed_anywhere());
    boxes.cut(1, PartitionKind::Silent);
    boxes.wait_until_served(0).await;
    eventually("it is listed nowhere", || !is_listed_anywhere()).await;
    boxes.heal();
    eventually("it is listed everywhere", || {
        (0..BOXES).all(|index| listed(index).addresses.contains(&boxes.clients[0]))
    })
    .await;
}
