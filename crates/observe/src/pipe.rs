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
use std::time::Duration;

/// Lines that may wait to be written.
const MOST_WAITING: usize = 512;

/// Maximum time for which a flush waits for lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Lines that were dropped since the start.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// How many log lines were dropped because nobody read them.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// What the thread of the log is given.
#[derive(Debug)]
enum Entry {
    /// A line to write, with its end.
    Line(Vec<u8>),
    /// Reports that the lines before it have been written.
    Flush(SyncSender<()>),
}

/// An appender that hands lines to a thread.
#[derive(Debug)]
pub struct PipeAppend {
    layout: Box<dyn Layout>,
    entries: SyncSender<Entry>,
}

impl PipeAppend {
    /// Writes to `output` from a thread of its own.
    pub fn new(layout: impl Layout, output: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (entries, waiting) = sync_channel(MOST_WAITING);
        std::thread::Builder::new()
            .name("log".into())
            .stack_size(64 * 1024)
            .spawn(move || write_lines(&waiting, output))?;
        Ok(Self {
            layout: Box::new(layout),
            entries,
        })
    }
}

fn write_lines(waiting: &Receiver<Entry>, mut output: impl Write) {
    while let Ok(entry) = waiting.recv() {
        match entry {
            Entry::Line(line) => {
                let written = output.write_all(&line).and_then(|()| output.flush());
                if written.is_err() {
                    DROPPED.fetch_add(1, Ordering::Relaxed);
                }
            }
            // Fails if the flush has timed out.
            Entry::Flush(done) => drop(done.try_send(())),
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
        if self.entries.try_send(Entry::Line(line)).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Waits until the lines so far have been written, for a short time at most.
    fn flush(&self) -> Result<(), Error> {
        let (done, is_done) = sync_channel(1);
        if self.entries.try_send(Entry::Flush(done)).is_ok() {
            // Lines that nobody reads are left.
            let _ = is_done.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}
