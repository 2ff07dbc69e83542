//! `brasswinch policy`: checks, submits and shows policies.

use crate::operator::{self, Connection};
use argh::FromArgs;
use brasswinch_lab::http::LabError;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Check, submit and show policies.
#[derive(FromArgs)]
#[argh(subcommand, name = "policy")]
pub(crate) struct PolicyCommand {
    #[argh(subcommand)]
    command: PolicySubcommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum PolicySubcommand {
    Check(PolicyCheck),
    Submit(PolicySubmit),
    Show(PolicyShow),
    Status(PolicyStatus),
}

/// Evaluate a policy and print the plan; nothing is changed.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct PolicyCheck {
    /// the policy's file
    #[argh(positional)]
    file: PathBuf,

    /// administration address of any box
    #[argh(option)]
    admin: SocketAddr,
}

/// Submit a policy in place of the one in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
struct PolicySubmit {
    /// the policy's file
    #[argh(positional)]
    file: PathBuf,

    /// administration address of any box
    #[argh(option)]
    admin: SocketAddr,

    /// submit only if this version is in force
    #[argh(option)]
    expected_version: Option<u64>,

    /// identifier of an earlier try whose outcome isn't known
    #[argh(option)]
    submission: Option<String>,
}

/// Print the policy in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct PolicyShow {
    /// administration address of any box
    #[argh(option)]
    admin: SocketAddr,
}

/// Print which boxes have the newest configuration in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct PolicyStatus {
    /// administration address of any box
    #[argh(option)]
    admin: SocketAddr,
}

/// Carries the command out and gives its exit code.
pub(crate) async fn run(command: PolicyCommand) -> Result<u8, LabError> {
    match command.command {
        PolicySubcommand::Check(check) => {
            operator::check(&Connection::new(check.admin)?, &check.file).await
        }
        PolicySubcommand::Submit(submit) => {
            let connection = Connection::new(submit.admin)?;
            operator::submit(
                &connection,
                &submit.file,
                submit.expected_version,
                submit.submission,
            )
            .await
        }
        PolicySubcommand::Show(show) => operator::show(&Connection::new(show.admin)?).await,
        PolicySubcommand::Status(status) => {
            operator::in_force(&Connection::new(status.admin)?).await
        }
    }
}
