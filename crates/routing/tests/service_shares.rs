//! Choice of upstreams for workspaces that compete for an overloaded service.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_routing::{Change, Choice, FleetState, Placement, Refusal, UpstreamOutcome};
use brasswinch_types::{Region, UpstreamId, Workspace};
use common::{complete_as_of, config, fleet, placement_in, revised, service, upstream, wanted};
use std::collections::{BTreeSet, VecDeque};

/// When the first request arrives, in milliseconds.
const START: u64 = 2_000;

/// Requests that fill the queue of an upstream with four slots up to the highest limit, 2.6.
const FULL: usize = 11;

fn choose(
    placement: &mut Placement,
    workspace: Option<&str>,
    (object, regions): (&str, &BTreeSet<Region>),
    random: f64,
    now: u64,
) -> Result<Choice, Refusal> {
    let (service, workspace) = (service(), workspace.map(Workspace::new));
    let mut wanted = wanted(&service, object.as_bytes(), regions, &[]);
    wanted.workspace = workspace.as_ref();
    placement.choose(&wanted, random, now)
}

/// One upstream in the west and one in the north. The one in the west has served the object and
/// is the only one that requests are sent to unless they may go anywhere.
struct Test {
    placement: Placement,
    object: String,
    west: BTreeSet<Region>,
    in_flight: Vec<Choice>,
}

impl Test {
    /// A service that refused requests of nine workspaces after `large` got most of its capacity.
    fn overloaded() -> Self {
        let mut fleet = FleetState::default();
        for (id, port) in [("west-a", 1_001), ("north-a", 1_002)] {
            let record = upstream(id, id, port);
            fleet.apply(revised(u64::from(port), Change::Upstream(record)), 1);
        }
        complete_as_of(&mut fleet, 19);
        let mut placement = placement_in("west");
        placement.update(&fleet, &config(1), 1);
        let anywhere = BTreeSet::new();
        let mut objects = (0..100).map(|number| number.to_string());
        let object = objects.find(|object| {
            let chosen = choose(&mut placement, None, (object, &anywhere), 0.5, 2).unwrap();
            placement.ended(&chosen, UpstreamOutcome::Answered, 2);
            chosen.upstream.as_str() == "west-a"
        });
        let mut test = Self {
            placement,
            object: object.unwrap(),
            west: BTreeSet::from([Region::new("west")]),
            in_flight: Vec::new(),
        };
        let small = (1..10).map(|number| format!("w{number}"));
        for _ in 0..FULL - 3 {
            test.start("large", START).unwrap();
        }
        for workspace in small.clone().take(3) {
            test.start(&workspace, START).unwrap();
        }
        for workspace in small {
            let refused = test.start(&workspace, START);
            assert!(matches!(refused, Err(Refusal::Busy { .. })), "{refused:?}");
        }
        test
    }

    fn start(&mut self, workspace: &str, now: u64) -> Result<(), Refusal> {
        let wanted = (self.object.as_str(), &self.west);
        let chosen = choose(&mut self.placement, Some(workspace), wanted, 0.5, now)?;
        self.in_flight.push(chosen);
        Ok(())
    }

    /// Ends requests until `count` remain.
    fn end_all_but(&mut self, count: usize, now: u64) {
        while self.in_flight.len() > count {
            let choice = self.in_flight.pop().unwrap();
            self.placement
                .ended(&choice, UpstreamOutcome::Answered, now);
        }
        assert_eq!(self.in_flight.len(), count);
    }
}

/// Guards against a workspace that fills the queues of an overloaded service, and against one that
/// is refused a free slot.
#[test]
fn a_workspace_over_its_share_gets_free_slots_and_shorter_queues() {
    let mut test = Test::overloaded();
    let now = START + 100;
    for (in_flight, is_admitted) in [(3, true), (5, true), (6, true), (7, false), (9, false)] {
        test.end_all_but(in_flight.min(test.in_flight.len()), now);
        while test.in_flight.len() < in_flight {
            test.start("w9", now).unwrap();
        }
        let large = test.start("large", now);
        assert_eq!(large.is_ok(), is_admitted, "{in_flight}: {large:?}");
        test.end_all_but(in_flight, now);
        test.start("w8", now).unwrap();
        test.end_all_but(in_flight, now);
    }
    let status = test.placement.status(now);
    assert_eq!(status[0].share_limited, 5);
    let over: Vec<&str> = status[0]
        .workspaces
        .iter()
        .filter(|share| share.is_over_share)
        .map(|share| share.workspace.as_str())
        .collect();
    assert_eq!(over, ["large"]);
    // 2 s after the last refusal, all workspaces are treated alike.
    let later = now + 2_000;
    test.end_all_but(7, later);
    test.start("large", later).unwrap();
    assert!(test.placement.status(later)[0].workspaces.is_empty());
}

/// Guards against a workspace over its share that keeps the service overloaded, and slots reserved
/// for urgent requests, with refusals that nobody else would have received.
#[test]
fn a_refusal_for_its_share_alone_limits_no_other_request() {
    let mut test = Test::overloaded();
    // Too long for the share of `large`, short enough for all others.
    test.end_all_but(9, START);
    let refused = test.start("large", START + 1_500);
    assert!(matches!(refused, Err(Refusal::Busy { .. })), "{refused:?}");
    // The refusals of the others ended their effect.
    let now = START + 2_000;
    let (service, w9) = (service(), Workspace::new("w9"));
    let mut less_urgent = wanted(&service, test.object.as_bytes(), &test.west, &[]);
    less_urgent.workspace = Some(&w9);
    less_urgent.rank.route += 1;
    let chosen = test.placement.choose(&less_urgent, 0.5, now).unwrap();
    test.placement
        .ended(&chosen, UpstreamOutcome::Abandoned, now);
    test.start("large", now).unwrap();
}

/// Guards against an overload because upstreams can't be used by a request though none is full.
#[test]
fn a_refusal_without_a_full_upstream_is_no_overload() {
    let mut test = Test::overloaded();
    test.end_all_but(9, START);
    let (service, w9, anywhere) = (service(), Workspace::new("w9"), BTreeSet::new());
    let tried = ["west-a", "north-a"].map(UpstreamId::new);
    let mut retry = wanted(&service, test.object.as_bytes(), &anywhere, &tried);
    retry.workspace = Some(&w9);
    let refused = test.placement.choose(&retry, 0.5, START + 1_500);
    assert!(matches!(refused, Err(Refusal::Busy { .. })), "{refused:?}");
    test.start("large", START + 2_000).unwrap();
}

/// Guards against shares of the whole service for a workspace that may use a part of it only, and
/// against an overload of the service because that part is full.
#[test]
fn shares_leave_out_workspaces_with_restricted_regions() {
    let mut test = Test::overloaded();
    let (service, anywhere) = (service(), BTreeSet::new());
    let west = test.west.clone();
    let object = test.object.clone();
    let restricted = |test: &mut Test, workspace: &str, now| {
        let workspace = Workspace::new(workspace);
        let mut wanted = wanted(&service, object.as_bytes(), &anywhere, &[]);
        wanted.workspace = Some(&workspace);
        wanted.regions.workspace = Some(&west);
        test.placement.choose(&wanted, 0.5, now)
    };
    let refused = restricted(&mut test, "w9", START + 1_500);
    assert!(matches!(refused, Err(Refusal::Busy { .. })), "{refused:?}");
    test.end_all_but(9, START + 1_500);
    assert!(test.start("large", START + 1_500).is_err());
    let chosen = restricted(&mut test, "large", START + 1_500).unwrap();
    test.placement
        .ended(&chosen, UpstreamOutcome::Abandoned, START + 1_500);
    test.start("large", START + 2_000).unwrap();
}

/// Guards against a limit that leaves out the first wait at home: a workspace over its share would
/// wait there although a slot is free elsewhere.
#[test]
fn a_workspace_over_its_share_leaves_a_full_home_earlier() {
    let mut test = Test::overloaded();
    let now = START + 100;
    test.end_all_but(6, now);
    let anywhere = BTreeSet::new();
    let mut upstream_for = |workspace| {
        let wanted = (test.object.as_str(), &anywhere);
        let chosen = choose(&mut test.placement, Some(workspace), wanted, 0.5, now).unwrap();
        test.placement
            .ended(&chosen, UpstreamOutcome::Abandoned, now);
        chosen.upstream.as_str().to_owned()
    };
    assert_eq!(upstream_for("w9"), "west-a");
    assert_eq!(upstream_for("large"), "north-a");
}

/// Guards against any effect where workspaces don't compete: with one workspace each choice and
/// each refusal is the same as without workspaces.
#[test]
fn one_workspace_alone_is_served_like_requests_without_a_workspace() {
    let play = |workspace: Option<&str>| {
        let mut placement = placement_in("west");
        placement.update(&fleet(3), &config(1), 1);
        let mut in_flight: VecDeque<Choice> = VecDeque::new();
        let mut outcomes = Vec::new();
        let mut refused = 0;
        let anywhere = BTreeSet::new();
        for number in 0..3_000_u32 {
            let now = START + u64::from(number) * 10;
            let random = f64::from(number * 7 % 100) / 100.0;
            let object = (number * number % 40).to_string();
            let wanted = (object.as_str(), &anywhere);
            match choose(&mut placement, workspace, wanted, random, now) {
                Ok(choice) => {
                    outcomes.push(Ok(choice.upstream.clone()));
                    in_flight.push_back(choice);
                }
                Err(refusal) => {
                    refused += 1;
                    outcomes.push(Err(refusal));
                }
            }
            // In every other 5 s, all requests end; otherwise one of two does.
            let is_quiet = number / 500 % 2 == 0;
            if (is_quiet || number % 2 == 0)
                && let Some(choice) = in_flight.pop_front()
            {
                placement.ended(&choice, UpstreamOutcome::Answered, now);
            }
        }
        assert!((100..2_900).contains(&refused), "{refused}");
        assert_eq!(placement.status(START)[0].share_limited, 0);
        outcomes
    };
    assert_eq!(play(None), play(Some("alone")));
}
