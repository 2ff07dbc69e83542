//! `brasswinch status`: what a box is doing, or what it believes.

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
    admin: Option<SocketAddr>,

    /// address of a box's figures on the users' platform, instead of --admin: what that
    /// box believes
    #[argh(option)]
    figures: Option<SocketAddr>,

    /// text or json
    #[argh(option, default = "String::from(\"text\")")]
    output: String,
}

/// Carries the command out and gives its exit code.
pub(crate) async fn run(command: StatusCommand) -> Result<u8, LabError> {
    let as_json = command.output == "json";
    match (command.admin, command.figures) {
        (Some(admin), None) => {
            let connection = Connection::new(admin)?;
            operator::status(&connection, as_json).await
        }
        (None, Some(figures)) => operator::box_status(figures, as_json).await,
        _ => Err(LabError::Answer(
            "give either --admin or --figures".to_owned(),
        )),
    }
}
