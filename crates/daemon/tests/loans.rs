//! Slots on loan between the boxes of a zone.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_lab::callers::{Caller, Job, Outcome, Tally, new_tag, open_load};
use brasswinch_lab::deployment::{Spec, caller_ip};
use brasswinch_settings::BoxSettings;
use common::{Fleet, alone};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Upstreams take few requests at a time from a box that has used them for less.
const WARM_UP: Duration = Duration::from_secs(7);

/// Requests that make a box borrow all slots of its zone.
const BURST: usize = 12;

async fn fleet() -> Fleet {
    fleet_with(|_| {}).await
}

async fn fleet_with(change: impl Fn(&mut BoxSettings)) -> Fleet {
    let mut spec = Spec::kavach(2, 2);
    spec.regions = vec!["guj-west"];
    let policy = spec.policy(0.5, 2.0);
    let mut fleet = Fleet::without_daemons(spec).await;
    for upstreams in fleet.site.upstreams.values() {
        upstreams.control(|control| control.slots = 1_000);
    }
    for (zone, index) in fleet.places() {
        fleet.start_with(zone, index, &change);
    }
    fleet.submit(fleet.any_admin(), &policy).await;
    fleet.until_serving(4, None).await;
    fleet
}

fn direct(fleet: &Fleet) -> Job {
    let mut job = fleet.job("rate-desk", 0);
    job.direct = true;
    job
}

async fn send_at_once(to: SocketAddr, job: &Job, count: usize) -> Vec<Outcome> {
    let caller = Caller::new(caller_ip(0), vec![to]);
    let sending = (0..count).map(|_| {
        let (caller, job) = (caller.clone(), job.clone());
        tokio::spawn(async move { caller.send_to(to, &job, None, &new_tag()).await })
    });
    let sending: Vec<_> = sending.collect();
    let mut outcomes = Vec::new();
    for sent in sending {
        outcomes.push(sent.await.unwrap());
    }
    outcomes
}

/// A neighbour that kept idle slots on loan left their owner without any.
#[tokio::test(flavor = "multi_thread")]
async fn a_box_is_out_of_slots_while_its_own_are_idle_on_loan() {
    let _alone = alone().await;
    let fleet = fleet().await;
    let mut zone = fleet
        .daemons
        .iter()
        .filter(|(name, _)| name.contains("-a-"));
    let borrower = zone.next().unwrap().1.callers;
    let (owner_name, owner) = zone.next().unwrap();
    let owner = owner.callers;
    let job = direct(&fleet);
    let warming = [borrower, owner].map(|to| {
        let caller = Caller::new(caller_ip(0), vec![to]);
        open_load(
            caller,
            job.clone(),
            30.0,
            WARM_UP,
            Arc::new(Tally::default()),
        )
    });
    let [first, second] = warming;
    tokio::join!(first, second);
    let upstreams = fleet.site.upstreams("rate-desk", "guj-west").unwrap();
    for round in 0..5 {
        upstreams.control(|control| control.service_ms = 150);
        send_at_once(borrower, &job, BURST).await;
        upstreams.control(|control| control.service_ms = 5);
        let outcomes = send_at_once(owner, &job, 2).await;
        let missing = fleet.log_lines("BW411");
        for outcome in outcomes {
            assert_eq!(outcome, Outcome::Whole, "{owner_name} {round} {missing:#?}");
        }
    }
}

/// A burst's first request asked for one slot, the others asked for none until the next heartbeat.
#[tokio::test(flavor = "multi_thread")]
async fn a_burst_waits_while_a_neighbours_slots_are_idle() {
    /// The zone's boxes own three and five slots of eight; either borrowed one.
    const AT_ONCE: usize = 7;
    /// Longer than asking three times takes, and shorter than the time between two heartbeats.
    const WORK_MS: u64 = 300;
    let _alone = alone().await;
    let fleet = fleet_with(|settings| settings.peers.heartbeat_ms = 1_500).await;
    let to = fleet.callers()[0];
    let job = direct(&fleet);
    let caller = Caller::new(caller_ip(0), vec![to]);
    open_load(caller, job.clone(), 30.0, WARM_UP, Arc::default()).await;
    let upstreams = fleet.site.upstreams("rate-desk", "guj-west").unwrap();
    upstreams.control(|control| control.service_ms = WORK_MS);
    send_at_once(to, &job, AT_ONCE).await;
    let most = upstreams.counts().most_in_use;
    assert_eq!(most, AT_ONCE as u32, "{:#?}", fleet.log_lines("BW411"));
}

/// A service far below its load refused requests while its upstreams paused for longer than a
/// request waits for a loan.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_refused_while_upstreams_pause_for_a_moment() {
    /// Two more than the zone's slots, so that some wait until others end.
    const AT_ONCE: usize = 10;
    /// Longer than `queue_wait_ms`, and short enough that each gets its turn within a second on
    /// the three slots of the box that owns fewest.
    const PAUSE_MS: u64 = 250;
    let _alone = alone().await;
    let fleet = fleet().await;
    let to = fleet.callers()[0];
    let job = direct(&fleet);
    let caller = Caller::new(caller_ip(0), vec![to]);
    open_load(caller, job.clone(), 30.0, WARM_UP, Arc::default()).await;
    let upstreams = fleet.site.upstreams("rate-desk", "guj-west").unwrap();
    upstreams.control(|control| control.service_ms = PAUSE_MS);
    let outcomes = send_at_once(to, &job, AT_ONCE).await;
    let missing = fleet.log_lines("BW411");
    for outcome in outcomes {
        assert_eq!(outcome, Outcome::Whole, "{missing:#?}");
    }
}
