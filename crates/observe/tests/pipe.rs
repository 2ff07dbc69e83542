//! A log that nobody reads holds nobody up.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_observe::{PipeAppend, dropped_lines};
use logforth::Append;
use logforth::layout::TextLayout;
use logforth::record::Record;
use std::io::Write;
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// An output that blocks until its test ends.
struct Stuck(Receiver<()>);

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_that_nobody_reads_are_dropped_and_counted() {
    let (end, stuck) = channel();
    let append = PipeAppend::new(TextLayout::default(), Stuck(stuck)).unwrap();
    let record = Record::builder().build();
    // Would never return if a line waited for its reader.
    for _ in 0..2_000 {
        append.append(&record, &[]).unwrap();
    }
    let dropped = dropped_lines();
    assert!((1_000..2_000).contains(&dropped), "{dropped}");
    drop(end);
}

/// An output that takes its time for each line.
#[derive(Clone, Default)]
struct Slow(Arc<Mutex<Vec<u8>>>);

impl Write for Slow {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        std::thread::sleep(Duration::from_millis(2));
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// A process ended before its last lines were written.
#[test]
fn the_last_lines_of_a_process_are_lost() {
    const LINES: usize = 20;
    let output = Slow::default();
    let append = PipeAppend::new(TextLayout::default(), output.clone()).unwrap();
    let record = Record::builder().build();
    for _ in 0..LINES {
        append.append(&record, &[]).unwrap();
    }
    append.flush().unwrap();
    let written = output.0.lock().unwrap();
    let lines = written.iter().filter(|byte| **byte == b'\n').count();
    assert_eq!(lines, LINES);
}

#[test]
fn a_flush_of_lines_that_nobody_reads_returns() {
    let (end, stuck) = channel();
    let append = PipeAppend::new(TextLayout::default(), Stuck(stuck)).unwrap();
    let record = Record::builder().build();
    append.append(&record, &[]).unwrap();
    append.flush().unwrap();
    drop(end);
}
