//! `brasswinch lab`: stand-ins, load and experiments.

use super::{EXIT_FAILED, EXIT_OK};
use crate::operator;
use argh::FromArgs;
use brasswinch_lab::http::LabError;
use brasswinch_lab::upstream::UpstreamControl;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The project's own stand-ins, load and experiments.
#[derive(FromArgs)]
#[argh(subcommand, name = "lab")]
pub(crate) struct LabCommand {
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
    Replay(LabReplay),
    Start(LabStart),
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

/// Replay loads on the decisions of many boxes, without sockets; prints a line each.
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
struct LabReplay {
    /// replay only loads whose name starts so: calm, full, burst, callers-move, cold-zone,
    /// speed-changes
    #[argh(positional, default = "String::new()")]
    only: String,

    /// sizes of the fleet, in boxes
    #[argh(option, default = "String::from(\"30,100,300\")")]
    boxes: String,

    /// how many seeds of each
    #[argh(option, default = "1")]
    seeds: u64,
}

/// Replay the start of a whole fleet, without sockets; prints messages, bytes and times.
#[derive(FromArgs)]
#[argh(subcommand, name = "start")]
struct LabStart {
    /// sizes of the fleet, in boxes
    #[argh(option, default = "String::from(\"30,100,300\")")]
    boxes: String,

    /// how many seeds of each
    #[argh(option, default = "1")]
    seeds: u64,
}

/// Carries the command out and gives its exit code.
pub(crate) async fn run(command: LabCommand) -> Result<u8, LabError> {
    match command.command {
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
        LabSubcommand::Replay(replay) => {
            let Some(sizes) = parse_sizes(&replay.boxes) else {
                return Ok(EXIT_FAILED);
            };
            brasswinch_lab::replay::report(&replay.only, &sizes, replay.seeds);
            Ok(EXIT_OK)
        }
        LabSubcommand::Start(start) => {
            let Some(sizes) = parse_sizes(&start.boxes) else {
                return Ok(EXIT_FAILED);
            };
            brasswinch_lab::fleet_start::report(&sizes, start.seeds);
            Ok(EXIT_OK)
        }
        LabSubcommand::Slopes(slopes) => {
            brasswinch_lab::slopes::run(&slopes.only, slopes.json, crate::allocated_bytes).await?;
            Ok(EXIT_OK)
        }
    }
}

/// Reads numbers of boxes, separated by commas; reports what can't be read.
fn parse_sizes(list: &str) -> Option<Vec<usize>> {
    let sizes = list.split(',').map(|size| size.trim().parse());
    let sizes: Result<Vec<usize>, _> = sizes.collect();
    if sizes.is_err() {
        eprintln!("--boxes: not a list of numbers: {list}");
    }
    sizes.ok()
}
