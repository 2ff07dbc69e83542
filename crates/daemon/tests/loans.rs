//! Slots on loan between the boxes of a zone.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_lab::callers::{Caller, Job, Outcome, Tally, new_tag, open_load};
use brasswinch_lab::deployment::{Spec, caller_ip};
use common::{Fleet, alone};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Upstreams take few requests at a time from a box that has used them for less.
const WARM_UP: Duration = Duration::from_secs(7);

/// Requests that make a box borrow all slots of its zone.
const BURST: usize = 12;

async fn fleet() -> Fleet {
    let mut spec = Spec::kavach(2, 2);
    spec.regions = vec!["guj-west"];
    let policy = spec.policy(0.5, 2.0);
    let mut fleet = Fleet::without_daemons(spec).await;
    for upstreams in fleet.site.upstreams.values() {
        upstreams.control(|control| control.slots = 1_000);
    }
    for (zone, index) in fleet.places() {
        fleet.start(zone, index);
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
