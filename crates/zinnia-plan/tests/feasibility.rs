//! Work that cannot start, beside work that can.
//!
//! What must hold: nothing that is set aside for work that cannot start - its shape does not fit, workers have
//! gone, the policy or a limit leaves too little - keeps resources idle that others wait for, nor is it a reason to
//! refuse a new job. Work that can start does so in the end.

#![expect(clippy::expect_used, reason = "a test must stop if its setup fails")]

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use common::Simulation;
use common::document;
use common::incarnation;
use common::job;
use common::step;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use zinnia_plan::AdmissionSettings;
use zinnia_plan::Document;
use zinnia_plan::EndReason;
use zinnia_plan::Incarnation;
use zinnia_plan::Load;
use zinnia_plan::Policy;
use zinnia_plan::Queue;
use zinnia_plan::Record;
use zinnia_plan::Resources;
use zinnia_plan::Status;
use zinnia_plan::Step;
use zinnia_plan::StepState;
use zinnia_plan::TaskId;
use zinnia_plan::refuse_job;
use zinnia_types::JobId;
use zinnia_types::Time;

/// Step of the simulation.
const TICK_MS: u64 = 50;
const HEARTBEAT_MS: u64 = 1_000;
/// Longest time for which work that can start may wait while nothing runs.
const IDLE_LIMIT_MS: u64 = 3_000;
/// Run time of a task that ends.
const TASK_MS: u64 = 1_000;
const POLICY: Policy = Policy {
    base_ms: 20.0,
    worker_ms: 1.0,
    valid_ms: 1_500,
};
const SEEDS: u64 = 150;

fn gang(count: u32, cpu: u64) -> Step {
    Step {
        gang: true,
        ..step(count, cpu)
    }
}

fn lasting(count: u32, cpu: u64) -> Step {
    Step {
        long_running: true,
        ..step(count, cpu)
    }
}

/// A document with a queue whose jobs need tickets and one whose jobs need none.
fn two_queues() -> Document {
    let mut doc = document(None);
    doc.queues.push(Queue {
        name: "ticketed".to_owned(),
        prefix: "/t/".to_owned(),
        policy: Some(POLICY),
        ..doc.queues[0].clone()
    });
    doc
}

/// A run on a worker; `ends_at` is `None` for a task that lasts.
struct Run {
    worker: String,
    task: TaskId,
    number: u32,
    ends_at: Option<u64>,
}

/// A cell with workers that run tasks, and a policy.
struct Cell {
    sim: Simulation,
    workers: BTreeMap<String, Incarnation>,
    runs: Vec<Run>,
    last_end: BTreeMap<String, u64>,
    /// Workers that the policy denies; `None` while it does not answer.
    denied: Option<BTreeSet<String>>,
    queries: Vec<(u64, zinnia_plan::PolicyQuery)>,
    sequence: u64,
}

impl Cell {
    fn new(document: Document) -> Self {
        Self {
            sim: Simulation::new(document),
            workers: BTreeMap::new(),
            runs: Vec::new(),
            last_end: BTreeMap::new(),
            denied: Some(BTreeSet::new()),
            queries: Vec::new(),
            sequence: 1,
        }
    }

    fn add_worker(&mut self, name: &str, cpu: u64, label: &str) {
        let worker = Incarnation {
            labels: vec![label.to_owned(), "r1".to_owned()],
            ..incarnation(name, cpu)
        };
        self.sim.heartbeat(&worker, self.sequence, false);
        self.workers.insert(name.to_owned(), worker);
    }

    /// A worker is lost with its runs.
    fn lose_worker(&mut self, name: &str) {
        self.workers.remove(name);
        self.runs.retain(|r| r.worker != name);
    }

    fn submit(&mut self, queue: &str, id: u64, steps: Vec<Step>) {
        self.sim.submit_to(queue, id, job(steps));
    }

    fn play(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.sim.now += TICK_MS;
        let now = self.sim.now;
        if now.is_multiple_of(HEARTBEAT_MS) {
            self.sequence += 1;
            for worker in self.workers.values() {
                self.sim.heartbeat(worker, self.sequence, false);
            }
        }
        self.end_runs(EndReason::Done, |r| r.ends_at.is_some_and(|at| at <= now));
        self.answer_queries();
        let plan = self.sim.plan();
        self.queries
            .extend(plan.queries.into_iter().map(|q| (now + q.cost_ms, q)));
        for record in plan.records {
            self.sim.apply(record);
        }
        if !plan.lease_changes.is_empty() {
            self.sim.apply_batch(Vec::new(), plan.lease_changes);
        }
        for poll in plan.polls {
            let on_worker = self.runs.iter().filter(|r| r.worker == poll.worker);
            let running: Vec<_> = on_worker.map(|r| (r.task, r.number)).collect();
            // The progress changes with each report.
            let percent = now / TICK_MS % 90;
            if self.workers.contains_key(&poll.worker) {
                self.sim.report_percent(&poll, &running, percent);
            } else {
                self.sim.poll_failed(&poll);
            }
        }
        for order in self.sim.start(plan.starts) {
            let run = order.common;
            let step = self.sim.state.step(run.task).expect("an open job");
            let lasts = step.long_running;
            if self.workers.contains_key(&run.worker) {
                self.runs.push(Run {
                    worker: run.worker,
                    task: run.task,
                    number: run.run,
                    ends_at: (!lasts).then_some(now + TASK_MS),
                });
            }
        }
    }

    /// The workers report that these runs have ended.
    fn end_runs(&mut self, reason: EndReason, is_ended: impl Fn(&Run) -> bool) {
        for run in self.runs.extract_if(.., |r| is_ended(r)) {
            let number = self.last_end.entry(run.worker.clone()).or_default();
            *number += 1;
            self.sim
                .end(&run.worker, *number, run.task, run.number, reason);
        }
    }

    fn answer_queries(&mut self) {
        let now = self.sim.now;
        for (_, query) in self.queries.extract_if(.., |(at, _)| *at <= now) {
            let granted = self.denied.as_ref().map(|denied| {
                let allowed = query.workers.iter().filter(|w| !denied.contains(*w));
                allowed.map(|w| (w.clone(), "ticket".to_owned())).collect()
            });
            self.sim.leader.policy_answered(&query, granted, Time(now));
        }
    }

    fn status(&self, id: u64) -> Status {
        self.sim.state.jobs[&JobId(id)].status
    }

    /// Whether the job has a task, or a gang, without a worker. The runs of a lost worker wait for its leases.
    fn waits(&self, id: u64) -> bool {
        let job = &self.sim.state.jobs[&JobId(id)];
        let is_gang = job.spec.steps.first().is_some_and(|s| s.gang);
        let waits = |s: &StepState| s.waiting() > 0 && !(is_gang && s.assigned > 0);
        job.status == Status::Open && job.rounds.iter().flatten().any(waits)
    }

    /// Whether a new job of one small task is accepted.
    fn accepts_job(&self) -> bool {
        let state = &self.sim.state;
        let load = Load {
            live_jobs: state.live.len(),
            backlog: self.sim.leader.backlog(),
        };
        let queue = state.document.queue("quick").expect("the queue exists");
        let spec = job(vec![step(1, 100)]);
        let settings = AdmissionSettings::default();
        refuse_job(&settings, load, &state.document, queue, "kibo", &spec).is_none()
    }
}

/// Guards against resources that are kept idle, and jobs that are refused, for work that cannot start; and against
/// such work that does not start once it can.
#[test]
fn infeasible_work_keeps_nothing_from_others() {
    struct Case {
        name: &'static str,
        /// What happens on two workers of 4,000 each before the job with id 1 is submitted.
        before: fn(&mut Cell),
        queue: &'static str,
        step: Step,
        /// What happens while it waits.
        meanwhile: fn(&mut Cell),
        /// Makes it feasible.
        after: fn(&mut Cell),
    }
    let nothing = |_: &mut Cell| {};
    let add_worker = |cell: &mut Cell| cell.add_worker("c", 4_000, "a");
    let cases = [
        Case {
            name: "a gang that needs more than all workers have",
            before: nothing,
            queue: "quick",
            step: gang(3, 4_000),
            meanwhile: nothing,
            after: add_worker,
        },
        Case {
            name: "a gang with fewer workers than it needs",
            before: nothing,
            queue: "quick",
            step: Step {
                per_worker: 1,
                ..gang(3, 1_000)
            },
            meanwhile: nothing,
            after: add_worker,
        },
        Case {
            name: "a gang that needs a label which few workers have",
            before: nothing,
            queue: "quick",
            step: Step {
                label: "b".to_owned(),
                ..gang(2, 2_500)
            },
            meanwhile: nothing,
            after: |cell| cell.add_worker("c", 4_000, "b"),
        },
        Case {
            name: "a gang beside tasks that last",
            before: |cell| {
                cell.submit("quick", 50, vec![lasting(2, 1_500)]);
                cell.play(500);
            },
            queue: "quick",
            step: gang(2, 3_500),
            meanwhile: nothing,
            after: |cell| {
                cell.sim.apply(Record::Cancel(JobId(50)));
                cell.end_runs(EndReason::Stopped, |r| r.task.job == JobId(50));
            },
        },
        Case {
            name: "a gang that exceeds the limit of its team",
            before: |cell| set_limit(cell, 5_000),
            queue: "quick",
            step: gang(2, 3_000),
            meanwhile: nothing,
            after: |cell| set_limit(cell, 20_000),
        },
        Case {
            name: "a gang after a worker has gone",
            before: nothing,
            queue: "quick",
            step: gang(2, 3_500),
            meanwhile: |cell| {
                cell.sim.apply(Record::Drain {
                    worker: "b".to_owned(),
                    born: 1,
                });
                cell.lose_worker("b");
            },
            after: add_worker,
        },
        Case {
            name: "a gang on workers that the policy denies",
            before: |cell| cell.denied = Some(BTreeSet::from(["b".to_owned()])),
            queue: "ticketed",
            step: gang(2, 3_500),
            meanwhile: nothing,
            after: add_worker,
        },
        Case {
            name: "a gang without an answer of the policy",
            before: |cell| cell.denied = None,
            queue: "ticketed",
            step: gang(2, 3_500),
            meanwhile: nothing,
            after: |cell| cell.denied = Some(BTreeSet::new()),
        },
        Case {
            name: "tasks that are too large",
            before: nothing,
            queue: "quick",
            step: step(50, 8_000),
            meanwhile: nothing,
            after: |cell| {
                for n in 0..10 {
                    cell.add_worker(&format!("c{n}"), 8_000, "a");
                }
            },
        },
    ];
    for case in cases {
        let name = case.name;
        let mut cell = Cell::new(two_queues());
        cell.add_worker("a", 4_000, "a");
        cell.add_worker("b", 4_000, "b");
        cell.play(TICK_MS);
        (case.before)(&mut cell);
        // A job before it keeps a worker busy for a moment, so that it has to wait.
        cell.submit("quick", 2, vec![step(1, 1_000)]);
        cell.play(TICK_MS);
        let estimate_ms = 60_000;
        let spec = Step {
            estimate_ms,
            ..case.step.clone()
        };
        let after_it = Step {
            depends_on: vec![0],
            estimate_ms,
            ..step(50, 1_000)
        };
        cell.submit(case.queue, 1, vec![spec, after_it]);
        (case.meanwhile)(&mut cell);
        cell.play(5_000);
        assert_eq!(cell.status(1), Status::Open, "{name}");
        let is_lasting = |r: &Run| r.ends_at.is_none();
        assert!(cell.runs.iter().all(is_lasting), "{name}: nothing ends");
        assert!(cell.accepts_job(), "{name}: a new job is refused");
        for id in 3..7 {
            cell.submit("quick", id, vec![step(1, 2_400)]);
        }
        cell.play(5_000);
        for id in 3..7 {
            assert_eq!(cell.status(id), Status::Completed, "{name}: job {id}");
        }
        (case.after)(&mut cell);
        cell.play(120_000);
        assert_eq!(cell.status(1), Status::Completed, "{name}: once it can");
    }
}

fn set_limit(cell: &mut Cell, cpu: u64) {
    let mut next = cell.sim.state.document.clone();
    next.version += 1;
    next.teams[0].cap = Resources {
        cpu,
        ..Resources::default()
    };
    cell.sim.apply(Record::Document {
        raw: "next".to_owned(),
        document: next,
    });
}

/// Whether the workers could hold a step if no other task that ends were there.
fn fits(cell: &Cell, step: &Step) -> bool {
    let slots = |worker: &Incarnation| {
        let on_worker = cell.runs.iter().filter(|r| r.worker == worker.worker);
        let lasting = on_worker.filter(|r| r.ends_at.is_none());
        let used: u64 = lasting
            .map(|r| cell.sim.state.step(r.task).map_or(0, |s| s.resources.cpu))
            .sum();
        let has_label = step.label.is_empty() || worker.labels.contains(&step.label);
        let count = worker.resources.cpu.saturating_sub(used) / step.resources.cpu;
        match (has_label, step.per_worker) {
            (false, _) => 0,
            (true, 0) => count,
            (true, limit) => count.min(u64::from(limit)),
        }
    };
    let held: u64 = cell.workers.values().map(slots).sum();
    let needed = if step.gang { u64::from(step.count) } else { 1 };
    held >= needed
}

fn random_step(rng: &mut SmallRng) -> Step {
    let is_gang = rng.random_bool(0.5);
    let count = rng.random_range(1..6);
    let cpu = rng.random_range(1..12) * 500;
    let per_worker = if rng.random_bool(0.3) { 1 } else { 0 };
    let label = match rng.random_range(0..5) {
        0 => "a",
        1 => "b",
        _ => "",
    };
    Step {
        gang: is_gang,
        per_worker,
        label: label.to_owned(),
        ..step(count, cpu)
    }
}

/// Guards against any mix of jobs, lasting tasks, and workers that come and go, in which work that can start waits
/// while nothing runs, never starts, or new jobs are refused for the sake of work that cannot start.
#[test]
fn feasible_work_starts_beside_infeasible_work() {
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut cell = Cell::new(two_queues());
        for n in 0..rng.random_range(2..6) {
            let label = if rng.random_bool(0.5) { "a" } else { "b" };
            cell.add_worker(&format!("w{n}"), rng.random_range(2..10) * 1_000, label);
        }
        let mut steps = BTreeMap::new();
        for id in 1..rng.random_range(10..40) {
            let step = match rng.random_bool(0.08) {
                true => lasting(1, rng.random_range(1..6) * 500),
                false => random_step(&mut rng),
            };
            let queue = ["quick", "ticketed"][rng.random_range(0..2)];
            cell.submit(queue, id, vec![step.clone()]);
            if !step.long_running {
                steps.insert(id, step);
            }
            let pause_ms = rng.random_range(0..8) * TICK_MS;
            cell.play(pause_ms);
            if rng.random_bool(0.03) && cell.workers.len() > 1 {
                let nth = rng.random_range(0..cell.workers.len());
                let name = cell.workers.keys().nth(nth).unwrap().clone();
                cell.lose_worker(&name);
            }
        }
        let mut idle_ms = 0;
        for _ in 0..60_000 / TICK_MS {
            cell.tick();
            let waits = |(id, step): &(&u64, &Step)| cell.waits(**id) && fits(&cell, step);
            let waiting = steps.iter().find(waits).map(|(id, _)| *id);
            let is_idle = cell.runs.iter().all(|r| r.ends_at.is_none());
            idle_ms = match waiting {
                Some(_) if is_idle => idle_ms + TICK_MS,
                _ => 0,
            };
            assert!(
                idle_ms <= IDLE_LIMIT_MS,
                "seed {seed}: job {waiting:?} waits for {idle_ms} ms while nothing runs"
            );
        }
        let open: Vec<_> = steps
            .iter()
            .filter(|(id, _)| cell.status(**id) == Status::Open)
            .collect();
        for (id, step) in &open {
            assert!(!fits(&cell, step), "seed {seed}: job {id} never starts");
        }
        assert!(cell.accepts_job(), "seed {seed}: {open:?}");
    }
}
