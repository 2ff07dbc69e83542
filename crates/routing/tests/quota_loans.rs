//! Boxes lend their part of a quota to one keeper at a time.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_routing::{
    Admission, KnownSize, QuotaBounds, QuotaBox, QuotaCount, QuotaLimit, QuotaLoan, QuotaWord,
    Quotas, ToKeeper,
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

/// When all boxes know each other, and what they lent in a former life is over.
const KNOWN: u64 = 5_000;

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

/// One of ten boxes that is not the keeper, and the keeper.
fn box_and_keeper() -> (Quotas, SocketAddr) {
    let mut quotas = quotas_of(0);
    let keeper = quotas.keeper(&workspace()).unwrap().clone();
    if keeper != quota_box(0) {
        return (quotas, keeper.address);
    }
    (quotas_of(1), keeper.address)
}

fn quotas_of(me: u16) -> Quotas {
    let mut quotas = Quotas::new(quota_box(me).id, BOUNDS);
    quotas.set_boxes((0..10).map(quota_box).collect(), 10, 1);
    quotas
}

/// The question that the next request asks.
fn question(quotas: &mut Quotas, now: u64) -> ToKeeper {
    match quotas.admit(&workspace(), LIMIT, now, 0.5, now) {
        Admission::Ask(question) => question,
        other => panic!("{other:?}"),
    }
}

fn word(id: u64, stamp: u64) -> QuotaWord {
    QuotaWord {
        id,
        workspace: workspace(),
        is_granted: true,
        is_tight: true,
        retry_after_ms: 0,
        stamp,
    }
}

fn count(id: u64, asks: bool, loan: Option<QuotaLoan>) -> QuotaCount {
    QuotaCount {
        id,
        workspace: workspace(),
        runs: i32::from(asks),
        asks,
        turned_away: 0,
        loan,
    }
}

/// Two boxes kept a quota at once, and each filled its bucket by all boxes.
#[test]
fn a_box_lends_its_part_to_two_keepers() {
    let (mut quotas, keeper) = box_and_keeper();
    let first = question(&mut quotas, KNOWN);
    assert_eq!(first.count.loan, None, "no word of it yet");
    quotas.answered(&word(first.count.id, 70), keeper, 0.5, KNOWN + 10);
    let loan = question(&mut quotas, KNOWN + 20).count.loan.unwrap();
    assert_eq!(
        loan,
        QuotaLoan {
            stamp: 70,
            boxes: 10
        }
    );
    let left: Vec<QuotaBox> = (0..10).map(quota_box).collect();
    let left = left.into_iter().filter(|held| held.address != keeper);
    quotas.set_boxes(left.collect(), 9, KNOWN + 30);
    let next = quotas.keeper(&workspace()).unwrap().address;
    for now in [KNOWN + 40, KNOWN + 700] {
        let id = question(&mut quotas, now).count.id;
        quotas.answered(&word(id, 900), next, 0.5, now + 10);
        assert_eq!(question(&mut quotas, now + 20).count.loan, None, "{now}");
    }
    // The first keeper's lease is over.
    let id = question(&mut quotas, KNOWN + 810).count.id;
    quotas.answered(&word(id, 1_600), next, 0.5, KNOWN + 820);
    let loan = question(&mut quotas, KNOWN + 830).count.loan.unwrap();
    assert_eq!(
        loan,
        QuotaLoan {
            stamp: 1_600,
            boxes: 10
        }
    );
}

/// A box whose keeper had fallen silent used the part that the keeper was still filling by.
#[test]
fn a_box_uses_its_part_while_it_is_lent() {
    let (mut quotas, keeper) = box_and_keeper();
    let first = question(&mut quotas, KNOWN);
    quotas.answered(&word(first.count.id, 70), keeper, 0.5, KNOWN + 10);
    let asked = question(&mut quotas, KNOWN + 20);
    let again = quotas.unanswered(asked, LIMIT, false, KNOWN + 80);
    let Admission::Ask(asked) = again else {
        panic!("{again:?}");
    };
    let refused = quotas.unanswered(asked.clone(), LIMIT, true, KNOWN + 140);
    assert!(matches!(refused, Admission::Refuse { retry_after_ms } if retry_after_ms >= 670));
    let alone = quotas.unanswered(asked, LIMIT, true, KNOWN + 811);
    assert_eq!(alone, Admission::Send(None));
}

/// A keeper's bucket: how many requests of one box it grants in the second that follows.
fn granted(keeper: &mut Quotas, from: u64) -> usize {
    let mut ask = |now: u64| {
        let word = keeper.hear_count(&count(now, true, None), address(1), LIMIT, now);
        word.is_some_and(|word| word.is_granted)
    };
    (from..from + 1_000)
        .step_by(2)
        .filter(|now| ask(*now))
        .count()
}

/// Loans that can't be meant filled a keeper's bucket.
#[test]
fn a_bucket_fills_by_loans_that_are_none() {
    let mut keeper = quotas_of(0);
    granted(&mut keeper, KNOWN);
    let began = KNOWN + 2_000;
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
        keeper.hear_count(&count(0, false, Some(loan)), lender, LIMIT, began);
    }
    assert_eq!(granted(&mut keeper, began), 0);
    let good = QuotaLoan {
        stamp: began + 1_000,
        boxes: 2,
    };
    keeper.hear_count(
        &count(0, false, Some(good)),
        address(40),
        LIMIT,
        began + 1_000,
    );
    let granted = granted(&mut keeper, began + 1_000);
    assert!(
        (35..=41).contains(&granted),
        "half of 100 a second for 0.8 s: {granted}"
    );
}

/// A box that started again lent what its former life had lent to another keeper.
#[test]
fn a_box_that_has_just_started_lends_its_part() {
    let (mut quotas, keeper) = box_and_keeper();
    for now in [700, 790] {
        let id = question(&mut quotas, now).count.id;
        quotas.answered(&word(id, 70), keeper, 0.5, now + 1);
        assert_eq!(question(&mut quotas, now + 2).count.loan, None, "{now}");
    }
    let id = question(&mut quotas, 810).count.id;
    quotas.answered(&word(id, 80), keeper, 0.5, 811);
    assert!(question(&mut quotas, 812).count.loan.is_some());
}

/// A box that was not told how many there are lent its side's part, or kept the quota for it.
#[test]
fn a_box_that_was_not_told_the_fleet_s_size_owns_a_part() {
    let (mut quotas, keeper) = box_and_keeper();
    quotas.set_fleet_size(KnownSize::Awaited);
    let asked = question(&mut quotas, KNOWN);
    let word = QuotaWord {
        id: asked.count.id,
        workspace: workspace(),
        is_granted: true,
        is_tight: true,
        retry_after_ms: 0,
        stamp: KNOWN,
    };
    quotas.answered(&word, keeper, 0.5, KNOWN + 20);
    assert_eq!(question(&mut quotas, KNOWN + 30).count.loan, None);
    let count = asked.count;
    let word = quotas.hear_count(&count, address(9), LIMIT, KNOWN + 40);
    assert_eq!(word, None, "it keeps nothing");
    quotas.set_fleet_size(KnownSize::Told(40));
    let loan = question(&mut quotas, KNOWN + 50).count.loan.unwrap();
    assert_eq!(loan.boxes, 40);
}

/// A box that hears nobody, and was told nothing, kept the whole quota for itself.
#[test]
fn a_box_that_hears_nobody_keeps_the_whole_quota() {
    let alone = || vec![quota_box(0)];
    let mut quotas = Quotas::new(quota_box(0).id, BOUNDS);
    quotas.set_boxes(alone(), 1, 1);
    let mut sent = 0;
    for now in (KNOWN..KNOWN + 5_000).step_by(10) {
        let admission = quotas.admit(&workspace(), LIMIT, now, 0.5, now);
        sent += usize::from(matches!(admission, Admission::Send(_)));
    }
    assert!(sent <= 1, "{sent} in 5 s");
    quotas.set_fleet_size(KnownSize::Told(1));
    let admission = quotas.admit(&workspace(), LIMIT, 1, 0.5, KNOWN + 6_000);
    assert_eq!(admission, Admission::Send(None));
}
