//! Memory and time of the decision cores at generated sizes.

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
use zinnia_types::worker::Profile;

use super::fit::Line;
use super::fit::Point;
use super::fit::resident_kib;

/// Teams at the target.
const TEAMS: usize = 31;
/// Running tasks for each worker at the target: 13,000 over 1,700.
const TASKS_PER_WORKER: usize = 8;
/// Starts that are timed at each size.
const STARTS: usize = 2_000;

/// Measures scheduler and cell state at each size and prints the lines through the points.
pub(super) fn run(sizes: &[usize]) -> Result<()> {
    println!("scheduler: workers, {TASKS_PER_WORKER} running tasks each, {TEAMS} teams");
    println!(
        "{:>8} {:>10} {:>12} {:>12}",
        "workers", "KiB", "us/start", "us/tick"
    );
    let mut memory = Vec::new();
    let mut start = Vec::new();
    let mut tick = Vec::new();
    let mut rows = Vec::new();
    for &n in sizes {
        let row = scheduler(n)?;
        println!(
            "{n:>8} {:>10} {:>12.2} {:>12.1}",
            row.kib, row.start_us, row.tick_us
        );
        let x = n as f64;
        memory.push(Point {
            x,
            y: row.kib as f64,
        });
        start.push(Point { x, y: row.start_us });
        tick.push(Point { x, y: row.tick_us });
        rows.push(row);
    }
    print_line("KiB", &memory, 340.0);
    print_line("us/start", &start, 340.0);
    print_line("us/tick", &tick, 340.0);
    println!("\ncell state: live jobs, 1,700 workers, {TEAMS} teams");
    println!(
        "{:>8} {:>10} {:>14} {:>12}",
        "jobs", "KiB", "snapshot bytes", "us/accept"
    );
    let mut memory = Vec::new();
    let mut bytes = Vec::new();
    let mut rows = Vec::new();
    for jobs in [8_000, 16_000, 32_000] {
        let row = cell(jobs)?;
        println!(
            "{jobs:>8} {:>10} {:>14} {:>12.2}",
            row.kib, row.bytes, row.accept_us
        );
        let x = jobs as f64;
        memory.push(Point {
            x,
            y: row.kib as f64,
        });
        bytes.push(Point {
            x,
            y: row.bytes as f64,
        });
        rows.push(row);
    }
    print_line("KiB", &memory, 32_000.0);
    print_line("snapshot bytes", &bytes, 32_000.0);
    Ok(())
}

fn print_line(what: &str, points: &[Point], target: f64) {
    let line = Line::through(points);
    println!(
        "  {what}: {:.2} + {:.4} a unit; at {target}: {:.1}",
        line.base,
        line.slope,
        line.at(target)
    );
}

struct SchedRow {
    // Kept until all sizes are measured: freed memory would be used again by the next size and hide
    // what that one takes.
    _kept: Scheduler,
    kib: u64,
    start_us: f64,
    tick_us: f64,
}

fn scheduler(workers: usize) -> Result<SchedRow> {
    let before = resident_kib("self");
    let mut sched = Scheduler::new(Settings::default(), Policy::default());
    let mut now = Time(1_000);
    let document = document()?;
    let teams: Vec<TeamId> = document.teams.iter().map(|t| t.name).collect();
    sched.step(Event::Clock { offset_ms: 0 }, now);
    sched.step(
        Event::Takeover {
            term: 1,
            workers: Vec::new(),
        },
        now,
    );
    sched.step(
        Event::Document {
            document: Box::new(document.clone()),
        },
        now,
    );
    for team in &document.teams {
        let amount = team.limit;
        sched.step(
            Event::Allotment {
                team: team.name,
                amount,
            },
            now,
        );
    }
    sched.step(Event::Active { active: true }, now);
    for n in 0..workers {
        let event = Event::OwnershipGranted {
            profile: profile(n)?,
            epoch: Epoch(1),
            leaving: false,
            reports: Vec::new(),
        };
        sched.step(event, now);
    }
    let mut number = 0;
    let mut fill = |sched: &mut Scheduler, now: Time, count: usize| {
        for _ in 0..count {
            let team = teams[number % teams.len()];
            number += 1;
            let event = Event::Submit {
                job: Box::new(job(team, number)?),
                done: Vec::new(),
                dispatched: Vec::new(),
                recovered: false,
            };
            let mut actions = sched.step(event, now);
            while let Some(action) = actions.pop() {
                if let Action::Start { attempt, .. } = action {
                    actions.extend(sched.step(Event::Started { attempt }, now));
                }
            }
        }
        anyhow::Ok(())
    };
    fill(&mut sched, now, workers * TASKS_PER_WORKER)?;
    let kib = resident_kib("self").saturating_sub(before);
    let timed = STARTS.min(workers * 4);
    let began = Instant::now();
    fill(&mut sched, now, timed)?;
    let start_us = began.elapsed().as_secs_f64() * 1e6 / timed as f64;
    let began = Instant::now();
    for _ in 0..100 {
        now = now.after(100);
        sched.step(Event::Tick, now);
    }
    let tick_us = began.elapsed().as_secs_f64() * 1e6 / 100.0;
    Ok(SchedRow {
        _kept: sched,
        kib,
        start_us,
        tick_us,
    })
}

struct CellRow {
    _kept: Cell,
    kib: u64,
    bytes: usize,
    accept_us: f64,
}

fn cell(jobs: usize) -> Result<CellRow> {
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
    apply(&mut cell, &Command::Workers { add, remove });
    let began = Instant::now();
    for n in 0..jobs {
        let job = Box::new(job(teams[n % teams.len()], n)?);
        let request = Digest::of(&n.to_be_bytes());
        let key = None;
        apply(&mut cell, &Command::AcceptJob { job, request, key });
    }
    let accept_us = began.elapsed().as_secs_f64() * 1e6 / jobs as f64;
    let kib = resident_kib("self").saturating_sub(before);
    let bytes = cell.snapshot()?.len();
    Ok(CellRow {
        _kept: cell,
        kib,
        bytes,
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
        need: NEED,
        runtime_ms: 60_000,
        retries: 3,
        repeat: true,
        shift: None,
        // Accepted without a key, so that the measurement needs none.
        open: Some("team-00".parse()?),
    };
    Ok(Document {
        teams,
        kinds: vec![kind],
        shifts: Vec::new(),
    })
}

const NEED: Resources = Resources {
    cpu: 2_000,
    mem: 4_096,
    gpu: 0,
};

fn profile(n: usize) -> Result<Profile> {
    Ok(Profile {
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
        need: NEED,
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
