//! The command `capacity`: measures how memory, CPU time and traffic grow with workers and jobs, as
//! reported in docs/CAPACITY.md.

mod cores;
mod daemon;
mod fit;

use std::path::PathBuf;

use anyhow::Result;
use anyhow::bail;
use gumdrop::Options;

use crate::Verdict;

/// Options of the command `capacity`.
#[derive(Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "what to measure: cores (scheduler and cell state in process) or daemon (daemon processes); default cores",
        free
    )]
    what: Option<String>,
    #[options(
        no_short,
        help = "worker counts to measure, separated by commas; default 85,170,340",
        meta = "N,.."
    )]
    workers: Option<String>,
    #[options(
        no_short,
        help = "seconds to measure for each worker count (daemon only); default 15",
        meta = "S"
    )]
    seconds: Option<u64>,
    #[options(
        no_short,
        help = "path of zinniavalved; default: in the folder of this program"
    )]
    binary: Option<PathBuf>,
}

/// Default worker counts of a failure domain. The last one is the average at the target size of a
/// cell (1,700 workers in 5 domains).
const DEFAULT_WORKER_COUNTS: [usize; 3] = [85, 170, 340];
/// Default seconds to measure for each worker count.
const DEFAULT_SECONDS: u64 = 15;

/// Runs the command `capacity`.
///
/// # Errors
///
/// Fails on invalid arguments, and when a daemon does not start.
pub(crate) fn run(args: &Args) -> Result<Verdict> {
    let worker_counts = parse_worker_counts(args.workers.as_deref())?;
    match args.what.as_deref().unwrap_or("cores") {
        "cores" => cores::run(&worker_counts)?,
        "daemon" => {
            let seconds = args.seconds.unwrap_or(DEFAULT_SECONDS).clamp(2, 600);
            daemon::run(&worker_counts, seconds, args.binary.as_deref())?;
        }
        other => bail!("the argument must be cores or daemon, not {other}"),
    }
    Ok(Verdict::Passed)
}

fn parse_worker_counts(text: Option<&str>) -> Result<Vec<usize>> {
    let Some(text) = text else {
        return Ok(DEFAULT_WORKER_COUNTS.to_vec());
    };
    let worker_counts: Vec<usize> = text
        .split(',')
        .map(|part| part.trim().parse())
        .collect::<Result<_, _>>()?;
    if worker_counts.len() < 2 || worker_counts.contains(&0) {
        bail!("--workers requires at least two worker counts above 0");
    }
    Ok(worker_counts)
}
