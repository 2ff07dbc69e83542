//! Which box asks an upstream how it is.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_routing::{HealthAsker, HealthAskers, UpstreamRecord};
use brasswinch_types::{BoxId, Zone};
use common::{upstream, zones};

/// A box's name and its zone.
type Standing = (&'static str, &'static str);

const BOXES: [Standing; 5] = [
    ("box-1", "west-a"),
    ("box-2", "west-a"),
    ("box-3", "west-b"),
    ("box-4", "north-a"),
    ("box-5", "north-a"),
];

/// The boxes of `boxes` that ask `upstream`.
fn who_asks(boxes: &[Standing], upstream: &UpstreamRecord) -> Vec<&'static str> {
    let zones = zones();
    let asks = |(me, _): &&Standing| {
        let all = boxes.iter().map(|(id, zone)| HealthAsker {
            id: BoxId::new(*id),
            zone: Zone::new(*zone),
        });
        HealthAskers::new(&BoxId::new(*me), &zones, all).asks(upstream)
    };
    boxes.iter().filter(asks).map(|(id, _)| *id).collect()
}

#[test]
fn several_boxes_ask_the_same_upstream_or_none_does() {
    for number in 0..200 {
        let id = format!("upstream-{number}");
        let in_zone = who_asks(&BOXES, &upstream(&id, "west-a", 1));
        assert!(matches!(in_zone[..], ["box-1" | "box-2"]), "{in_zone:?}");
        let in_region = who_asks(&BOXES, &upstream(&id, "north-b", 1));
        assert!(
            matches!(in_region[..], ["box-4" | "box-5"]),
            "{in_region:?}"
        );
        let elsewhere = who_asks(&BOXES, &upstream(&id, "south-a", 1));
        assert_eq!(elsewhere.len(), 1, "{elsewhere:?}");
        let unknown = who_asks(&BOXES, &upstream(&id, "nowhere", 1));
        assert_eq!(unknown.len(), 1, "{unknown:?}");
    }
}

#[test]
fn one_box_asks_all_upstreams_of_its_zone() {
    let ids = (0..200).map(|number| format!("upstream-{number}"));
    let of_first = ids.filter(|id| who_asks(&BOXES, &upstream(id, "west-a", 1)) == ["box-1"]);
    let count = of_first.count();
    assert!((60..=140).contains(&count), "{count} of 200");
}
