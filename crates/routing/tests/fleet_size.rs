//! Tests of the fleet size as one box knows it.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_routing::{FleetSize, KnownSize, REMEMBERED_MS};

#[test]
fn a_reported_size_stays_known_after_its_reporter_is_gone() {
    let mut size = FleetSize::default();
    size.hear(12, 0, 1_000);
    assert_eq!(size.known(1_000), KnownSize::Awaited);
    size.hear(12, 75, 1_100);
    assert_eq!(size.known(1_100), KnownSize::Told(75));
    size.hear(12, 0, 1_200);
    assert_eq!(
        size.known(1_200),
        KnownSize::Told(75),
        "the box that reported it is gone"
    );
}

#[test]
fn a_box_without_a_reported_size_uses_the_number_of_live_boxes() {
    let mut size = FleetSize::default();
    size.hear(12, 0, 1_000);
    assert_eq!(size.known(10_000), KnownSize::Awaited);
    assert_eq!(size.known(30_000), KnownSize::Heard);
    assert_eq!(size.boxes(), 12);
}

#[test]
fn a_box_reports_no_size_that_only_other_boxes_reported() {
    let mut size = FleetSize::default();
    size.hear(12, 75, 1_000);
    assert_eq!(size.to_tell(), 0, "the store was not read");
    size.recorded(0);
    assert_eq!(size.to_tell(), 12);
    size.recorded(60);
    assert_eq!(size.to_tell(), 60);
}

#[test]
fn the_stored_size_grows_with_the_fleet_and_ignores_a_partition() {
    let mut size = FleetSize::default();
    size.hear(40, 0, 0);
    assert_eq!(size.to_record(), None, "the stored size isn't known");
    size.recorded(0);
    assert_eq!(size.to_record(), Some(40));
    size.recorded(75);
    assert_eq!(size.to_record(), None);
    size.hear(76, 0, 1_000);
    assert_eq!(size.to_record(), Some(76));
}

#[test]
fn a_smaller_fleet_is_recorded_only_after_a_whole_period() {
    let mut size = FleetSize::default();
    size.recorded(75);
    size.hear(75, 0, 0);
    size.hear(30, 0, REMEMBERED_MS);
    assert_eq!(size.boxes(), 75);
    assert_eq!(size.to_record(), None, "the others may be out of reach");
    size.hear(30, 0, 2 * REMEMBERED_MS);
    assert_eq!(size.to_record(), Some(30));
    size.recorded(30);
    assert_eq!(size.known(2 * REMEMBERED_MS), KnownSize::Told(30));
}
