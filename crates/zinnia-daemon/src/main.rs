//! `zinniavalved`: runs one daemon of a cell.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use anyhow::Result;
use gumdrop::Options;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use zinnia_daemon::Daemon;
use zinnia_daemon::Settings;
use zinnia_daemon::telemetry;

/// Exit status for invalid settings or an unreadable settings file.
const EXIT_USAGE: u8 = 2;
/// Exit status for a daemon that could not start or did not drain in time.
const EXIT_FAILURE: u8 = 1;

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(help = "check the settings and exit")]
    check: bool,
    #[options(free, help = "settings file, JSON with comments")]
    settings: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    if args.version {
        println!("zinniavalved {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let settings = match read_settings(args.settings.as_ref()) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("zinniavalved: {error:#}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_FAILURE),
        Err(error) => {
            eprintln!("zinniavalved: {error:#}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn read_settings(path: Option<&PathBuf>) -> Result<Settings> {
    let path = path.context("the argument with the settings file is missing; see --help")?;
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    let settings: Settings =
        zinnia_types::parse_jsonc(&text).with_context(|| path.display().to_string())?;
    let problems = settings.check();
    anyhow::ensure!(
        problems.is_empty(),
        "{}: {}",
        path.display(),
        problems.join("; ")
    );
    Ok(settings)
}

// Two threads handle the target load with capacity to spare. Each further thread costs memory for
// its allocator arena, and wakes up for work that the others could do.
#[tokio::main(worker_threads = 2)]
async fn run(settings: Settings) -> Result<bool> {
    telemetry::install_logs(&settings.log)?;
    let mut sigterm = signal(SignalKind::terminate()).context("listen for SIGTERM")?;
    let mut sigint = signal(SignalKind::interrupt()).context("listen for SIGINT")?;
    let daemon = Daemon::start(settings).await?;
    tokio::select! {
        _ = sigterm.recv() => {}
        _ = sigint.recv() => {}
    }
    Ok(daemon.drain().await)
}
