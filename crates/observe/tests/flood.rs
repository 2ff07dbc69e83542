//! What is logged of one event while a subject floods it.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_observe::{Event, emit_about};
use std::sync::Mutex;

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct Recorder;

impl log::Log for Recorder {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        LINES.lock().unwrap().push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// A workspace whose flood used up the lines of BW411 hid that another was refused.
#[test]
fn a_flooding_subject_hides_the_lines_of_another() {
    log::set_logger(&Recorder).unwrap();
    log::set_max_level(log::LevelFilter::Info);
    let event = Event::SlotMissing;
    for _ in 0..1_000 {
        emit_about(event, &"rival", format_args!("service=rival"));
    }
    for _ in 0..1_000 {
        emit_about(event, &"steady", format_args!("service=steady"));
    }
    for subject in 0..1_000 {
        emit_about(event, &subject, format_args!("service=other"));
    }
    let lines = LINES.lock().unwrap();
    let count = |name: &str| lines.iter().filter(|line| line.ends_with(name)).count();
    assert!(count("service=steady") > 0);
    // The flood is limited as before, and so is the sum however many subjects there are.
    assert!((100..300).contains(&lines.len()), "{} lines", lines.len());
}
