//! Writes numbered events through the `log` facade, bounded in rate.

use crate::PipeAppend;
use crate::events::{Event, Severity};
use logforth::layout::{JsonLayout, TextLayout};
use std::fmt;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Most lines of one event of normal operation in a window.
const LINES_PER_WINDOW: u32 = 20;

/// Maximum lines of one failure event in a window.
const FAILURE_LINES_PER_WINDOW: u32 = 100;

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

#[derive(Clone, Copy)]
struct Window {
    began: Option<Instant>,
    lines: u32,
    suppressed: u32,
}

const QUIET: Window = Window {
    began: None,
    lines: 0,
    suppressed: 0,
};

static WINDOWS: Mutex<[Window; 64]> = Mutex::new([QUIET; 64]);

/// Logs `event` with its details, unless it is flooding.
pub fn emit(event: Event, details: fmt::Arguments<'_>) {
    let Some(suppressed) = admit(event) else {
        return;
    };
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
fn admit(event: Event) -> Option<u32> {
    let Ok(mut windows) = WINDOWS.lock() else {
        return Some(0);
    };
    let window = windows.get_mut(event as usize)?;
    let now = Instant::now();
    let expired = window
        .began
        .is_none_or(|began| now.duration_since(began) >= WINDOW);
    if expired {
        let suppressed = window.suppressed;
        *window = Window {
            began: Some(now),
            lines: 1,
            suppressed: 0,
        };
        return Some(suppressed);
    }
    let most = match event.row().severity {
        Severity::Info => LINES_PER_WINDOW,
        Severity::Warn | Severity::Error => FAILURE_LINES_PER_WINDOW,
    };
    if window.lines < most {
        window.lines += 1;
        return Some(0);
    }
    window.suppressed += 1;
    None
}
