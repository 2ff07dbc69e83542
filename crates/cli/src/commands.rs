//! The commands, their help and their exit codes.

use crate::operator::{self, Connection};
use argh::FromArgs;
use brasswinch_lab::http::LabError;
use brasswinch_lab::upstream::UpstreamControl;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
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
    Settings(SettingsCommand),
    Policy(PolicyCommand),
    Drain(DrainCommand),
    Status(StatusCommand),
    Lab(LabCommand),
}

/// Look at settings files.
#[derive(FromArgs)]
#[argh(subcommand, name = "settings")]
struct SettingsCommand {
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

/// Check, submit and show policies.
#[derive(FromArgs)]
#[argh(subcommand, name = "policy")]
struct PolicyCommand {
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

/// Announce and cancel planned drains of upstreams.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
struct DrainCommand {
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

/// Print what the system is doing for the workspace.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct StatusCommand {
    /// administration address of any box
    #[argh(option)]
    admin: SocketAddr,

    /// text or json
    #[argh(option, default = "String::from(\"text\")")]
    output: String,
}

/// The project's own stand-ins, load and experiments.
#[derive(FromArgs)]
#[argh(subcommand, name = "lab")]
struct LabCommand {
    #[argh(subcommand)]
    command: LabSubcommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum LabSubcommand {
    Demo(LabDemo),
    Platform(LabPlatform),
    Upstream(LabUpstream),
    Faults(LabFaults),
    Callers(LabCallers),
    Slopes(LabSlopes),
    Measure(LabMeasure),
}

/// Run Kavach in small in one process, with load, a shift, a drain and a stop.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct LabDemo {}

/// Run a stand-in of the platform's store and list.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct LabPlatform {
    /// where to listen
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
}

/// Run targets of one service.
#[derive(FromArgs)]
#[argh(subcommand, name = "upstream")]
struct LabUpstream {
    /// where to listen
    #[argh(option, default = "IpAddr::V4(Ipv4Addr::LOCALHOST)")]
    ip: IpAddr,

    /// start of the targets' names
    #[argh(option, default = "String::from(\"target-\")")]
    prefix: String,

    /// how many targets
    #[argh(option, default = "1")]
    count: usize,

    /// time to serve a request, in milliseconds
    #[argh(option, default = "5")]
    service_ms: u64,
}

/// Run a fault-injecting TCP proxy before each target.
#[derive(FromArgs)]
#[argh(subcommand, name = "faults")]
struct LabFaults {
    /// where to listen
    #[argh(option, default = "IpAddr::V4(Ipv4Addr::LOCALHOST)")]
    ip: IpAddr,

    /// addresses to pass connections on to
    #[argh(positional)]
    targets: Vec<SocketAddr>,
}

/// Send requests at a steady rate and print what came of them.
#[derive(FromArgs)]
#[argh(subcommand, name = "callers")]
struct LabCallers {
    /// address to call from
    #[argh(option, default = "IpAddr::V4(Ipv4Addr::LOCALHOST)")]
    from: IpAddr,

    /// caller addresses of boxes to ask
    #[argh(positional)]
    boxes: Vec<SocketAddr>,

    /// the workspace
    #[argh(option)]
    workspace: String,

    /// the service
    #[argh(option)]
    service: String,

    /// requests a second
    #[argh(option, default = "50.0")]
    per_second: f64,

    /// for how many seconds
    #[argh(option, default = "10")]
    seconds: u64,

    /// bytes to upload with each request
    #[argh(option, default = "0")]
    upload_bytes: usize,
}

/// Measure how cost grows with size; prints the table of docs/CAPACITY.md.
#[derive(FromArgs)]
#[argh(subcommand, name = "slopes")]
struct LabSlopes {
    /// run only measurements whose name starts so: blocks, decisions, socket, members,
    /// sites, neighbours, far-links, changes, zone-start
    #[argh(positional, default = "String::new()")]
    only: String,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Measure latency, headroom and drain time beside a static equal split.
#[derive(FromArgs)]
#[argh(subcommand, name = "measure")]
struct LabMeasure {
    /// run only deployments whose name starts so: kavach, kaunti-shamba
    #[argh(positional, default = "String::new()")]
    only: String,

    /// print JSON
    #[argh(switch)]
    json: bool,
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
        Command::Settings(command) => Ok(check_settings(&command.command)),
        Command::Policy(command) => policy(command.command).await,
        Command::Drain(command) => drain(command.command).await,
        Command::Status(command) => {
            operator::status(&Connection::new(command.admin)?, command.output == "json").await
        }
        Command::Lab(command) => lab(command.command).await,
    }
}

fn check_settings(command: &SettingsSubcommand) -> u8 {
    let SettingsSubcommand::Check(check) = command;
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

async fn policy(command: PolicySubcommand) -> Result<u8, LabError> {
    match command {
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

async fn drain(command: DrainSubcommand) -> Result<u8, LabError> {
    match command {
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

async fn lab(command: LabSubcommand) -> Result<u8, LabError> {
    match command {
        LabSubcommand::Demo(_) => {
            let held = brasswinch_lab::demo::run().await?;
            Ok(if held { EXIT_OK } else { EXIT_FAILED })
        }
        LabSubcommand::Platform(platform) => {
            brasswinch_lab::platform::serve_process(platform.listen).await?;
            Ok(EXIT_OK)
        }
        LabSubcommand::Upstream(upstream) => {
            let control = UpstreamControl {
                service_ms: upstream.service_ms,
                ..UpstreamControl::default()
            };
            brasswinch_lab::upstream::serve_process(
                upstream.ip,
                &upstream.prefix,
                upstream.count,
                control,
            )
            .await?;
            Ok(EXIT_OK)
        }
        LabSubcommand::Faults(faults) => {
            brasswinch_lab::faults::serve_process(faults.ip, &faults.targets).await?;
            Ok(EXIT_OK)
        }
        LabSubcommand::Callers(callers) => {
            operator::callers(operator::Load {
                from: callers.from,
                boxes: callers.boxes,
                workspace: callers.workspace,
                service: callers.service,
                per_second: callers.per_second,
                seconds: callers.seconds,
                upload_bytes: callers.upload_bytes,
            })
            .await
        }
        LabSubcommand::Measure(measure) => {
            brasswinch_lab::measure::run(&measure.only, measure.json).await?;
            Ok(EXIT_OK)
        }
        LabSubcommand::Slopes(slopes) => {
            brasswinch_lab::slopes::run(&slopes.only, slopes.json, crate::allocated_bytes).await?;
            Ok(EXIT_OK)
        }
    }
}
