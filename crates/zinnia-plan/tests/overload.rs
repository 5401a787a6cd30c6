//! What callers get while they submit more than the workers can do, and afterwards.

#![expect(clippy::expect_used, reason = "a test must stop if its setup fails")]

mod common;

use std::collections::BTreeMap;

use common::Simulation;
use common::document;
use common::incarnation;
use common::job;
use common::step;
use zinnia_plan::AdmissionSettings;
use zinnia_plan::Backlog;
use zinnia_plan::EndReason;
use zinnia_plan::JobSpec;
use zinnia_plan::Load;
use zinnia_plan::Queue;
use zinnia_plan::Record;
use zinnia_plan::Refusal;
use zinnia_plan::RefusalReason;
use zinnia_plan::Resources;
use zinnia_plan::Status;
use zinnia_plan::Step;
use zinnia_plan::TaskId;
use zinnia_plan::Team;
use zinnia_plan::refuse_job;
use zinnia_types::JobId;

/// Workers, each with room for four tasks of one second.
const WORKERS: usize = 10;
/// Tasks of one second that all workers can end in a second.
const CAPACITY_PER_S: u64 = 40;
/// Interval between two heartbeats of a worker.
const HEARTBEAT_MS: u64 = 1_000;
/// Step of the simulation.
const TICK_MS: u64 = 50;

/// A run on a simulated worker.
struct Run {
    worker: String,
    task: TaskId,
    number: u32,
    ends_at: u64,
}

/// A cell whose workers run all tasks, with the caller's view of each job.
struct Cell {
    sim: Simulation,
    runs: Vec<Run>,
    last_end: BTreeMap<String, u64>,
    next_job: u64,
    /// When each accepted job was submitted.
    accepted: BTreeMap<JobId, u64>,
    /// When each job was complete.
    completed: BTreeMap<JobId, u64>,
    refusals: Vec<Refusal>,
}

impl Cell {
    fn new() -> Self {
        let mut sim = Simulation::new(document(None));
        for n in 0..WORKERS {
            sim.add_worker(&incarnation(&format!("w{n}"), 4_000));
        }
        Self {
            sim,
            runs: Vec::new(),
            last_end: BTreeMap::new(),
            next_job: 1,
            accepted: BTreeMap::new(),
            completed: BTreeMap::new(),
            refusals: Vec::new(),
        }
    }

    fn spec() -> JobSpec {
        job(vec![step(1, 1_000)])
    }

    fn submit(&mut self) {
        let sim = &mut self.sim;
        let load = Load {
            live_jobs: sim.state.live.len(),
            backlog: sim.leader.backlog(),
        };
        let document = &sim.state.document;
        let queue = document.queue("quick").expect("the queue exists");
        let settings = AdmissionSettings::default();
        if let Some(refusal) = refuse_job(&settings, load, document, queue, "kibo", &Self::spec()) {
            self.refusals.push(refusal);
            return;
        }
        let id = self.next_job;
        self.next_job += 1;
        self.accepted.insert(JobId(id), sim.now);
        sim.submit_to("quick", id, Self::spec());
    }

    /// Lets `seconds` pass, with this many submissions a second.
    fn play(&mut self, seconds: u64, per_s: u64) {
        let mut due = 0;
        for _ in 0..seconds * 1_000 / TICK_MS {
            due += per_s * TICK_MS;
            while due >= 1_000 {
                due -= 1_000;
                self.submit();
            }
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.sim.now += TICK_MS;
        let now = self.sim.now;
        if now.is_multiple_of(HEARTBEAT_MS) {
            for n in 0..WORKERS {
                let worker = incarnation(&format!("w{n}"), 4_000);
                self.sim.heartbeat(&worker, now, false);
            }
        }
        for run in self.runs.extract_if(.., |r| r.ends_at <= now) {
            let number = self.last_end.entry(run.worker.clone()).or_default();
            *number += 1;
            self.sim
                .end(&run.worker, *number, run.task, run.number, EndReason::Done);
            self.completed.entry(run.task.job).or_insert(now);
        }
        let plan = self.sim.plan();
        for record in plan.records {
            self.sim.apply(record);
        }
        for order in self.sim.start(plan.starts) {
            let run = order.common;
            self.runs.push(Run {
                worker: run.worker,
                task: run.task,
                number: run.run,
                ends_at: now + 1_000,
            });
        }
        for poll in &plan.polls {
            let on_worker = self.runs.iter().filter(|r| r.worker == poll.worker);
            let running: Vec<_> = on_worker.map(|r| (r.task, r.number)).collect();
            self.sim.report(poll, &running, Vec::new());
        }
    }

    /// Jobs that were accepted in this period, and how many of them ended before they expired.
    fn served(&self, from: u64, to: u64) -> (usize, usize) {
        let queue = self.sim.state.document.queue("quick");
        let limit = queue.expect("the queue exists").expiry_ms(&Self::spec());
        let jobs = self
            .accepted
            .iter()
            .filter(|(_, at)| (from..to).contains(*at));
        let in_time = |(id, at): &(&JobId, &u64)| {
            let end = self.completed.get(*id);
            end.is_some_and(|end| end - *at <= limit)
        };
        (jobs.clone().count(), jobs.filter(in_time).count())
    }
}

/// Guards against jobs that are accepted although they can only end when their callers have no use
/// for them any more, against capacity that is lost to such jobs, and against a cell that stays late
/// after the load has returned to normal.
#[test]
fn overload_is_refused_and_ends_with_the_burst() {
    for factor in [2, 4, 8] {
        let mut cell = Cell::new();
        cell.play(5, CAPACITY_PER_S / 2);
        assert_eq!(
            cell.refusals,
            [],
            "x{factor}: nothing is refused in the calm"
        );
        let burst_start = cell.sim.now;
        cell.play(10, CAPACITY_PER_S * factor);
        let burst_end = cell.sim.now;
        cell.play(5, CAPACITY_PER_S / 2);
        let calm_start = cell.sim.now;
        let refused = cell.refusals.len();
        cell.play(10, CAPACITY_PER_S / 2);
        let calm_end = cell.sim.now;
        cell.play(10, 0);

        let (accepted, in_time) = cell.served(burst_start, burst_end);
        assert!(
            in_time * 10 >= accepted * 9,
            "x{factor}: {in_time} of {accepted} jobs accepted in the burst ended in time"
        );
        assert!(
            in_time as u64 * 10 >= CAPACITY_PER_S * 10 * 9,
            "x{factor}: the workers ended {in_time} jobs of the burst in time"
        );
        assert_eq!(
            cell.refusals.len(),
            refused,
            "x{factor}: refusals after the burst"
        );
        let (accepted, in_time) = cell.served(calm_start, calm_end);
        assert_eq!(in_time, accepted, "x{factor}: jobs in time after the burst");
        let open = cell.accepted.keys().filter(|id| {
            let job = cell.sim.state.jobs.get(id);
            job.is_none_or(|j| j.status != Status::Completed)
        });
        assert_eq!(open.count(), 0, "x{factor}: accepted jobs that never ended");
    }
}

/// Guards against a wrong reason, a missing refusal and a Retry-After that does not follow from the
/// load.
#[test]
fn new_job_is_refused_by_load() {
    struct Case {
        name: &'static str,
        live_jobs: usize,
        /// Waiting tasks of one second.
        waiting: u32,
        /// Priority of the queue in which they wait; that of the new job is 1.
        waiting_priority: u32,
        /// Limit of the team that submits, and whose jobs wait unless `of_other` is set.
        team_cap: u64,
        /// Whether the waiting tasks are of another team, which has this limit.
        of_other: Option<u64>,
        estimate_ms: u64,
        refusal: Option<Refusal>,
    }
    let refusal = |reason, retry_after_ms| {
        Some(Refusal {
            reason,
            retry_after_ms,
        })
    };
    let idle = Case {
        name: "idle",
        live_jobs: 0,
        waiting: 0,
        waiting_priority: 1,
        team_cap: 0,
        of_other: None,
        estimate_ms: 1_000,
        refusal: None,
    };
    let cases = [
        Case {
            name: "many jobs",
            live_jobs: 10_000,
            refusal: refusal(RefusalReason::TooManyJobs, 1_000),
            ..idle
        },
        // A job of 1 s expires after 3 * (1.5 s + 0.25 s); half of the other 4.25 s may pass in the queue.
        Case {
            name: "short queue",
            waiting: 80,
            ..idle
        },
        Case {
            name: "long queue",
            waiting: 400,
            refusal: refusal(RefusalReason::Backlog, 7_875),
            ..idle
        },
        Case {
            name: "long queue of lower priority",
            waiting: 400,
            waiting_priority: 2,
            team_cap: 10_000,
            ..idle
        },
        Case {
            name: "long queue of higher priority",
            waiting: 400,
            waiting_priority: 0,
            refusal: refusal(RefusalReason::Backlog, 7_875),
            ..idle
        },
        Case {
            name: "long queue of another team",
            waiting: 400,
            of_other: Some(0),
            refusal: refusal(RefusalReason::Backlog, 7_875),
            ..idle
        },
        // The other team uses half of the workers at most.
        Case {
            name: "long queue of a limited team",
            waiting: 400,
            of_other: Some(20_000),
            ..idle
        },
        Case {
            name: "absurd estimate of one task",
            waiting: 1,
            estimate_ms: u64::MAX,
            ..idle
        },
        Case {
            name: "long queue of the team",
            waiting: 100,
            team_cap: 10_000,
            refusal: refusal(RefusalReason::Backlog, 7_875),
            ..idle
        },
        idle,
    ];
    for case in cases {
        let mut cell = Cell::new();
        let cap = |cpu| Resources {
            cpu,
            ..Resources::default()
        };
        let teams = &mut cell.sim.state.document.teams;
        teams[0].cap = cap(case.team_cap);
        teams.push(Team {
            name: "other".to_owned(),
            cap: cap(case.of_other.unwrap_or(0)),
            ..Team::default()
        });
        let queues = &mut cell.sim.state.document.queues;
        queues[0].priority = 1;
        queues.push(Queue {
            name: "other".to_owned(),
            prefix: "/other/".to_owned(),
            priority: case.waiting_priority,
            ..queues[0].clone()
        });
        if case.waiting > 0 {
            let waiting = Step {
                estimate_ms: case.estimate_ms,
                ..step(case.waiting, 1_000)
            };
            let team = case.of_other.map_or("kibo", |_| "other");
            cell.sim.apply(Record::Submit {
                id: JobId(1),
                queue: "other".to_owned(),
                route: None,
                team: team.to_owned(),
                spec: job(vec![waiting]),
            });
        }
        let wall_ms = i64::try_from(cell.sim.now).expect("a short test");
        let backlog = Backlog::new(&cell.sim.state, wall_ms);
        let load = Load {
            live_jobs: case.live_jobs,
            backlog: &backlog,
        };
        let document = &cell.sim.state.document;
        let refused = refuse_job(
            &AdmissionSettings::default(),
            load,
            document,
            &document.queues[0],
            "kibo",
            &Cell::spec(),
        );
        assert_eq!(refused, case.refusal, "{}", case.name);
    }
}
