//! Tests of the choice of the peer to request updates from.

use brasswinch_routing::{Candidate, Distance, PeerSelector, Revision};

fn candidate(number: u16, distance: Distance, revision: u64) -> Candidate {
    Candidate {
        peer: ([10, 0, 0, 1], number).into(),
        distance,
        revision: Revision(revision),
    }
}

#[test]
fn near_peers_are_chosen_first() {
    let near = candidate(1, Distance::Zone, 5);
    let far = candidate(2, Distance::Elsewhere, 9);
    let mut selector = PeerSelector::default();
    assert_eq!(selector.choose(&[far, near], 0.9, 1), Some(near));
    selector.record_success(near.peer);
    assert_eq!(selector.choose(&[far, near], 0.9, 2), Some(near));
    assert_eq!(selector.choose(&[], 0.9, 2), None);
}

/// If ten boxes of a zone lose power together, they cost one timeout and not ten.
#[test]
fn after_a_failure_the_box_that_knows_most_is_asked_wherever_it_stands() {
    let mut candidates: Vec<Candidate> = (1..=10)
        .map(|number| candidate(number, Distance::Zone, 5))
        .collect();
    candidates.push(candidate(11, Distance::Region, 6));
    let living = candidate(12, Distance::Elsewhere, 7);
    candidates.push(living);
    let mut selector = PeerSelector::default();
    let dead = selector.choose(&candidates, 0.3, 1_000);
    let dead = dead.map_or(living, |dead| dead);
    assert_ne!(dead, living);
    selector.record_failure(dead.peer, 1_500);
    assert_eq!(selector.choose(&candidates, 0.3, 1_600), Some(living));
}

#[test]
fn a_peer_that_failed_is_chosen_again_if_no_other_candidate_is_left() {
    let only = candidate(1, Distance::Zone, 5);
    let other = candidate(2, Distance::Zone, 5);
    let mut selector = PeerSelector::default();
    selector.record_failure(only.peer, 1);
    assert_eq!(selector.choose(&[only, other], 0.0, 2), Some(other));
    assert_eq!(selector.choose(&[only], 0.0, 2), Some(only));
    selector.record_success(other.peer);
    assert_eq!(selector.choose(&[only, other], 0.0, 3_000), Some(only));
}
