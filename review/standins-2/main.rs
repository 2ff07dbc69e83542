//! The cases of the second review that are scripts: `standins CASE RECORD`.
//!
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.

mod chunked_body;
mod http;
mod pipelined;
mod place;
mod record;
mod slow_reader;
mod stop_queue;
mod store;
mod target;
mod two_lengths;

use record::Record;
use std::process::ExitCode;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    CannotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standins CASE RECORD");
        return ExitCode::from(2);
    };
    let record = Record::new(path);
    // TROUBLE=0: the same without the disruption.
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.tell(&format!("case {case}, trouble {trouble}"));
    let verdict = match case.as_str() {
        "stop-queue" => stop_queue::play(&record, trouble),
        "chunked-body" => chunked_body::play(&record, trouble),
        "two-lengths" => two_lengths::play(&record, trouble),
        "slow-reader" => slow_reader::play(&record, trouble),
        "pipelined" => pipelined::play(&record, trouble),
        _ => Verdict::CannotRun,
    };
    match verdict {
        Verdict::Held => {
            record.tell("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.tell("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::CannotRun => {
            record.tell("the case could not run");
            ExitCode::from(2)
        }
    }
}
