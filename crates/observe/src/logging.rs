//! Writes numbered events through the `log` facade, bounded in rate.

use crate::PipeAppend;
use crate::events::{Event, Severity};
use logforth::layout::{JsonLayout, TextLayout};
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Most lines of one event of normal operation in a window.
const LINES_PER_WINDOW: u32 = 20;

/// Maximum lines of one failure event in a window.
const FAILURE_LINES_PER_WINDOW: u32 = 100;

/// Lines of one event about one subject in a window that other subjects' lines can't displace.
///
/// Without it a workspace that floods hides the failures of every other from the log.
const LINES_PER_SUBJECT: u32 = 5;

/// Subjects that are told apart in a window; bounds the lines that one event can add.
const MAX_SUBJECTS: usize = 32;

/// The window.
const WINDOW: Duration = Duration::from_secs(1);

/// Form of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// A line for a person.
    Text,
    /// A JSON object a line.
    Json,
}

static READY: AtomicBool = AtomicBool::new(false);

/// Sends the log to standard error. Later calls change nothing.
pub fn init_logging(format: LogFormat) {
    if READY.swap(true, Ordering::SeqCst) {
        return;
    }
    let append = match format {
        LogFormat::Text => PipeAppend::new(TextLayout::default().no_color(), std::io::stderr()),
        LogFormat::Json => PipeAppend::new(JsonLayout::default(), std::io::stderr()),
    };
    let Ok(append) = append else {
        eprintln!("no thread is to be had for the log; nothing will be logged");
        return;
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(append))
        .apply();
    // Below it libraries log each of their steps, which costs more than the request.
    log::set_max_level(log::LevelFilter::Info);
}

/// Waits until the lines so far have been written, for a short time at most. A process calls this
/// before it exits.
pub fn flush_logging() {
    log::logger().flush();
}

struct Window {
    began: Option<Instant>,
    lines: u32,
    suppressed: u32,
    /// Hashes of the subjects seen, and the lines admitted for each.
    subjects: Vec<(u64, u32)>,
}

const QUIET: Window = Window {
    began: None,
    lines: 0,
    suppressed: 0,
    subjects: Vec::new(),
};

static WINDOWS: Mutex<[Window; 64]> = Mutex::new([QUIET; 64]);

/// Logs `event` with its details, unless it is flooding.
pub fn emit(event: Event, details: fmt::Arguments<'_>) {
    if let Some(suppressed) = admit(event, None) {
        write(event, suppressed, details);
    }
}

/// Logs `event` with its details, unless it is flooding. Each `subject`, such as a service, gets
/// its first lines in a window however many lines others log.
pub fn emit_about(event: Event, subject: &impl Hash, details: fmt::Arguments<'_>) {
    let mut hasher = DefaultHasher::new();
    subject.hash(&mut hasher);
    if let Some(suppressed) = admit(event, Some(hasher.finish())) {
        write(event, suppressed, details);
    }
}

fn write(event: Event, suppressed: u32, details: fmt::Arguments<'_>) {
    let row = event.row();
    let level = match row.severity {
        Severity::Info => log::Level::Info,
        Severity::Warn => log::Level::Warn,
        Severity::Error => log::Level::Error,
    };
    log::log!(
        level,
        event = row.number,
        suppressed = suppressed;
        "BW{} {}: {details}", row.number, row.meaning
    );
}

/// How many lines of this event were left out before this one; `None` leaves this one out.
fn admit(event: Event, subject: Option<u64>) -> Option<u32> {
    let Ok(mut windows) = WINDOWS.lock() else {
        return Some(0);
    };
    let window = windows.get_mut(event as usize)?;
    let max_lines = match event.row().severity {
        Severity::Info => LINES_PER_WINDOW,
        Severity::Warn | Severity::Error => FAILURE_LINES_PER_WINDOW,
    };
    window.admit(subject, max_lines, Instant::now())
}

impl Window {
    fn admit(&mut self, subject: Option<u64>, max_lines: u32, now: Instant) -> Option<u32> {
        let mut before = 0;
        let expired = self
            .began
            .is_none_or(|began| now.duration_since(began) >= WINDOW);
        if expired {
            before = std::mem::take(&mut self.suppressed);
            self.began = Some(now);
            self.lines = 0;
            self.subjects.clear();
        }
        let reserved = subject.is_some_and(|subject| self.take_reserved(subject));
        if !reserved && self.lines >= max_lines {
            self.suppressed += 1;
            return None;
        }
        self.lines += 1;
        Some(before)
    }

    /// Whether the line is one of the first about its subject.
    fn take_reserved(&mut self, subject: u64) -> bool {
        let known = self.subjects.iter_mut().find(|(seen, _)| *seen == subject);
        if let Some((_, lines)) = known {
            *lines += 1;
            return *lines <= LINES_PER_SUBJECT;
        }
        let has_room = self.subjects.len() < MAX_SUBJECTS;
        if has_room {
            self.subjects.push((subject, 1));
        }
        has_room
    }
}
