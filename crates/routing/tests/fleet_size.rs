//! How many boxes a box takes the fleet to have.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_routing::{FleetSize, KnownSize, REMEMBERED_MS};

#[test]
fn a_box_that_nobody_told_takes_its_side_of_a_cut_for_all() {
    let mut size = FleetSize::default();
    size.hear(12, 0, 1_000);
    assert_eq!(size.known(1_000), KnownSize::Awaited);
    size.hear(12, 75, 1_100);
    assert_eq!(size.known(1_100), KnownSize::Told(75));
    size.hear(12, 0, 1_200);
    assert_eq!(
        size.known(1_200),
        KnownSize::Told(75),
        "whoever told it is gone"
    );
}

#[test]
fn a_box_that_is_never_told_goes_by_what_it_hears() {
    let mut size = FleetSize::default();
    size.hear(12, 0, 1_000);
    assert_eq!(size.known(10_000), KnownSize::Awaited);
    assert_eq!(size.known(30_000), KnownSize::Heard);
    assert_eq!(size.boxes(), 12);
}

#[test]
fn boxes_tell_each_other_a_size_that_none_of_them_heard() {
    let mut size = FleetSize::default();
    size.hear(12, 75, 1_000);
    assert_eq!(size.to_tell(), 0, "the store was not asked");
    size.recorded(0);
    assert_eq!(size.to_tell(), 12);
    size.recorded(60);
    assert_eq!(size.to_tell(), 60);
}

#[test]
fn the_store_keeps_the_size_of_a_fleet_that_grew_or_of_one_side_of_a_cut() {
    let mut size = FleetSize::default();
    size.hear(40, 0, 0);
    assert_eq!(size.to_record(), None, "what the store holds isn't known");
    size.recorded(0);
    assert_eq!(size.to_record(), Some(40));
    size.recorded(75);
    assert_eq!(size.to_record(), None);
    size.hear(76, 0, 1_000);
    assert_eq!(size.to_record(), Some(76));
}

#[test]
fn a_fleet_that_shrank_is_never_taken_for_smaller() {
    let mut size = FleetSize::default();
    size.recorded(75);
    size.hear(75, 0, 0);
    size.hear(30, 0, REMEMBERED_MS);
    assert_eq!(size.boxes(), 75);
    assert_eq!(size.to_record(), None, "half of them may be out of reach");
    size.hear(30, 0, 2 * REMEMBERED_MS);
    assert_eq!(size.to_record(), Some(30));
    size.recorded(30);
    assert_eq!(size.known(2 * REMEMBERED_MS), KnownSize::Told(30));
}
