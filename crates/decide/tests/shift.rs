//! Shares move no faster than the cap, however the target changes, and picks follow the
//! shares.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_decide::regions::{RegionFactors, RegionReport};
use brasswinch_decide::selector::Selector;
use brasswinch_decide::shift::{Shares, ShiftState, distance};
use brasswinch_types::{Millis, Region, ShiftCap};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const REGIONS: [&str; 3] = ["guj-west", "mah-north", "raj-south"];

fn shares(weights: &[f64]) -> Shares {
    let sum: f64 = weights.iter().sum();
    REGIONS
        .iter()
        .zip(weights)
        .filter(|(_, weight)| **weight > 0.0)
        .map(|(region, weight)| (Region::new(region), weight / sum))
        .collect()
}

/// Generates the same cases in every run.
fn fixed_seed_config() -> ProptestConfig {
    ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Shares over time, as pairs of time and shares.
type Track = Vec<(Millis, Shares)>;

/// Steps towards changing targets at irregular times, with pauses.
fn track(start: &[f64], moves: &[(Vec<f64>, Millis)], cap: ShiftCap) -> Track {
    let mut now = 0;
    let mut state = ShiftState::new(shares(start), now);
    let mut track = vec![(now, state.shares().clone())];
    for (target, pause) in moves {
        now += pause;
        state.step(&shares(target), cap, 1_000, now);
        track.push((now, state.shares().clone()));
    }
    track
}

/// Returns the largest distance between the shares at two times at most `window_ms` apart.
fn max_move_in_window(track: &Track, window_ms: Millis) -> f64 {
    let mut max_move = 0.0_f64;
    for (index, (from, before)) in track.iter().enumerate() {
        for (to, after) in &track[index..] {
            if to - from > window_ms {
                break;
            }
            max_move = max_move.max(distance(before, after));
        }
    }
    max_move
}

fn weights() -> impl Strategy<Value = Vec<f64>> {
    prop::collection::vec(0..10_u32, 3)
        .prop_filter("one above 0", |weights| weights.iter().any(|w| *w > 0))
        .prop_map(|weights| weights.into_iter().map(f64::from).collect())
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    #[test]
    fn in_any_window_the_shares_move_at_most_the_cap(
        start in weights(),
        moves in prop::collection::vec((weights(), 1..2_000_u64), 1..80),
        percent in 1..100_u32,
        window_ms in 500..20_000_u64,
    ) {
        let cap = ShiftCap { fraction: f64::from(percent) / 100.0, window_ms };
        let track = track(&start, &moves, cap);
        prop_assert!(max_move_in_window(&track, window_ms) <= cap.fraction + 1e-9);
        for (_, shares) in &track {
            let sum: f64 = shares.values().sum();
            prop_assert!((sum - 1.0).abs() < 1e-6);
        }
    }

    #[test]
    fn picks_follow_the_shares_within_one_request_of_each_region(
        weights in weights(),
        picks in 1..500_u32,
    ) {
        let shares = shares(&weights);
        let mut selector = Selector::default();
        let mut counts: std::collections::BTreeMap<Region, f64> = Default::default();
        for _ in 0..picks {
            *counts.entry(selector.pick(&shares).unwrap()).or_default() += 1.0;
        }
        for (region, share) in &shares {
            let expected = share * f64::from(picks);
            let count = counts.get(region).copied().unwrap_or(0.0);
            prop_assert!((count - expected).abs() <= 1.5, "{region}: {count} of {expected}");
        }
    }
}

#[test]
fn a_shift_arrives_in_the_time_that_the_cap_allows() {
    let cap = ShiftCap {
        fraction: 0.1,
        window_ms: 10_000,
    };
    let moves = vec![(vec![0.0, 1.0, 0.0], 100); 1_200];
    let track = track(&[1.0, 0.0, 0.0], &moves, cap);
    let target = shares(&[0.0, 1.0, 0.0]);
    let arrived = track.iter().find(|(_, s)| distance(s, &target) < 1e-9);
    // The cap of 0.1 per 10 s, plus 1 s for which callers cache responses: 11 s per tenth.
    assert_eq!(arrived.unwrap().0, 110_000);
}

#[test]
fn a_box_that_was_paused_does_not_jump_ahead() {
    let cap = ShiftCap {
        fraction: 0.1,
        window_ms: 10_000,
    };
    let moves = [(vec![0.0, 1.0, 0.0], 3_600_000)];
    let track = track(&[1.0, 0.0, 0.0], &moves, cap);
    assert!(distance(&track[0].1, &track[1].1) <= 0.1 * 500.0 / 10_000.0);
}

#[test]
fn a_lost_region_gets_no_target_share_and_a_full_one_gets_less() {
    let planned = shares(&[8.0, 1.0, 1.0]);
    let home = Region::new("guj-west");
    let mut factors = RegionFactors::default();
    factors.observe(&home, RegionReport::Down, 0);
    assert!(factors.is_down(&home));
    assert!(!factors.target(&planned).contains_key(&home));
    factors.observe(&home, RegionReport::Unmeasured, 1_000);
    let returning = factors.target(&planned)[&home];
    assert!(returning > 0.0 && returning < planned[&home]);
    for second in 2..60 {
        factors.observe(&home, RegionReport::Idle(0.5), second * 1_000);
    }
    assert!((factors.target(&planned)[&home] - planned[&home]).abs() < 1e-9);
    factors.observe(&home, RegionReport::Idle(0.0), 61_000);
    assert!(factors.target(&planned)[&home] < planned[&home]);
}

#[test]
fn where_every_region_is_down_there_is_no_target() {
    let planned = shares(&[1.0, 1.0, 0.0]);
    let mut factors = RegionFactors::default();
    for region in planned.keys() {
        factors.observe(region, RegionReport::Down, 0);
    }
    assert!(factors.target(&planned).is_empty());
}
