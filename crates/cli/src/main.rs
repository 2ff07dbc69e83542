//! The operators' command line.

mod commands;
mod operator;

use std::process::ExitCode;

fn main() -> ExitCode {
    commands::run(argh::from_env())
}
