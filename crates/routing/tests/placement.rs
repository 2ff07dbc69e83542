//! Choice of the upstream of a request.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_routing::{
    Change, ChangeKey, Choice, FleetState, HomeState, LoadReport, Placement, PlacementSettings,
    Refusal, UpstreamOutcome, UpstreamState,
};
use brasswinch_types::{BoxId, Region, UpstreamId, Zone};
use common::{
    SLOTS, config, fleet, placement_in, revised, service, settings_in, upstream, wanted, zones,
};
use std::collections::{BTreeMap, BTreeSet};

/// The random number passed to each choice.
const RANDOM: f64 = 0.5;

struct Test {
    placement: Placement,
    fleet: FleetState,
}

impl Test {
    fn new(fleet: FleetState) -> Self {
        let mut placement = placement_in("west");
        placement.update(&fleet, &config(1), 1);
        Self { placement, fleet }
    }

    fn apply(&mut self, revision: u64, change: Change, now: u64) {
        self.fleet.apply(revised(revision, change), now);
        self.placement.update(&self.fleet, &config(1), now);
    }

    fn try_choose(
        &mut self,
        object: &str,
        tried: &[UpstreamId],
        now: u64,
    ) -> Result<Choice, Refusal> {
        let (service, anywhere) = (service(), BTreeSet::new());
        let wanted = wanted(&service, object.as_bytes(), &anywhere, tried);
        self.placement.choose(&wanted, RANDOM, now)
    }

    fn choose(&mut self, object: &str, now: u64) -> Choice {
        self.try_choose(object, &[], now).unwrap()
    }

    /// Chooses an upstream and ends the request with an answer at once.
    fn visit(&mut self, object: &str, now: u64) -> UpstreamId {
        let choice = self.choose(object, now);
        let outcome = UpstreamOutcome::Answered;
        self.placement.ended(&choice, outcome, now);
        choice.upstream
    }

    fn zone_of(&self, id: &UpstreamId) -> Zone {
        let mut upstreams = self.fleet.upstreams();
        let found = upstreams.find(|(record, _)| &record.id == id);
        found.unwrap().0.zone.clone()
    }
}

fn objects() -> impl Iterator<Item = String> {
    (0..200).map(|number| number.to_string())
}

#[test]
fn objects_keep_their_upstream_and_a_lost_upstream_moves_only_its_own_objects() {
    let mut test = Test::new(fleet(3));
    let before: BTreeMap<String, UpstreamId> = objects()
        .map(|object| (object.clone(), test.visit(&object, 2)))
        .collect();
    for (object, upstream) in &before {
        assert_eq!(&test.visit(object, 3), upstream);
    }
    let gone = before["7"].clone();
    test.apply(9_000, Change::Gone(ChangeKey::Upstream(gone.clone())), 4);
    let moved: Vec<&String> = before
        .iter()
        .filter(|(object, upstream)| test.visit(object, 5) != **upstream)
        .map(|(object, _)| object)
        .collect();
    let own = before
        .iter()
        .filter(|(_, upstream)| **upstream == gone)
        .count();
    // The region has slightly less capacity now, so a few more objects may leave it.
    assert!(
        moved.len() <= own + 10,
        "{} objects moved, {own} were homed on the lost upstream",
        moved.len()
    );
    // The region has enough capacity for its own requests, and all of its upstreams share them.
    let used: BTreeSet<&UpstreamId> = before.values().collect();
    assert_eq!(used.len(), 6, "{used:?}");
    assert!(used.iter().all(|id| id.as_str().starts_with("west")));
}

#[test]
fn two_boxes_of_a_region_choose_alike_without_a_message() {
    let mut one = Test::new(fleet(3));
    let mut other = Test::new(fleet(3));
    for object in objects() {
        assert_eq!(one.visit(&object, 2), other.visit(&object, 2));
    }
}

#[test]
fn leaving_upstreams_and_evacuated_zones_get_no_requests() {
    let mut test = Test::new(fleet(2));
    let leaving = test.visit("1", 2);
    let mut record = upstream(leaving.as_str(), test.zone_of(&leaving).as_str(), 9);
    record.state = UpstreamState::Draining;
    test.apply(9_000, Change::Upstream(record), 3);
    test.apply(9_001, Change::Evacuated(Zone::new("north-a")), 3);
    for object in objects() {
        let chosen = test.visit(&object, 4);
        assert_ne!(chosen, leaving);
        assert_ne!(test.zone_of(&chosen), Zone::new("north-a"));
    }
}

#[test]
fn a_zone_is_cold_after_its_evacuation_until_its_upstreams_can_report() {
    let mut test = Test::new(fleet(1));
    let zone = Zone::new("west-a");
    test.apply(9_000, Change::Evacuated(zone.clone()), 10);
    test.apply(9_001, Change::Gone(ChangeKey::Evacuation(zone.clone())), 20);
    let visits = |test: &mut Test, now| -> BTreeSet<Zone> {
        let ids: Vec<UpstreamId> = objects().map(|object| test.visit(&object, now)).collect();
        ids.iter().map(|id| test.zone_of(id)).collect()
    };
    assert!(!visits(&mut test, 2_900).contains(&zone));
    assert!(visits(&mut test, 3_100).contains(&zone));
}

#[test]
fn a_cold_upstream_gets_nothing_while_others_have_room() {
    let mut cold = upstream("cold", "west-a", 1);
    cold.cold_remaining_s = 3.0;
    let mut fleet = fleet(1);
    fleet.apply(revised(9_000, Change::Upstream(cold)), 1);
    let mut test = Test::new(fleet);
    for object in objects() {
        assert_ne!(test.visit(&object, 2_000).as_str(), "cold");
    }
    let later: BTreeSet<UpstreamId> = objects().map(|object| test.visit(&object, 4_000)).collect();
    assert!(later.contains(&UpstreamId::new("cold")));
}

#[test]
fn if_all_upstreams_are_cold_a_few_boxes_send_at_a_limited_rate() {
    let mut fleet = FleetState::default();
    let mut cold = upstream("cold", "west-a", 1);
    cold.cold_remaining_s = 60.0;
    fleet.apply(revised(1, Change::Upstream(cold)), 1);
    let mut arrivals = 0;
    for number in 0..12 {
        let me = BoxId::new(format!("box-{number}"));
        let mut placement = Placement::new(brasswinch_routing::PlacementSettings {
            me,
            region: Region::new("west"),
            zones: zones(),
            max_shift: 0.15,
            retain_lost_ms: 1_500,
            after_evacuation_ms: 3_000,
            min_coordinators: 1,
        });
        let boxes: Vec<BoxId> = (0..12).map(|n| BoxId::new(format!("box-{n}"))).collect();
        placement.set_boxes(boxes.iter(), BTreeMap::new());
        placement.update(&fleet, &config(1), 1);
        let (service, anywhere) = (service(), BTreeSet::new());
        for now in 2_000..12_000 {
            let wanted = wanted(&service, b"1", &anywhere, &[]);
            if let Ok(choice) = placement.choose(&wanted, RANDOM, now) {
                placement.ended(&choice, UpstreamOutcome::Answered, now);
                arrivals += 1;
            }
        }
    }
    // The limit is 9 per second, for 10 s.
    assert!((30..90).contains(&arrivals), "{arrivals}");
}

#[test]
fn entries_lost_together_are_kept_for_a_while_and_one_lost_alone_is_not() {
    let mut test = Test::new(fleet(2));
    let alone = UpstreamId::new("north-a-0");
    test.apply(9_000, Change::Gone(ChangeKey::Upstream(alone.clone())), 10);
    for object in objects() {
        assert_ne!(test.visit(&object, 11), alone);
    }
    let scope = brasswinch_routing::Scope::Upstreams;
    let at = brasswinch_routing::Revision(9_100);
    let entries = Vec::new();
    let empty = brasswinch_routing::Snapshot { scope, at, entries };
    test.fleet.apply_snapshot(empty, 20);
    test.placement.update(&test.fleet, &config(1), 20);
    assert!(
        test.try_choose("1", &[], 1_000).is_ok(),
        "entries are retained"
    );
    assert_eq!(
        test.try_choose("1", &[], 2_100),
        Err(Refusal::NoUpstream),
        "no entry was written again"
    );
}

/// Entries that expired during a store outage are back within two seconds of its end, even if the
/// retention time after a loss within one service is shorter.
#[test]
fn entries_lost_in_a_store_outage_are_retained_until_they_can_be_written_again() {
    let retain_lost_ms = 300;
    let mut placement = Placement::new(PlacementSettings {
        retain_lost_ms,
        ..settings_in("west")
    });
    let mut fleet = fleet(2);
    let ids: Vec<UpstreamId> = fleet.upstreams().map(|(r, _)| r.id.clone()).collect();
    placement.update(&fleet, &config(1), 1);
    let gone = |id: &UpstreamId| Change::Gone(ChangeKey::Upstream(id.clone()));
    fleet.record_store_failure(20);
    for (number, id) in ids.iter().enumerate().take(10) {
        fleet.apply(revised(9_000 + number as u64, gone(id)), 20);
    }
    placement.update(&fleet, &config(1), 20);
    let mut test = Test { placement, fleet };
    let used = |test: &mut Test, now| -> BTreeSet<UpstreamId> {
        objects().map(|object| test.visit(&object, now)).collect()
    };
    assert_eq!(
        used(&mut test, 1_950).len(),
        4,
        "upstreams that may still come back"
    );
    assert_eq!(used(&mut test, 2_050).len(), 2, "upstreams with an entry");
}

/// If the store was never down, upstreams that lose their entries may have left, however many
/// there are: the retention time counts from when the entries were last known to exist.
#[test]
fn entries_lost_without_a_store_outage_are_retained_from_when_they_last_existed() {
    let mut test = Test::new(fleet(2));
    common::complete_as_of(&mut test.fleet, 700);
    let ids: Vec<UpstreamId> = test.fleet.upstreams().map(|(r, _)| r.id.clone()).collect();
    for (number, id) in ids.iter().enumerate().take(10) {
        let gone = Change::Gone(ChangeKey::Upstream(id.clone()));
        test.fleet
            .apply(revised(9_000 + number as u64, gone), 1_800);
    }
    test.placement.update(&test.fleet, &config(1), 1_800);
    let used = |test: &mut Test, now| -> BTreeSet<UpstreamId> {
        objects().map(|object| test.visit(&object, now)).collect()
    };
    assert!(
        used(&mut test, 2_150).len() > 2,
        "upstreams that may still come back"
    );
    assert_eq!(used(&mut test, 2_250).len(), 2, "upstreams with an entry");
}

#[test]
fn entries_that_a_part_of_the_fleet_lost_are_kept_for_a_short_time_only() {
    let mut test = Test::new(fleet(2));
    for (number, zone) in ["north-a", "north-b", "south-a", "west-b"]
        .into_iter()
        .enumerate()
    {
        let id = UpstreamId::new(format!("{zone}-0"));
        test.fleet.apply(
            revised(9_000 + number as u64, Change::Gone(ChangeKey::Upstream(id))),
            20,
        );
    }
    let id = UpstreamId::new("west-a-0");
    test.apply(9_100, Change::Gone(ChangeKey::Upstream(id.clone())), 20);
    let uses = |test: &mut Test, now| objects().any(|object| test.visit(&object, now) == id);
    assert!(uses(&mut test, 1_400));
    assert!(!uses(&mut test, 1_600));
}

#[test]
fn an_unreachable_upstream_is_ejected_and_probed_again() {
    let mut test = Test::new(fleet(2));
    let choice = test.choose("1", 10);
    test.placement
        .ended(&choice, UpstreamOutcome::Unreachable, 10);
    assert_ne!(test.visit("1", 20), choice.upstream);
    let again = test.choose("1", 600);
    assert_eq!(
        again.upstream, choice.upstream,
        "probed again after the ejection"
    );
    assert_ne!(
        test.visit("1", 601),
        choice.upstream,
        "by one request at a time"
    );
    test.placement.ended(&again, UpstreamOutcome::Answered, 700);
    assert_eq!(test.visit("1", 701), choice.upstream);
}

#[test]
fn a_full_home_spills_a_little_and_then_refuses() {
    let mut test = Test::new(fleet(1));
    let home = test.choose("1", 10);
    let full = LoadReport {
        running: SLOTS,
        waiting: SLOTS * 3,
        slots: SLOTS,
        duration_percent: None,
    };
    test.placement.reported(&home, full, 10);
    let home_region = zones()[&test.zone_of(&home.upstream)].clone();
    let mut away = 0;
    let mut refused = 0;
    for _ in 0..100 {
        match test.try_choose("1", &[], 20) {
            Ok(choice) => {
                assert_ne!(choice.upstream, home.upstream, "it is full");
                let region = zones()[&test.zone_of(&choice.upstream)].clone();
                away += u32::from(region != home_region);
            }
            Err(Refusal::Busy { retry_after_ms, .. }) => {
                assert!(retry_after_ms > 0);
                refused += 1;
            }
            Err(Refusal::NoUpstream) => panic!("there are upstreams"),
        }
    }
    assert!(
        away > 0 && refused > 0,
        "{away} in another region, {refused} refused"
    );
}

/// An upstream that is the home of no requested object, or that stays cold for long, would never
/// receive its first request.
#[test]
fn an_upstream_that_joined_gets_a_first_request_within_seconds() {
    let mut test = Test::new(fleet(2));
    test.visit("1", 10);
    let id = UpstreamId::new("joined");
    let mut joined = upstream("joined", "north-a", 1);
    joined.cold_remaining_s = 60.0;
    test.apply(9_000, Change::Upstream(joined), 1_000);
    assert_ne!(test.visit("1", 4_900), id);
    assert_eq!(test.visit("1", 5_000), id);
    assert_ne!(test.visit("1", 5_001), id, "one first request is enough");
}

/// Upstreams that are listed one after another while a fleet starts get their share of objects
/// anyway; extra first requests would all fall on the first seconds, when every upstream is cold.
#[test]
fn upstreams_that_joined_before_the_first_request_get_no_extra_first_request() {
    let mut test = Test::new(fleet(2));
    let late = upstream("late", "north-a", 1);
    test.apply(9_000, Change::Upstream(late), 1_000);
    for object in objects() {
        assert_ne!(test.visit(&object, 8_000).as_str(), "late");
    }
}

#[test]
fn only_one_box_sends_an_upstream_its_first_request() {
    let boxes: Vec<BoxId> = (0..5).map(|n| BoxId::new(format!("box-{n}"))).collect();
    let mut firsts = 0;
    for me in &boxes {
        let fleet = fleet(2);
        let mut placement = Placement::new(PlacementSettings {
            me: me.clone(),
            ..settings_in("west")
        });
        placement.set_boxes(boxes.iter(), BTreeMap::new());
        placement.update(&fleet, &config(1), 1);
        let mut joined = upstream("joined", "north-a", 1);
        joined.cold_remaining_s = 60.0;
        let mut test = Test { placement, fleet };
        test.visit("1", 10);
        test.apply(9_000, Change::Upstream(joined), 1_000);
        firsts += u32::from(test.visit("1", 6_000).as_str() == "joined");
    }
    assert_eq!(firsts, 1);
}

/// Slots that become free while urgent requests are refused are reserved for them; otherwise less
/// urgent requests may use all slots.
#[test]
fn less_urgent_requests_leave_slots_to_refused_urgent_ones() {
    let mut test = Test::new(fleet(1));
    let service = service();
    let home = BTreeSet::from([Region::new("west")]);
    let ask = |placement: &mut Placement, priority: u32, now: u64| {
        let mut wanted = wanted(&service, b"1", &home, &[]);
        wanted.rank.route = priority;
        placement.choose(&wanted, RANDOM, now)
    };
    let placement = &mut test.placement;
    let mut active = Vec::new();
    while let Ok(choice) = ask(placement, 2, 10) {
        active.push(choice);
    }
    assert!(
        ask(placement, 1, 10).is_err(),
        "no urgent request was refused before"
    );
    let ended = active.pop().unwrap();
    placement.ended(&ended, UpstreamOutcome::Abandoned, 20);
    assert!(ask(placement, 2, 20).is_err(), "the free slot is reserved");
    let urgent = ask(placement, 1, 20).unwrap();
    placement.ended(&urgent, UpstreamOutcome::Abandoned, 30);
    assert!(
        ask(placement, 2, 2_100).is_ok(),
        "no urgent request was refused recently"
    );
}

#[test]
fn only_allowed_regions_are_used() {
    let mut test = Test::new(fleet(2));
    let service = service();
    let allowed = BTreeSet::from([Region::new("south")]);
    for object in objects() {
        let wanted = wanted(&service, object.as_bytes(), &allowed, &[]);
        let choice = test.placement.choose(&wanted, RANDOM, 5).unwrap();
        test.placement.ended(&choice, UpstreamOutcome::Answered, 5);
        let zone = test.zone_of(&choice.upstream);
        assert_eq!(zones()[&zone], Region::new("south"));
    }
}

#[test]
fn a_request_is_never_sent_to_the_same_upstream_twice() {
    let mut test = Test::new(fleet(1));
    let mut tried = Vec::new();
    for _ in 0..6 {
        let choice = test.try_choose("1", &tried, 5).unwrap();
        assert!(!tried.contains(&choice.upstream));
        tried.push(choice.upstream);
    }
    assert!(test.try_choose("1", &tried, 5).is_err());
}

#[test]
fn a_region_that_is_full_sends_only_a_small_part_of_its_requests_elsewhere() {
    let mut test = Test::new(fleet(2));
    let (mut away, mut all) = (0, 0);
    // 200 requests per second for 4 s, each lasting 2 s: far more than the region's 16 slots.
    let mut active: Vec<(u64, Choice)> = Vec::new();
    for now in (10..4_010).step_by(5) {
        while active.first().is_some_and(|(until, _)| *until <= now) {
            let (_, choice) = active.remove(0);
            let outcome = UpstreamOutcome::Answered;
            test.placement.ended(&choice, outcome, now);
        }
        all += 1;
        if let Ok(choice) = test.try_choose(&(now % 97).to_string(), &[], now) {
            away += u32::from(!choice.upstream.as_str().starts_with("west"));
            active.push((now + 2_000, choice));
        }
    }
    let part = f64::from(away) / f64::from(all);
    assert!(part <= 0.125, "{part} of {all} left the region");
    assert!(away > 0);
}

/// An upstream that has served an object is faster with it: a short wait there costs less than a
/// first run elsewhere, which leaves a copy that is seldom requested again.
#[test]
fn requests_wait_at_a_home_that_has_served_the_object_before_using_others() {
    let mut test = Test::new(fleet(1));
    let home = test.visit("1", 10);
    let mut active = Vec::new();
    for now in 20..=20 + u64::from(SLOTS) {
        active.push(test.choose("1", now));
    }
    let elsewhere = active
        .iter()
        .filter(|choice| choice.upstream != home)
        .count();
    assert_eq!(elsewhere, 0, "the home takes one more than its slots");
}

/// The refusal alone contains what the log needs to explain it.
#[test]
fn a_refusal_contains_its_basis() {
    let mut test = Test::new(fleet(1));
    let home = test.choose("1", 10);
    let full = LoadReport {
        running: SLOTS,
        waiting: SLOTS * 3,
        slots: SLOTS,
        duration_percent: None,
    };
    test.placement.reported(&home, full, 10);
    let refusal = (0..100).find_map(|_| test.try_choose("1", &[], 60).err());
    let Some(Refusal::Busy { basis, .. }) = refusal else {
        panic!("{refusal:?}");
    };
    assert!(!basis.may_leave_region);
    let seen = basis.home.clone().unwrap();
    assert_eq!(seen.upstream, home.upstream);
    assert_eq!(seen.state, HomeState::Full);
    assert_eq!(seen.report_age_ms, Some(50));
    assert!(!seen.has_served);
    let text = basis.to_string();
    let expected = format!("home={} home_is=full fullness=", home.upstream);
    assert!(text.contains(&expected), "{text}");
}

/// A wave of demand that passes within seconds moves no object: each object that moves costs a
/// first run, and another when it moves back.
#[test]
fn a_wave_of_demand_moves_no_object() {
    let mut test = Test::new(fleet(2));
    let boxes = [BoxId::new("box-1")];
    let demand = |west: f64, north: f64, south: f64| {
        let regions = ["west", "north", "south"].map(Region::new);
        BTreeMap::from_iter(regions.into_iter().zip([west, north, south]))
    };
    test.placement
        .set_boxes(boxes.iter(), demand(1.0, 1.0, 1.0));
    let homes = |test: &mut Test, now| -> Vec<UpstreamId> {
        objects().map(|object| test.visit(&object, now)).collect()
    };
    let before = homes(&mut test, 1_000);
    for (now, west) in [(2_000, 1.8), (4_000, 2.2), (6_000, 2.2), (8_000, 2.2)] {
        test.placement
            .set_boxes(boxes.iter(), demand(west, 0.8, 0.7));
        test.placement.review_if_due(now);
    }
    let moved = homes(&mut test, 8_500)
        .iter()
        .zip(&before)
        .filter(|(now, before)| now != before)
        .count();
    assert!(moved <= 2, "{moved} of 200 moved");
}

/// Before an upstream's first load report the requests of other boxes are unknown; all boxes of a
/// region that start together would fill it several times over.
#[test]
fn before_its_first_report_an_upstream_is_assumed_to_get_as_much_from_other_boxes() {
    let mut test = Test::new(fleet(1));
    let boxes: Vec<BoxId> = (1..=6).map(|n| BoxId::new(format!("box-{n}"))).collect();
    test.placement.set_boxes(boxes.iter(), BTreeMap::new());
    test.placement.review_if_due(1_000);
    let first = test.choose("1", 1_000);
    let seen = |choice: &Choice| choice.basis.home.as_ref().unwrap().fullness;
    let unreported = seen(&test.choose("1", 1_001));
    assert_eq!(
        unreported,
        2.0 / f64::from(SLOTS),
        "one request of this box, one assumed of the other"
    );
    let report = LoadReport {
        running: 2,
        waiting: 0,
        slots: SLOTS,
        duration_percent: None,
    };
    test.placement.reported(&first, report, 1_002);
    let reported = seen(&test.choose("1", 1_002));
    assert_eq!(
        reported,
        3.0 / f64::from(SLOTS),
        "two of this box, one reported"
    );
}

/// Upstreams with few slots that have all served their objects: a place in the queue takes a third
/// of a repeated run, and a run elsewhere takes three whole ones.
#[test]
fn requests_wait_longer_than_a_run_at_a_home_that_has_served_the_object() {
    let mut test = Test::new(fleet(1));
    let home = test.visit("1", 5);
    let taken = (0..2 * SLOTS).map(|_| test.choose("1", 6).upstream);
    let at_home = taken.filter(|upstream| *upstream == home).count();
    assert_eq!(at_home, 2 * SLOTS as usize);
    let (ninth, tenth) = (test.choose("1", 6), test.choose("1", 6));
    assert_eq!(ninth.upstream, home);
    assert_ne!(
        tenth.upstream, home,
        "the wait at home is longer than a run elsewhere"
    );
}

/// A box that stops sent requests to upstreams that it knew nothing of, where they waited until its
/// process ended.
#[test]
fn a_slot_counts_as_idle_at_an_upstream_that_has_not_reported_lately() {
    let mut test = Test::new(fleet(1));
    let report = |running| LoadReport {
        running,
        waiting: 0,
        slots: SLOTS,
        duration_percent: None,
    };
    let first = test.choose("1", 1_000);
    assert!(!first.has_idle_slot, "nothing is known");
    test.placement.reported(&first, report(1), 1_100);
    let outcome = UpstreamOutcome::Answered;
    test.placement.ended(&first, outcome, 1_100);
    let second = test.choose("1", 1_200);
    assert!(second.has_idle_slot, "one of its slots is taken");
    test.placement.ended(&second, outcome, 1_300);
    let third = test.choose("1", 9_000);
    assert!(!third.has_idle_slot, "the report is old");
    test.placement.reported(&third, report(SLOTS + 1), 9_100);
    let fourth = test.choose("1", 9_100);
    assert!(!fourth.has_idle_slot, "all of its slots are taken");
}
