//! Boxes lend their share of a quota to one coordinator at a time.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_routing::{
    Admission, KnownSize, QuotaBounds, QuotaBox, QuotaClass, QuotaCount, QuotaLimit, QuotaLoan,
    QuotaReply, Quotas, ToCoordinator,
};
use brasswinch_types::{BoxId, Workspace};
use std::net::SocketAddr;

const BOUNDS: QuotaBounds = QuotaBounds {
    window_s: 5.0,
    overage: 0.1,
    slack: 20.0,
};

const LIMIT: QuotaLimit = QuotaLimit {
    rate_per_s: 100.0,
    burst: 100.0,
};

/// Time by which all boxes know each other, and loans from before a restart have expired.
const SETTLED_AT_MS: u64 = 5_000;

fn address(index: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + index))
}

fn quota_box(index: u16) -> QuotaBox {
    QuotaBox {
        id: BoxId::new(format!("box-{index}")),
        address: address(index),
    }
}

fn workspace() -> Workspace {
    Workspace::new("alpha")
}

/// Returns one of ten boxes that isn't the coordinator, and the coordinator's address.
fn box_and_coordinator() -> (Quotas, SocketAddr) {
    let mut quotas = quotas_of(0);
    let coordinator = quotas.coordinator(&workspace()).unwrap().clone();
    if coordinator != quota_box(0) {
        return (quotas, coordinator.address);
    }
    (quotas_of(1), coordinator.address)
}

fn quotas_of(me: u16) -> Quotas {
    let mut quotas = Quotas::new(quota_box(me).id, BOUNDS);
    quotas.set_boxes((0..10).map(quota_box).collect(), 10, 1);
    quotas
}

/// Returns the request for a grant that the next request causes.
fn ask(quotas: &mut Quotas, now: u64) -> ToCoordinator {
    match quotas.admit(&workspace(), LIMIT, QuotaClass::default(), now, 0.5, now) {
        Admission::Ask(ask) => ask,
        other => panic!("{other:?}"),
    }
}

fn reply(id: u64, stamp: u64) -> QuotaReply {
    QuotaReply {
        id,
        workspace: workspace(),
        is_granted: true,
        is_near_limit: true,
        retry_after_ms: 0,
        stamp,
        wait_ms: None,
    }
}

fn count(id: u64, needs_grant: bool, loan: Option<QuotaLoan>) -> QuotaCount {
    QuotaCount {
        id,
        workspace: workspace(),
        runs: i32::from(needs_grant),
        needs_grant,
        refused_locally: 0,
        loan,
        class: 0,
        priority: 0,
        max_wait_ms: 0,
        withdraw: false,
    }
}

/// Guards against a share that is lent twice: two boxes that coordinate a quota at once would each
/// fill their bucket at the rate of all boxes.
#[test]
fn a_box_lends_its_share_to_two_coordinators() {
    let (mut quotas, coordinator) = box_and_coordinator();
    let first = ask(&mut quotas, SETTLED_AT_MS);
    assert_eq!(first.count.loan, None, "no reply of the coordinator yet");
    quotas.handle_grant_reply(
        &reply(first.count.id, 70),
        coordinator,
        QuotaClass::default(),
        0.5,
        SETTLED_AT_MS + 10,
    );
    let loan = ask(&mut quotas, SETTLED_AT_MS + 20).count.loan.unwrap();
    assert_eq!(
        loan,
        QuotaLoan {
            stamp: 70,
            boxes: 10
        }
    );
    let remaining: Vec<QuotaBox> = (0..10).map(quota_box).collect();
    let remaining = remaining
        .into_iter()
        .filter(|held| held.address != coordinator);
    quotas.set_boxes(remaining.collect(), 9, SETTLED_AT_MS + 30);
    let next = quotas.coordinator(&workspace()).unwrap().address;
    for now in [SETTLED_AT_MS + 40, SETTLED_AT_MS + 700] {
        let id = ask(&mut quotas, now).count.id;
        quotas.handle_grant_reply(&reply(id, 900), next, QuotaClass::default(), 0.5, now + 10);
        assert_eq!(ask(&mut quotas, now + 20).count.loan, None, "{now}");
    }
    // The lease of the first coordinator has expired.
    let id = ask(&mut quotas, SETTLED_AT_MS + 810).count.id;
    quotas.handle_grant_reply(
        &reply(id, 1_600),
        next,
        QuotaClass::default(),
        0.5,
        SETTLED_AT_MS + 820,
    );
    let loan = ask(&mut quotas, SETTLED_AT_MS + 830).count.loan.unwrap();
    assert_eq!(
        loan,
        QuotaLoan {
            stamp: 1_600,
            boxes: 10
        }
    );
}

/// Guards against a share that is used twice: by its box, since the coordinator stopped replying,
/// and by the coordinator, which still fills its bucket with it.
#[test]
fn a_box_uses_its_share_while_it_is_lent() {
    let (mut quotas, coordinator) = box_and_coordinator();
    let first = ask(&mut quotas, SETTLED_AT_MS);
    quotas.handle_grant_reply(
        &reply(first.count.id, 70),
        coordinator,
        QuotaClass::default(),
        0.5,
        SETTLED_AT_MS + 10,
    );
    let asked = ask(&mut quotas, SETTLED_AT_MS + 20);
    let again = quotas.handle_timeout(asked, LIMIT, false, SETTLED_AT_MS + 80);
    let Admission::Ask(asked) = again else {
        panic!("{again:?}");
    };
    let refused = quotas.handle_timeout(asked.clone(), LIMIT, true, SETTLED_AT_MS + 140);
    assert!(matches!(refused, Admission::Refuse { retry_after_ms } if retry_after_ms >= 670));
    let alone = quotas.handle_timeout(asked, LIMIT, true, SETTLED_AT_MS + 811);
    assert_eq!(alone, Admission::Send(None));
}

/// Returns how many requests of one box the coordinator grants in the second from `from`.
fn granted(coordinator: &mut Quotas, from: u64) -> usize {
    let mut ask = |now: u64| {
        let reply = coordinator.handle_count(&count(now, true, None), address(1), LIMIT, now);
        reply.is_some_and(|reply| reply.is_granted)
    };
    (from..from + 1_000)
        .step_by(2)
        .filter(|now| ask(*now))
        .count()
}

/// Guards against invalid loans that fill a coordinator's bucket.
#[test]
fn a_bucket_is_filled_by_invalid_loans() {
    let mut coordinator = quotas_of(0);
    granted(&mut coordinator, SETTLED_AT_MS);
    let began = SETTLED_AT_MS + 2_000;
    let bad = [
        QuotaLoan {
            stamp: began + 60_000,
            boxes: 10,
        },
        QuotaLoan {
            stamp: u64::MAX,
            boxes: 10,
        },
        QuotaLoan {
            stamp: began - 900,
            boxes: 1,
        },
        QuotaLoan { stamp: 0, boxes: 1 },
        QuotaLoan {
            stamp: began,
            boxes: 0,
        },
    ];
    for (place, loan) in bad.into_iter().enumerate() {
        let lender = address(20 + place as u16);
        coordinator.handle_count(&count(0, false, Some(loan)), lender, LIMIT, began);
    }
    assert_eq!(granted(&mut coordinator, began), 0);
    let good = QuotaLoan {
        stamp: began + 1_000,
        boxes: 2,
    };
    coordinator.handle_count(
        &count(0, false, Some(good)),
        address(40),
        LIMIT,
        began + 1_000,
    );
    let granted = granted(&mut coordinator, began + 1_000);
    assert!(
        (35..=41).contains(&granted),
        "half of 100 per second for 0.8 s: {granted}"
    );
}

/// Guards against a restarted box that lends a share which it lent to another coordinator before
/// its restart.
#[test]
fn a_box_that_has_just_started_lends_its_share() {
    let (mut quotas, coordinator) = box_and_coordinator();
    for now in [700, 790] {
        let id = ask(&mut quotas, now).count.id;
        quotas.handle_grant_reply(
            &reply(id, 70),
            coordinator,
            QuotaClass::default(),
            0.5,
            now + 1,
        );
        assert_eq!(ask(&mut quotas, now + 2).count.loan, None, "{now}");
    }
    let id = ask(&mut quotas, 810).count.id;
    quotas.handle_grant_reply(&reply(id, 80), coordinator, QuotaClass::default(), 0.5, 811);
    assert!(ask(&mut quotas, 812).count.loan.is_some());
}

/// Guards against a box that doesn't know the fleet's size and lends a share, or coordinates, as if
/// its side of a partition were the whole fleet.
#[test]
fn a_box_that_does_not_know_the_fleet_s_size_owns_a_share() {
    let (mut quotas, coordinator) = box_and_coordinator();
    quotas.set_fleet_size(KnownSize::Pending);
    let asked = ask(&mut quotas, SETTLED_AT_MS);
    let reply = QuotaReply {
        id: asked.count.id,
        workspace: workspace(),
        is_granted: true,
        is_near_limit: true,
        retry_after_ms: 0,
        stamp: SETTLED_AT_MS,
        wait_ms: None,
    };
    quotas.handle_grant_reply(
        &reply,
        coordinator,
        QuotaClass::default(),
        0.5,
        SETTLED_AT_MS + 20,
    );
    assert_eq!(ask(&mut quotas, SETTLED_AT_MS + 30).count.loan, None);
    let count = asked.count;
    let reply = quotas.handle_count(&count, address(9), LIMIT, SETTLED_AT_MS + 40);
    assert_eq!(reply, None, "it doesn't act as the coordinator");
    quotas.set_fleet_size(KnownSize::Reported(40));
    let loan = ask(&mut quotas, SETTLED_AT_MS + 50).count.loan.unwrap();
    assert_eq!(loan.boxes, 40);
}

/// Guards against a box that knows neither another box nor the fleet's size and uses the whole
/// quota.
#[test]
fn a_box_that_knows_no_other_box_uses_the_whole_quota() {
    let alone = || vec![quota_box(0)];
    let mut quotas = Quotas::new(quota_box(0).id, BOUNDS);
    quotas.set_boxes(alone(), 1, 1);
    let mut sent = 0;
    for now in (SETTLED_AT_MS..SETTLED_AT_MS + 5_000).step_by(10) {
        let admission = quotas.admit(&workspace(), LIMIT, QuotaClass::default(), now, 0.5, now);
        sent += usize::from(matches!(admission, Admission::Send(_)));
    }
    assert!(sent <= 1, "{sent} requests in 5 s");
    quotas.set_fleet_size(KnownSize::Reported(1));
    let admission = quotas.admit(
        &workspace(),
        LIMIT,
        QuotaClass::default(),
        1,
        0.5,
        SETTLED_AT_MS + 6_000,
    );
    assert_eq!(admission, Admission::Send(None));
}
