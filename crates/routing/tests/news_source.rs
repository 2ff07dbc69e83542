//! Which box is asked for news.

use brasswinch_routing::{Candidate, Distance, NewsSources, Revision};

fn candidate(number: u16, distance: Distance, revision: u64) -> Candidate {
    Candidate {
        peer: ([10, 0, 0, 1], number).into(),
        distance,
        revision: Revision(revision),
    }
}

#[test]
fn near_boxes_are_asked_first() {
    let near = candidate(1, Distance::Zone, 5);
    let far = candidate(2, Distance::Elsewhere, 9);
    let mut sources = NewsSources::default();
    assert_eq!(sources.choose(&[far, near], 0.9, 1), Some(near));
    sources.helped(near.peer);
    assert_eq!(sources.choose(&[far, near], 0.9, 2), Some(near));
    assert_eq!(sources.choose(&[], 0.9, 2), None);
}

/// Ten boxes of a zone that lost power together cost one time-out, not ten.
#[test]
fn after_a_failure_the_box_that_knows_most_is_asked_wherever_it_stands() {
    let mut candidates: Vec<Candidate> = (1..=10)
        .map(|number| candidate(number, Distance::Zone, 5))
        .collect();
    candidates.push(candidate(11, Distance::Region, 6));
    let living = candidate(12, Distance::Elsewhere, 7);
    candidates.push(living);
    let mut sources = NewsSources::default();
    let dead = sources.choose(&candidates, 0.3, 1_000);
    let dead = dead.map_or(living, |dead| dead);
    assert_ne!(dead, living);
    sources.failed(dead.peer, 1_500);
    assert_eq!(sources.choose(&candidates, 0.3, 1_600), Some(living));
}

#[test]
fn a_box_that_did_not_help_is_asked_again_where_nobody_else_knows_more() {
    let only = candidate(1, Distance::Zone, 5);
    let other = candidate(2, Distance::Zone, 5);
    let mut sources = NewsSources::default();
    sources.failed(only.peer, 1);
    assert_eq!(sources.choose(&[only, other], 0.0, 2), Some(other));
    assert_eq!(sources.choose(&[only], 0.0, 2), Some(only));
    sources.helped(other.peer);
    assert_eq!(sources.choose(&[only, other], 0.0, 3_000), Some(only));
}
