//! Measures the checker: `cargo run --release -p zinnia-check --example check_figures`.
//!
//! Feeds a good record of the target size, with 13,000 tasks running at a time, and prints the time
//! for each event.

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
const STARTS: u64 = 100_000;
const RUNNING: u64 = 13_000;
const CALLS: u64 = 100_000;
const EDITS: u64 = 530;

const NEED: Resources = Resources {
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

fn record() -> Result<Vec<EventKind>> {
    let mut facts = Vec::new();
    for n in 0..WORKERS {
        facts.push(EventKind::WorkerUp {
            worker: worker(n)?,
            capacity: NEED.saturating_mul(64),
        });
    }
    for n in 0..TEAMS {
        facts.push(EventKind::Limit {
            team: team(n)?,
            limit: NEED.saturating_mul(RUNNING),
        });
    }
    for version in 1..=EDITS {
        facts.push(EventKind::Document {
            version,
            digest: version,
        });
        for n in 0..VMS {
            facts.push(EventKind::InForce {
                vm: VmId(n),
                version,
                digest: version,
            });
        }
    }
    for n in 0..STARTS {
        facts.push(EventKind::Started {
            worker: worker(n)?,
            attempt: attempt(n),
            team: team(n)?,
            need: NEED,
            repeat: true,
        });
        if let Some(old) = n.checked_sub(RUNNING) {
            facts.push(EventKind::Ended {
                worker: worker(old)?,
                attempt: attempt(old),
            });
            facts.push(EventKind::TaskFinished {
                job: JobId(old),
                task: 0,
            });
        }
    }
    for n in 0..CALLS {
        let call = format!("call-{n}");
        let vm = VmId(n % VMS);
        facts.push(EventKind::Called {
            call: call.clone(),
            vm,
            repeat: false,
            request: n,
        });
        facts.push(EventKind::Sent {
            call: call.clone(),
            vm,
            worker: worker(n)?,
            request: n,
        });
        facts.push(EventKind::Served {
            call: call.clone(),
            worker: worker(n)?,
            response: n,
        });
        facts.push(EventKind::Answered {
            call,
            vm,
            response: n,
        });
    }
    Ok(facts)
}

fn main() -> Result<()> {
    let facts = record()?;
    let count = facts.len();
    let mut checker = Checker::new(Settings::default());
    let start = Instant::now();
    for fact in facts {
        checker.observe(Event {
            at: Time(0),
            kind: fact,
        })?;
    }
    checker.finish(Time(0))?;
    let took = start.elapsed().as_secs_f64();
    println!(
        "{count} events in {:.0} ms, {:.2} us each",
        took * 1e3,
        took * 1e6 / count as f64
    );
    for (invariant, count) in checker.counts() {
        println!("{invariant:<4} {count} observations");
    }
    Ok(())
}
