//! The table that maps each error kind to a response, and the page that documents it.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_types::{ErrorKind, Ran, RetryHint};

fn table() -> String {
    let mut table = String::from(
        "| code | status | ran | come back after | text |\n| --- | --- | --- | --- | --- |\n",
    );
    for kind in ErrorKind::ALL {
        let row = kind.answer();
        let retry = match row.retry {
            RetryHint::Never => "never".to_owned(),
            RetryHint::After(ms) => format!("{ms} to {} ms", 2 * ms),
        };
        table += &format!(
            "| `{kind}` | {} | `{}` | {retry} | {} |\n",
            row.status, row.ran, row.text
        );
    }
    table
}

#[test]
fn the_table_changes_only_on_purpose() {
    insta::assert_snapshot!(table());
}

#[test]
fn the_page_shows_the_table_as_it_is() {
    let page = include_str!("../../../docs/ERRORS.md");
    assert!(
        page.contains(&table()),
        "docs/ERRORS.md lacks:\n{}",
        table()
    );
}

#[test]
fn every_kind_is_in_the_table_once_and_has_its_own_code() {
    let codes: std::collections::BTreeSet<_> = ErrorKind::ALL.iter().map(|k| k.code()).collect();
    assert_eq!(codes.len(), ErrorKind::ALL.len());
}

#[test]
fn a_request_that_may_have_run_gets_no_retry_time() {
    for kind in ErrorKind::ALL {
        let row = kind.answer();
        if row.ran == Ran::Unknown {
            assert_eq!(row.retry, RetryHint::Never, "{kind}");
        }
    }
}
