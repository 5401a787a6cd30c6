//! Measures the time that the checker takes per event:
//! `cargo run --release -p zinnia-check --example check_figures`.
//!
//! Checks a valid record of a cell of the target size, with 13,000 tasks running at a time.

use std::error::Error;
use std::time::Instant;

use zinnia_check::Checker;
use zinnia_check::Event;
use zinnia_check::EventKind;
use zinnia_check::Settings;
use zinnia_types::AttemptId;
use zinnia_types::JobId;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::VmId;
use zinnia_types::WorkerId;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

const WORKERS: u64 = 1_700;
const TEAMS: u64 = 31;
const VMS: u64 = 7;
/// Number of attempts that are started.
const STARTS: u64 = 100_000;
/// Number of attempts that run at a time.
const CONCURRENT_ATTEMPTS: u64 = 13_000;
const CALLS: u64 = 100_000;
/// Number of versions of the document.
const DOCUMENT_VERSIONS: u64 = 530;

/// Resources of each attempt.
const TASK_NEED: Resources = Resources {
    cpu: 1_000,
    mem: 1_024,
    gpu: 0,
};

fn worker(n: u64) -> Result<WorkerId> {
    Ok(WorkerId::new(&format!("worker-{}", n % WORKERS))?)
}

fn team(n: u64) -> Result<TeamId> {
    Ok(TeamId::new(&format!("team-{}", n % TEAMS))?)
}

fn attempt(n: u64) -> AttemptId {
    AttemptId {
        job: JobId(n),
        task: 0,
        term: 1,
        number: 1,
    }
}

fn valid_record() -> Result<Vec<EventKind>> {
    let mut event_kinds = Vec::new();
    for n in 0..WORKERS {
        event_kinds.push(EventKind::WorkerUp {
            worker: worker(n)?,
            capacity: TASK_NEED.saturating_mul(64),
        });
    }
    for n in 0..TEAMS {
        event_kinds.push(EventKind::Limit {
            team: team(n)?,
            limit: TASK_NEED.saturating_mul(CONCURRENT_ATTEMPTS),
        });
    }
    for version in 1..=DOCUMENT_VERSIONS {
        event_kinds.push(EventKind::Document {
            version,
            digest: version,
        });
        for n in 0..VMS {
            event_kinds.push(EventKind::InForce {
                vm: VmId(n),
                version,
                digest: version,
            });
        }
    }
    for n in 0..STARTS {
        event_kinds.push(EventKind::Started {
            worker: worker(n)?,
            attempt: attempt(n),
            team: team(n)?,
            need: TASK_NEED,
            repeat: true,
        });
        if let Some(oldest) = n.checked_sub(CONCURRENT_ATTEMPTS) {
            event_kinds.push(EventKind::Ended {
                worker: worker(oldest)?,
                attempt: attempt(oldest),
            });
            event_kinds.push(EventKind::TaskFinished {
                job: JobId(oldest),
                task: 0,
            });
        }
    }
    for n in 0..CALLS {
        let call = format!("call-{n}");
        let vm = VmId(n % VMS);
        event_kinds.push(EventKind::Called {
            call: call.clone(),
            vm,
            repeat: false,
            request: n,
        });
        event_kinds.push(EventKind::Sent {
            call: call.clone(),
            vm,
            worker: worker(n)?,
            request: n,
        });
        event_kinds.push(EventKind::Served {
            call: call.clone(),
            worker: worker(n)?,
            response: n,
        });
        event_kinds.push(EventKind::Answered {
            call,
            vm,
            response: n,
        });
    }
    Ok(event_kinds)
}

fn main() -> Result<()> {
    let event_kinds = valid_record()?;
    let count = event_kinds.len();
    let mut checker = Checker::new(Settings::default());
    let start = Instant::now();
    for kind in event_kinds {
        checker.observe(Event { at: Time(0), kind })?;
    }
    checker.finish(Time(0))?;
    let elapsed_s = start.elapsed().as_secs_f64();
    println!(
        "{count} events in {:.0} ms, {:.2} us each",
        elapsed_s * 1e3,
        elapsed_s * 1e6 / count as f64
    );
    for (invariant, count) in checker.counts() {
        println!("{invariant:<4} {count} events checked");
    }
    Ok(())
}
