//! Fair shares of a service among workspaces.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_routing::{FairShares, MAX_COUNTED_WORKSPACES};
use brasswinch_types::Workspace;

/// Within the first window of a count that starts at 0.
const NOW: u64 = 500;

fn workspace(name: impl std::fmt::Display) -> Workspace {
    Workspace::new(name.to_string())
}

fn count(shares: &mut FairShares, name: &str, admitted: u32, refused: u32, now: u64) {
    for number in 0..admitted + refused {
        shares.count(&workspace(name), number < admitted, now);
    }
}

/// Returns the workspaces over their share.
fn over_share(shares: &mut FairShares, names: &[&str], now: u64) -> Vec<String> {
    let names = names.iter().map(|name| (*name).to_owned());
    names
        .filter(|name| shares.is_over_share(&workspace(name), now))
        .collect()
}

/// Guards against a limit on a service that has capacity for all.
#[test]
fn nobody_is_over_its_share_unless_a_request_was_refused_within_2_s() {
    let mut shares = FairShares::default();
    count(&mut shares, "large", 60, 20, NOW);
    count(&mut shares, "small", 10, 30, NOW);
    assert!(over_share(&mut shares, &["large", "small"], NOW).is_empty());
    shares.record_refusal(NOW);
    assert_eq!(over_share(&mut shares, &["large", "small"], NOW), ["large"]);
    let later = NOW + 1_999;
    count(&mut shares, "large", 60, 20, later);
    count(&mut shares, "small", 10, 30, later);
    assert_eq!(
        over_share(&mut shares, &["large", "small"], later),
        ["large"]
    );
    assert!(over_share(&mut shares, &["large", "small"], later + 1).is_empty());
}

/// Guards against equal shares in place of max-min fair ones: what small workspaces don't request
/// belongs to the large one, which is then not over its share.
#[test]
fn a_large_workspace_may_use_what_the_others_do_not_request() {
    let mut shares = FairShares::default();
    count(&mut shares, "large", 80, 20, NOW);
    for name in ["a", "b", "c"] {
        count(&mut shares, name, 5, 0, NOW);
    }
    shares.record_refusal(NOW);
    // Its share is the 80 requests that the others leave, though the mean is 23.75.
    assert!(over_share(&mut shares, &["large", "a", "b", "c"], NOW).is_empty());
}

/// Guards against a workspace whose load rises to 7.5 times its usual load and which has as large
/// a part of its requests admitted as all others.
#[test]
fn one_workspace_with_more_load_than_79_others_is_over_its_share() {
    let mut shares = FairShares::default();
    let names: Vec<String> = (0..79).map(|number| format!("w{number}")).collect();
    for name in &names {
        count(&mut shares, name, 9, 1, NOW);
    }
    count(&mut shares, "large", 67, 8, NOW);
    shares.record_refusal(NOW);
    let mut names: Vec<&str> = names.iter().map(String::as_str).collect();
    names.push("large");
    assert_eq!(over_share(&mut shares, &names, NOW), ["large"]);
    let status = shares.shares(NOW);
    assert_eq!(status.len(), 80);
    assert_eq!(status[0].workspace, workspace("large"));
    assert_eq!((status[0].requested, status[0].admitted), (75, 67));
    assert!(status[0].is_over_share && !status[1].is_over_share);
}

/// Guards against an effect on a service that only one workspace uses.
#[test]
fn a_workspace_alone_is_never_over_its_share() {
    let mut shares = FairShares::default();
    count(&mut shares, "alone", 500, 5_000, NOW);
    shares.record_refusal(NOW);
    assert!(!shares.is_over_share(&workspace("alone"), NOW));
    assert!(!shares.is_over_share(&workspace("never seen"), NOW));
}

/// Guards against counts that outlive their windows, and against losing those of the last window.
#[test]
fn counts_last_for_two_windows() {
    let mut shares = FairShares::default();
    count(&mut shares, "large", 60, 20, NOW);
    count(&mut shares, "small", 10, 30, NOW);
    let next = NOW + 1_000;
    count(&mut shares, "small", 1, 0, next);
    shares.record_refusal(next);
    assert!(shares.is_over_share(&workspace("large"), next));
    let after = next + 1_000;
    count(&mut shares, "small", 1, 0, after);
    shares.record_refusal(after);
    assert!(!shares.is_over_share(&workspace("large"), after));
    assert_eq!(shares.counted(), 1);
    // After a pause of two windows nothing is left.
    let much_later = after + 2_000;
    count(&mut shares, "new", 1, 0, much_later);
    assert_eq!(shares.counted(), 1);
    assert!(shares.shares(much_later + 2_000).is_empty());
}

/// Guards against windows that start late if requests are far apart: counts would last for up to
/// 3 s.
#[test]
fn counts_last_for_no_more_than_2_s() {
    for gap in [1_001, 1_999] {
        let mut shares = FairShares::default();
        let start = 10_000;
        count(&mut shares, "large", 60, 20, start);
        count(&mut shares, "small", 10, 30, start);
        let next = start + gap;
        count(&mut shares, "small", 1, 0, next);
        shares.record_refusal(next);
        assert!(shares.is_over_share(&workspace("large"), next), "{gap}");
        let end = start + 2_000;
        let shown = shares.shares(end);
        assert_eq!(shown.len(), 1, "{gap}: {shown:?}");
        assert!(!shares.is_over_share(&workspace("large"), end), "{gap}");
        assert_eq!(shares.counted(), 1, "{gap}");
    }
}

/// Guards against memory that grows with the number of workspaces, and against a large workspace
/// that goes uncounted, or a small one that is limited, because the table is full.
#[test]
fn at_most_256_workspaces_are_counted_and_large_ones_always_are() {
    let mut shares = FairShares::default();
    for number in 0..2_000 {
        let name = format!("w{number}");
        count(&mut shares, &name, 1, 0, NOW);
        shares.record_refusal(NOW);
        assert!(shares.counted() <= MAX_COUNTED_WORKSPACES);
        assert!(!shares.is_over_share(&workspace(&name), NOW), "{name}");
    }
    for number in 0..2_000 {
        count(&mut shares, "large", 2, 0, NOW);
        count(&mut shares, &format!("x{number}"), 0, 1, NOW);
    }
    shares.record_refusal(NOW);
    assert_eq!(shares.counted(), MAX_COUNTED_WORKSPACES);
    assert!(shares.is_over_share(&workspace("large"), NOW));
    assert!(!shares.is_over_share(&workspace("x1999"), NOW));
}

/// Guards against a clock that jumps and counts that overflow.
#[test]
fn extreme_times_are_accepted() {
    let mut shares = FairShares::default();
    count(&mut shares, "a", 1, 1, u64::MAX);
    shares.record_refusal(u64::MAX);
    count(&mut shares, "a", 1, 1, 0);
    assert!(!shares.is_over_share(&workspace("a"), 0));
    assert_eq!(shares.counted(), 1);
}
