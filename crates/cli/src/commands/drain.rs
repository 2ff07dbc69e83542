//! `brasswinch drain`: announces that upstreams leave.

use crate::operator::{self, Connection};
use argh::FromArgs;
use brasswinch_lab::http::LabError;
use std::net::SocketAddr;

/// Announce and cancel planned drains of upstreams.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct DrainCommand {
    #[argh(subcommand)]
    command: DrainSubcommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum DrainSubcommand {
    Start(DrainStart),
    Cancel(DrainCancel),
    Status(DrainStatus),
}

/// Announce that an upstream is leaving.
#[derive(FromArgs)]
#[argh(subcommand, name = "start")]
struct DrainStart {
    /// the service
    #[argh(positional)]
    service: String,

    /// the upstream
    #[argh(positional)]
    upstream: String,

    /// why
    #[argh(option, default = "String::new()")]
    reason: String,

    /// administration address of any box
    #[argh(option)]
    admin: SocketAddr,
}

/// Take an announcement back.
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
struct DrainCancel {
    /// the service
    #[argh(positional)]
    service: String,

    /// the upstream
    #[argh(positional)]
    upstream: String,

    /// administration address of any box
    #[argh(option)]
    admin: SocketAddr,
}

/// Print the drains in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct DrainStatus {
    /// administration address of any box
    #[argh(option)]
    admin: SocketAddr,
}

/// Carries the command out and gives its exit code.
pub(crate) async fn run(command: DrainCommand) -> Result<u8, LabError> {
    match command.command {
        DrainSubcommand::Start(start) => {
            let connection = Connection::new(start.admin)?;
            operator::drain(
                &connection,
                &start.service,
                &start.upstream,
                &start.reason,
                false,
            )
            .await
        }
        DrainSubcommand::Cancel(cancel) => {
            let connection = Connection::new(cancel.admin)?;
            operator::drain(&connection, &cancel.service, &cancel.upstream, "", true).await
        }
        DrainSubcommand::Status(status) => operator::drains(&Connection::new(status.admin)?).await,
    }
}
