//! Messages of quotas as older builds send and read them.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_routing::{QuotaCount, QuotaReply};
use brasswinch_types::Workspace;
use serde::Serialize;
use std::collections::BTreeMap;

/// Returns the names of the fields that `message` is encoded with, in alphabetical order.
fn fields(message: &impl Serialize) -> String {
    let mut encoded = Vec::new();
    ciborium::into_writer(message, &mut encoded).unwrap();
    let fields: BTreeMap<String, ciborium::Value> =
        ciborium::from_reader(encoded.as_slice()).unwrap();
    fields.into_keys().collect()
}

fn count() -> QuotaCount {
    QuotaCount {
        id: 1,
        workspace: Workspace::new("alpha"),
        runs: 1,
        needs_grant: true,
        refused_locally: 0,
        loan: None,
        class: 0,
        priority: 0,
        max_wait_ms: 0,
        withdraw: false,
    }
}

/// Guards against fields that are sent although they are unset, and that change their names.
#[test]
fn an_older_build_receives_unknown_fields() {
    assert_eq!(fields(&count()), "alnqtw");
    let waiting = QuotaCount {
        class: u64::MAX,
        priority: u32::MAX,
        max_wait_ms: 500,
        withdraw: true,
        ..count()
    };
    assert_eq!(fields(&waiting), "aclmnpqtwx");
    let mut encoded = Vec::new();
    ciborium::into_writer(&waiting, &mut encoded).unwrap();
    let read: QuotaCount = ciborium::from_reader(encoded.as_slice()).unwrap();
    assert_eq!(read, waiting);
    let reply = QuotaReply {
        id: 1,
        workspace: Workspace::new("alpha"),
        is_granted: false,
        is_near_limit: true,
        retry_after_ms: 100,
        stamp: 5,
        wait_ms: None,
    };
    assert_eq!(fields(&reply), "gqrstw");
    let waits = QuotaReply {
        wait_ms: Some(0),
        ..reply
    };
    assert_eq!(fields(&waits), "gqrstvw");
}

/// Guards against messages of older builds that are rejected.
#[test]
fn a_message_of_an_older_build_is_rejected() {
    let mut encoded = Vec::new();
    ciborium::into_writer(&count(), &mut encoded).unwrap();
    let read: QuotaCount = ciborium::from_reader(encoded.as_slice()).unwrap();
    assert_eq!(read, count());
}
