//! The story of a request out of several logs.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_observe::{LogLine, explain};

const WEST: &str = "\
2026-01-30T14:49:02.000001+00:00   INFO brasswinch: logging.rs:70 BW210 A newer configuration entry is in force here.: version=7 event=210 suppressed=0
2026-01-30T14:49:03.500000+00:00   WARN brasswinch: logging.rs:70 BW511 A routed request goes to another upstream.: id=abc route=r service=s upstream=t1 cause=upstream_refused event=511
2026-01-30T14:49:03.900000+00:00   INFO brasswinch: logging.rs:70 BW510 A routed request got an upstream's answer.: id=abcd route=r
not an event
2026-01-30T14:49:04.000000+00:00   WARN brasswinch: logging.rs:70 BW512 A routed request was refused; it has not run.: id=abc path=/x cause=upstream_refused ms=600";

const NORTH: &str = r#"{"timestamp":"2026-01-30T14:49:01.000000+00:00","level":"INFO","message":"BW100 The daemon has started and listens.: 10.0.0.1:80"}
{"timestamp":"2026-01-30T14:49:03.700000+00:00","level":"INFO","message":"BW510 A routed request got an upstream's answer.: id=abc route=r upstream=t2"}"#;

fn lines() -> Vec<LogLine> {
    let read = |source: &'static str, text: &'static str| {
        text.lines()
            .filter_map(move |line| LogLine::read(source, line))
    };
    read("west", WEST).chain(read("north", NORTH)).collect()
}

#[test]
fn a_request_s_lines_come_in_order_after_what_its_boxes_believed() {
    let story = explain(lines(), "abc");
    let told: Vec<(&str, u16)> = story
        .iter()
        .map(|line| (line.source.as_str(), line.number))
        .collect();
    let expected = [
        ("north", 100),
        ("west", 210),
        ("west", 511),
        ("north", 510),
        ("west", 512),
    ];
    assert_eq!(told, expected);
    assert!(story[4].text.contains("cause=upstream_refused"));
}

#[test]
fn an_id_that_is_part_of_another_is_not_taken_for_it() {
    assert!(explain(lines(), "ab").is_empty());
    assert!(explain(lines(), "t1").is_empty());
}
