//! Stand-ins of the users' platform, clients and targets, and the cases that are played with them.
//!
//! `standins CASE FILE`: plays a case from the top of the repository, writes its record to
//! FILE, and exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod client;
mod http;
mod json;
mod pipeline;
mod place;
mod stop;
mod store;
mod target;
mod uploads;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (case, file) = (
        words.next().unwrap_or_default(),
        words.next().unwrap_or_default(),
    );
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match place::Record::new(Path::new(&file)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{file}: {error}");
            return ExitCode::from(2);
        }
    };
    record.tell(&format!("case {case}, trouble {has_trouble}"));
    let temporary =
        std::env::temp_dir().join(format!("brasswinch-review-{:016x}", place::random()));
    let played = play(&case, &temporary, &record, has_trouble);
    let _ = std::fs::remove_dir_all(&temporary);
    match played {
        Ok(true) => {
            record.tell("the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            record.tell("the rule held");
            ExitCode::SUCCESS
        }
        Err(error) => {
            record.tell(&format!("the case couldn't run: {error}"));
            ExitCode::from(2)
        }
    }
}

fn play(
    case: &str,
    folder: &PathBuf,
    record: &place::Record,
    has_trouble: bool,
) -> std::io::Result<bool> {
    std::fs::create_dir_all(folder)?;
    match case {
        "stop" => {
            let place = place::Place::new(folder.clone(), record.clone(), 4)?;
            stop::play(&place, has_trouble)
        }
        "uploads" => {
            let place = place::Place::new(folder.clone(), record.clone(), 2)?;
            uploads::play(&place, has_trouble)
        }
        "pipeline" => {
            let place = place::Place::new(folder.clone(), record.clone(), 2)?;
            pipeline::play(&place, has_trouble)
        }
        _ => Err(std::io::Error::other("no such case")),
    }
}
