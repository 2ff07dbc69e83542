//! The commands, their help and their exit codes.

mod drain;
mod explain;
mod lab;
mod policy;
mod settings;
mod status;

use argh::FromArgs;
use brasswinch_lab::http::LabError;
use std::process::ExitCode;

/// The command did what it was asked.
pub(crate) const EXIT_OK: u8 = 0;
/// It failed; the message says why.
pub(crate) const EXIT_FAILED: u8 = 1;
/// What was given is wrong; nothing was changed.
pub(crate) const EXIT_WRONG: u8 = 2;
/// Another submission came first; nothing of this one is in force.
pub(crate) const EXIT_SUPERSEDED: u8 = 3;
/// The outcome isn't known; submit again with the same identifier.
pub(crate) const EXIT_UNKNOWN: u8 = 4;

/// Operates brasswinch: policies, drains, status, settings; and its lab.
#[derive(FromArgs)]
#[argh(
    example = "{command_name} settings check box.yaml",
    example = "{command_name} status --admin 10.0.0.1:8090",
    error_code(1, "The command failed; the message says why."),
    error_code(2, "What was given is wrong; nothing was changed."),
    error_code(3, "Another submission came first."),
    error_code(4, "The outcome isn't known; submit again with the same --submission."),
    note = "The operator credential is read from BRASSWINCH_TOKEN."
)]
pub(crate) struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Settings(settings::SettingsCommand),
    Policy(policy::PolicyCommand),
    Drain(drain::DrainCommand),
    Status(status::StatusCommand),
    Explain(explain::ExplainCommand),
    Lab(lab::LabCommand),
}

/// Carries a command out and gives its exit code.
pub(crate) fn run(arguments: Arguments) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("can't start: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    match runtime.block_on(carry_out(arguments.command)) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

async fn carry_out(command: Command) -> Result<u8, LabError> {
    match command {
        Command::Settings(command) => Ok(settings::run(&command)),
        Command::Policy(command) => policy::run(command).await,
        Command::Drain(command) => drain::run(command).await,
        Command::Status(command) => status::run(command).await,
        Command::Explain(command) => Ok(explain::run(&command)),
        Command::Lab(command) => lab::run(command).await,
    }
}
