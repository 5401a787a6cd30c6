//! Memory and CPU time of the scheduler and of the replicated cell state, measured in this process
//! on generated data.

use std::time::Instant;

use anyhow::Result;
use zinnia_cell::Cell;
use zinnia_cell::Command;
use zinnia_cell::Digest;
use zinnia_cell::Retention;
use zinnia_sched::Action;
use zinnia_sched::Event;
use zinnia_sched::Policy;
use zinnia_sched::Scheduler;
use zinnia_sched::Settings;
use zinnia_types::Class;
use zinnia_types::Document;
use zinnia_types::DomainId;
use zinnia_types::Epoch;
use zinnia_types::Job;
use zinnia_types::JobId;
use zinnia_types::Kind;
use zinnia_types::Resources;
use zinnia_types::Team;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::Urgency;
use zinnia_types::worker::WorkerProfile;

use super::fit::Line;
use super::fit::Point;
use super::fit::resident_kib;

/// Number of teams at the target size of a cell.
const TEAMS: usize = 31;
/// Running tasks for each worker at the target size: 13,000 tasks on 1,700 workers.
const TASKS_PER_WORKER: usize = 8;
/// Maximum number of task starts that are timed for each worker count.
const TIMED_STARTS: usize = 2_000;

/// Measures the scheduler for each worker count and the cell state for several job counts, and
/// prints the measurements with fitted lines.
pub(super) fn run(worker_counts: &[usize]) -> Result<()> {
    println!("scheduler: workers, {TASKS_PER_WORKER} running tasks each, {TEAMS} teams");
    println!(
        "{:>8} {:>10} {:>12} {:>12}",
        "workers", "KiB", "us/start", "us/tick"
    );
    let mut memory = Vec::new();
    let mut start_times = Vec::new();
    let mut tick_times = Vec::new();
    let mut rows = Vec::new();
    for &workers in worker_counts {
        let row = measure_scheduler(workers)?;
        println!(
            "{workers:>8} {:>10} {:>12.2} {:>12.1}",
            row.memory_kib, row.start_us, row.tick_us
        );
        let x = workers as f64;
        memory.push(Point {
            x,
            y: row.memory_kib as f64,
        });
        start_times.push(Point { x, y: row.start_us });
        tick_times.push(Point { x, y: row.tick_us });
        rows.push(row);
    }
    print_fit("KiB", &memory, 340.0);
    print_fit("us/start", &start_times, 340.0);
    print_fit("us/tick", &tick_times, 340.0);
    println!("\ncell state: live jobs, 1,700 workers, {TEAMS} teams");
    println!(
        "{:>8} {:>10} {:>14} {:>12}",
        "jobs", "KiB", "snapshot bytes", "us/accept"
    );
    let mut memory = Vec::new();
    let mut snapshots = Vec::new();
    let mut rows = Vec::new();
    for jobs in [8_000, 16_000, 32_000] {
        let row = measure_cell_state(jobs)?;
        println!(
            "{jobs:>8} {:>10} {:>14} {:>12.2}",
            row.memory_kib, row.snapshot_bytes, row.accept_us
        );
        let x = jobs as f64;
        memory.push(Point {
            x,
            y: row.memory_kib as f64,
        });
        snapshots.push(Point {
            x,
            y: row.snapshot_bytes as f64,
        });
        rows.push(row);
    }
    print_fit("KiB", &memory, 32_000.0);
    print_fit("snapshot bytes", &snapshots, 32_000.0);
    Ok(())
}

/// Prints the line through the points and its value at `target`, a size of a cell.
fn print_fit(what: &str, points: &[Point], target: f64) {
    let line = Line::fit(points);
    println!(
        "  {what}: {:.2} + {:.4} for each; at {target}: {:.1}",
        line.intercept,
        line.slope,
        line.value_at(target)
    );
}

/// Measurements of the scheduler for one worker count.
struct SchedulerCost {
    // Kept until all worker counts are measured: the next measurement would otherwise reuse the
    // freed memory, and its own allocations would not show in the resident memory.
    _scheduler: Scheduler,
    memory_kib: u64,
    start_us: f64,
    tick_us: f64,
}

fn measure_scheduler(workers: usize) -> Result<SchedulerCost> {
    let before = resident_kib("self");
    let mut scheduler = Scheduler::new(Settings::default(), Policy::default());
    let mut now = Time(1_000);
    let document = document()?;
    let teams: Vec<TeamId> = document.teams.iter().map(|t| t.name).collect();
    scheduler.step(Event::Clock { offset_ms: 0 }, now);
    scheduler.step(
        Event::Takeover {
            term: 1,
            workers: Vec::new(),
        },
        now,
    );
    scheduler.step(
        Event::Document {
            document: Box::new(document.clone()),
        },
        now,
    );
    for team in &document.teams {
        let amount = team.limit;
        scheduler.step(
            Event::Allotment {
                team: team.name,
                amount,
            },
            now,
        );
    }
    scheduler.step(Event::Active { active: true }, now);
    for n in 0..workers {
        let event = Event::OwnershipGranted {
            profile: profile(n)?,
            epoch: Epoch(1),
            leaving: false,
            reports: Vec::new(),
        };
        scheduler.step(event, now);
    }
    let mut job_number = 0;
    let mut submit_jobs = |scheduler: &mut Scheduler, now: Time, count: usize| {
        for _ in 0..count {
            let team = teams[job_number % teams.len()];
            job_number += 1;
            let event = Event::Submit {
                job: Box::new(job(team, job_number)?),
                done: Vec::new(),
                dispatched: Vec::new(),
                recovered: false,
            };
            let mut actions = scheduler.step(event, now);
            while let Some(action) = actions.pop() {
                if let Action::Start { attempt, .. } = action {
                    actions.extend(scheduler.step(Event::Started { attempt }, now));
                }
            }
        }
        anyhow::Ok(())
    };
    submit_jobs(&mut scheduler, now, workers * TASKS_PER_WORKER)?;
    let memory_kib = resident_kib("self").saturating_sub(before);
    let timed_starts = TIMED_STARTS.min(workers * 4);
    let started = Instant::now();
    submit_jobs(&mut scheduler, now, timed_starts)?;
    let start_us = started.elapsed().as_secs_f64() * 1e6 / timed_starts as f64;
    let started = Instant::now();
    for _ in 0..100 {
        now = now.after(100);
        scheduler.step(Event::Tick, now);
    }
    let tick_us = started.elapsed().as_secs_f64() * 1e6 / 100.0;
    Ok(SchedulerCost {
        _scheduler: scheduler,
        memory_kib,
        start_us,
        tick_us,
    })
}

/// Measurements of the cell state for one job count.
struct CellStateCost {
    // Kept for the same reason as `SchedulerCost::_scheduler`.
    _cell: Cell,
    memory_kib: u64,
    snapshot_bytes: usize,
    accept_us: f64,
}

fn measure_cell_state(jobs: usize) -> Result<CellStateCost> {
    let before = resident_kib("self");
    let mut cell = Cell::new(Retention::default());
    let mut index = 0;
    let mut apply = |cell: &mut Cell, command: &Command| {
        index += 1;
        cell.apply(index, command)
    };
    let document = document()?;
    let teams: Vec<TeamId> = document.teams.iter().map(|t| t.name).collect();
    apply(
        &mut cell,
        &Command::ApplyDocument {
            request: "capacity".to_owned(),
            from: 0,
            document,
            at_ms: 0,
        },
    );
    let add = (0..1_700).map(profile).collect::<Result<_>>()?;
    let remove = Vec::new();
    apply(
        &mut cell,
        &Command::Workers {
            add,
            remove,
            leases: None,
        },
    );
    let started = Instant::now();
    for n in 0..jobs {
        let job = Box::new(job(teams[n % teams.len()], n)?);
        let request = Digest::of(&n.to_be_bytes());
        let key = None;
        apply(&mut cell, &Command::AcceptJob { job, request, key });
    }
    let accept_us = started.elapsed().as_secs_f64() * 1e6 / jobs as f64;
    let memory_kib = resident_kib("self").saturating_sub(before);
    let snapshot_bytes = cell.snapshot()?.len();
    Ok(CellStateCost {
        _cell: cell,
        memory_kib,
        snapshot_bytes,
        accept_us,
    })
}

fn document() -> Result<Document> {
    let teams = (0..TEAMS)
        .map(|n| {
            Ok(Team {
                name: format!("team-{n:02}").parse()?,
                share: 1 + n as u32 % 5,
                limit: Resources {
                    cpu: 100_000_000,
                    mem: 100_000_000,
                    gpu: 2_300,
                },
                calls: 256,
            })
        })
        .collect::<Result<_>>()?;
    let kind = Kind {
        name: "work".parse()?,
        class: Class::Batch,
        urgency: Urgency::Normal,
        tasks: 1,
        need: TASK_NEED,
        runtime_ms: 60_000,
        retries: 3,
        repeat: true,
        shift: None,
        // The kind accepts submissions without a key, so that the measurement needs no key.
        open: Some("team-00".parse()?),
    };
    Ok(Document {
        teams,
        kinds: vec![kind],
        shifts: Vec::new(),
    })
}

/// Resources of a task.
const TASK_NEED: Resources = Resources {
    cpu: 2_000,
    mem: 4_096,
    gpu: 0,
};

/// Profile of a worker with five workers to a rack and accelerators on every sixth.
fn profile(n: usize) -> Result<WorkerProfile> {
    Ok(WorkerProfile {
        worker: format!("worker-{n:04}").parse()?,
        boot: n as u64,
        addr: format!("10.1.{}.{}:7080", n / 250, n % 250),
        domain: domain()?,
        rack: format!("rack-{:03}", n / 5).parse()?,
        capacity: Resources {
            cpu: 32_000,
            mem: 131_072,
            gpu: if n.is_multiple_of(6) { 8 } else { 0 },
        },
    })
}

fn domain() -> Result<DomainId> {
    Ok("domain-1".parse()?)
}

fn job(team: TeamId, n: usize) -> Result<Job> {
    let name = format!("job-{n:06}");
    Ok(Job {
        id: JobId::of(team, &name),
        team,
        name,
        kind: "work".parse()?,
        class: Class::Batch,
        urgency: Urgency::Normal,
        tasks: 1,
        need: TASK_NEED,
        runtime_ms: 60_000,
        retries: 3,
        repeat: true,
        due_ms: None,
        accepted_ms: n as i64,
        pinned: false,
        domain: domain()?,
        payload: serde_json::Value::Null,
    })
}
