//! Tests of the fleet size as one box knows it.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_routing::{FleetSize, KnownSize, SIZE_RETENTION_MS};

/// Guards against a box that counts only the boxes that it reaches, before it learns the fleet's
/// size or after the box that reported it is gone.
#[test]
fn a_box_takes_its_side_of_a_partition_for_the_whole_fleet() {
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

/// Guards against boxes that report each other's old values back and forth.
#[test]
fn a_box_reports_a_size_that_only_other_boxes_reported() {
    let mut size = FleetSize::default();
    size.observe(12, 75, 1_000);
    assert_eq!(size.to_report(0, 2_000), 0, "the store was not read");
    size.set_stored(0);
    assert_eq!(size.to_report(0, 2_000), 12);
    size.set_stored(60);
    assert_eq!(size.to_report(0, 2_000), 60);
}

/// Guards against starting boxes that wait until the size of a fleet without a stored one settles.
#[test]
fn a_fleet_without_a_stored_size_reports_none_while_it_grows() {
    let mut size = FleetSize::default();
    size.set_stored(0);
    size.observe(12, 0, 1_000);
    assert_eq!(size.to_report(0, 1_000), 12);
}

/// Guards against a starting box that announces a new size whenever it discovers another box.
#[test]
fn a_growing_size_is_reported_with_every_discovered_box() {
    const FLEET: u64 = 1_000;
    const DISCOVERY_INTERVAL_MS: u64 = 3;
    let mut size = FleetSize::default();
    size.set_stored(0);
    let mut reported = vec![0];
    for boxes in 1..=FLEET {
        let now = boxes * DISCOVERY_INTERVAL_MS;
        size.observe(boxes as usize, 0, now);
        let last = *reported.last().unwrap();
        reported.push(size.to_report(last, now));
    }
    let last = *reported.last().unwrap();
    reported.push(size.to_report(last, FLEET * DISCOVERY_INTERVAL_MS + 1_000));
    reported.dedup();
    assert_eq!(reported, [0, 1, FLEET as u32]);
}

/// Guards against a stored size that isn't raised when the fleet grows, or that is lowered by a box
/// that reaches only one side of a partition.
#[test]
fn the_stored_size_misses_growth_or_falls_to_that_of_one_side_of_a_partition() {
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

/// Guards against a size that is never lowered; it is lowered once the retention time has passed.
#[test]
fn a_fleet_that_shrank_is_never_recorded_as_smaller() {
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
