//! `brasswinch status`: what a box is doing.

use crate::operator::{self, Connection};
use argh::FromArgs;
use brasswinch_lab::http::LabError;
use std::net::SocketAddr;

/// Print what the system is doing for the workspace.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusCommand {
    /// administration address of any box
    #[argh(option)]
    admin: SocketAddr,

    /// text or json
    #[argh(option, default = "String::from(\"text\")")]
    output: String,
}

/// Carries the command out and gives its exit code.
pub(crate) async fn run(command: StatusCommand) -> Result<u8, LabError> {
    let connection = Connection::new(command.admin)?;
    operator::status(&connection, command.output == "json").await
}
