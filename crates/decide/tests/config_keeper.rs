//! Entries that arrive late, duplicated or out of order lead to the same set on every
//! daemon, and no entry is replaced by an older one.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_decide::config_keeper::{ConfigKeeper, Merge};
use brasswinch_types::{
    ConfigDocument, ConfigEntry, ConfigKey, PolicyText, SubmissionId, Workspace,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn entry(workspace: usize, version: u64, submission: u64) -> ConfigEntry {
    ConfigEntry {
        key: ConfigKey::Policy(Workspace::new(format!("workspace-{workspace}"))),
        version,
        submission: SubmissionId(submission),
        document: ConfigDocument::Policy(PolicyText {
            source: format!("{workspace} {version} {submission}"),
        }),
    }
}

/// Generates the same cases in every run.
fn fixed_seed_config() -> ProptestConfig {
    ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    #[test]
    fn any_order_leads_to_the_same_entries_and_none_goes_back(
        entries in prop::collection::vec((0..3_usize, 1..6_u64, 0..3_u64), 1..40),
        order in prop::collection::vec(any::<prop::sample::Index>(), 80),
    ) {
        let entries: Vec<ConfigEntry> =
            entries.into_iter().map(|(w, v, s)| entry(w, v, s)).collect();
        let mut first = ConfigKeeper::default();
        for entry in &entries {
            first.merge(entry.clone());
        }
        let mut second = ConfigKeeper::default();
        let mut seen: std::collections::BTreeMap<ConfigKey, (u64, SubmissionId)> = Default::default();
        let shuffled = order.iter().map(|index| index.get(&entries)).chain(&entries);
        for entry in shuffled {
            second.merge(entry.clone());
            for held in second.entries() {
                let now = (held.version, held.submission);
                let before = seen.insert(held.key.clone(), now);
                prop_assert!(before.is_none_or(|before| before <= now), "went back");
            }
        }
        prop_assert_eq!(first.digest(), second.digest());
        prop_assert!(first.entries().eq(second.entries()));
    }

    #[test]
    fn a_comparison_sends_exactly_what_the_other_lacks(
        mine in prop::collection::vec((0..5_usize, 1..4_u64), 0..10),
        theirs in prop::collection::vec((0..5_usize, 1..4_u64), 0..10),
    ) {
        let keeper = |entries: &[(usize, u64)]| {
            let mut keeper = ConfigKeeper::default();
            for (workspace, version) in entries {
                keeper.merge(entry(*workspace, *version, 0));
            }
            keeper
        };
        let (mut a, mut b) = (keeper(&mine), keeper(&theirs));
        let to_b = a.missing_from(&b.held());
        let to_a = b.missing_from(&a.held());
        for entry in to_b {
            prop_assert!(b.lacks(&(&entry).into()));
            prop_assert_eq!(b.merge(entry), Merge::Newer);
        }
        for entry in to_a {
            prop_assert_eq!(a.merge(entry), Merge::Newer);
        }
        prop_assert_eq!(a.digest(), b.digest());
    }
}

#[test]
fn the_same_entry_twice_changes_nothing() {
    let mut keeper = ConfigKeeper::default();
    assert_eq!(keeper.merge(entry(0, 2, 7)), Merge::Newer);
    let digest = keeper.digest();
    assert_eq!(keeper.merge(entry(0, 2, 7)), Merge::Same);
    assert_eq!(keeper.merge(entry(0, 1, 9)), Merge::Older);
    assert_eq!(keeper.digest(), digest);
}
