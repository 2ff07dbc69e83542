//! Requests that wait for a grant at a coordinator: repeats, withdrawals, limits, invalid input and
//! older builds.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_routing::{
    Admission, KnownSize, QueuedGrant, QueuedReply, QuotaBounds, QuotaBox, QuotaClass, QuotaCount,
    QuotaLimit, QuotaLoan, QuotaReply, Quotas, ToCoordinator, UndecidedGrant,
};
use brasswinch_types::{BoxId, Workspace};
use std::net::SocketAddr;
use std::time::Instant;

/// A new coordinator's bucket holds two tokens.
const BOUNDS: QuotaBounds = QuotaBounds {
    window_s: 5.0,
    overage: 0.1,
    slack: 18.0,
};

/// A quota that needs no loans, so that its bucket fills at the full rate: a token every 250 ms.
const LIMIT: QuotaLimit = QuotaLimit {
    rate_per_s: 4.0,
    burst: 0.0,
};

/// Time by which the coordinator acts as such.
const START_MS: u64 = 5_000;

/// Most requests that wait at a coordinator.
const MAX_WAITING: u64 = 4_096;

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

/// Returns the state of a box that serves alone, and so coordinates the quota.
fn lone_box() -> Quotas {
    let mut quotas = Quotas::new(quota_box(0).id, BOUNDS);
    quotas.set_fleet_size(KnownSize::Reported(1));
    quotas.set_boxes(vec![quota_box(0)], 1, 1);
    quotas
}

/// Returns a coordinator whose bucket is empty.
fn empty_coordinator() -> Quotas {
    let mut quotas = lone_box();
    let mut id = u64::MAX;
    while ask(&mut quotas, count(id, 0, 0), START_MS).is_granted {
        id -= 1;
    }
    quotas
}

fn class(class: u64, max_wait_ms: u64) -> QuotaClass {
    QuotaClass {
        class,
        priority: 0,
        max_wait_ms,
    }
}

/// Returns a request for a grant.
fn count(id: u64, class: u64, max_wait_ms: u64) -> QuotaCount {
    QuotaCount {
        id,
        workspace: workspace(),
        runs: 1,
        needs_grant: true,
        refused_locally: 0,
        loan: None,
        class,
        priority: 0,
        max_wait_ms,
        withdraw: false,
    }
}

fn withdrawal(id: u64) -> QuotaCount {
    QuotaCount {
        runs: 0,
        needs_grant: false,
        withdraw: true,
        ..count(id, 0, 0)
    }
}

/// Handles a count of box 1 that needs a reply.
fn ask(quotas: &mut Quotas, count: QuotaCount, now: u64) -> QuotaReply {
    quotas
        .handle_count(&count, address(1), LIMIT, now)
        .expect("a reply")
}

/// Returns the ids of the requests that are granted and refused up to `now`.
fn decided(quotas: &mut Quotas, now: u64) -> (Vec<u64>, Vec<u64>) {
    quotas.tick(now);
    let replies = quotas.take_grants(now);
    let (granted, refused): (Vec<_>, Vec<_>) = replies
        .into_iter()
        .partition(|queued| queued.reply.is_granted);
    let ids = |replies: Vec<QueuedReply>| replies.iter().map(|queued| queued.reply.id).collect();
    (ids(granted), ids(refused))
}

/// Guards against a request that is granted twice, takes two tokens, or is queued twice since it
/// was asked for again.
#[test]
fn a_repeated_request_is_granted_or_queued_twice() {
    let mut quotas = empty_coordinator();
    assert_eq!(
        ask(&mut quotas, count(1, 7, 500), START_MS).wait_ms,
        Some(250)
    );
    assert!(
        ask(&mut quotas, count(1, 7, 500), START_MS + 1)
            .wait_ms
            .is_some()
    );
    assert_eq!(decided(&mut quotas, START_MS + 260), (vec![1], vec![]));
    // The reply was lost; the repeat takes no token, so that the next request gets it.
    assert!(ask(&mut quotas, count(1, 7, 0), START_MS + 270).is_granted);
    assert!(
        ask(&mut quotas, count(2, 7, 500), START_MS + 480)
            .wait_ms
            .is_some()
    );
    assert_eq!(decided(&mut quotas, START_MS + 510), (vec![2], vec![]));
    assert_eq!(decided(&mut quotas, START_MS + 2_000), (vec![], vec![]));
}

/// Guards against the ids of two boxes that are mixed up, so that one gets the other's grant.
#[test]
fn two_boxes_that_use_the_same_id_share_a_grant() {
    let mut quotas = empty_coordinator();
    assert!(
        ask(&mut quotas, count(1, 7, 500), START_MS)
            .wait_ms
            .is_some()
    );
    assert_eq!(decided(&mut quotas, START_MS + 250), (vec![1], vec![]));
    let other = quotas.handle_count(&count(1, 7, 0), address(2), LIMIT, START_MS + 251);
    assert!(!other.unwrap().is_granted);
}

/// Guards against an expired request that takes a token, is granted, or gets no reply.
#[test]
fn an_expired_request_takes_a_token() {
    let mut quotas = empty_coordinator();
    ask(&mut quotas, count(1, 7, 250), START_MS);
    // Class 8 shares the rate, which the prediction for class 7 didn't know.
    ask(&mut quotas, count(2, 8, 500), START_MS);
    assert_eq!(decided(&mut quotas, START_MS + 240), (vec![], vec![]));
    assert_eq!(decided(&mut quotas, START_MS + 251), (vec![2], vec![1]));
    assert!(!ask(&mut quotas, count(3, 7, 0), START_MS + 490).is_granted);
    assert!(ask(&mut quotas, count(4, 7, 0), START_MS + 501).is_granted);
}

/// Guards against a withdrawn request that is granted, keeps its token, or gives back two; and
/// against withdrawals of unknown requests that give back a token.
#[test]
fn a_withdrawn_request_keeps_its_token_or_gives_back_two() {
    let mut quotas = empty_coordinator();
    ask(&mut quotas, count(1, 7, 500), START_MS);
    for id in [1, 1, 99, 0] {
        let reply = quotas.handle_count(&withdrawal(id), address(1), LIMIT, START_MS + 1);
        assert_eq!(reply, None);
    }
    assert_eq!(decided(&mut quotas, START_MS + 240), (vec![], vec![]));
    assert!(!ask(&mut quotas, count(2, 7, 0), START_MS + 241).is_granted);
    assert!(ask(&mut quotas, count(3, 7, 0), START_MS + 251).is_granted);
    for _ in 0..2 {
        quotas.handle_count(&withdrawal(3), address(1), LIMIT, START_MS + 252);
    }
    assert!(ask(&mut quotas, count(4, 7, 0), START_MS + 253).is_granted);
    assert!(!ask(&mut quotas, count(5, 7, 0), START_MS + 254).is_granted);
}

/// Guards against a last query that leaves the request in the queue, to be granted to nobody.
#[test]
fn the_last_query_leaves_its_request_waiting() {
    let mut quotas = empty_coordinator();
    ask(&mut quotas, count(1, 7, 500), START_MS);
    let last = ask(&mut quotas, count(1, 7, 0), START_MS + 100);
    assert_eq!((last.is_granted, last.wait_ms), (false, None));
    assert_eq!(decided(&mut quotas, START_MS + 260), (vec![], vec![]));
}

/// Guards against absurd waits and priorities, and requests without an id, which can't get a
/// second reply.
#[test]
fn invalid_input_is_queued_for_ever() {
    let mut quotas = empty_coordinator();
    let absurd = QuotaCount {
        priority: u32::MAX,
        ..count(1, 7, 1 << 63)
    };
    assert_eq!(ask(&mut quotas, absurd, START_MS).wait_ms, Some(250));
    assert_eq!(ask(&mut quotas, count(0, 7, 500), START_MS).wait_ms, None);
    let beyond = ask(&mut quotas, count(2, 7, u64::MAX), START_MS);
    assert_eq!(beyond.wait_ms, Some(500));
    assert_eq!(
        ask(&mut quotas, count(3, 7, u64::MAX), START_MS).wait_ms,
        None
    );
    let (_, refused) = decided(&mut quotas, START_MS + 2_000);
    assert_eq!(refused, [1, 2], "their wait was limited");
}

/// Guards against a box that stops being the coordinator and grants requests that wait, or leaves
/// their boxes without a reply.
#[test]
fn a_former_coordinator_grants_requests() {
    let mut quotas = empty_coordinator();
    ask(&mut quotas, count(1, 7, 500), START_MS);
    let other = (1..40)
        .map(quota_box)
        .find(|other| {
            let mut probe = Quotas::new(quota_box(0).id, BOUNDS);
            probe.set_boxes(vec![quota_box(0), other.clone()], 2, 1);
            probe.coordinator(&workspace()) == Some(other)
        })
        .unwrap();
    quotas.set_boxes(vec![quota_box(0), other], 2, START_MS + 10);
    assert_eq!(decided(&mut quotas, START_MS + 11), (vec![], vec![1]));
    assert_eq!(
        ask(&mut quotas, count(2, 7, 500), START_MS + 12).wait_ms,
        None
    );
    assert_eq!(decided(&mut quotas, START_MS + 600), (vec![], vec![]));
}

/// Guards against an older build, which expects one reply, that is made to wait.
#[test]
fn an_older_build_is_made_to_wait() {
    let mut quotas = empty_coordinator();
    let reply = ask(&mut quotas, count(1, 0, 0), START_MS);
    assert_eq!((reply.is_granted, reply.wait_ms), (false, None));
}

/// Guards against requests of older builds that never find a token while others wait.
#[test]
fn an_older_build_is_starved() {
    let mut quotas = empty_coordinator();
    let (mut of_older, mut waited) = (0, 0);
    for now in (START_MS..START_MS + 60_000).step_by(20) {
        ask(&mut quotas, count(now, 7, 500), now);
        let reply = ask(&mut quotas, count(1 + now, 0, 0), now);
        of_older += usize::from(reply.is_granted);
        waited += decided(&mut quotas, now).0.len();
    }
    // A weight of 1/8 beside 1, of 240 tokens.
    assert!((20..=28).contains(&of_older), "{of_older}");
    assert!((238..=240).contains(&(of_older + waited)), "{waited}");
}

/// Guards against a refused class that keeps a box from asking for another class.
#[test]
fn a_refused_class_delays_another_class() {
    let mut quotas = Quotas::new(quota_box(0).id, BOUNDS);
    quotas.set_fleet_size(KnownSize::Reported(2));
    // The other box is the coordinator, since this one doesn't serve.
    quotas.set_boxes(vec![quota_box(1)], 2, 1);
    let (look_ups, downloads) = (class(7, 200), class(8, 125));
    let admit =
        |quotas: &mut Quotas, class, now| quotas.admit(&workspace(), LIMIT, class, now, 0.5, now);
    let Admission::Ask(query) = admit(&mut quotas, look_ups, START_MS) else {
        panic!("a query");
    };
    let refusal = QuotaReply {
        id: query.count.id,
        workspace: workspace(),
        is_granted: false,
        is_near_limit: true,
        retry_after_ms: 900,
        stamp: 1,
        wait_ms: None,
    };
    quotas.handle_grant_reply(&refusal, address(1), look_ups, 0.5, START_MS + 1);
    let refused = admit(&mut quotas, look_ups, START_MS + 2);
    assert!(matches!(
        refused,
        Admission::Refuse {
            retry_after_ms: 900
        }
    ));
    let asked = admit(&mut quotas, downloads, START_MS + 2);
    assert!(
        matches!(asked, Admission::Ask(ToCoordinator { count, .. }) if count.refused_locally == 0)
    );
    let granted = QuotaReply {
        is_granted: true,
        ..refusal
    };
    quotas.handle_grant_reply(&granted, address(1), downloads, 0.5, START_MS + 3);
    let again = admit(&mut quotas, look_ups, START_MS + 202);
    assert!(
        matches!(again, Admission::Ask(ToCoordinator { count, .. }) if count.refused_locally == 1)
    );
    let status = quotas.status(START_MS + 203).remove(0);
    let counts = |class: &brasswinch_routing::QuotaClassStatus| {
        (
            class.class,
            class.asked,
            class.refused,
            class.refused_locally,
        )
    };
    assert_eq!(
        status.classes.iter().map(counts).collect::<Vec<_>>(),
        [(7, 2, 1, 1), (8, 1, 0, 0)]
    );
}

/// Guards against a box whose own request waits without a decision, or that withdraws it without
/// effect.
#[test]
fn a_coordinator_s_own_request_waits_for_ever() {
    let mut quotas = empty_coordinator();
    let waits = |quotas: &mut Quotas, id, now| -> QueuedGrant {
        match quotas.admit(&workspace(), LIMIT, class(7, 500), id, 0.5, now) {
            Admission::Wait(queued) => queued,
            other => panic!("{other:?}"),
        }
    };
    let first = waits(&mut quotas, 1, START_MS);
    assert_eq!((first.address, first.until), (address(0), START_MS + 500));
    let second = waits(&mut quotas, 2, START_MS);
    assert_eq!(quotas.withdraw(&first, START_MS + 1), None);
    quotas.tick(START_MS + 260);
    let replies = quotas.take_grants(START_MS + 260);
    assert_eq!((replies.len(), replies[0].address), (1, address(0)));
    let reply = &replies[0].reply;
    let sent = quotas.handle_grant_reply(reply, address(0), second.class, 0.5, START_MS + 260);
    assert_eq!((reply.id, sent), (2, Admission::Send(None)));
    let third = waits(&mut quotas, 3, START_MS + 300);
    let ended = quotas.handle_wait_end(third, LIMIT, 0.5, START_MS + 400);
    assert!(matches!(ended, Admission::Refuse { .. }), "{ended:?}");
    let status = quotas.status(START_MS + 401).remove(0).classes[0];
    assert_eq!((status.waited, status.granted, status.expired), (3, 1, 2));
}

/// Guards against a retry time that makes the clients of a class that is seldom refused wait for
/// those of a class that is often refused.
#[test]
fn a_class_is_told_to_retry_when_another_class_can() {
    let mut quotas = empty_coordinator();
    let mut retry_after_ms = |id, class| {
        let reply = ask(&mut quotas, count(id, class, 0), START_MS);
        assert!(!reply.is_granted);
        reply.retry_after_ms
    };
    let busy: Vec<u64> = (1..=10).map(|id| retry_after_ms(id, 7)).collect();
    // One refused request and the token that is missing, at 8/9 of 4 per second: class 0 was
    // refused before, and has the lowest weight.
    assert_eq!((busy[0], busy[9]), (562, 3_093));
    // Class 8 has 8/17 of the rate.
    assert_eq!(retry_after_ms(11, 8), 1_062);
    assert_eq!(retry_after_ms(12, 7), 5_000, "limited");
}

/// Guards against a queue that grows without limit. Prints how long a decision takes while as many requests wait as may.
#[test]
fn more_requests_wait_than_may() {
    const LARGE: QuotaLimit = QuotaLimit {
        rate_per_s: 20_000.0,
        burst: 0.0,
    };
    /// Decisions that are timed.
    const DECISIONS: u64 = 2_000;
    let loan = QuotaLoan {
        stamp: START_MS,
        boxes: 1,
    };
    let asked = |id: u64| QuotaCount {
        loan: Some(loan),
        ..count(id, 1 + id % 3, 500)
    };
    let mut quotas = lone_box();
    let mut id = 0;
    let mut waiting = 0;
    while id < 2 * MAX_WAITING && !quotas.take_queue_full() {
        id += 1;
        let reply = quotas.handle_count(&asked(id), address(1), LARGE, START_MS);
        waiting += u64::from(reply.unwrap().wait_ms.is_some());
    }
    assert_eq!(waiting, MAX_WAITING);
    let started = Instant::now();
    for decision in 0..DECISIONS {
        // A token comes every 0.05 ms, so that the queue stays almost full.
        let now = START_MS + decision / 20;
        quotas.handle_count(&asked(id + 1 + decision), address(1), LARGE, now);
    }
    let per_decision = started.elapsed() / DECISIONS as u32;
    println!("{per_decision:?} per decision with {MAX_WAITING} waiting requests");
    assert!(!quotas.take_grants(START_MS + 100).is_empty());
}

/// Guards against a token that is lost after a repeated query: the coordinator refuses the first
/// query and queues the repeat, and the box, which reads the late refusal, withdraws nothing.
#[test]
fn a_refused_request_leaves_its_repeat_in_the_queue() {
    let mut coordinator = empty_coordinator();
    let mut quotas = Quotas::new(quota_box(1).id, BOUNDS);
    quotas.set_fleet_size(KnownSize::Reported(2));
    quotas.set_boxes(vec![quota_box(0)], 2, 1);
    let class = class(7, 300);
    let admission = quotas.admit(&workspace(), LIMIT, class, 1, 0.5, START_MS);
    let Admission::Ask(query) = admission else {
        panic!("a query");
    };
    let mut undecided = UndecidedGrant::default();
    undecided.record_query(&query);
    // Shares the rate, so that the request would wait for too long.
    ask(&mut coordinator, count(9, 9, 500), START_MS);
    let refusal = ask(&mut coordinator, query.count.clone(), START_MS);
    assert_eq!((refusal.is_granted, refusal.wait_ms), (false, None));
    coordinator.handle_count(&withdrawal(9), address(1), LIMIT, START_MS + 50);
    undecided.record_query(&query);
    let repeat = ask(&mut coordinator, query.count, START_MS + 60);
    assert!(repeat.wait_ms.is_some());
    let admission = quotas.handle_grant_reply(&refusal, address(0), class, 0.5, START_MS + 65);
    assert!(matches!(admission, Admission::Refuse { .. }));
    undecided.record_decision(&admission);
    let queued = undecided.take().expect("an undecided request");
    let withdrawal = quotas.withdraw(&queued, START_MS + 65).expect("a message");
    coordinator.handle_count(&withdrawal.count, address(1), LIMIT, START_MS + 70);
    assert_eq!(decided(&mut coordinator, START_MS + 600), (vec![], vec![]));

    // After a single query, the refusal is final.
    undecided.record_query(&ToCoordinator {
        address: address(0),
        count: count(2, 7, 200),
    });
    undecided.record_decision(&admission);
    assert_eq!(undecided.take(), None);
}

/// Guards against a former coordinator whose refusals keep boxes from asking the current one, and
/// against requests that ask again and again while the coordinator changes.
#[test]
fn a_former_coordinator_s_refusal_starts_local_refusals() {
    let mut quotas = Quotas::new(quota_box(0).id, BOUNDS);
    quotas.set_fleet_size(KnownSize::Reported(3));
    quotas.set_boxes(vec![quota_box(1)], 3, 1);
    let patient = class(7, 200);
    let admission = quotas.admit(&workspace(), LIMIT, patient, 1, 0.5, START_MS);
    assert!(matches!(admission, Admission::Ask(query) if query.address == address(1)));
    quotas.set_boxes(vec![quota_box(2)], 3, START_MS + 1);
    let refusal = QuotaReply {
        id: 1,
        workspace: workspace(),
        is_granted: false,
        is_near_limit: true,
        retry_after_ms: 900,
        stamp: 1,
        wait_ms: None,
    };
    let now = START_MS + 2;
    let ended = quotas.handle_grant_reply(&refusal, address(1), patient, 0.5, now);
    let Admission::Wait(queued) = ended else {
        panic!("{ended:?}");
    };
    assert_eq!((queued.id, queued.until), (1, now));
    let asked = quotas.handle_wait_end(queued, LIMIT, 0.5, now);
    let Admission::Ask(query) = asked else {
        panic!("{asked:?}");
    };
    assert_eq!((query.address, query.count.id), (address(2), 1));
    assert_eq!(query.count.max_wait_ms, 0);
    let mut asks_first = |id, now| {
        let admission = quotas.admit(&workspace(), LIMIT, patient, id, 0.5, now);
        matches!(admission, Admission::Ask(_))
    };
    assert!(asks_first(2, now), "no local refusal");
    quotas.set_boxes(vec![quota_box(3)], 3, now + 1);
    let refused = quotas.handle_grant_reply(&refusal, address(2), class(7, 0), 0.5, now + 2);
    assert!(matches!(refused, Admission::Refuse { .. }), "{refused:?}");
    let admission = quotas.admit(&workspace(), LIMIT, patient, 3, 0.5, now + 3);
    assert!(matches!(admission, Admission::Ask(_)), "{admission:?}");
    quotas.handle_grant_reply(&refusal, address(3), patient, 0.5, now + 4);
    let admission = quotas.admit(&workspace(), LIMIT, patient, 4, 0.5, now + 5);
    assert!(
        matches!(admission, Admission::Refuse { .. }),
        "{admission:?}"
    );
}
