//! One workspace at several times its usual load beside 79 others, replayed on the decisions of 12
//! boxes with 6 upstreams each.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_lab::replay::{Knowledge, LoadPattern, WorkspaceLoads, WorkspaceOutcome, play};
use std::sync::LazyLock;

/// Requests per second for each upstream without the workspace's additional load. Boxes then
/// refuse 0.26 times for each request; a refused request comes back once.
const PER_UPSTREAM: f64 = 13.0;

/// Load of the workspace, as a multiple of its usual one.
const LOAD_FACTOR: f64 = 7.5;

/// Replays of each variant; the number of refusals of one differs by a tenth.
const SEEDS: u64 = 4;

/// Largest refusals of the others, as a multiple of those without the additional load: the target
/// in `docs/design/competing-load.md`, part 3.
const MAX_OTHERS_TO_USUAL: f64 = 1.2;

/// Refusals by boxes as a fraction of the requests sent.
struct Refusals {
    first: f64,
    others: f64,
}

fn refusals(knowledge: Knowledge, first_factor: f64, are_known: bool) -> Refusals {
    let pattern = LoadPattern {
        name: "workspaces",
        boxes: 12,
        upstreams: 12 * 6,
        per_upstream: PER_UPSTREAM,
        objects_per_upstream: 10.0,
        length_s: 10.0,
        disturbances: Vec::new(),
        workspaces: Some(WorkspaceLoads {
            count: 80,
            first_factor,
            are_known,
        }),
        speeds: None,
    };
    let plays = (0..SEEDS).map(|seed| play(&pattern, knowledge, seed));
    let (mut first, mut others) = (Vec::new(), Vec::new());
    for outcome in plays {
        first.push(outcome.workspaces[0]);
        others.extend_from_slice(&outcome.workspaces[1..]);
    }
    let part = |outcomes: &[WorkspaceOutcome]| {
        let refusals: u32 = outcomes.iter().map(|outcome| outcome.refusals).sum();
        let requests: u32 = outcomes.iter().map(|outcome| outcome.requests).sum();
        f64::from(refusals) / f64::from(requests)
    };
    Refusals {
        first: part(&first),
        others: part(&others),
    }
}

/// Replays of a load with one way of knowing the load of upstreams.
struct Replays {
    /// Without the additional load.
    usual: Refusals,
    /// With it, where boxes don't know the workspaces of requests.
    unlimited: Refusals,
    /// With it, where boxes know them.
    limited: Refusals,
}

impl Replays {
    fn of(knowledge: Knowledge) -> Self {
        let replays = Self {
            usual: refusals(knowledge, 1.0, true),
            unlimited: refusals(knowledge, LOAD_FACTOR, false),
            limited: refusals(knowledge, LOAD_FACTOR, true),
        };
        println!(
            "{knowledge:?}: others {:.4} usually, {:.4} without shares, {:.4} with shares; \
             the workspace {:.4} without shares, {:.4} with shares",
            replays.usual.others,
            replays.unlimited.others,
            replays.limited.others,
            replays.unlimited.first,
            replays.limited.first
        );
        replays
    }

    /// Guards against shares without an effect on the others or on the workspace.
    fn check_effect(&self) {
        assert!(self.limited.others < self.unlimited.others);
        assert!(self.limited.first > 1.5 * self.limited.others);
    }

    fn check_target(&self) {
        let ratio = self.limited.others / self.usual.others;
        assert!(ratio <= MAX_OTHERS_TO_USUAL, "{ratio:.3}");
    }
}

static OWN: LazyLock<Replays> = LazyLock::new(|| Replays::of(Knowledge::Own));
static COORDINATORS: LazyLock<Replays> = LazyLock::new(|| Replays::of(Knowledge::Keeper));

/// Guards against a workspace that takes a service's capacity from the others.
#[test]
fn one_workspace_at_several_times_its_load_is_refused_more_than_the_others() {
    OWN.check_effect();
}

/// The same with boxes that ask coordinators.
#[test]
fn the_same_holds_where_boxes_ask_coordinators() {
    COORDINATORS.check_effect();
}

/// Guards against refusals of the others above the target.
#[test]
fn others_refusals_meet_the_target_with_own_knowledge() {
    OWN.check_target();
}

/// Guards against refusals of the others above the target where boxes ask coordinators.
#[test]
fn others_refusals_meet_the_target_with_asked_coordinators() {
    COORDINATORS.check_target();
}
