//! The program `zinnia-worker`: a worker with simulated tasks.

use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use gumdrop::Options;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tracing_subscriber::EnvFilter;
use zinnia_types::parse_jsonc;

use zinnia_worker::Settings;
use zinnia_worker::Worker;

/// Exit status for invalid arguments or settings.
const EXIT_USAGE: u8 = 2;
/// Exit status if tasks or calls still ran when the drain timeout passed.
const EXIT_UNFINISHED: u8 = 3;

/// Worker with simulated tasks that announces itself to a VM.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this text and exit")]
    help: bool,
    #[options(help = "settings file, JSON with comments", meta = "FILE")]
    settings: Option<PathBuf>,
    #[options(help = "check the settings and exit")]
    check: bool,
    #[options(no_short, help = "write logs as JSON")]
    log_json: bool,
}

const HELP: &str = "\
Exit status: 0 ended after SIGTERM or SIGINT with all work finished; 1 failure; 2 invalid arguments or
settings; 3 work still ran when the drain timeout passed. The environment variable RUST_LOG sets the
log filter.";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args = match Args::parse_args_default(&args) {
        Ok(args) => args,
        Err(e) => {
            eprintln!("zinnia-worker: {e}; see --help");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if args.help {
        println!(
            "Usage: zinnia-worker --settings FILE\n\n{}\n\n{HELP}",
            Args::usage()
        );
        return ExitCode::SUCCESS;
    }
    let settings = match read_settings(&args) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("zinnia-worker: {e:#}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    init_logging(args.log_json);
    match run(settings) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_UNFINISHED),
        Err(e) => {
            eprintln!("zinnia-worker: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(args: &Args) -> anyhow::Result<Settings> {
    let path = args.settings.as_ref().context("--settings is required")?;
    let text = std::fs::read_to_string(path).with_context(|| format!("read {}", path.display()))?;
    let settings = parse_jsonc(&text).with_context(|| format!("settings {}", path.display()))?;
    Ok(settings)
}

fn init_logging(json: bool) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(std::io::stderr().is_terminal())
        .with_writer(std::io::stderr);
    if json {
        subscriber.json().init();
    } else {
        subscriber.init();
    }
}

/// Runs until SIGTERM or SIGINT and then drains. Returns whether all work finished.
#[tokio::main(flavor = "current_thread")]
async fn run(settings: Settings) -> anyhow::Result<bool> {
    let mut sigterm = signal(SignalKind::terminate()).context("install the SIGTERM handler")?;
    let mut sigint = signal(SignalKind::interrupt()).context("install the SIGINT handler")?;
    let drain_timeout = Duration::from_millis(settings.drain_ms);
    let handle = Worker::spawn(settings).await?;
    tracing::info!(worker = %handle.worker(), addr = %handle.addr(), "worker started");
    tokio::select! {
        _ = sigterm.recv() => {}
        _ = sigint.recv() => {}
    }
    let finished = handle.drain(drain_timeout).await;
    handle.stop();
    tracing::info!(finished, "worker stopped");
    Ok(finished)
}
