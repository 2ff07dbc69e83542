//! Workspaces that share boxes and don't trust each other.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_lab::callers::{Caller, Job, Outcome, Tally, new_tag, open_load};
use brasswinch_lab::deployment::{
    CALLER_TOKEN, RIVAL_CALLER_TOKEN, RIVAL_OPERATOR_TOKEN, Spec, caller_ip,
};
use common::{Fleet, alone};
use std::sync::Arc;
use std::time::Duration;

/// How long each load runs.
const LOAD: Duration = Duration::from_secs(5);

/// Requests a second of the workspace that must not be disturbed.
const STEADY: f64 = 100.0;

/// Requests a second of its rival, who has 8 slots and takes 500 ms each.
const FLOOD: f64 = 400.0;

const RIVAL_POLICY: &str = "let s = service(\"rival-desk\"); s.load(\"guj-west\", 8); \
     s.from_anywhere(#{\"guj-west\": 1});";

async fn fleet() -> Fleet {
    let mut spec = Spec::kavach(2, 2);
    spec.regions = vec!["guj-west"];
    spec.rival = true;
    let policy = spec.policy(0.5, 2.0);
    let mut fleet = Fleet::without_daemons(spec).await;
    for (zone, index) in fleet.places() {
        fleet.start(zone, index);
    }
    fleet.submit(fleet.any_admin(), &policy).await;
    submit_as_rival(&fleet, RIVAL_POLICY).await;
    fleet.until_serving(4, None).await;
    let rival = fleet.site.upstreams("rival-desk", "guj-west").unwrap();
    rival.control(|control| control.service_ms = 500);
    fleet
}

async fn submit_as_rival(fleet: &Fleet, source: &str) -> u16 {
    let body = serde_json::json!({ "source": source });
    let token = Some(RIVAL_OPERATOR_TOKEN);
    let admin = fleet.any_admin();
    let answer = fleet.client.post(admin, "/v1/policy", token, &body).await;
    answer.unwrap().status
}

async fn steady(fleet: &Fleet) -> (Arc<Tally>, f64) {
    let tally = Arc::new(Tally::default());
    let job = fleet.job("rate-desk", 0);
    open_load(fleet.caller(0), job, STEADY, LOAD, Arc::clone(&tally)).await;
    let p99_us = tally.latencies().unwrap().value_at_quantile(0.99);
    (tally, p99_us as f64 / 1_000.0)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rival_that_floods_and_submits_looping_policies_costs_the_other_no_request() {
    let _alone = alone().await;
    let fleet = fleet().await;
    let (_, quiet_ms) = steady(&fleet).await;
    let rival = Job::small("rival", RIVAL_CALLER_TOKEN, "rival-desk", "guj-west");
    let flooded = Arc::new(Tally::default());
    let caller = Caller::new(caller_ip(1), fleet.callers());
    let flood = tokio::spawn(open_load(caller, rival, FLOOD, LOAD, Arc::clone(&flooded)));
    let submissions = async {
        let mut refused = 0;
        for _ in 0..20 {
            let status = submit_as_rival(&fleet, "loop { let x = [1, 2, 3]; }").await;
            refused += u32::from(status == 422);
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        refused
    };
    let ((tally, busy_ms), refused) = tokio::join!(steady(&fleet), submissions);
    flood.await.unwrap();
    println!("p99 {quiet_ms:.1} ms alone, {busy_ms:.1} ms beside the flood");
    assert_eq!(refused, 20);
    assert!(flooded.by_outcome().contains_key("at_capacity (not_run)"));
    let missing_slots = fleet.log_lines("BW411");
    for report in tally.reports() {
        assert_eq!(report.outcome, Outcome::Whole, "{missing_slots:#?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_workspaces_credentials_open_nothing_of_the_other() {
    let _alone = alone().await;
    let fleet = fleet().await;
    let address = fleet.callers()[0];
    let caller = fleet.caller(0);
    // A rival's caller on this workspace's path, and on its service by name.
    let stolen_path = Job::small("kavach", RIVAL_CALLER_TOKEN, "rate-desk", "guj-west");
    let outcome = caller
        .send_to(address, &stolen_path, None, &new_tag())
        .await;
    assert!(matches!(outcome, Outcome::Refused { error, .. } if error == "forbidden"));
    let stolen_name = Job::small("rival", RIVAL_CALLER_TOKEN, "rate-desk", "guj-west");
    let outcome = caller.lookup_at(address, &stolen_name).await.unwrap_err();
    assert!(matches!(outcome, Outcome::Refused { error, .. } if error == "unknown_service"));
    // A caller's credential is not an operator's.
    for token in [CALLER_TOKEN, RIVAL_CALLER_TOKEN] {
        let answer: serde_json::Value = fleet
            .client
            .get(fleet.any_admin(), "/v1/status", Some(token))
            .await
            .unwrap();
        assert_eq!(answer["error"], "unauthenticated");
    }
    // A rival's operator sees and drains its own only.
    let seen: serde_json::Value = fleet
        .client
        .get(fleet.any_admin(), "/v1/status", Some(RIVAL_OPERATOR_TOKEN))
        .await
        .unwrap();
    let text = seen.to_string();
    assert!(text.contains("rival-desk"));
    assert!(
        !text.contains("rate-desk") && !text.contains("kavach"),
        "{text}"
    );
    let drain = serde_json::json!({ "service": "rate-desk", "upstream": "rate-desk-guj-west-a-1" });
    let token = Some(RIVAL_OPERATOR_TOKEN);
    let answer = fleet
        .client
        .post(fleet.any_admin(), "/v1/drains", token, &drain)
        .await;
    assert_eq!(answer.unwrap().status, 422);
    assert_eq!(
        submit_as_rival(&fleet, "service(\"rate-desk\");").await,
        422
    );
}
