//! The fair queue by itself: shares of classes, order, expiry and invalid input.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_routing::{FairQueue, MIN_CLASS_WEIGHT, class_weight};

const NEVER: u64 = u64::MAX;

/// Returns how many of `pops` items each of the classes 0.. gets, all of which have a backlog.
fn shares(weights: &[f64], pops: usize) -> Vec<usize> {
    let mut queue = FairQueue::default();
    for (class, weight) in weights.iter().enumerate() {
        (0..pops).for_each(|_| queue.push(class as u64, *weight, NEVER, class));
    }
    let mut popped = vec![0; weights.len()];
    (0..pops).for_each(|_| popped[queue.pop(0).unwrap()] += 1);
    popped
}

/// Guards against classes that get more or less than their weight, or that invalid weights starve.
#[test]
fn a_class_gets_another_share_than_its_weight() {
    assert_eq!(shares(&[1.0, 0.5, 0.25], 700), [400, 200, 100]);
    assert_eq!(shares(&[1.0, MIN_CLASS_WEIGHT], 900), [800, 100]);
    for invalid in [0.0, -1.0, f64::NAN, f64::NEG_INFINITY] {
        assert_eq!(shares(&[1.0, invalid], 900), [800, 100], "{invalid}");
    }
    assert_eq!(shares(&[1.0, f64::INFINITY], 900), [450, 450]);
}

/// Guards against a class that saves up its unused share and later blocks the others with it.
#[test]
fn a_class_saves_its_unused_share() {
    let mut queue = FairQueue::default();
    (0..100).for_each(|_| queue.push(1, 1.0, NEVER, 1));
    (0..50).for_each(|_| assert_eq!(queue.pop(0), Some(1)));
    (0..50).for_each(|_| queue.push(2, 1.0, NEVER, 2));
    let first: Vec<_> = (0..20).map(|_| queue.pop(0).unwrap()).collect();
    assert_eq!(first.iter().filter(|class| **class == 2).count(), 10);
}

/// Guards against a request of a sparse class that waits for the backlog of another class.
#[test]
fn a_sparse_class_waits_behind_a_backlog() {
    let mut queue = FairQueue::default();
    (0..1_000).for_each(|_| queue.push(1, 0.5, NEVER, 1));
    for _ in 0..50 {
        queue.push(2, 1.0, NEVER, 2);
        let popped: Vec<_> = (0..3).map(|_| queue.pop(0).unwrap()).collect();
        assert!(popped.contains(&2), "{popped:?}");
    }
}

/// Guards against another order within a class, also where items are removed from its middle.
#[test]
fn items_of_a_class_change_their_order() {
    let mut queue = FairQueue::default();
    let expires = [NEVER, 5, NEVER, 10, NEVER];
    for (item, expires_at) in expires.into_iter().enumerate() {
        queue.push(1, 1.0, expires_at, item);
    }
    assert_eq!(queue.remove(|item| *item == 2), Some(2));
    assert_eq!(queue.remove(|item| *item == 2), None);
    assert_eq!(queue.remove_expired(10), [1, 3]);
    assert_eq!((queue.pop(10), queue.pop(10)), (Some(0), Some(4)));
    assert_eq!((queue.pop(10), queue.len()), (None, 0));
}

/// Guards against expired items that are popped, lost without being reported, or that keep the
/// items behind them from being popped.
#[test]
fn an_expired_item_is_popped_or_lost() {
    let mut queue = FairQueue::default();
    queue.push(1, 1.0, 5, "expired");
    queue.push(2, 1.0, 5, "expired");
    assert_eq!(queue.pop(5), None);
    queue.push(1, 1.0, 6, "live");
    assert_eq!(queue.pop(5), Some("live"));
    assert_eq!(queue.remove_expired(5), ["expired", "expired"]);
    assert_eq!((queue.len(), queue.classes()), (0, 0));
}

/// Guards against predictions that ignore the backlog or the other classes, and against a panic
/// for rates that aren't positive numbers.
#[test]
fn the_predicted_wait_ignores_the_backlog_or_other_classes() {
    let mut queue = FairQueue::default();
    assert_eq!(queue.wait_ms(1, 1.0, 100.0), 10);
    (0..9).for_each(|_| queue.push(1, 1.0, NEVER, ()));
    assert_eq!(queue.wait_ms(1, 1.0, 100.0), 100);
    assert_eq!(queue.wait_ms(2, 0.25, 100.0), 50);
    queue.push(2, 0.25, NEVER, ());
    assert_eq!(queue.wait_ms(1, 1.0, 100.0), 125);
    for rate_per_s in [0.0, -1.0, f64::NAN] {
        assert_eq!(queue.wait_ms(1, 1.0, rate_per_s), u64::MAX, "{rate_per_s}");
    }
}

/// Guards against an absurd priority that starves its class or overflows.
#[test]
fn an_absurd_priority_starves_its_class() {
    let weights = [0, 1, 2, 3, 4, u32::MAX].map(|priority| class_weight(priority, 0));
    assert_eq!(weights, [1.0, 0.5, 0.25, 0.125, 0.125, 0.125]);
    assert_eq!(class_weight(7, 6), 0.5);
    assert_eq!(class_weight(0, u32::MAX), 1.0);
}
