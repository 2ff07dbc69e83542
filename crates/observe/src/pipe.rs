//! Writes log lines without blocking the tasks that log.
//!
//! Lines go through a bounded queue to a thread of their own. Where nobody reads the
//! other end, the queue fills, and further lines are dropped and counted.

use logforth::layout::Layout;
use logforth::record::Record;
use logforth::{Append, Diagnostic, Error};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

/// Lines that may wait to be written.
const MOST_WAITING: usize = 512;

/// Lines that were dropped since the start.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// How many log lines were dropped because nobody read them.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// An appender that hands lines to a thread.
#[derive(Debug)]
pub struct PipeAppend {
    layout: Box<dyn Layout>,
    lines: SyncSender<Vec<u8>>,
}

impl PipeAppend {
    /// Writes to `output` from a thread of its own.
    pub fn new(layout: impl Layout, output: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (lines, waiting) = sync_channel(MOST_WAITING);
        std::thread::Builder::new()
            .name("log".into())
            .stack_size(64 * 1024)
            .spawn(move || write_lines(&waiting, output))?;
        Ok(Self {
            layout: Box::new(layout),
            lines,
        })
    }
}

fn write_lines(waiting: &Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(line) = waiting.recv() {
        if output
            .write_all(&line)
            .and_then(|()| output.flush())
            .is_err()
        {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Append for PipeAppend {
    fn append(
        &self,
        record: &Record<'_>,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), Error> {
        let mut line = self.layout.format(record, diagnostics)?;
        line.push(b'\n');
        if self.lines.try_send(line).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}
