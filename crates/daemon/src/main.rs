//! The daemon of an entry box.

use argh::FromArgs;
use brasswinch_observe::{LogFormat, flush_logging, init_logging};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit code for settings that can't be used.
const EXIT_SETTINGS: u8 = 2;

/// Exit code for a start that failed.
const EXIT_START: u8 = 1;

/// Steers callers to regions and upstreams, and carries their requests.
///
/// Stops after SIGTERM when its last request has ended.
#[derive(FromArgs)]
#[argh(
    example = "{command_name} --settings box.yaml",
    error_code(1, "An address could not be listened on."),
    error_code(2, "The settings are wrong; each problem is printed.")
)]
struct Arguments {
    /// the box's settings file
    #[argh(option)]
    settings: Option<PathBuf>,

    /// run on the users' platform, with the settings that it provides
    #[argh(switch)]
    platform: bool,

    /// on the users' platform: tell figures on this port, under /metrics
    #[argh(option)]
    figures_port: Option<u16>,

    /// write the log as JSON, an object a line
    #[argh(switch)]
    json_log: bool,
}

fn main() -> ExitCode {
    let exit_code = run();
    flush_logging();
    exit_code
}

fn run() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let log_format = if arguments.json_log {
        LogFormat::Json
    } else {
        LogFormat::Text
    };
    match arguments.settings {
        None if arguments.platform => run_on_platform(log_format, arguments.figures_port),
        Some(settings) if !arguments.platform => run_box(&settings, log_format),
        _ => {
            eprintln!("give either --settings FILE or --platform");
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}

fn run_on_platform(log_format: LogFormat, figures_port: Option<u16>) -> ExitCode {
    init_logging(log_format);
    match brasswinch_platform::run(figures_port) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_START)
        }
    }
}

fn run_box(settings: &Path, log_format: LogFormat) -> ExitCode {
    let settings = match brasswinch_settings::load_settings(settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    init_logging(log_format);
    match brasswinch_daemon::start(settings) {
        Ok(daemon) => {
            println!("{}", daemon.addresses());
            daemon.stop_on_signal();
            daemon.wait();
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_START)
        }
    }
}
