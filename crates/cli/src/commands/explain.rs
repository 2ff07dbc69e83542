//! `brasswinch explain`: the story of one request, out of the logs of several boxes.

use super::{EXIT_FAILED, EXIT_OK, EXIT_WRONG};
use argh::FromArgs;
use brasswinch_observe::{LogLine, explain};
use std::path::{Path, PathBuf};

/// Tell what happened to a request, from the logs of the boxes it may have met.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainCommand {
    /// the request's id
    #[argh(positional)]
    id: String,

    /// log files, text or JSON; each is named by its file in the story
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

/// Prints the story; fails where no log knows the request.
pub(crate) fn run(command: &ExplainCommand) -> u8 {
    let mut lines = Vec::new();
    for path in &command.logs {
        match std::fs::read_to_string(path) {
            Ok(text) => {
                let name = file_name(path);
                lines.extend(text.lines().filter_map(|line| LogLine::read(&name, line)));
            }
            Err(error) => {
                eprintln!("{}: {error}", path.display());
                return EXIT_WRONG;
            }
        }
    }
    let story = explain(lines, &command.id);
    if story.is_empty() {
        eprintln!("no line of these logs is about {}", command.id);
        return EXIT_FAILED;
    }
    for line in story {
        println!("{} {:<24} {}", line.time, line.source, line.text);
    }
    EXIT_OK
}

fn file_name(path: &Path) -> String {
    let name = path.file_stem().unwrap_or(path.as_os_str());
    name.to_string_lossy().into_owned()
}
