//! A confirmation runs at most once: replays at other boxes, kills, freezes, double
//! clicks, lost claims, an outage of the platform.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_lab::callers::{Caller, Job, Outcome, new_tag};
use brasswinch_lab::counting::starts_by_tag;
use brasswinch_lab::deployment::{Spec, caller_ip};
use common::{Fleet, alone};
use std::net::SocketAddr;
use std::time::Duration;

/// Confirmations in each test.
const ORDERS: usize = 150;

fn spec() -> Spec {
    let mut spec = Spec::kavach(2, 3);
    spec.regions = vec!["guj-west"];
    spec
}

fn refused_as(outcome: &Outcome, wanted: &str) -> bool {
    matches!(outcome, Outcome::Refused { ran, .. } if ran == wanted)
}

/// Runs one order the way an impatient caller does: the ticket's box, the same box
/// again, then every other box, all with one ticket; gives all outcomes.
async fn insist(caller: &Caller, boxes: &[SocketAddr], job: &Job, tag: &str) -> Vec<Outcome> {
    let Ok(lookup) = caller.lookup(job).await else {
        return Vec::new();
    };
    let ticket = lookup.ticket.as_deref();
    let named = lookup.boxes[0].address;
    let impatience = Duration::from_millis(2_000);
    let mut sends = Vec::new();
    for address in std::iter::once(named).chain(boxes.iter().copied()) {
        let (caller, job, tag) = (caller.clone(), job.clone(), tag.to_owned());
        let ticket = ticket.map(str::to_owned);
        sends.push(async move {
            let send = caller.send_to(address, &job, ticket.as_deref(), &tag);
            tokio::time::timeout(impatience, send)
                .await
                .unwrap_or(Outcome::Broken)
        });
    }
    futures_util::future::join_all(sends).await
}

fn most_starts(fleet: &Fleet) -> u32 {
    let starts = starts_by_tag(&fleet.site, "order-book");
    starts.values().copied().max().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn one_ticket_pressed_on_every_box_at_once_runs_at_most_once_through_kills_and_freezes() {
    let _alone = alone().await;
    let spec = spec();
    let policy = spec.policy(0.5, 2.0);
    let mut fleet = Fleet::serving(spec, &policy).await;
    let mut ran_and_unknown = 0;
    let mut insisted = Vec::new();
    for order in 0..ORDERS {
        match order {
            40 => {
                let name = fleet.site.box_name(0, 1);
                fleet.daemon(&name).kill();
                fleet.start(0, 1);
            }
            80 => {
                let name = fleet.site.box_name(1, 1);
                fleet.daemon(&name).freeze();
            }
            95 => {
                let name = fleet.site.box_name(1, 1);
                fleet.daemon(&name).wake();
            }
            _ => {}
        }
        let boxes = fleet.callers();
        let caller = Caller::new(caller_ip(0), boxes.clone());
        let job = fleet.job("order-book", 0);
        insisted.push(tokio::spawn(async move {
            let tag = new_tag();
            let outcomes = insist(&caller, &boxes, &job, &tag).await;
            (tag, outcomes)
        }));
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    let mut outcomes_by_tag = Vec::new();
    for order in insisted {
        outcomes_by_tag.push(order.await.unwrap());
    }
    assert_eq!(most_starts(&fleet), 1);
    let starts = starts_by_tag(&fleet.site, "order-book");
    for (tag, outcomes) in &outcomes_by_tag {
        let whole = outcomes.iter().filter(|o| **o == Outcome::Whole).count();
        assert!(whole <= 1, "answered twice");
        let unknown = outcomes
            .iter()
            .all(|o| refused_as(o, "unknown") || *o == Outcome::Broken);
        ran_and_unknown += u32::from(starts.contains_key(tag) && unknown);
    }
    assert!(
        starts.len() > ORDERS / 2,
        "most orders ran: {}",
        starts.len()
    );
    assert!(
        ran_and_unknown < 20,
        "few are left unknown: {ran_and_unknown}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_who_lost_its_box_can_void_its_ticket_elsewhere_and_order_anew() {
    let _alone = alone().await;
    let spec = spec();
    let policy = spec.policy(0.5, 2.0);
    let fleet = Fleet::serving(spec, &policy).await;
    let caller = fleet.caller(0);
    let job = fleet.job("order-book", 0);
    let lookup = caller.lookup(&job).await.unwrap();
    let ticket = lookup.ticket.as_deref();
    let named = lookup.boxes[0].address;
    let other = *fleet.callers().iter().find(|box_| **box_ != named).unwrap();
    let tag = new_tag();
    let voided = caller.send_to(other, &job, ticket, &tag).await;
    let Outcome::Refused { error, ran, .. } = &voided else {
        panic!("{voided:?}");
    };
    assert_eq!((error.as_str(), ran.as_str()), ("ticket_voided", "not_run"));
    let late = caller.send_to(named, &job, ticket, &tag).await;
    assert!(refused_as(&late, "not_run"), "{late:?}");
    assert_eq!(most_starts(&fleet), 0);
    // Once it has run, no box voids it.
    let lookup = caller.lookup(&job).await.unwrap();
    let ticket = lookup.ticket.as_deref();
    let named = lookup.boxes[0].address;
    let other = *fleet.callers().iter().find(|box_| **box_ != named).unwrap();
    assert_eq!(
        caller.send_to(named, &job, ticket, &tag).await,
        Outcome::Whole
    );
    let again = caller.send_to(other, &job, ticket, &tag).await;
    assert!(refused_as(&again, "unknown"), "{again:?}");
    assert_eq!(most_starts(&fleet), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_double_click_with_two_tickets_runs_once_where_the_policy_claims_keys() {
    let _alone = alone().await;
    let spec = spec();
    let policy = spec
        .policy(0.5, 2.0)
        .replace("\"once\"", "\"once_claimed\"");
    let fleet = Fleet::serving(spec, &policy).await;
    let boxes = fleet.callers();
    let mut clicks = Vec::new();
    for order in 0..ORDERS {
        // Some claims take effect although their answers are lost.
        if order % 10 == 0 {
            fleet
                .site
                .platform
                .control(|control| control.lose_answers = 1);
        }
        let caller = Caller::new(caller_ip(order % 2), boxes.clone());
        let mut job = fleet.job("order-book", 0);
        job.key = Some(format!("order-{order}"));
        let double = async move {
            let (first, second) = tokio::join!(caller.run(&job), caller.run(&job));
            [first, second]
        };
        clicks.push(tokio::spawn(double));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let mut whole = 0;
    for click in clicks {
        let reports = click.await.unwrap();
        let answered = reports
            .iter()
            .filter(|r| r.outcome == Outcome::Whole)
            .count();
        assert!(answered <= 1, "{reports:?}");
        whole += answered;
    }
    let mut most = 0;
    for upstreams in fleet.site.upstreams.values() {
        let log = upstreams.log();
        most = most.max(
            log.by_key
                .values()
                .map(|runs| runs.started)
                .max()
                .unwrap_or(0),
        );
    }
    assert_eq!(most, 1, "no key ran twice");
    assert!(whole > ORDERS * 9 / 10, "{whole} of {ORDERS} were answered");
}

#[tokio::test(flavor = "multi_thread")]
async fn while_the_platform_is_down_a_claimed_order_is_not_run_and_a_ticketed_one_is() {
    let _alone = alone().await;
    let spec = spec();
    let policy = spec.policy(0.5, 2.0);
    let fleet = Fleet::serving(spec, &policy).await;
    fleet.site.platform.control(|control| control.outage = true);
    let caller = fleet.caller(0);
    let job = fleet.job("order-book", 0);
    assert_eq!(caller.run(&job).await.outcome, Outcome::Whole);
    fleet
        .site
        .platform
        .control(|control| control.outage = false);
    let claimed = policy.replace("\"once\"", "\"once_claimed\"");
    fleet.submit(fleet.any_admin(), &claimed).await;
    common::eventually("the claimed class is in force", || async {
        fleet.versions().await.values().all(|version| *version == 2)
    })
    .await;
    fleet.site.platform.control(|control| control.outage = true);
    let mut job = job;
    job.key = Some("order-1".into());
    let outcome = caller.run(&job).await.outcome;
    let Outcome::Refused {
        error,
        ran,
        retry_after_ms,
    } = outcome
    else {
        panic!("{outcome:?}");
    };
    assert_eq!(
        (error.as_str(), ran.as_str()),
        ("claim_unavailable", "not_run")
    );
    assert!(retry_after_ms.is_some());
    fleet
        .site
        .platform
        .control(|control| control.outage = false);
    assert_eq!(caller.run(&job).await.outcome, Outcome::Whole);
}
