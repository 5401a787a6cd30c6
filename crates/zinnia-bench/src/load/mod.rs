//! The command `load`: sends an open-loop load to a cell and reports latencies and outcomes.

mod profile;
mod report;
mod send;
mod target;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use gumdrop::Options;
use tokio::runtime::Runtime;

use crate::Verdict;
use profile::LoadProfile;
pub(crate) use report::LoadReport;
pub(crate) use report::RequestSummary;
use target::Target;

/// Options of the command `load`.
#[derive(Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "sample deployment whose load is imitated: coaster or consortium",
        default = "coaster"
    )]
    deployment: String,
    #[options(help = "length of the run in seconds", default = "10")]
    seconds: u64,
    #[options(help = "service calls a second outside the burst", default = "100")]
    calls: f64,
    #[options(help = "job submissions a second outside the burst", default = "5")]
    jobs: f64,
    #[options(help = "seed of the random arrivals", default = "1")]
    seed: u64,
    #[options(
        no_short,
        help = "HTTP address of a daemon, may be repeated; default: start a cell in this process"
    )]
    addr: Vec<String>,
    #[options(
        no_short,
        help = "file with a line `TEAM KEY` for each team of the cell at --addr"
    )]
    keys: Option<PathBuf>,
    #[options(
        no_short,
        help = "number of workers of the cell in this process",
        default = "12"
    )]
    workers: usize,
    #[options(no_short, help = "file that receives the result as JSON")]
    out: Option<PathBuf>,
}

/// Runs the command `load`.
///
/// # Errors
///
/// Fails on invalid arguments, when the cell does not start and when the result cannot be written.
pub(crate) fn run(args: &Args) -> Result<Verdict> {
    let Some(profile) = LoadProfile::named(&args.deployment) else {
        bail!("--deployment must be coaster or consortium");
    };
    if args.seconds == 0 || !(args.calls >= 0.0 && args.jobs >= 0.0) {
        bail!("--seconds must be above 0, --calls and --jobs must not be negative");
    }
    let runtime = Runtime::new().context("cannot start the async runtime")?;
    let report = runtime.block_on(measure(args, &profile))?;
    println!("{}", report.table());
    if let Some(path) = &args.out {
        let text = serde_json::to_string_pretty(&report)?;
        std::fs::write(path, text).with_context(|| format!("cannot write {}", path.display()))?;
    }
    Ok(Verdict::Passed)
}

async fn measure(args: &Args, profile: &LoadProfile) -> Result<LoadReport> {
    let target = if args.addr.is_empty() {
        Target::local(profile, args.workers).await?
    } else {
        let keys = args.keys.as_ref().context("--addr requires --keys")?;
        let text = std::fs::read_to_string(keys);
        let text = text.with_context(|| format!("cannot read {}", keys.display()))?;
        Target::remote(profile, &args.addr, &text)?
    };
    target.start_services(profile).await?;
    let duration = Duration::from_secs(args.seconds);
    let arrivals = profile.arrivals(duration, args.calls, args.jobs, args.seed);
    let mut results = send::send_all(&target, profile, arrivals).await?;
    results.record_urgent_starts(&target);
    let figures = target.measure_propagation(profile).await?;
    target.stop().await;
    let mut requests = BTreeMap::new();
    for (name, stats) in &results.stats {
        requests.insert((*name).to_owned(), stats.summary());
    }
    Ok(LoadReport {
        deployment: args.deployment.clone(),
        seed: args.seed,
        seconds: duration.as_secs_f64(),
        calls_rate: args.calls,
        jobs_rate: args.jobs,
        behind_ms: results.max_lateness.as_secs_f64() * 1_000.0,
        requests,
        figures,
    })
}
