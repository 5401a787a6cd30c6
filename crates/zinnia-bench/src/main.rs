//! `zinniabench`: runs fault scenarios and load against a cell, and measures its capacity.

mod capacity;
mod compare;
mod load;
mod scenario;

use std::process::ExitCode;

use gumdrop::Options;

/// Exit status for invalid arguments or files.
const EXIT_USAGE: u8 = 2;
/// Exit status for a failed scenario or a measurement that exceeds its bound.
const EXIT_FAILED: u8 = 1;

#[derive(Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Options)]
enum Command {
    #[options(help = "run scenario files")]
    Scenario(scenario::Args),
    #[options(help = "send an open-loop load to a cell and measure latencies")]
    Load(load::Args),
    #[options(
        help = "check the result of a load run against performance bounds and an earlier result"
    )]
    Compare(compare::Args),
    #[options(help = "measure the cost for each worker and job, as in docs/CAPACITY.md")]
    Capacity(capacity::Args),
}

/// Result of a command that ran to completion.
enum Verdict {
    /// All checks passed.
    Passed,
    /// A check failed; the command has printed the reasons.
    Failed,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let result = match args.command {
        None => {
            eprintln!("zinniabench: a command is required; see --help");
            return ExitCode::from(EXIT_USAGE);
        }
        Some(Command::Scenario(args)) => scenario::run(&args),
        Some(Command::Load(args)) => load::run(&args),
        Some(Command::Compare(args)) => compare::run(&args),
        Some(Command::Capacity(args)) => capacity::run(&args),
    };
    match result {
        Ok(Verdict::Passed) => ExitCode::SUCCESS,
        Ok(Verdict::Failed) => ExitCode::from(EXIT_FAILED),
        Err(error) => {
            eprintln!("zinniabench: {error:#}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}
