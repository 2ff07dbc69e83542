//! An accepted policy comes into force everywhere and never goes back: lost answers,
//! races, a restored store, missed watch events, cuts.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_daemon::SubmitOutcome;
use brasswinch_lab::deployment::{Spec, zone_prefix};
use brasswinch_lab::faults::{Fault, Rule};
use common::{Fleet, alone, eventually};
use std::collections::BTreeMap;

fn spec() -> Spec {
    let mut spec = Spec::kavach(2, 1);
    spec.regions = vec!["guj-west", "mah-north"];
    spec
}

fn policy(mark: u32) -> String {
    format!("// {mark}\n{}", spec().policy(0.2, 5.0))
}

async fn fleet() -> Fleet {
    Fleet::serving(spec(), &policy(0)).await
}

/// Waits until every daemon has `version` in force; fails if any goes back meanwhile.
async fn until_in_force(fleet: &Fleet, version: u64) {
    let mut highest: BTreeMap<String, u64> = BTreeMap::new();
    let began = std::time::Instant::now();
    loop {
        let versions = fleet.versions().await;
        for (name, version) in &versions {
            let before = highest.insert(name.clone(), *version).unwrap_or(0);
            assert!(
                before <= *version,
                "{name} went back from {before} to {version}"
            );
        }
        if versions.values().all(|held| *held >= version) {
            return;
        }
        assert!(
            began.elapsed() < common::PATIENCE,
            "not in force: {versions:?}"
        );
    }
}

fn cut(from: String, to: String) -> Rule {
    Rule {
        from,
        to,
        fault: Fault::Cut,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_settled_by_reading_back() {
    let _alone = alone().await;
    let fleet = fleet().await;
    fleet
        .site
        .platform
        .control(|control| control.lose_answers = 1);
    let answer = fleet.submitted(fleet.any_admin(), &policy(1)).await;
    assert_eq!(answer.outcome, SubmitOutcome::Accepted, "{answer:?}");
    assert_eq!(answer.version, Some(2));
    until_in_force(&fleet, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_platform_that_is_down_changes_nothing_and_says_so() {
    let _alone = alone().await;
    let fleet = fleet().await;
    fleet.site.platform.control(|control| control.outage = true);
    let answer = fleet.submitted(fleet.any_admin(), &policy(1)).await;
    let told = answer.outcome;
    assert!(
        matches!(told, SubmitOutcome::Unavailable | SubmitOutcome::Unknown),
        "{answer:?}"
    );
    fleet
        .site
        .platform
        .control(|control| control.outage = false);
    // The same submission again: accepted once, whatever the first try did.
    let body = serde_json::json!({ "source": policy(1), "submission": answer.submission });
    let token = Some(brasswinch_lab::deployment::OPERATOR_TOKEN);
    let again = fleet
        .client
        .post(fleet.any_admin(), "/v1/policy", token, &body)
        .await
        .unwrap();
    assert_eq!(again.status, 200);
    until_in_force(&fleet, 2).await;
    assert!(fleet.versions().await.values().all(|version| *version == 2));
}

#[tokio::test(flavor = "multi_thread")]
async fn of_racing_submissions_each_is_told_the_truth() {
    let _alone = alone().await;
    let fleet = fleet().await;
    let admins: Vec<_> = fleet.daemons.values().map(|daemon| daemon.admin).collect();
    let mut accepted = Vec::new();
    let mut superseded = 0;
    for round in 0..10 {
        let sources: Vec<String> = (0..4)
            .map(|racer| policy(100 + round * 4 + racer))
            .collect();
        let racers = sources
            .iter()
            .zip(&admins)
            .map(|(source, admin)| fleet.submitted(*admin, source));
        for answer in futures_util::future::join_all(racers).await {
            match answer.outcome {
                SubmitOutcome::Accepted => accepted.push((answer.version, answer.submission)),
                SubmitOutcome::Superseded => superseded += 1,
                other => panic!("{other:?}"),
            }
        }
    }
    let versions: std::collections::BTreeSet<_> = accepted.iter().map(|(v, _)| *v).collect();
    assert_eq!(
        versions.len(),
        accepted.len(),
        "each version was accepted once"
    );
    assert!(superseded > 0, "there were races");
    let (last, winner) = accepted.iter().max().unwrap();
    until_in_force(&fleet, last.unwrap()).await;
    for daemon in fleet.daemons.values() {
        let policy = fleet.status(daemon.admin).await.unwrap().policy.unwrap();
        assert_eq!(&policy.submission, winner);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_restored_from_an_older_copy_brings_nothing_back() {
    let _alone = alone().await;
    let fleet = fleet().await;
    fleet
        .client
        .post(platform(&fleet), "/save", None, &())
        .await
        .unwrap();
    for mark in 1..=3 {
        fleet.submitted(fleet.any_admin(), &policy(mark)).await;
    }
    until_in_force(&fleet, 4).await;
    fleet
        .client
        .post(platform(&fleet), "/restore", None, &())
        .await
        .unwrap();
    let key = "/brasswinch/config/policies/kavach";
    let store =
        brasswinch_store::Store::new(platform(&fleet), None, std::time::Duration::from_secs(2));
    eventually("what is in force is written back", || async {
        let stored = store.get(key).await.unwrap().unwrap();
        let entry: brasswinch_types::ConfigEntry = serde_json::from_slice(&stored.value).unwrap();
        entry.version == 4
    })
    .await;
    assert!(fleet.versions().await.values().all(|version| *version == 4));
    let answer = fleet.submitted(fleet.any_admin(), &policy(9)).await;
    assert_eq!(answer.version, Some(5));
    until_in_force(&fleet, 5).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_missed_watch_event_is_made_good_by_comparing() {
    let _alone = alone().await;
    let fleet = fleet().await;
    fleet
        .site
        .platform
        .control(|control| control.mute_watches = true);
    // Written behind the daemons' backs, so that only the store knows of it.
    let store =
        brasswinch_store::Store::new(platform(&fleet), None, std::time::Duration::from_secs(2));
    let key = "/brasswinch/config/policies/kavach";
    let stored = store.get(key).await.unwrap().unwrap();
    let mut entry: brasswinch_types::ConfigEntry = serde_json::from_slice(&stored.value).unwrap();
    entry.version += 1;
    let bytes = serde_json::to_vec(&entry).unwrap();
    store
        .compare_and_swap(key, stored.revision, &bytes, None)
        .await
        .unwrap();
    until_in_force(&fleet, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_cut_from_the_platform_hears_of_a_policy_from_other_zones() {
    let _alone = alone().await;
    let fleet = fleet().await;
    fleet
        .site
        .proxy
        .set_rules(vec![cut(zone_prefix(0), "127.0.0.1".into())]);
    let other = fleet.site.box_name(2, 1);
    let answer = fleet
        .submitted(fleet.daemons[&other].admin, &policy(1))
        .await;
    assert_eq!(answer.outcome, SubmitOutcome::Accepted);
    until_in_force(&fleet, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_cut_from_everything_serves_its_old_policy_and_catches_up_when_healed() {
    let _alone = alone().await;
    let fleet = fleet().await;
    let mut rules = vec![cut(zone_prefix(0), "127.0.0.1".into())];
    for zone in 1..4 {
        rules.push(cut(zone_prefix(0), zone_prefix(zone)));
        rules.push(cut(zone_prefix(zone), zone_prefix(0)));
    }
    fleet.site.proxy.set_rules(rules);
    let other = fleet.site.box_name(2, 1);
    let cut_off = fleet.site.box_name(0, 1);
    let answer = fleet
        .submitted(fleet.daemons[&other].admin, &policy(1))
        .await;
    assert_eq!(answer.outcome, SubmitOutcome::Accepted);
    eventually("the rest has it in force", || async {
        fleet
            .versions()
            .await
            .iter()
            .all(|(name, version)| *version == 2 || name.starts_with("guj-west-a"))
    })
    .await;
    assert_eq!(fleet.versions().await[&cut_off], 1);
    let job = fleet.job("rate-desk", 0);
    let caller = brasswinch_lab::callers::Caller::new(
        brasswinch_lab::deployment::caller_ip(0),
        vec![fleet.daemons[&cut_off].callers],
    );
    let mut whole = 0;
    for _ in 0..20 {
        let outcome = caller.run(&job).await.outcome;
        whole += u32::from(outcome == brasswinch_lab::callers::Outcome::Whole);
    }
    assert!(whole > 0, "the cut zone serves on");
    fleet.site.proxy.set_rules(Vec::new());
    until_in_force(&fleet, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_policy_is_refused_with_its_place_and_another_workspace_can_not_look() {
    let _alone = alone().await;
    let fleet = fleet().await;
    let answer = fleet
        .submitted(
            fleet.any_admin(),
            "let s = service(\"rate-desk\");\nloop { }\n",
        )
        .await;
    assert_eq!(answer.outcome, SubmitOutcome::Refused);
    assert!(
        answer.reason.unwrap().contains("line 2"),
        "the place is named"
    );
    let rivals = fleet
        .submitted(fleet.any_admin(), "service(\"rivals-desk\");")
        .await;
    assert_eq!(rivals.outcome, SubmitOutcome::Refused);
    assert!(fleet.versions().await.values().all(|version| *version == 1));
    for token in [
        None,
        Some("guessed"),
        Some(brasswinch_lab::deployment::CALLER_TOKEN),
    ] {
        for path in ["/v1/status", "/v1/policy", "/v1/latency"] {
            let answer: Result<serde_json::Value, _> =
                fleet.client.get(fleet.any_admin(), path, token).await;
            assert_eq!(answer.unwrap()["error"], "unauthenticated");
        }
    }
}

fn platform(fleet: &Fleet) -> std::net::SocketAddr {
    fleet.site.box_settings(0, 1).platform.store_address
}
