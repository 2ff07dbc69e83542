//! The store's adapter against the stand-in: what each fault looks like to a caller.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_lab::platform::Platform;
use brasswinch_store::{CasOutcome, Store, StoreError, WatchEvent};
use std::time::Duration;
use tokio::net::TcpListener;

async fn store() -> (Platform, Store) {
    let platform = Platform::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(platform.clone().run(listener));
    (platform, Store::new(address, None, Duration::from_secs(5)))
}

#[tokio::test]
async fn a_compare_and_swap_takes_effect_once() {
    let (_platform, store) = store().await;
    let CasOutcome::Written(first) = store.compare_and_swap("/a", 0, b"1", None).await.unwrap()
    else {
        panic!("the key did not exist");
    };
    let CasOutcome::Conflict(Some(held)) =
        store.compare_and_swap("/a", 0, b"2", None).await.unwrap()
    else {
        panic!("the key exists");
    };
    assert_eq!((held.value.as_slice(), held.revision), (&b"1"[..], first));
    assert!(!store.delete_if("/a", first + 9).await.unwrap());
    assert!(store.delete_if("/a", first).await.unwrap());
    assert_eq!(store.get("/a").await.unwrap(), None);
}

#[tokio::test]
async fn a_lost_answer_is_told_apart_from_a_refusal() {
    let (platform, store) = store().await;
    platform.control(|control| control.lose_answers = 1);
    let lost = store
        .compare_and_swap("/a", 0, b"1", None)
        .await
        .unwrap_err();
    assert!(lost.may_have_taken_effect(), "{lost}");
    assert_eq!(store.get("/a").await.unwrap().unwrap().value, b"1");
    platform.control(|control| control.writes_per_second = 1);
    let mut throttled = false;
    for _ in 0..3 {
        let outcome = store.compare_and_swap("/b", 0, b"1", None).await;
        throttled |= outcome == Err(StoreError::Throttled);
    }
    assert!(throttled);
    assert!(!StoreError::Throttled.may_have_taken_effect());
}

#[tokio::test]
async fn a_watch_reports_what_was_missed_and_what_comes() {
    let (platform, store) = store().await;
    store.compare_and_swap("/w/a", 0, b"1", None).await.unwrap();
    let mut watch = store.watch("/w/", 1).await.unwrap();
    store.compare_and_swap("/w/b", 0, b"2", None).await.unwrap();
    store.compare_and_swap("/x", 0, b"3", None).await.unwrap();
    let mut seen = Vec::new();
    while seen.len() < 2 {
        for event in watch.next().await.unwrap().events {
            let WatchEvent::Put(value) = event else {
                panic!("nothing was deleted");
            };
            seen.push(value.key);
        }
    }
    assert_eq!(seen, ["/w/a", "/w/b"]);
    assert_eq!(platform.counts().watches_open, 1);
}

#[tokio::test]
async fn a_key_goes_with_its_lease() {
    let (_platform, store) = store().await;
    let lease = store.grant_lease(Duration::from_secs(1)).await.unwrap();
    store
        .compare_and_swap("/l", 0, b"1", Some(lease))
        .await
        .unwrap();
    while store.get("/l").await.unwrap().is_some() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn a_value_over_a_megabyte_is_refused() {
    let (_platform, store) = store().await;
    let large = vec![0; 1024 * 1024 + 1];
    assert!(
        store
            .compare_and_swap("/big", 0, &large, None)
            .await
            .is_err()
    );
    assert_eq!(store.get("/big").await.unwrap(), None);
}
