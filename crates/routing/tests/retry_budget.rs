//! The retries that boxes send together stay within the fleet's budget while boxes restart.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_routing::{RetryBudget, RetryBudgetSettings};
use proptest::prelude::*;

const RATIO: f64 = 0.2;
const EXTRA: f64 = 64.0;
const WINDOW_MS: u64 = 10_000;

const DURATION_MS: u64 = 32_000;

/// Longest time by which retries arrive late, in milliseconds: boxes give up connections whose
/// bytes stay unacknowledged for longer.
const MAX_STALL_MS: u64 = 700;

/// Time in which a killed box starts again, in milliseconds.
const START_MS: u64 = 200;

#[derive(Clone, Copy, Debug)]
struct Kill {
    at: u64,
    /// The fraction of the boxes that is killed.
    fraction: f64,
    /// How long they are down, in milliseconds.
    down_ms: u64,
}

struct Day {
    window_ms: u64,
    boxes: usize,
    /// The fleet size that boxes know.
    known_boxes: Option<usize>,
    requests_per_s: u64,
    /// From when on requests are refused, and with which probability.
    refused: (u64, f64),
    kills: Vec<Kill>,
    /// From when on retries don't arrive, and for how long.
    stall: (u64, u64),
    max_attempts: u32,
    seed: u64,
}

struct Sent {
    window_ms: u64,
    requests: Vec<u64>,
    retries: Vec<u64>,
}

/// Pseudorandom numbers from 0 to 1, the same for the same seed.
fn dice(seed: u64) -> impl FnMut() -> f64 {
    let mut state = seed | 1;
    move || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// One box of the model.
#[derive(Clone, Default)]
struct Place {
    budget: Option<RetryBudget>,
    down_until: u64,
}

impl Day {
    /// Sends a steady load to random boxes, which retry whatever their budgets allow.
    fn play(&self) -> Sent {
        let mut dice = dice(self.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        let mut places = vec![Place::default(); self.boxes];
        let mut kills = self.kills.clone();
        kills.sort_by_key(|kill| kill.at);
        let mut kills = kills.into_iter().peekable();
        let settings = RetryBudgetSettings {
            ratio: RATIO,
            extra: EXTRA,
            window_ms: self.window_ms,
        };
        let mut sent = Sent {
            window_ms: self.window_ms,
            requests: Vec::new(),
            retries: Vec::new(),
        };
        for request in 0..DURATION_MS * self.requests_per_s / 1_000 {
            let at = request * 1_000 / self.requests_per_s;
            while let Some(kill) = kills.next_if(|kill| kill.at <= at) {
                for place in &mut places {
                    if dice() < kill.fraction {
                        place.budget = None;
                        place.down_until = place.down_until.max(kill.at + kill.down_ms);
                    }
                }
            }
            let mut up: Vec<&mut Place> = places
                .iter_mut()
                .filter(|place| place.down_until <= at)
                .collect();
            if up.is_empty() {
                continue;
            }
            let index = (dice() * up.len() as f64) as usize;
            let place = &mut up[index];
            let started_at = place.down_until;
            let budget = place
                .budget
                .get_or_insert_with(|| RetryBudget::new(settings, started_at));
            budget.count_request(at);
            sent.requests.push(at);
            let (from, probability) = self.refused;
            for _ in 1..self.max_attempts {
                if at < from || dice() >= probability || !budget.spend(self.known_boxes, dice(), at)
                {
                    break;
                }
                sent.retries.push(self.arrival(at));
            }
        }
        sent.retries.sort_unstable();
        sent
    }

    fn arrival(&self, sent_at: u64) -> u64 {
        let (from, for_ms) = self.stall;
        if sent_at >= from {
            sent_at.max(from + for_ms)
        } else {
            sent_at
        }
    }
}

impl Sent {
    fn count(&self, times: &[u64], from: u64) -> f64 {
        let until = from + self.window_ms;
        let (first, end) = (
            times.partition_point(|at| *at < from),
            times.partition_point(|at| *at < until),
        );
        (end - first) as f64
    }

    /// Returns the retries of the worst window and what it allows. The requests are those of this
    /// window, of the one before or of the one half a window before, whichever are most.
    fn worst_window(&self) -> (f64, f64) {
        let windows = (0..DURATION_MS).step_by(100).map(|from| {
            let window_ms = self.window_ms;
            let starts = [
                from,
                from.saturating_sub(window_ms),
                from.saturating_sub(window_ms / 2),
            ];
            let requests = starts
                .map(|start| self.count(&self.requests, start))
                .into_iter()
                .fold(0.0, f64::max);
            (self.count(&self.retries, from), RATIO * requests + EXTRA)
        });
        windows
            .max_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)))
            .unwrap()
    }
}

/// Guards against boxes that forget at a restart what they have spent of the budget.
#[test]
fn boxes_that_are_all_killed_spend_the_retry_budget_twice() {
    for boxes in [12, 75, 300] {
        let kill = Kill {
            at: 13_500,
            fraction: 1.0,
            down_ms: START_MS,
        };
        let day = Day {
            window_ms: WINDOW_MS,
            boxes,
            known_boxes: Some(boxes),
            requests_per_s: 480,
            refused: (11_000, 0.6),
            kills: vec![kill],
            stall: (0, 0),
            max_attempts: 3,
            seed: 1,
        };
        let (retries, allowed) = day.play().worst_window();
        assert!(
            retries <= allowed,
            "{boxes} boxes: {retries} retries of {allowed}"
        );
    }
}

/// Guards against boxes that know no fleet size and each take the share of a small fleet.
#[test]
fn boxes_without_a_fleet_size_exceed_the_retry_budget() {
    let day = Day {
        window_ms: WINDOW_MS,
        boxes: 300,
        known_boxes: None,
        requests_per_s: 100,
        refused: (1_000, 0.9),
        kills: Vec::new(),
        stall: (0, 0),
        max_attempts: 4,
        seed: 1,
    };
    let sent = day.play();
    let (retries, allowed) = sent.worst_window();
    assert!(retries <= allowed, "{retries} retries of {allowed}");
    assert!(!sent.retries.is_empty(), "requests earn retries");
}

fn kill(down_ms: impl Strategy<Value = u64>) -> impl Strategy<Value = Kill> {
    let any = (5_000_u64..28_000, 0.2_f64..=1.0, down_ms);
    any.prop_map(|(at, fraction, down_ms)| Kill {
        at,
        fraction,
        down_ms,
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards against restarts one after another that each begin with a whole budget.
    #[test]
    fn boxes_that_restart_again_and_again_exceed_the_retry_budget(
        window_ms in proptest::sample::select(vec![3_000_u64, WINDOW_MS]),
        boxes in proptest::sample::select(vec![1_usize, 12, 75, 300]),
        requests_per_s in 10_u64..800,
        refused in (0_u64..14_000, 0.1_f64..1.0),
        kills in proptest::collection::vec(kill(Just(START_MS)), 0..12),
        max_attempts in 2_u32..5,
        seed in any::<u64>(),
    ) {
        let day = Day { window_ms, boxes, known_boxes: Some(boxes), requests_per_s, refused, kills, stall: (0, 0), max_attempts, seed };
        let (retries, allowed) = day.play().worst_window();
        prop_assert!(retries <= allowed, "{retries} retries of {allowed}");
    }

    /// Guards against boxes that spend what others, which are gone, have spent before them, and
    /// against retries that arrive together after a stall.
    #[test]
    fn boxes_that_take_over_from_others_exceed_the_retry_budget(
        boxes in proptest::sample::select(vec![2_usize, 12, 75, 300]),
        requests_per_s in 10_u64..800,
        refused in (0_u64..14_000, 0.1_f64..1.0),
        kills in proptest::collection::vec(kill(500_u64..15_000), 0..6),
        stall in (8_000_u64..24_000, 0_u64..=MAX_STALL_MS),
        max_attempts in 2_u32..5,
        seed in any::<u64>(),
    ) {
        let day = Day { window_ms: WINDOW_MS, boxes, known_boxes: Some(boxes), requests_per_s, refused, kills, stall, max_attempts, seed };
        let (retries, allowed) = day.play().worst_window();
        prop_assert!(retries <= allowed, "{retries} retries of {allowed}");
    }
}
