//! Shifts stay under their cap as the upstreams count them: kills, races, a lost region.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_lab::callers::{Outcome, Tally, open_load};
use brasswinch_lab::counting::largest_shift;
use brasswinch_lab::deployment::Spec;
use common::{Fleet, alone};
use std::sync::Arc;
use std::time::Duration;

/// The policy's cap and its window in seconds.
const CAP: f64 = 0.3;
const WINDOW: f64 = 4.0;

/// Requests a second of guj-west's callers.
const PER_SECOND: f64 = 150.0;

/// A second's slice counts 150 requests; boxes round to whole ones, and arrivals jitter
/// over a slice's ends.
const GRAIN: f64 = 0.05;

fn spec() -> Spec {
    let mut spec = Spec::kavach(2, 3);
    spec.zones_per_region = 1;
    spec
}

fn policy(home_goes_to: &str) -> String {
    let kept = "s.from(\"guj-west\", #{\"guj-west\": 8, \"mah-north\": 1, \"raj-south\": 1});";
    spec()
        .policy(CAP, WINDOW)
        .replace(kept, &format!("s.from(\"guj-west\", #{{{home_goes_to}}});"))
}

const HOME: &str = "\"guj-west\": 8, \"mah-north\": 1, \"raj-south\": 1";

fn load(fleet: &Fleet, seconds: u64) -> (tokio::task::JoinHandle<()>, Arc<Tally>) {
    let tally = Arc::new(Tally::default());
    let load = open_load(
        fleet.caller(0),
        fleet.job("rate-desk", 0),
        PER_SECOND,
        Duration::from_secs(seconds),
        Arc::clone(&tally),
    );
    (tokio::spawn(load), tally)
}

fn shift(fleet: &Fleet) -> f64 {
    largest_shift(&fleet.site, "rate-desk", "guj-west", PER_SECOND, WINDOW)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_box_killed_and_replaced_mid_shift_does_not_jump_to_the_target() {
    let _alone = alone().await;
    let mut fleet = Fleet::serving(spec(), &policy(HOME)).await;
    let (load, tally) = load(&fleet, 18);
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet
        .submit(fleet.any_admin(), &policy("\"mah-north\": 1"))
        .await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let name = fleet.site.box_name(0, 1);
    fleet.daemon(&name).kill();
    fleet.start(0, 1);
    load.await.unwrap();
    let shift = shift(&fleet);
    assert!(shift <= CAP + GRAIN, "{shift:.3} of {CAP}");
    let moved = tally
        .reports()
        .iter()
        .rev()
        .take(100)
        .filter(|report| report.region.as_deref() == Some("mah-north"))
        .count();
    assert!(moved > 90, "the shift has arrived: {moved} of the last 100");
}

#[tokio::test(flavor = "multi_thread")]
async fn two_operators_racing_opposite_shifts_do_not_pass_the_cap() {
    let _alone = alone().await;
    let fleet = Fleet::serving(spec(), &policy(HOME)).await;
    let (load, _) = load(&fleet, 14);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let admins: Vec<_> = fleet.daemons.values().map(|daemon| daemon.admin).collect();
    let (north, south) = (policy("\"mah-north\": 1"), policy("\"raj-south\": 1"));
    for turn in 0..5 {
        let one = fleet.submitted(admins[turn], &north);
        let other = fleet.submitted(admins[turn + 1], &south);
        tokio::join!(one, other);
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    load.await.unwrap();
    let shift = shift(&fleet);
    assert!(shift <= CAP + GRAIN, "{shift:.3} of {CAP}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_region_moves_its_callers_no_faster_than_the_cap_and_tells_the_rest() {
    let _alone = alone().await;
    let mut fleet = Fleet::serving(spec(), &policy(HOME)).await;
    // The callers ask the boxes that will be left.
    let lost: Vec<String> = (1..=2).map(|index| fleet.site.box_name(0, index)).collect();
    let left: Vec<_> = fleet
        .daemons
        .iter()
        .filter(|(name, _)| !lost.contains(name))
        .map(|(_, daemon)| daemon.callers)
        .collect();
    let caller =
        brasswinch_lab::callers::Caller::new(brasswinch_lab::deployment::caller_ip(0), left);
    let tally = Arc::new(Tally::default());
    let load = tokio::spawn(open_load(
        caller,
        fleet.job("rate-desk", 0),
        PER_SECOND,
        Duration::from_secs(24),
        Arc::clone(&tally),
    ));
    tokio::time::sleep(Duration::from_secs(4)).await;
    for name in &lost {
        fleet.daemon(name).kill();
    }
    load.await.unwrap();
    let shift = shift(&fleet);
    assert!(shift <= CAP + GRAIN, "{shift:.3} of {CAP}");
    let capped = tally.reports().into_iter().filter(|report| {
        matches!(&report.outcome, Outcome::Refused { error, ran, retry_after_ms }
            if error == "shift_capped" && ran == "not_run" && retry_after_ms.is_some())
    });
    assert!(
        capped.count() > 0,
        "what may not move yet is told when to come back"
    );
    let last = tally.reports();
    let whole = last
        .iter()
        .rev()
        .take(100)
        .filter(|r| r.outcome == Outcome::Whole)
        .count();
    assert!(
        whole > 95,
        "after the shift all are served: {whole} of the last 100"
    );
}
