//! Load reports of upstreams: what is read, and what other builds read.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_routing::{LoadReport, ParsedLoadReport};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// A load report as in builds before the duration.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OlderReport {
    running: u32,
    waiting: u32,
    slots: u32,
}

const OLDER: OlderReport = OlderReport {
    running: 3,
    waiting: 2,
    slots: 4,
};

fn report(duration_percent: Option<u32>) -> LoadReport {
    LoadReport {
        running: 3,
        waiting: 2,
        slots: 4,
        duration_percent,
    }
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).unwrap();
    bytes
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> T {
    ciborium::from_reader(bytes).unwrap()
}

/// Guards against an unread duration, and against spaces or more than four numbers that make a
/// report unreadable.
#[test]
fn a_report_has_three_numbers_or_a_duration_as_well() {
    let cases = [
        ("3,2,4", None),
        ("3, 2 ,4", None),
        ("3,2,4,1", Some(1)),
        ("3,2,4, 250", Some(250)),
        ("3,2,4,10000", Some(10_000)),
        ("3,2,4,250,7", Some(250)),
        ("3,2,4,250,nonsense,-1", Some(250)),
    ];
    for (text, duration_percent) in cases {
        let parsed = ParsedLoadReport {
            report: report(duration_percent),
            has_invalid_duration: false,
        };
        assert_eq!(LoadReport::parse(text), Some(parsed), "{text}");
    }
}

/// Guards against an invalid duration that is used or that makes the other numbers unreadable.
#[test]
fn an_invalid_duration_is_left_out_and_the_other_numbers_count() {
    let long = format!("3,2,4,{}", "9".repeat(400));
    let texts = [
        "3,2,4,0",
        "3,2,4,10001",
        "3,2,4,4294967296",
        "3,2,4,-250",
        "3,2,4,2.5",
        "3,2,4,NaN",
        "3,2,4,",
        "3,2,4,,250",
        "3,2,4,fast",
        long.as_str(),
    ];
    for text in texts {
        let parsed = ParsedLoadReport {
            report: report(None),
            has_invalid_duration: true,
        };
        assert_eq!(LoadReport::parse(text), Some(parsed), "{text}");
    }
}

/// Guards against a report made of fewer than three numbers.
#[test]
fn a_report_without_its_first_three_numbers_is_unreadable() {
    for text in ["", "3", "3,2", "3,2,", ",2,4,250", "3,x,4,250", "-3,2,4"] {
        assert_eq!(LoadReport::parse(text), None, "{text}");
    }
}

/// Guards against messages that older builds can't read, and against not reading theirs.
#[test]
fn builds_before_and_after_the_duration_read_each_other() {
    assert_eq!(encode(&report(None)), encode(&OLDER));
    assert_eq!(decode::<OlderReport>(&encode(&report(Some(250)))), OLDER);
    assert_eq!(decode::<LoadReport>(&encode(&OLDER)), report(None));
    let newer = report(Some(250));
    assert_eq!(decode::<LoadReport>(&encode(&newer)), newer);
}
