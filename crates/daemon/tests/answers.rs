//! Every caller gets the whole answer to its own request; "not run" is the truth.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_lab::callers::{Outcome, Tally, open_load};
use brasswinch_lab::counting::starts_by_tag;
use brasswinch_lab::deployment::Spec;
use common::{Fleet, alone};
use std::sync::Arc;
use std::time::Duration;

/// Tagged requests, unless the environment asks for another number.
const REQUESTS: usize = 3_000;

const BOXES_PER_ZONE: u64 = 2;

const TARGETS_PER_ZONE: u64 = 3;

/// Upstreams of a service in both zones of the region.
const UPSTREAMS: u64 = 2 * TARGETS_PER_ZONE;

/// Workers that send them.
const WORKERS: usize = 12;

/// How long a request occupies a slot where refusals are brought about, in milliseconds.
const SERVICE_MS: u64 = 30;

/// Slots of each upstream there, fewer than the deployment says.
const SLOTS: u32 = 1;

/// Requests a second for each service there, half as many again as its upstreams can serve.
const OVERLOAD_PER_S: u64 = UPSTREAMS * SLOTS as u64 * 1_000 / SERVICE_MS * 3 / 2;

fn spec() -> Spec {
    let mut spec = Spec::kavach(BOXES_PER_ZONE as usize, TARGETS_PER_ZONE as usize);
    spec.regions = vec!["guj-west"];
    spec
}

fn requests() -> usize {
    let asked = std::env::var("BRASSWINCH_TAGGED_REQUESTS").ok();
    asked
        .and_then(|asked| asked.parse().ok())
        .unwrap_or(REQUESTS)
}

/// Counts `not_run` answers to requests that an upstream did start.
fn contradictions(fleet: &Fleet, service: &str, tally: &Tally) -> (usize, usize) {
    let starts = starts_by_tag(&fleet.site, service);
    let reports = tally.reports();
    let not_run = reports.iter().filter(
        |report| matches!(&report.outcome, Outcome::Refused { ran, .. } if ran == "not_run"),
    );
    let (mut checked, mut wrong) = (0, 0);
    for report in not_run {
        checked += 1;
        wrong += usize::from(starts.contains_key(&report.tag));
    }
    (checked, wrong)
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_dropped_and_crossed_answers_are_never_taken_for_whole_ones() {
    let _alone = alone().await;
    let spec = spec();
    let policy = spec.policy(0.5, 2.0);
    let fleet = Fleet::serving(spec, &policy).await;
    for upstreams in fleet.site.upstreams.values() {
        upstreams.control(|control| {
            control.service_ms = 1;
            control.truncate_every = 17;
            control.drop_every = 19;
            control.cross_every = 23;
        });
    }
    let tally = Arc::new(Tally::default());
    let mut tasks = Vec::new();
    for worker in 0..WORKERS {
        let caller = fleet.caller(worker % 2);
        let mut job = fleet.job("rate-desk", 0);
        job.answer_bytes = 50_000;
        let tally = Arc::clone(&tally);
        let share = requests() / WORKERS;
        tasks.push(tokio::spawn(async move {
            for turn in 0..share {
                if turn % 10 == 9 {
                    // A caller that gives up; its connection must not serve another.
                    let given_up = Duration::from_millis(2);
                    let _ = tokio::time::timeout(given_up, caller.run(&job)).await;
                    continue;
                }
                tally.add(caller.run(&job).await);
            }
        }));
    }
    for task in tasks {
        task.await.unwrap();
    }
    let counts = tally.by_outcome();
    assert_eq!(counts.get("wrong"), None, "{counts:?}");
    assert!(counts["whole"] > requests() / 2, "{counts:?}");
    assert!(
        counts.contains_key("broken"),
        "cut answers were brought about: {counts:?}"
    );
    let (_, wrong) = contradictions(&fleet, "rate-desk", &tally);
    // A repeatable request may have been tried twice; not run still means never.
    assert_eq!(wrong, 0, "{counts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn not_run_is_true_while_boxes_are_killed_and_upstreams_drop_and_refuse() {
    let _alone = alone().await;
    let spec = spec();
    let policy = spec.policy(0.5, 2.0);
    let mut fleet = Fleet::serving(spec, &policy).await;
    for upstreams in fleet.site.upstreams.values() {
        upstreams.control(|control| {
            control.service_ms = SERVICE_MS;
            control.drop_every = 13;
            control.slots = SLOTS;
        });
    }
    let mut loads = Vec::new();
    for service in ["rate-desk", "order-book", "cad-intake"] {
        let tally = Arc::new(Tally::default());
        let mut job = fleet.job(service, 0);
        if service == "cad-intake" {
            job.upload_bytes = 200_000;
        }
        let duration = Duration::from_secs(8);
        let load = open_load(
            fleet.caller(0),
            job,
            OVERLOAD_PER_S as f64,
            duration,
            Arc::clone(&tally),
        );
        loads.push((service, tokio::spawn(load), tally));
    }
    for turn in 0..3 {
        tokio::time::sleep(Duration::from_secs(2)).await;
        let (zone, index) = (turn % 2, 1 + turn % 2);
        let name = fleet.site.box_name(zone, index);
        fleet.daemon(&name).kill();
        fleet.start(zone, index);
    }
    let mut all_checked = 0;
    for (service, load, tally) in loads {
        load.await.unwrap();
        let (checked, wrong) = contradictions(&fleet, service, &tally);
        assert_eq!(wrong, 0, "{service}: {:?}", tally.by_outcome());
        all_checked += checked;
    }
    assert!(
        all_checked > 50,
        "refusals were brought about: {all_checked}"
    );
}

/// Upstreams refused requests and asked for rest, and boxes sent the next ones 100 ms later.
#[tokio::test(flavor = "multi_thread")]
async fn boxes_send_to_upstreams_that_asked_for_rest() {
    let _alone = alone().await;
    let spec = spec();
    let policy = spec.policy(0.5, 2.0);
    let fleet = Fleet::serving(spec, &policy).await;
    for upstreams in fleet.site.upstreams.values() {
        upstreams.control(|control| {
            control.slots = 0;
            control.rest_s = 600;
        });
    }
    let refused = || -> u64 {
        let upstreams = fleet.site.upstreams.values();
        upstreams
            .map(|held| held.counts().sum(|target| target.refused))
            .sum()
    };
    let (duration, tally) = (Duration::from_secs(4), Arc::new(Tally::default()));
    let job = fleet.job("rate-desk", 0);
    open_load(fleet.caller(0), job, 100.0, duration, tally).await;
    // An upstream that was never used gets one request at a time.
    assert!((1..=BOXES_PER_ZONE * UPSTREAMS).contains(&refused()));
}
