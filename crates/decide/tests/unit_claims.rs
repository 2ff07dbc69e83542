//! Boxes that claim, give up and take over units one compare-and-swap at a time reach equal
//! shares, and only boxes gone from the platform's list lose their units.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_decide::unit_claims::{GONE_AFTER_MS, ListTracker, claim, give_up, owned, surplus};
use brasswinch_types::{BoxId, Incarnation, UNITS, UnitTable, unit_of_slot};
use std::collections::BTreeSet;

fn id(index: usize) -> BoxId {
    BoxId::new(format!("box-{index}"))
}

#[test]
fn boxes_that_join_one_after_another_reach_equal_shares() {
    for boxes in [1, 2, 3, 5, 12, 40] {
        let mut table = UnitTable::default();
        // In each round every box acts on the current table, one compare-and-swap at a time.
        for _ in 0..4 {
            for index in 0..boxes {
                let excess = surplus(&table, &id(index), boxes, |_| true);
                if !excess.is_empty() {
                    table = give_up(&table, &id(index), &excess);
                }
                if let Some(claim) = claim(&table, &id(index), Incarnation(1), boxes, |_| false) {
                    table = claim.table;
                }
            }
        }
        let share = UNITS.div_ceil(boxes);
        assert_eq!(table.free(), 0, "{boxes} boxes");
        for index in 0..boxes {
            let count = table.count_of(&id(index));
            assert!(count <= share && count > 0, "{boxes} boxes: {count}");
        }
    }
}

#[test]
fn a_silent_box_keeps_its_units_and_a_gone_one_loses_them() {
    let all = claim(&UnitTable::default(), &id(0), Incarnation(1), 1, |_| false);
    let table = all.unwrap().table;
    assert!(claim(&table, &id(1), Incarnation(2), 1, |_| false).is_none());
    let taken = claim(&table, &id(1), Incarnation(2), 1, |gone| *gone == id(0)).unwrap();
    assert_eq!(taken.taken_over.len(), UNITS);
    assert_eq!(taken.table.count_of(&id(1)), UNITS);
}

#[test]
fn a_box_gives_up_only_unused_units() {
    let table = claim(&UnitTable::default(), &id(0), Incarnation(1), 1, |_| false)
        .unwrap()
        .table;
    let excess = surplus(&table, &id(0), 2, |unit| unit < 10);
    assert!(excess.iter().all(|unit| *unit < 10));
    let after = give_up(&table, &id(0), &excess);
    assert_eq!(owned(&after, &id(0)).len(), UNITS - excess.len());
    assert_eq!(after.version, table.version + 1);
}

#[test]
fn a_box_counts_as_gone_only_after_the_list_has_dropped_it_for_a_while() {
    let mut watch = ListTracker::default();
    let listed: BTreeSet<BoxId> = [id(0)].into();
    watch.observe(&listed, &[id(0), id(1)], 0);
    // Never seen in the list, so it may be too new for it.
    assert!(!watch.is_gone(&id(1), 600_000, GONE_AFTER_MS));
    assert!(watch.is_gone(&id(1), 600_000, 600_000));
    watch.observe(&BTreeSet::new(), &[id(0)], 1_000);
    assert!(!watch.is_gone(&id(0), 600_000, 1_000 + GONE_AFTER_MS - 1));
    assert!(watch.is_gone(&id(0), 600_000, 1_000 + GONE_AFTER_MS));
    watch.observe(&listed, &[id(0)], 5_000);
    assert!(
        !watch.is_gone(&id(0), 600_000, 600_000),
        "the list shows it again"
    );
}

#[test]
fn neighbouring_slots_fall_to_different_units_evenly() {
    for load in [12, 40, 120, 1_000] {
        let mut counts = [0_u32; UNITS];
        for slot in 0..load {
            counts[unit_of_slot(slot)] += 1;
        }
        let max = counts.iter().max().unwrap();
        let min = counts.iter().min().unwrap();
        assert!(max - min <= 1, "load {load}: {min} to {max}");
        // Two boxes with half of the units each get about half of the slots.
        let half: u32 = counts[..UNITS / 2].iter().sum();
        assert!(half.abs_diff(load / 2) <= 1, "load {load}: {half}");
    }
}
