//! No region is pushed past its load: floods, frozen boxes, kills, cuts, lies.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_lab::callers::{Outcome, Tally, open_load};
use brasswinch_lab::deployment::{Spec, zone_prefix};
use brasswinch_lab::faults::{Fault, Rule};
use common::{Fleet, alone, eventually};
use std::sync::Arc;
use std::time::Duration;

/// The region's load, below what its upstreams would take, so that one request too
/// many is counted rather than refused.
const LOAD: u32 = 10;

/// The policy's deadline for a request.
const DEADLINE: Duration = Duration::from_secs(5);

/// Requests a second; at 50 ms each they would need 25 slots.
const FLOOD: f64 = 500.0;

fn spec() -> Spec {
    let mut spec = Spec::kavach(2, 2);
    spec.regions = vec!["guj-west"];
    spec
}

fn policy(spec: &Spec) -> String {
    let slots = spec.region_slots("rate-desk");
    let before = format!("s.load(\"guj-west\", {slots});");
    spec.policy(0.5, 2.0)
        .replacen(&before, &format!("s.load(\"guj-west\", {LOAD});"), 1)
}

/// A fleet whose upstreams take anything and count it.
async fn counting_fleet() -> Fleet {
    let spec = spec();
    let policy = policy(&spec);
    let mut fleet = Fleet::without_daemons(spec).await;
    for upstreams in fleet.site.upstreams.values() {
        upstreams.control(|control| {
            control.slots = 1_000;
            control.service_ms = 50;
        });
    }
    for (zone, index) in fleet.places() {
        fleet.start(zone, index);
    }
    let accepted = fleet.submit(fleet.any_admin(), &policy).await;
    assert_eq!(accepted.status, 200);
    fleet.until_serving(4, None).await;
    fleet
}

fn flood(fleet: &Fleet, seconds: u64) -> (tokio::task::JoinHandle<()>, Arc<Tally>) {
    let tally = Arc::new(Tally::default());
    let load = open_load(
        fleet.caller(0),
        fleet.job("rate-desk", 0),
        FLOOD,
        Duration::from_secs(seconds),
        Arc::clone(&tally),
    );
    (tokio::spawn(load), tally)
}

fn most_in_use(fleet: &Fleet) -> u32 {
    let upstreams = fleet.site.upstreams("rate-desk", "guj-west").unwrap();
    upstreams.counts().most_in_use
}

/// Refusals must be told at once and with a time to come back.
fn check_refusals(tally: &Tally) {
    let mut spread = std::collections::BTreeSet::new();
    for report in tally.reports() {
        if let Outcome::Refused {
            error,
            ran,
            retry_after_ms,
        } = &report.outcome
            && error == "at_capacity"
        {
            assert_eq!(ran, "not_run");
            let ms = retry_after_ms.expect("told when to come back");
            assert!((200..=400).contains(&ms), "{ms} ms");
            spread.insert(ms / 20);
            // The deadline is 5 s; a refusal must not be held back towards it.
            assert!(
                report.took < DEADLINE / 2,
                "refused after {:?}",
                report.took
            );
        }
    }
    assert!(
        spread.len() > 5,
        "callers who obey come back at different times: {spread:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_flood_fills_the_load_and_never_passes_it() {
    let _alone = alone().await;
    let fleet = counting_fleet().await;
    let (load, tally) = flood(&fleet, 6);
    load.await.unwrap();
    check_refusals(&tally);
    let most = most_in_use(&fleet);
    assert!(most <= LOAD, "{most} of {LOAD}");
    assert_eq!(most, LOAD, "the whole load can be used");
}

#[tokio::test(flavor = "multi_thread")]
async fn boxes_frozen_killed_and_restarted_under_a_flood_never_pass_the_load() {
    let _alone = alone().await;
    let mut fleet = counting_fleet().await;
    let (load, tally) = flood(&fleet, 14);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (frozen, killed) = (fleet.site.box_name(0, 1), fleet.site.box_name(1, 1));
    // Longer than a loan's term, so that it wakes with loans that have ended.
    fleet.daemon(&frozen).freeze();
    tokio::time::sleep(Duration::from_secs(4)).await;
    fleet.daemon(&frozen).wake();
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.daemon(&killed).kill();
    fleet.start(1, 1);
    load.await.unwrap();
    assert!(tally.by_outcome().contains_key("at_capacity (not_run)"));
    let most = most_in_use(&fleet);
    assert!(most <= LOAD, "{most} of {LOAD}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_cut_from_the_platform_and_from_the_other_zone_serves_on_within_its_load() {
    let _alone = alone().await;
    let fleet = counting_fleet().await;
    let (load, tally) = flood(&fleet, 8);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let cut = |from: String, to: String| Rule {
        from,
        to,
        fault: Fault::Cut,
    };
    // From zone 0 to the platform and to zone 1, and from zone 1 to zone 0.
    let platform = "127.0.0.1".to_owned();
    fleet.site.proxy.set_rules(vec![
        cut(zone_prefix(0), platform),
        cut(zone_prefix(0), zone_prefix(1)),
        cut(zone_prefix(1), zone_prefix(0)),
    ]);
    let name = fleet.site.box_name(0, 1);
    let admin = fleet.daemons[&name].admin;
    eventually("the cut is noticed", || async {
        let status = fleet.status(admin).await;
        status.is_some_and(|status| !status.store_reached && !status.unreachable_zones.is_empty())
    })
    .await;
    let before = tally.by_outcome().get("whole").copied().unwrap_or(0);
    load.await.unwrap();
    let after = tally.by_outcome().get("whole").copied().unwrap_or(0);
    assert!(after > before, "it serves on");
    let most = most_in_use(&fleet);
    assert!(most <= LOAD, "{most} of {LOAD}");
}

#[tokio::test(flavor = "multi_thread")]
async fn load_reports_that_lie_push_nothing_past_the_load() {
    let _alone = alone().await;
    let fleet = counting_fleet().await;
    for upstreams in fleet.site.upstreams.values() {
        upstreams.control(|control| control.lie_in_use = Some(0));
    }
    let (load, _) = flood(&fleet, 4);
    load.await.unwrap();
    let most = most_in_use(&fleet);
    assert!(most <= LOAD, "{most} of {LOAD}");
}
