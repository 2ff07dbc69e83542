//! What operators see: numbered log events, metrics, latency histograms.

mod events;
mod explain;
mod histograms;
mod logging;
mod metrics;
mod pipe;

pub use events::{Event, EventRow, Severity};
pub use explain::{LogLine, explain};
pub use histograms::{ClassLatency, LatencyTable};
pub use logging::{LogFormat, emit, emit_about, flush_logging, init_logging};
pub use metrics::Metrics;
pub use pipe::{PipeAppend, dropped_lines};
