//! One box of a region coordinates the load of each upstream and is queried before a request is
//! sent.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_routing::{
    Advice, AdviceQuery, Change, CompletionReport, LoadReport, Placement, PlacementSettings,
    UpstreamOutcome, UpstreamState,
};
use brasswinch_types::{BoxId, Region, UpstreamId};
use common::{SLOTS, config, fleet, revised, service, settings_in, upstream, wanted};
use std::collections::{BTreeMap, BTreeSet};

/// Time left until each request's deadline, in milliseconds.
const LEFT_MS: u64 = 5_000;

/// The boxes of one region, each with a placement of its own.
struct Boxes {
    ids: Vec<BoxId>,
    placements: BTreeMap<BoxId, Placement>,
    next_query_id: u64,
}

impl Boxes {
    fn new(count: usize) -> Self {
        let ids: Vec<BoxId> = (0..count)
            .map(|number| BoxId::new(format!("box-{number}")))
            .collect();
        let placements = ids.iter().map(|id| (id.clone(), placement(id, &ids)));
        Self {
            placements: placements.collect(),
            next_query_id: 1,
            ids,
        }
    }

    fn at(&mut self, id: &BoxId) -> &mut Placement {
        self.placements.get_mut(id).unwrap()
    }

    /// Returns the coordinator for an object and the query that box `number` sends to it.
    fn query(&mut self, number: usize, object: &str, now: u64) -> (BoxId, AdviceQuery) {
        let id = self.ids[number % self.ids.len()].clone();
        let query = self.next_query_id;
        self.next_query_id += 1;
        let (service, anywhere) = (service(), BTreeSet::new());
        let wanted = wanted(&service, object.as_bytes(), &anywhere, &[]);
        let asked = self.at(&id).advice_query(&wanted, query, LEFT_MS, now);
        asked.unwrap()
    }

    /// Sends the query of box `number` to the coordinator and returns the reply too.
    fn ask(&mut self, number: usize, object: &str, now: u64) -> (BoxId, AdviceQuery, Advice) {
        let (coordinator, query) = self.query(number, object, now);
        let advice = self.at(&coordinator).advise(&query, now).unwrap();
        (coordinator, query, advice)
    }

    fn end(&mut self, coordinator: &BoxId, completion: &CompletionReport, now: u64) {
        self.at(coordinator).record_completion(completion, now);
    }
}

fn placement(id: &BoxId, all: &[BoxId]) -> Placement {
    let mut placement = Placement::new(PlacementSettings {
        me: id.clone(),
        ..settings_in("west")
    });
    placement.set_coordinators(all.to_vec());
    placement.update(&fleet(3), &config(1), 1);
    placement
}

fn completion(
    query: &AdviceQuery,
    upstream: Option<&UpstreamId>,
    outcome: UpstreamOutcome,
) -> CompletionReport {
    CompletionReport {
        started: None,
        id: query.id,
        service: query.service.clone(),
        object: query.object,
        upstream: upstream.cloned(),
        outcome,
        report: None,
    }
}

fn answered(query: &AdviceQuery, advice: &Advice) -> CompletionReport {
    let upstream = Some(&advice.upstream);
    completion(query, upstream, UpstreamOutcome::Answered)
}

#[test]
fn all_boxes_query_the_same_coordinator_about_an_object() {
    let mut boxes = Boxes::new(9);
    for object in 0..50 {
        let object = object.to_string();
        let asked: BTreeSet<BoxId> = (0..9)
            .map(|number| boxes.query(number, &object, 2).0)
            .collect();
        assert_eq!(asked.len(), 1, "{object}");
    }
}

#[test]
fn a_request_of_any_box_counts_for_all_until_it_ends() {
    let mut boxes = Boxes::new(9);
    let mut under_way = Vec::new();
    for number in 0..SLOTS as usize {
        let (coordinator, query, advice) = boxes.ask(number, "7", 2);
        let expected = number as f32 / SLOTS as f32;
        assert!((advice.fullness - expected).abs() < 0.01, "{advice:?}");
        under_way.push((coordinator, query, advice));
    }
    for (coordinator, query, advice) in &under_way {
        boxes.end(coordinator, &answered(query, advice), 3);
    }
    let (_, _, advice) = boxes.ask(8, "7", 3);
    assert!(advice.fullness < 0.01, "{advice:?}");
    assert!(
        advice.has_served,
        "another box's request was answered there"
    );
}

#[test]
fn an_object_stays_where_it_was_first_sent() {
    let mut boxes = Boxes::new(4);
    let mut first = BTreeMap::new();
    for round in 0..5 {
        for object in 0..40 {
            let object = object.to_string();
            let (coordinator, query, advice) = boxes.ask(round + object.len(), &object, 2);
            let first_choice = first
                .entry(object)
                .or_insert_with(|| advice.upstream.clone());
            assert_eq!(first_choice, &advice.upstream);
            boxes.end(&coordinator, &answered(&query, &advice), 2);
        }
    }
}

/// When a fleet starts or upstreams return, almost all requests are first runs, which take three
/// times as long as later ones, and rendezvous hashing alone gives one upstream twice as many as
/// the next.
#[test]
fn first_runs_are_spread_over_the_upstreams_of_a_coordinator() {
    let mut boxes = Boxes::new(1);
    let mut per_upstream: BTreeMap<UpstreamId, usize> = BTreeMap::new();
    let mut by_home: BTreeMap<UpstreamId, usize> = BTreeMap::new();
    for object in 0..48 {
        let (_, query, advice) = boxes.ask(0, &object.to_string(), 2);
        assert_eq!(query.region, Region::new("west"));
        *per_upstream.entry(advice.upstream).or_default() += 1;
        *by_home.entry(query.home).or_default() += 1;
    }
    let spread = |counts: &BTreeMap<UpstreamId, usize>| {
        counts.values().max().unwrap() - counts.values().min().unwrap()
    };
    assert_eq!(per_upstream.len(), 6);
    assert!(spread(&per_upstream) <= 2, "{per_upstream:?}");
    assert!(
        spread(&by_home) >= 4,
        "rendezvous hashing alone: {by_home:?}"
    );
}

#[test]
fn an_object_leaves_a_full_upstream_only_for_one_with_a_free_slot() {
    let mut boxes = Boxes::new(1);
    let (_, _, first) = boxes.ask(0, "7", 2);
    let mut last = first.clone();
    for _ in 0..30 {
        let (_, _, advice) = boxes.ask(0, "7", 2);
        if advice.upstream != last.upstream {
            assert!(last.fullness >= 1.5, "left at {}", last.fullness);
            assert!(advice.fullness < 1.0, "for one at {}", advice.fullness);
        }
        last = advice;
    }
    assert_ne!(
        first.upstream, last.upstream,
        "30 requests fill more than one"
    );
}

#[test]
fn a_request_whose_end_is_never_told_is_forgotten() {
    let mut boxes = Boxes::new(3);
    for number in 0..5 {
        boxes.ask(number, "7", 2);
    }
    let (_, _, advice) = boxes.ask(0, "7", 2 + LEFT_MS + 1);
    assert!(advice.fullness < 0.01, "{advice:?}");
}

#[test]
fn a_request_not_sent_to_the_advised_upstream_is_no_longer_counted() {
    let mut boxes = Boxes::new(3);
    let (coordinator, query, _) = boxes.ask(0, "7", 2);
    let nowhere = completion(&query, None, UpstreamOutcome::Abandoned);
    boxes.end(&coordinator, &nowhere, 3);
    let (_, _, advice) = boxes.ask(1, "7", 3);
    assert!(advice.fullness < 0.01, "{advice:?}");
    assert!(!advice.has_served);
}

#[test]
fn repeated_completions_and_those_of_unknown_queries_change_nothing() {
    let mut boxes = Boxes::new(2);
    let (coordinator, query, advice) = boxes.ask(0, "7", 2);
    boxes.ask(0, "7", 2);
    let completion = answered(&query, &advice);
    boxes.end(&coordinator, &completion, 3);
    boxes.end(&coordinator, &completion, 3);
    let unknown = CompletionReport {
        id: 9_999,
        ..completion
    };
    boxes.end(&coordinator, &unknown, 3);
    let (_, _, advice) = boxes.ask(1, "7", 3);
    let one = 1.0 / SLOTS as f32;
    assert!((advice.fullness - one).abs() < 0.01, "{advice:?}");
}

#[test]
fn a_report_with_any_numbers_leaves_the_load_finite() {
    let mut boxes = Boxes::new(1);
    let (coordinator, query, advice) = boxes.ask(0, "7", 2);
    let mut completion = answered(&query, &advice);
    completion.report = Some(LoadReport {
        running: u32::MAX,
        waiting: u32::MAX,
        slots: 0,
        duration_percent: None,
    });
    boxes.end(&coordinator, &completion, 3);
    let (_, _, advice) = boxes.ask(0, "7", 60_000);
    assert!(advice.fullness.is_finite(), "{advice:?}");
}

/// A restarted coordinator knows no objects, so it advises their homes.
#[test]
fn a_restarted_coordinator_advises_the_home() {
    let mut boxes = Boxes::new(6);
    for object in 0..30 {
        let (coordinator, query) = boxes.query(object, &object.to_string(), 2);
        let mut restarted = placement(&coordinator, &boxes.ids);
        let advice = restarted.advise(&query, 2).unwrap();
        assert_eq!(advice.upstream, query.home);
        assert!(!advice.has_served);
    }
}

/// Two boxes may consider themselves coordinator of the same upstream and be queried by different
/// boxes. Each counts the requests that it was queried about, and none is refused for it.
#[test]
fn two_that_keep_the_same_both_answer() {
    let mut boxes = Boxes::new(4);
    let (coordinator, query) = boxes.query(0, "7", 2);
    for id in boxes.ids.clone() {
        let advice = boxes.at(&id).advise(&query, 2).unwrap();
        if id == coordinator {
            continue;
        }
        assert_eq!(
            advice.upstream, query.home,
            "{id} coordinates other upstreams"
        );
    }
}

#[test]
fn a_coordinator_never_advises_a_leaving_upstream() {
    let mut boxes = Boxes::new(1);
    let (_, query, advice) = boxes.ask(0, "7", 2);
    let mut fleet = fleet(3);
    let mut record = upstream(advice.upstream.as_str(), "west-a", 1);
    record.state = UpstreamState::Draining;
    fleet.apply(revised(9_000, Change::Upstream(record)), 3);
    let coordinator = boxes.ids[0].clone();
    boxes.at(&coordinator).update(&fleet, &config(1), 3);
    let (_, _, later) = boxes.ask(0, "7", 4);
    assert_ne!(later.upstream, advice.upstream);
    assert!(!later.has_served);
    let again = boxes.at(&coordinator).advise(&query, 4);
    assert!(again.is_none_or(|again| again.upstream != advice.upstream));
}

#[test]
fn a_box_ignores_advice_for_an_upstream_that_it_may_not_use() {
    let mut boxes = Boxes::new(2);
    let (_, query, mut advice) = boxes.ask(0, "7", 2);
    let (service, anywhere) = (service(), BTreeSet::new());
    let wanted = wanted(&service, b"7", &anywhere, &[]);
    let id = boxes.ids[0].clone();
    for wrong in ["unknown", "north-a-0"] {
        advice.upstream = UpstreamId::new(wrong);
        let chosen = boxes
            .at(&id)
            .choose_advised(&wanted, Some(&advice), 0.5, 2)
            .unwrap();
        assert_eq!(chosen.upstream, query.home, "{wrong}");
    }
}

#[test]
fn without_a_reply_a_box_decides_as_without_a_query() {
    let mut asking = Boxes::new(5);
    let mut alone = Boxes::new(5);
    let (service, anywhere) = (service(), BTreeSet::new());
    for object in 0..60 {
        let object = object.to_string();
        let wanted = wanted(&service, object.as_bytes(), &anywhere, &[]);
        let id = asking.ids[0].clone();
        asking.query(0, &object, 2);
        let asked = asking.at(&id).choose_advised(&wanted, None, 0.5, 2);
        let own = alone.at(&id).choose(&wanted, 0.5, 2);
        assert_eq!(asked, own);
    }
}
