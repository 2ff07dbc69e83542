//! Selection of the box that probes an upstream's health.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_routing::{HealthProber, HealthProbers, UpstreamRecord};
use brasswinch_types::{BoxId, Zone};
use common::{upstream, zones};

/// The name and the zone of a box.
type BoxInZone = (&'static str, &'static str);

const BOXES: [BoxInZone; 5] = [
    ("box-1", "west-a"),
    ("box-2", "west-a"),
    ("box-3", "west-b"),
    ("box-4", "north-a"),
    ("box-5", "north-a"),
];

/// Returns the boxes of `boxes` that probe `upstream`.
fn probing_boxes(boxes: &[BoxInZone], upstream: &UpstreamRecord) -> Vec<&'static str> {
    let zones = zones();
    let probes = |(me, _): &&BoxInZone| {
        let all = boxes.iter().map(|(id, zone)| HealthProber {
            id: BoxId::new(*id),
            zone: Zone::new(*zone),
        });
        HealthProbers::new(&BoxId::new(*me), &zones, all).probes(upstream)
    };
    boxes.iter().filter(probes).map(|(id, _)| *id).collect()
}

/// Guards against duplicate and missing probes: exactly one box probes each upstream.
#[test]
fn several_boxes_probe_the_same_upstream_or_none_does() {
    for number in 0..200 {
        let id = format!("upstream-{number}");
        let in_zone = probing_boxes(&BOXES, &upstream(&id, "west-a", 1));
        assert!(matches!(in_zone[..], ["box-1" | "box-2"]), "{in_zone:?}");
        let in_region = probing_boxes(&BOXES, &upstream(&id, "north-b", 1));
        assert!(
            matches!(in_region[..], ["box-4" | "box-5"]),
            "{in_region:?}"
        );
        let elsewhere = probing_boxes(&BOXES, &upstream(&id, "south-a", 1));
        assert_eq!(elsewhere.len(), 1, "{elsewhere:?}");
        let unknown = probing_boxes(&BOXES, &upstream(&id, "nowhere", 1));
        assert_eq!(unknown.len(), 1, "{unknown:?}");
    }
}

/// Guards against one box that gets all upstreams of its zone: the zone's boxes share them.
#[test]
fn one_box_probes_all_upstreams_of_its_zone() {
    let ids = (0..200).map(|number| format!("upstream-{number}"));
    let of_first = ids.filter(|id| probing_boxes(&BOXES, &upstream(id, "west-a", 1)) == ["box-1"]);
    let count = of_first.count();
    assert!((60..=140).contains(&count), "{count} of 200");
}
