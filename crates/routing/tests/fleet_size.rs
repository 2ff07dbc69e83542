//! Tests of the fleet size as one box knows it.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_routing::{FleetSize, KnownSize, SIZE_RETENTION_MS};

#[test]
fn a_reported_size_stays_known_after_its_reporter_is_gone() {
    let mut size = FleetSize::default();
    size.observe(12, 0, 1_000);
    assert_eq!(size.known(1_000), KnownSize::Pending);
    size.observe(12, 75, 1_100);
    assert_eq!(size.known(1_100), KnownSize::Reported(75));
    size.observe(12, 0, 1_200);
    assert_eq!(
        size.known(1_200),
        KnownSize::Reported(75),
        "the box that reported it is gone"
    );
}

#[test]
fn a_box_without_a_reported_size_uses_the_number_of_live_boxes() {
    let mut size = FleetSize::default();
    size.observe(12, 0, 1_000);
    assert_eq!(size.known(10_000), KnownSize::Pending);
    assert_eq!(size.known(30_000), KnownSize::Observed);
    assert_eq!(size.boxes(), 12);
}

#[test]
fn a_box_reports_no_size_that_only_other_boxes_reported() {
    let mut size = FleetSize::default();
    size.observe(12, 75, 1_000);
    assert_eq!(size.to_report(), 0, "the store was not read");
    size.set_stored(0);
    assert_eq!(size.to_report(), 12);
    size.set_stored(60);
    assert_eq!(size.to_report(), 60);
}

#[test]
fn the_stored_size_grows_with_the_fleet_and_ignores_a_partition() {
    let mut size = FleetSize::default();
    size.observe(40, 0, 0);
    assert_eq!(size.to_store(), None, "the stored size isn't known");
    size.set_stored(0);
    assert_eq!(size.to_store(), Some(40));
    size.set_stored(75);
    assert_eq!(size.to_store(), None);
    size.observe(76, 0, 1_000);
    assert_eq!(size.to_store(), Some(76));
}

#[test]
fn a_smaller_fleet_is_recorded_only_after_a_whole_period() {
    let mut size = FleetSize::default();
    size.set_stored(75);
    size.observe(75, 0, 0);
    size.observe(30, 0, SIZE_RETENTION_MS);
    assert_eq!(size.boxes(), 75);
    assert_eq!(size.to_store(), None, "the others may be out of reach");
    size.observe(30, 0, 2 * SIZE_RETENTION_MS);
    assert_eq!(size.to_store(), Some(30));
    size.set_stored(30);
    assert_eq!(size.known(2 * SIZE_RETENTION_MS), KnownSize::Reported(30));
}
