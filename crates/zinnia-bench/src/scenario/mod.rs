//! The command `scenario`: runs scenario files, in which steps inject faults into a cell and send
//! requests to it, and checks the observed events against the invariants of a cell.

mod conditions;
mod context;
mod documents;
mod event_log;
mod faults;
mod line_reader;
mod monitor;
mod parse;
mod requests;
mod run;
mod step;

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use gumdrop::Options;
use tokio::runtime::Runtime;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::Verdict;
use context::ScenarioContext;
use step::CellConfig;
use step::NumberedStep;

/// Interval between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of one scenario, so that a hang ends.
const SCENARIO_TIMEOUT: Duration = Duration::from_secs(240);

/// Options of the command `scenario`.
#[derive(Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "scenario files")]
    files: Vec<String>,
    #[options(help = "number of concurrent scenarios, 1 to 4", default = "1")]
    parallel: usize,
    #[options(help = "seed of the random choices of VMs", default = "1")]
    seed: u64,
    #[options(help = "only check the syntax of the files")]
    check: bool,
    #[options(help = "folder that receives the state dumps of the VMs of a failed scenario")]
    dumps: Option<PathBuf>,
}

/// A parsed scenario file.
struct Scenario {
    name: String,
    config: Option<CellConfig>,
    steps: Vec<NumberedStep>,
}

/// Runs the command `scenario`.
///
/// # Errors
///
/// Fails on invalid arguments or files.
pub(crate) fn run(args: &Args) -> Result<Verdict> {
    if args.files.is_empty() {
        bail!("at least one scenario file is required");
    }
    if !(1..=4).contains(&args.parallel) {
        bail!("--parallel must be 1 to 4");
    }
    let scenarios: Vec<Scenario> = args
        .files
        .iter()
        .map(|file| read_scenario(file))
        .collect::<Result<_>>()?;
    if args.check {
        return Ok(Verdict::Passed);
    }
    let runtime = Runtime::new().context("cannot start the async runtime")?;
    runtime.block_on(run_all(scenarios, args))
}

fn read_scenario(file: &str) -> Result<Scenario> {
    let text = std::fs::read_to_string(file).with_context(|| file.to_owned())?;
    let with_file_name = |error| anyhow::anyhow!("{file}:{error}");
    let lines = parse::tokenize(&text).map_err(with_file_name)?;
    let config = step::parse_cell_config(lines.first(), &text).map_err(with_file_name)?;
    let step_lines = lines.iter().skip(usize::from(config.is_some()));
    let steps = step_lines
        .map(|line| step::parse_step(line, &text))
        .collect::<Result<_, _>>()
        .map_err(with_file_name)?;
    let stem = Path::new(file).file_stem().unwrap_or_default();
    Ok(Scenario {
        name: stem.to_string_lossy().into_owned(),
        config,
        steps,
    })
}

async fn run_all(scenarios: Vec<Scenario>, args: &Args) -> Result<Verdict> {
    let slots = Arc::new(Semaphore::new(args.parallel));
    let seed = args.seed;
    let mut runs = JoinSet::new();
    for scenario in scenarios {
        let slots = Arc::clone(&slots);
        let dumps = args.dumps.clone();
        runs.spawn(async move {
            let _slot = slots.acquire().await;
            let started = Instant::now();
            let result =
                tokio::time::timeout(SCENARIO_TIMEOUT, run_scenario(&scenario, seed, dumps)).await;
            let result = result.unwrap_or_else(|_| {
                let seconds = SCENARIO_TIMEOUT.as_secs();
                Err(anyhow::anyhow!("not finished within {seconds} s"))
            });
            let seconds = started.elapsed().as_secs_f64();
            let name = scenario.name;
            match result {
                Ok(counts) => {
                    println!("ok    {name}  seed {seed}  {seconds:.1} s  {counts}");
                    true
                }
                Err(error) => {
                    println!("FAIL  {name}  seed {seed}  {seconds:.1} s  {error:#}");
                    false
                }
            }
        });
    }
    let mut passed = true;
    while let Some(run) = runs.join_next().await {
        passed &= run.context("a scenario panicked")?;
    }
    Ok(if passed {
        Verdict::Passed
    } else {
        Verdict::Failed
    })
}

/// Runs one scenario; returns how often each invariant was checked.
async fn run_scenario(scenario: &Scenario, seed: u64, dumps: Option<PathBuf>) -> Result<String> {
    let mut context = ScenarioContext::start(scenario.config.as_ref(), seed).await?;
    let result = run_steps(&mut context, scenario).await;
    if let (Err(_), Some(folder)) = (&result, dumps) {
        write_dumps(&context, &folder.join(&scenario.name)).await?;
    }
    context.stop().await;
    result
}

/// Writes the state dump of each running VM to a folder.
async fn write_dumps(context: &ScenarioContext, folder: &Path) -> Result<()> {
    std::fs::create_dir_all(folder).context("cannot create the folder for dumps")?;
    for vm_index in
        (0..context.cell.len()).filter(|&vm_index| context.cell.daemon(vm_index).is_some())
    {
        let name = context
            .cell
            .vm_settings(vm_index)
            .map(|s| s.name.to_string());
        let path = folder.join(format!("{}.json", name.unwrap_or_default()));
        // A VM that refuses all keys also refuses the dump; the refusal is written instead.
        let state = match context.cell.operator_client(vm_index).get("/v1/dump").await {
            Ok(state) => serde_json::to_string_pretty(&state)?,
            Err(error) => format!("{error:#}"),
        };
        std::fs::write(path, state).context("cannot write a dump")?;
    }
    Ok(())
}

async fn run_steps(context: &mut ScenarioContext, scenario: &Scenario) -> Result<String> {
    for numbered in &scenario.steps {
        let result = run::run_step(context, &numbered.step).await;
        // A violated invariant often explains a failed step, so it is reported first.
        let location = || format!("line {}", numbered.number);
        context.check_invariants(false).with_context(location)?;
        result.with_context(location)?;
    }
    for outcome in requests::join_calls(context).await {
        if let requests::RequestOutcome::NoResponse(reason) = outcome {
            bail!("a background call got no response: {reason}");
        }
    }
    let counts = context.check_invariants(true)?;
    let counts = counts
        .iter()
        .map(|(invariant, n)| format!("{invariant}:{n}"));
    Ok(counts.collect::<Vec<_>>().join(" "))
}
