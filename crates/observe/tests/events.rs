//! The catalogue of events and the page that shows it.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_observe::{Event, LatencyTable};
use brasswinch_types::{Class, Workspace};

fn table() -> String {
    let mut table = String::from(
        "| number | severity | event | what happened | what to do |\n| --- | --- | --- | --- | --- |\n",
    );
    for row in Event::ALL {
        table += &format!(
            "| BW{} | {:?} | {:?} | {} | {} |\n",
            row.number, row.severity, row.event, row.meaning, row.action
        );
    }
    table
}

#[test]
fn the_page_shows_the_catalogue_as_it_is() {
    let page = include_str!("../../../docs/EVENTS.md");
    assert!(
        page.contains(&table()),
        "docs/EVENTS.md lacks:\n{}",
        table()
    );
}

#[test]
fn each_event_has_a_number_of_its_own_and_its_own_row() {
    let numbers: std::collections::BTreeSet<_> = Event::ALL.iter().map(|row| row.number).collect();
    assert_eq!(numbers.len(), Event::ALL.len());
    for row in Event::ALL {
        assert_eq!(row.event.row().number, row.number);
    }
}

/// All source text below `folder`.
fn sources(folder: &std::path::Path) -> String {
    let mut text = String::new();
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            text += &sources(&path);
        } else {
            text += &std::fs::read_to_string(&path).unwrap();
        }
    }
    text
}

#[test]
fn the_daemon_logs_every_event_of_the_catalogue() {
    // The routed path and its adapter are parts of the daemon.
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    let folders = ["crates/daemon/src", "crates/edge/src", "platform/src"];
    let in_folder = |folder| sources(&std::path::Path::new(root).join(folder));
    let sources: String = folders.map(in_folder).concat();
    let logs = |event: &Event| {
        let name = format!("Event::{event:?}");
        sources.match_indices(&name).any(|(at, _)| {
            let after = sources[at + name.len()..].chars().next();
            after.is_none_or(|next| !next.is_alphanumeric())
        })
    };
    let silent: Vec<Event> = Event::ALL
        .iter()
        .map(|row| row.event)
        .filter(|event| !logs(event))
        .collect();
    assert_eq!(silent, []);
}

#[test]
fn latencies_of_many_workspaces_stay_bounded_and_apart() {
    let table = LatencyTable::default();
    for workspace in 0..2_000 {
        let name = Workspace::new(format!("workspace-{workspace}"));
        table.record(&name, Class::Repeatable, 1_000);
        table.record(&name, Class::Upload, 50_000);
    }
    let summary = table.summary();
    assert!(summary.len() <= 1_026, "{}", summary.len());
    let first = summary
        .iter()
        .find(|latency| {
            latency.workspace == Workspace::new("workspace-0") && latency.class == "upload"
        })
        .unwrap();
    assert_eq!(first.count, 1);
    assert!((49_000..52_000).contains(&first.p50_us), "{}", first.p50_us);
}
