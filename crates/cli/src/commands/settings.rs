//! `brasswinch settings`: looks at settings files.

use super::{EXIT_OK, EXIT_WRONG};
use argh::FromArgs;
use std::path::PathBuf;

/// Look at settings files.
#[derive(FromArgs)]
#[argh(subcommand, name = "settings")]
pub(crate) struct SettingsCommand {
    #[argh(subcommand)]
    command: SettingsSubcommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum SettingsSubcommand {
    Check(SettingsCheck),
}

/// Check a box's settings file and its deployment; every problem is printed.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct SettingsCheck {
    /// the file
    #[argh(positional)]
    file: PathBuf,

    /// the file is a deployment's, not a box's
    #[argh(switch)]
    deployment: bool,
}

/// Checks a settings file and prints every problem.
pub(crate) fn run(command: &SettingsCommand) -> u8 {
    let SettingsSubcommand::Check(check) = &command.command;
    let checked = if check.deployment {
        brasswinch_settings::load_deployment(&check.file).map(|_| ())
    } else {
        brasswinch_settings::load_settings(&check.file).map(|_| ())
    };
    match checked {
        Ok(()) => {
            println!("{}: no problems", check.file.display());
            EXIT_OK
        }
        Err(error) => {
            eprintln!("{error}");
            EXIT_WRONG
        }
    }
}
