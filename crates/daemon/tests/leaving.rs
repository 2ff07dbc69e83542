//! Upstreams and boxes that leave: nothing new after a few seconds, nothing cut.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_lab::callers::{Outcome, Tally, new_tag, open_load};
use brasswinch_lab::deployment::{OPERATOR_TOKEN, Spec, zone_prefix};
use brasswinch_lab::faults::{Fault, Rule};
use brasswinch_lab::upstream::wall_ms;
use brasswinch_store::{ListedBox, ListedState};
use common::{Fleet, alone, eventually};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;

/// "A few seconds": the bound on new work after an upstream was announced as leaving.
const FEW_SECONDS_MS: u64 = 3_000;

fn spec() -> Spec {
    let mut spec = Spec::kavach(2, 2);
    spec.regions = vec!["guj-west"];
    spec
}

async fn fleet() -> Fleet {
    let spec = spec();
    let policy = spec.policy(0.5, 2.0);
    Fleet::serving(spec, &policy).await
}

fn load(fleet: &Fleet, seconds: u64) -> (JoinHandle<()>, Arc<Tally>) {
    let tally = Arc::new(Tally::default());
    let duration = Duration::from_secs(seconds);
    let job = fleet.job("rate-desk", 0);
    let load = open_load(fleet.caller(0), job, 200.0, duration, Arc::clone(&tally));
    (tokio::spawn(load), tally)
}

const LEAVER: &str = "rate-desk-guj-west-a-1";

/// When the leaver and its neighbour got their last request.
fn last_starts(fleet: &Fleet) -> (u64, u64) {
    let counts = fleet
        .site
        .upstreams("rate-desk", "guj-west")
        .unwrap()
        .counts();
    let last = |id: &str| counts.targets[id].last_start_ms;
    (last(LEAVER), last("rate-desk-guj-west-a-2"))
}

fn check_nothing_new(fleet: &Fleet, announced_ms: u64) {
    let (leaver, neighbour) = last_starts(fleet);
    let after = leaver.saturating_sub(announced_ms);
    assert!(after <= FEW_SECONDS_MS, "new work {after} ms after");
    assert!(neighbour > announced_ms + FEW_SECONDS_MS, "load went on");
    println!("last new request {after} ms after the announcement");
}

async fn announce(fleet: &Fleet) {
    let drain = serde_json::json!({ "service": "rate-desk", "upstream": LEAVER });
    let token = Some(OPERATOR_TOKEN);
    let other = fleet.site.box_name(1, 1);
    let admin = fleet.daemons[&other].admin;
    let answer = fleet
        .client
        .post(admin, "/v1/drains", token, &drain)
        .await
        .unwrap();
    assert_eq!(answer.status, 200, "{:?}", answer.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_announced_drain_reaches_a_zone_that_is_cut_from_the_platform() {
    let _alone = alone().await;
    let fleet = fleet().await;
    let (load, _) = load(&fleet, 8);
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.site.proxy.set_rules(vec![Rule {
        from: zone_prefix(0),
        to: "127.0.0.1".into(),
        fault: Fault::Cut,
    }]);
    let announced_ms = wall_ms();
    announce(&fleet).await;
    // The platform goes down right after the announcement.
    fleet.site.platform.control(|control| control.outage = true);
    load.await.unwrap();
    check_nothing_new(&fleet, announced_ms);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstreams_own_word_suffices() {
    let _alone = alone().await;
    let fleet = fleet().await;
    let (load, _) = load(&fleet, 8);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let announced_ms = wall_ms();
    let upstreams = fleet.site.upstreams("rate-desk", "guj-west").unwrap();
    upstreams.control(|control| control.leaving = vec![LEAVER.into()]);
    load.await.unwrap();
    check_nothing_new(&fleet, announced_ms);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_platforms_list_suffices() {
    let _alone = alone().await;
    let fleet = fleet().await;
    let (load, _) = load(&fleet, 8);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let announced_ms = wall_ms();
    fleet.site.platform.control(|control| {
        control.boxes.push(ListedBox {
            id: LEAVER.into(),
            state: ListedState::Leaving,
        });
    });
    load.await.unwrap();
    check_nothing_new(&fleet, announced_ms);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_box_asked_to_stop_finishes_a_slow_upload_and_takes_nothing_new() {
    let _alone = alone().await;
    let mut fleet = fleet().await;
    let name = fleet.site.box_name(0, 1);
    let address = fleet.daemons[&name].callers;
    let caller = fleet.caller(0);
    let mut job = fleet.job("cad-intake", 0);
    job.upload_bytes = 4 * 1024 * 1024;
    job.upload_pause = Duration::from_millis(60);
    let slow = {
        let (caller, job) = (caller.clone(), job.clone());
        tokio::spawn(async move { caller.send_to(address, &job, None, &new_tag()).await })
    };
    let upstreams = fleet
        .site
        .upstreams("cad-intake", "guj-west")
        .unwrap()
        .clone();
    eventually("the upload runs", || async {
        upstreams.counts().in_use > 0
    })
    .await;
    fleet.daemon(&name).terminate();
    eventually("the box takes nothing new", || async {
        let small = fleet.job("rate-desk", 0);
        let outcome = caller.send_to(address, &small, None, &new_tag()).await;
        matches!(outcome, Outcome::Refused { error, ran, .. } if error == "box_leaving" && ran == "not_run")
    })
    .await;
    assert!(!slow.is_finished(), "the upload is still under way");
    assert_eq!(slow.await.unwrap(), Outcome::Whole);
    let mut status = None;
    while status.is_none() {
        status = fleet.daemon(&name).exited();
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(status.unwrap().success());
    assert_eq!(upstreams.counts().sum(|target| target.cut), 0);
}

/// Sends a small request on an open connection; whether any answer comes.
async fn is_answered(mut stream: TcpStream) -> bool {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let request = b"GET /v1/lookup HTTP/1.1\r\nhost: box\r\n\r\n";
    if stream.write_all(request).await.is_err() {
        return false;
    }
    let mut answer = [0; 8];
    stream.read_exact(&mut answer).await.is_ok() && &answer == b"HTTP/1.1"
}

/// Connects until the box has closed its port; each connection's request comes later.
async fn call_until_refused(address: SocketAddr) -> Vec<JoinHandle<bool>> {
    // Callers that need this long from their connection to their request.
    const THINK: Duration = Duration::from_millis(60);
    const EVERY: Duration = Duration::from_millis(1);
    let mut calls = Vec::new();
    while let Ok(stream) = TcpStream::connect(address).await {
        calls.push(tokio::spawn(async move {
            tokio::time::sleep(THINK).await;
            is_answered(stream).await
        }));
        tokio::time::sleep(EVERY).await;
    }
    calls
}

#[tokio::test(flavor = "multi_thread")]
async fn what_has_reached_a_box_before_it_stops_is_answered() {
    // Several, so that one has often just connected when the box closes its port.
    const CALLERS: usize = 4;
    let _alone = alone().await;
    let mut fleet = fleet().await;
    let name = fleet.site.box_name(0, 1);
    let address = fleet.daemons[&name].callers;
    fleet.daemon(&name).terminate();
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| tokio::spawn(call_until_refused(address)))
        .collect();
    let mut all = 0;
    let mut cut = 0;
    for caller in callers {
        for call in caller.await.unwrap() {
            all += 1;
            cut += usize::from(!call.await.unwrap());
        }
    }
    assert_eq!(cut, 0, "connections that were cut, of {all}");
}

/// Look-ups whose answers are more than a caller with a small buffer takes without reading.
const PIPELINED_LOOKUPS: usize = 1_000;

/// The receive buffer of a caller on a slow link.
const SMALL_RECEIVE_BUFFER_BYTES: u32 = 8 * 1024;

/// A stop reset connections whose callers had sent on, and dropped answers that were under way.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_resets_answers_that_their_caller_is_still_reading() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let _alone = alone().await;
    let mut fleet = fleet().await;
    let name = fleet.site.box_name(0, 1);
    let socket = TcpSocket::new_v4().unwrap();
    socket
        .set_recv_buffer_size(SMALL_RECEIVE_BUFFER_BYTES)
        .unwrap();
    let mut caller = socket.connect(fleet.daemons[&name].callers).await.unwrap();
    let lookup = b"GET /v1/lookup HTTP/1.1\r\nhost: box\r\n\r\n";
    caller
        .write_all(&lookup.repeat(PIPELINED_LOOKUPS))
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.daemon(&name).terminate();
    // The caller doesn't know yet that the connection ends, and goes on sending.
    for _ in 0..20 {
        caller.write_all(lookup).await.unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut received = String::new();
    caller.read_to_string(&mut received).await.unwrap();
    let answers = received.matches("HTTP/1.1 ").count();
    assert!(answers >= PIPELINED_LOOKUPS, "{answers}");
}

/// A caller that is told by a reset that its request was not read may repeat it.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crosses_the_close_of_an_idle_connection_is_read() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let _alone = alone().await;
    let fleet = fleet().await;
    let address = fleet.daemons[&fleet.site.box_name(0, 1)].callers;
    let mut caller = TcpStream::connect(address).await.unwrap();
    let lookup = b"GET /v1/lookup HTTP/1.1\r\nhost: box\r\n\r\n";
    caller.write_all(lookup).await.unwrap();
    // The box closes the connection when it has been idle for long enough.
    let mut received = Vec::new();
    caller.read_to_end(&mut received).await.unwrap();
    assert!(received.starts_with(b"HTTP/1.1 "));
    caller.write_all(lookup).await.unwrap();
    // The reset has arrived by the next write.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let written = caller.write_all(lookup).await;
    assert!(written.is_err(), "the request was read");
}

#[tokio::test(flavor = "multi_thread")]
async fn replacing_every_box_one_after_another_under_load_cuts_nothing() {
    let _alone = alone().await;
    let mut fleet = fleet().await;
    let mut tallies = Vec::new();
    let mut loads = Vec::new();
    for service in ["rate-desk", "order-book", "cad-intake"] {
        let tally = Arc::new(Tally::default());
        let mut job = fleet.job(service, 0);
        let mut per_second = 60.0;
        if service == "cad-intake" {
            job.upload_bytes = 512 * 1024;
            job.upload_pause = Duration::from_millis(50);
            per_second = 5.0;
        }
        // Callers know all boxes' addresses of the start; replaced ones listen anew, so
        // only those that stay long enough are asked for look-ups.
        let caller = fleet.caller(0);
        let duration = Duration::from_secs(14);
        let load = open_load(caller, job, per_second, duration, Arc::clone(&tally));
        loads.push(tokio::spawn(load));
        tallies.push((service, tally));
    }
    let places = fleet.places();
    let mut drains = Vec::new();
    for (zone, index) in places.into_iter().take(3) {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let name = fleet.site.box_name(zone, index);
        let began = std::time::Instant::now();
        fleet.daemon(&name).terminate();
        while fleet.daemon(&name).exited().is_none() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        drains.push(began.elapsed().as_millis());
        fleet.start(zone, index);
        fleet.until_serving(4, None).await;
    }
    for load in loads {
        load.await.unwrap();
    }
    println!("drain times in ms: {drains:?}");
    for (service, tally) in &tallies {
        let counts = tally.by_outcome();
        for bad in ["broken", "wrong"] {
            assert_eq!(counts.get(bad), None, "{service}: {counts:?}");
        }
        let unknown = counts.keys().find(|name| name.contains("(unknown)"));
        assert_eq!(unknown, None, "{service}: {counts:?}");
        assert!(counts["whole"] > 0);
    }
    for upstreams in fleet.site.upstreams.values() {
        assert_eq!(upstreams.counts().sum(|target| target.cut), 0);
    }
}
