//! A log that nobody reads holds nobody up.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_observe::{PipeAppend, dropped_lines};
use logforth::Append;
use logforth::layout::TextLayout;
use logforth::record::Record;
use std::io::Write;
use std::sync::mpsc::{Receiver, channel};

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
