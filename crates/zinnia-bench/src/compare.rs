//! The command `compare`: checks the result of a load run against performance objectives and shows
//! an earlier result beside it.

use std::path::Path;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use gumdrop::Options;

use crate::Verdict;
use crate::load::LoadReport;

/// Options of the command `compare`.
#[derive(Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        free,
        help = "files with the earlier result and the new one, as written by `load --out`"
    )]
    files: Vec<String>,
}

/// An upper bound on a measurement, from the targets of the design page.
struct Objective {
    name: &'static str,
    bound: f64,
    measurement: fn(&LoadReport) -> Option<f64>,
}

const OBJECTIVES: [Objective; 6] = [
    Objective {
        name: "slowest start of an urgent job, ms",
        bound: 1_500.0,
        measurement: |r| request_stats(r, "urgent").map(|s| s.max_ms),
    },
    Objective {
        name: "withdrawn key refused by every VM, ms",
        bound: 2_000.0,
        measurement: |r| r.figures.get("key_ms").copied(),
    },
    Objective {
        name: "document in force on every VM, ms",
        bound: 2_000.0,
        measurement: |r| r.figures.get("document_ms").copied(),
    },
    Objective {
        name: "calls without a response",
        bound: 0.0,
        measurement: |r| request_stats(r, "call").map(|s| s.lost as f64),
    },
    Objective {
        name: "submissions without a response",
        bound: 0.0,
        measurement: |r| request_stats(r, "submit").map(|s| s.lost as f64),
    },
    Objective {
        name: "accepted jobs without an end",
        bound: 0.0,
        measurement: |r| request_stats(r, "finish").map(|s| s.lost as f64),
    },
];

/// Statistics of one kind of request, if any was sent.
fn request_stats<'a>(
    report: &'a LoadReport,
    name: &str,
) -> Option<&'a crate::load::RequestSummary> {
    report.requests.get(name).filter(|s| s.sent > 0)
}

/// Runs the command `compare`.
///
/// # Errors
///
/// Fails on invalid arguments or files, and when the two results are of different loads.
pub(crate) fn run(args: &Args) -> Result<Verdict> {
    let [old, new] = args.files.as_slice() else {
        bail!("two files are required: the earlier result and the new one");
    };
    let (old, new) = (read_report(old)?, read_report(new)?);
    let load_parameters = |r: &LoadReport| {
        let LoadReport {
            deployment, seed, ..
        } = r;
        let rates = [r.seconds, r.calls_rate, r.jobs_rate];
        (deployment.clone(), *seed, rates)
    };
    if load_parameters(&old) != load_parameters(&new) {
        bail!(
            "the results are of different loads: {:?} and {:?}",
            load_parameters(&old),
            load_parameters(&new)
        );
    }
    let mut passed = true;
    for objective in &OBJECTIVES {
        let (before, after) = ((objective.measurement)(&old), (objective.measurement)(&new));
        let comparison = compare(objective.bound, before, after);
        passed &= !comparison.is_failure();
        println!(
            "{:<40} {:>10} {:>10}  at most {:<7} {}",
            objective.name,
            format_measurement(before),
            format_measurement(after),
            objective.bound,
            comparison.text()
        );
    }
    for (name, after) in &new.requests {
        let before = old.requests.get(name).map(|s| s.p99_ms);
        let before = format_measurement(before);
        println!(
            "{:<40} {before:>10} {:>10.1}  no bound",
            format!("{name} p99, ms"),
            after.p99_ms
        );
    }
    Ok(if passed {
        Verdict::Passed
    } else {
        Verdict::Failed
    })
}

fn read_report(path: &str) -> Result<LoadReport> {
    let path = Path::new(path);
    let text = std::fs::read_to_string(path);
    let text = text.with_context(|| format!("cannot read {}", path.display()))?;
    serde_json::from_str(&text)
        .with_context(|| format!("{} is not a result of `load`", path.display()))
}

fn format_measurement(measurement: Option<f64>) -> String {
    measurement.map_or_else(|| "-".to_owned(), |f| format!("{f:.1}"))
}

/// How a new measurement compares with its bound and with the earlier measurement.
#[derive(Clone, Copy)]
enum Comparison {
    /// The measurement is within the bound.
    Within,
    /// The bound is exceeded and was not exceeded before.
    Regressed,
    /// The bound is exceeded and was exceeded before.
    Exceeded,
    /// Only the earlier run has the measurement.
    Missing,
    /// Neither run has the measurement.
    Absent,
}

impl Comparison {
    fn is_failure(self) -> bool {
        matches!(self, Self::Regressed | Self::Exceeded | Self::Missing)
    }

    fn text(self) -> &'static str {
        match self {
            Self::Within => "ok",
            Self::Regressed => "REGRESSED",
            Self::Exceeded => "EXCEEDED, as before",
            Self::Missing => "MISSING",
            Self::Absent => "not measured",
        }
    }
}

fn compare(bound: f64, before: Option<f64>, after: Option<f64>) -> Comparison {
    // NaN is not within the bound.
    let within = |value: f64| value <= bound;
    match (before, after) {
        (None, None) => Comparison::Absent,
        (Some(_), None) => Comparison::Missing,
        (_, Some(after)) if within(after) => Comparison::Within,
        (Some(before), Some(_)) if !within(before) => Comparison::Exceeded,
        (_, Some(_)) => Comparison::Regressed,
    }
}
