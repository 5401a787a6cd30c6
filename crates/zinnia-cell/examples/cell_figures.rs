//! Measures the cell at its target size: `cargo run --release -p zinnia-cell --example
//! cell_figures`.
//!
//! Prints the time of commands and lookups, the growth of the resident set of the process in MiB
//! and the size of a snapshot in bytes. Each figure comes from a single run. With the argument
//! `live` all jobs stay live; with `calls` recorded calls are added.

use std::error::Error;
use std::fs;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use zinnia_cell::Cell;
use zinnia_cell::Command;
use zinnia_cell::Digest;
use zinnia_cell::KeyHash;
use zinnia_cell::KeyRole;
use zinnia_cell::TaskEnd;
use zinnia_cell::TaskOutcome;
use zinnia_cell::Vm;
use zinnia_types::Class;
use zinnia_types::Document;
use zinnia_types::DomainId;
use zinnia_types::Job;
use zinnia_types::JobId;
use zinnia_types::Kind;
use zinnia_types::Name;
use zinnia_types::Outcome;
use zinnia_types::RackId;
use zinnia_types::Resources;
use zinnia_types::Team;
use zinnia_types::TeamId;
use zinnia_types::Urgency;
use zinnia_types::VmId;
use zinnia_types::WorkerId;
use zinnia_types::worker::WorkerProfile;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

const WORKERS: u64 = 1_700;
const TEAMS: u64 = 31;
const JOBS: u64 = 32_000;
const DOMAINS: u64 = 5;
const VMS: u64 = 7;
/// Number of document versions.
const EDITS: u64 = 530;
/// Number of jobs that are accepted before they end.
const BATCH: u64 = 320;
/// Number of lookups per measurement.
const LOOKUPS: u64 = 200_000;

fn main() -> Result<()> {
    let mut log = Log {
        cell: Cell::default(),
    };
    let baseline = resident_mib()?;
    let report = |what: &str| -> Result<()> {
        println!("{what:<28} resident +{:.1} MiB", resident_mib()? - baseline);
        Ok(())
    };
    members(&mut log)?;
    documents(&mut log)?;
    limits(&mut log)?;
    report("without jobs")?;
    // Jobs end in batches soon after they are accepted, as in production. With the argument `live`
    // none of them ends.
    let mode = std::env::args().nth(1);
    let live = mode.as_deref() == Some("live");
    let mut accepts = Timer::default();
    let mut task_ends = Timer::default();
    let mut job_ends = Timer::default();
    for batch in 0..JOBS / BATCH {
        let range = BATCH * batch..BATCH * (batch + 1);
        accepts.run(&mut log, range.clone().map(|n| Ok(accept_job(&job(n)?))))?;
        if !live {
            task_ends.run(&mut log, range.clone().step_by(32).map(end_tasks))?;
            job_ends.run(&mut log, range.map(|n| Ok(end_job(&job(n)?))))?;
        }
    }
    accepts.print("AcceptJob");
    task_ends.print("EndTasks of 32");
    job_ends.print("EndJob");
    report(if live {
        "32,000 live jobs"
    } else {
        "32,000 ended jobs"
    })?;
    if mode.as_deref() == Some("calls") {
        calls(&mut log)?;
        report("and 16,000 finished calls")?;
    }
    lookups(&log.cell)?;
    restore(&log.cell)
}

/// A cell with consecutive log indices.
struct Log {
    cell: Cell,
}

impl Log {
    fn apply(&mut self, command: &Command) {
        let index = self.cell.index() + 1;
        black_box(self.cell.apply(index, command));
    }
}

/// Total time spent in commands of one kind.
#[derive(Default)]
struct Timer {
    elapsed: Duration,
    count: u32,
}

impl Timer {
    /// Applies commands. They are built one at a time, so that they do not add to the resident set.
    fn run(
        &mut self,
        log: &mut Log,
        commands: impl Iterator<Item = Result<Command>>,
    ) -> Result<()> {
        for command in commands {
            let command = command?;
            let start = Instant::now();
            log.apply(&command);
            self.elapsed += start.elapsed();
            self.count += 1;
        }
        Ok(())
    }

    fn print(&self, what: &str) {
        println!(
            "{what:<28} {} commands in {:.1} ms, {:.2} us each",
            self.count,
            self.elapsed.as_secs_f64() * 1e3,
            self.elapsed.as_secs_f64() * 1e6 / f64::from(self.count.max(1))
        );
    }
}

/// Resident set of this process in MiB.
fn resident_mib() -> Result<f64> {
    let text = fs::read_to_string("/proc/self/status")?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    let kib: f64 = value.ok_or("no VmRSS in /proc/self/status")?.parse()?;
    Ok(kib / 1024.0)
}

fn domain(n: u64) -> Result<DomainId> {
    Ok(DomainId::new(&format!("domain-{}", n % DOMAINS))?)
}

fn team(n: u64) -> Result<TeamId> {
    Ok(TeamId::new(&format!("team-{}", n % TEAMS))?)
}

fn members(log: &mut Log) -> Result<()> {
    for n in 0..VMS {
        let vm = Vm {
            id: VmId(n),
            name: Name::new(&format!("vm-{n}"))?,
            domain: domain(n)?,
            http: format!("10.0.0.{n}:8080"),
            peer: format!("10.0.0.{n}:9090"),
            disk: n < 5,
        };
        log.apply(&Command::JoinVm { vm });
    }
    for n in 0..DOMAINS {
        log.apply(&Command::SetOwner {
            domain: domain(n)?,
            vm: VmId(n),
            from_term: 0,
            silent: Some(Vec::new()),
        });
    }
    let mut add = Vec::new();
    for n in 0..WORKERS {
        add.push(WorkerProfile {
            worker: WorkerId::new(&format!("worker-{n:04}"))?,
            boot: n.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            addr: format!("10.1.{}.{}:7000", n / 250, n % 250),
            domain: domain(n)?,
            rack: RackId::new(&format!("rack-{}", n / 5))?,
            capacity: Resources {
                cpu: 64_000,
                mem: 131_072,
                gpu: 8,
            },
        });
    }
    let command = Command::Workers {
        add,
        remove: Vec::new(),
        leases: None,
    };
    log.apply(&command);
    Ok(())
}

fn documents(log: &mut Log) -> Result<()> {
    let mut document = Document::default();
    for n in 0..TEAMS {
        document.teams.push(Team {
            name: team(n)?,
            share: 1,
            limit: Resources {
                cpu: 3_000_000,
                mem: 6_000_000,
                gpu: 80,
            },
            calls: 256,
        });
        document.kinds.push(Kind {
            name: Name::new(&format!("kind-{n}"))?,
            class: Class::Batch,
            urgency: Urgency::Normal,
            tasks: 1,
            need: Resources {
                cpu: 1_000,
                mem: 1_024,
                gpu: 0,
            },
            runtime_ms: 60_000,
            retries: 3,
            repeat: true,
            shift: None,
            open: None,
        });
    }
    let edits = (0..EDITS).map(|n| {
        Ok(Command::ApplyDocument {
            request: format!("request-{n}"),
            from: n,
            document: document.clone(),
            at_ms: 1_760_000_000_000 + n as i64,
        })
    });
    let mut timer = Timer::default();
    timer.run(log, edits)?;
    timer.print("ApplyDocument");
    Ok(())
}

fn limits(log: &mut Log) -> Result<()> {
    for t in 0..TEAMS {
        for d in 0..DOMAINS {
            log.apply(&Command::Take {
                domain: domain(d)?,
                team: team(t)?,
                amount: Resources {
                    cpu: 600_000,
                    mem: 1_200_000,
                    gpu: 16,
                },
                term: d + 1,
                from: 0,
            });
        }
        let id = format!("key-{t}").parse()?;
        log.apply(&Command::GrantKey {
            id,
            hash: KeyHash::of(&key(t)),
            role: KeyRole::Team(team(t)?),
            request: format!("grant-{t}"),
        });
    }
    Ok(())
}

fn key(n: u64) -> String {
    format!("zk_key-{n}_0123456789abcdef0123456789abcdef")
}

fn job(n: u64) -> Result<Job> {
    let team = team(n)?;
    let name = format!("proof-run-2026-12-04-{n:05}");
    Ok(Job {
        id: JobId::of(team, &name),
        team,
        name,
        kind: Name::new(&format!("kind-{}", n % TEAMS))?,
        class: Class::Batch,
        urgency: Urgency::Normal,
        tasks: 1,
        need: Resources {
            cpu: 1_000,
            mem: 1_024,
            gpu: 0,
        },
        runtime_ms: 60_000,
        retries: 3,
        repeat: true,
        due_ms: Some(1_760_000_000_000),
        accepted_ms: 1_760_000_000_000 + n as i64,
        pinned: false,
        domain: domain(n)?,
        payload: json!({"order": n}),
    })
}

fn accept_job(job: &Job) -> Command {
    Command::AcceptJob {
        job: Box::new(job.clone()),
        request: Digest::of(job.name.as_bytes()),
        key: None,
    }
}

/// Task outcomes of 32 jobs from `first` on.
fn end_tasks(first: u64) -> Result<Command> {
    let mut ends = Vec::new();
    for n in first..first + 32 {
        ends.push(TaskEnd {
            job: job(n)?.id,
            task: 0,
            finish: TaskOutcome::Done,
        });
    }
    Ok(Command::EndTasks { ends })
}

fn end_job(job: &Job) -> Command {
    Command::EndJob {
        job: job.id,
        outcome: Outcome::Done,
        at_ms: job.accepted_ms,
    }
}

/// Records and finishes half of the maximum number of calls, with response bodies of 128 bytes.
fn calls(log: &mut Log) -> Result<()> {
    let id = |n: u64| format!("confirm-bin-2026-12-04-{n:05}");
    let mut records = Timer::default();
    let mut finishes = Timer::default();
    for batch in 0..16_000 / BATCH {
        let range = BATCH * batch..BATCH * (batch + 1);
        let record = |n| {
            Ok(Command::RecordCall {
                team: team(n)?,
                id: id(n),
                hash: Digest::of(&n.to_be_bytes()),
                at_ms: 1_760_000_000_000,
            })
        };
        let finish = |n| {
            Ok(Command::FinishCall {
                team: team(n)?,
                id: id(n),
                status: 200,
                body: "x".repeat(128),
            })
        };
        records.run(log, range.clone().map(record))?;
        finishes.run(log, range.map(finish))?;
    }
    records.print("RecordCall");
    finishes.print("FinishCall");
    Ok(())
}

fn lookups(cell: &Cell) -> Result<()> {
    let (domain, team, key) = (domain(3)?, team(17)?, key(17));
    let start = Instant::now();
    for _ in 0..LOOKUPS {
        black_box(cell.usable_allotment(black_box(domain), black_box(team)));
    }
    let elapsed = start.elapsed().as_secs_f64() * 1e9 / LOOKUPS as f64;
    println!("{:<28} {elapsed:.0} ns", "allotment");
    let start = Instant::now();
    let count = cell.live_jobs_in(domain).count();
    let elapsed = start.elapsed().as_secs_f64() * 1e3;
    println!("{:<28} {count} in {elapsed:.1} ms", "jobs of one domain");
    let start = Instant::now();
    for _ in 0..LOOKUPS {
        if black_box(cell.check_key(black_box(&key))).is_err() {
            return Err("the key was refused".into());
        }
    }
    let elapsed = start.elapsed().as_secs_f64() * 1e9 / LOOKUPS as f64;
    println!("{:<28} {elapsed:.0} ns", "check_key");
    Ok(())
}

fn restore(cell: &Cell) -> Result<()> {
    let start = Instant::now();
    let bytes = cell.snapshot()?;
    let elapsed = start.elapsed().as_secs_f64() * 1e3;
    println!(
        "{:<28} {} bytes in {elapsed:.1} ms",
        "snapshot",
        bytes.len()
    );
    let mut other = Cell::default();
    let start = Instant::now();
    other.restore(&bytes)?;
    println!(
        "{:<28} {:.1} ms",
        "restore",
        start.elapsed().as_secs_f64() * 1e3
    );
    if &other != cell {
        return Err("the restored cell differs from the original".into());
    }
    Ok(())
}
